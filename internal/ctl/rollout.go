package ctl

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/rollout"
)

func (a *app) rolloutCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "rollout", Short: "Start and steer roll-outs"}
	cmd.AddCommand(
		a.rolloutStartCommand(),
		a.rolloutStepCommand("pause", "Stop a roll-out at its stage", rollout.State.Pause),
		a.rolloutStepCommand("resume", "Go on with a paused roll-out", rollout.State.Resume),
		a.rolloutStepCommand("abort", "End a roll-out: all new work goes to the old version", rollout.State.Abort),
		a.rolloutStatusCommand(),
	)
	return cmd
}

// The defaults of a new roll-out.
var defaultStages = []float64{0.01, 0.05, 0.2, 0.5, 1}

const defaultStageTime = 5 * time.Minute

func (a *app) rolloutStartCommand() *cobra.Command {
	var from, to string
	var stages []float64
	var stageTime time.Duration
	var wait bool
	cmd := &cobra.Command{
		Use:   "start NAME --from VERSION --to VERSION",
		Short: "Start a roll-out in stages",
		Args:  exactArgs("NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.edit(cmd, wait, func(set *catalog.Set) ([]catalog.Object, error) {
				if old, there := set.Rollouts[args[0]]; there && !ended(old) {
					return nil, result.New(result.BadStage, "roll-out %q is %s; abort it first", args[0], rolloutState(old))
				}
				for _, v := range []string{from, to} {
					if _, err := findObject(set, catalog.KindVersion, v); err != nil {
						return nil, err
					}
				}
				r := catalog.Rollout{From: from, To: to, Stages: stages, StageSeconds: int(stageTime.Seconds()), State: catalog.RolloutRunning}
				o, err := newObject(catalog.KindRollout, args[0], r)
				return []catalog.Object{o}, err
			})
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&from, "from", "", "the version in use")
	flags.StringVar(&to, "to", "", "the new version")
	flags.Float64SliceVar(&stages, "stages", defaultStages, "rising shares of new work, 0 to 1")
	flags.DurationVar(&stageTime, "stage-time", defaultStageTime, "least time spent in a stage")
	_ = cmd.MarkFlagRequired("from") // fails only for a flag that is not defined
	_ = cmd.MarkFlagRequired("to")
	addWait(cmd, &wait)
	return cmd
}

// rolloutStepCommand publishes one step of the roll-out's own rules.
func (a *app) rolloutStepCommand(name, short string, step func(rollout.State, time.Time) (rollout.State, error)) *cobra.Command {
	var wait bool
	cmd := &cobra.Command{
		Use:   name + " NAME",
		Short: short,
		Args:  exactArgs("NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.edit(cmd, wait, func(set *catalog.Set) ([]catalog.Object, error) {
				if _, err := findObject(set, catalog.KindRollout, args[0]); err != nil {
					return nil, err
				}
				old := set.Rollouts[args[0]]
				state, err := step(rollout.New(args[0], old, a.Now()), a.Now())
				if err != nil {
					return nil, err
				}
				o, err := newObject(catalog.KindRollout, args[0], state.Publish(old.Description))
				return []catalog.Object{o}, err
			})
		},
	}
	addWait(cmd, &wait)
	return cmd
}

func (a *app) rolloutStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show every roll-out with its stage and share",
		Args:  exactArgs(),
		RunE: a.within(func(ctx context.Context, _ []string) error {
			state, err := a.current(ctx)
			if err != nil {
				return err
			}
			list := rolloutList{Revision: state.Revision, Rollouts: []rolloutView{}}
			for _, name := range namesOf(state.Set, catalog.KindRollout) {
				r := state.Set.Rollouts[name]
				list.Rollouts = append(list.Rollouts, rolloutView{name, r.From, r.To, rolloutState(r), r.Stage, r.Stages})
			}
			return a.print(list)
		}),
	}
}
