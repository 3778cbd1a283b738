package ctl

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/platform/soak"
)

// The bounds of a soak.
const (
	leastSoak, mostSoak           = 12 * time.Second, 2 * time.Hour
	leastGateways, mostOfGateways = 2, 40
)

// soakPlan holds the flags of a soak.
type soakPlan struct {
	seed                 uint64
	minutes              float64
	gateways             int
	play                 string
	program, older, keep string
}

func (a *app) soakCommand() *cobra.Command {
	var p soakPlan
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Let faults happen to gateways on loopback and check what callers and upstreams see",
		Long: `Run gateways of the users' platform as processes on loopback, let faults happen to
them and check what callers and upstreams see. What is done, and when, follows from
the seed. The store, the upstreams, the proxies and the callers run in this process.

Plays: mixed draws faults of gateways, links, the store and upstreams; stops ends and
pauses gateways one after the other while most answers of a service fail; few does so
where only a quarter of the gateways get requests that may be repeated; cascade
does so while smaller models doubt their answers, which go to larger ones; burst does so
in a quick series from the moment on at which answers begin to fail.

The report goes to standard output, progress to standard error. The exit code is 1
if a promise was broken; the logs are kept then, in --keep or in a new folder.`,
		Args: exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := p.check(); err != nil {
				return err
			}
			return a.soak(cmd.Context(), p)
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&p.seed, "seed", 1, "what the plan is drawn from")
	flags.Float64Var(&p.minutes, "minutes", 1, "how long callers send")
	flags.IntVar(&p.gateways, "gateways", 6, fmt.Sprintf("gateways at the start, %d to %d", leastGateways, mostOfGateways))
	flags.StringVar(&p.play, "play", string(soak.Mixed), fmt.Sprintf("one of %v", soak.Plays))
	flags.StringVar(&p.program, "program", "", "the tarragonbayd to run; by default the one beside this program or in $PATH")
	flags.StringVar(&p.older, "older", "", "a tarragonbayd of an earlier build for every other gateway")
	flags.StringVar(&p.keep, "keep", "", "folder for settings, logs and events, which stay there")
	return cmd
}

func (p *soakPlan) check() error {
	if d := p.during(); d < leastSoak || d > mostSoak {
		return result.New(result.BadUsage, "--minutes must be from %.1f to %.0f", leastSoak.Minutes(), mostSoak.Minutes())
	}
	if p.gateways < leastGateways || p.gateways > mostOfGateways {
		return result.New(result.BadUsage, "--gateways must be from %d to %d", leastGateways, mostOfGateways)
	}
	if !slices.Contains(soak.Plays, soak.Play(p.play)) {
		return result.New(result.BadUsage, "--play must be one of %v, not %q", soak.Plays, p.play)
	}
	if p.program == "" {
		p.program = ownDaemon()
	}
	for _, f := range []struct{ flag, file string }{{"--program", p.program}, {"--older", p.older}} {
		if f.file == "" && f.flag == "--older" {
			continue
		}
		if _, err := exec.LookPath(f.file); err != nil {
			return result.New(result.BadUsage, "%s: there is no program %q", f.flag, f.file)
		}
	}
	return nil
}

func (p *soakPlan) during() time.Duration { return time.Duration(p.minutes * float64(time.Minute)) }

// ownDaemon returns the daemon's program beside this one, or its name.
func ownDaemon() string {
	const name = "tarragonbayd"
	if own, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(own), name)
		if _, err := os.Stat(beside); err == nil {
			return beside
		}
	}
	return name
}

// command returns the command of a gateway: every other one runs the older program.
func (p *soakPlan) command(gateway int, settings string) *exec.Cmd {
	program := p.program
	if p.older != "" && gateway%2 == 1 {
		program = p.older
	}
	return exec.Command(program, "gateway", "--settings", settings)
}

// soakReport shows a report as lines.
type soakReport struct{ soak.Report }

func (r soakReport) grid() grid {
	var out grid
	for line := range strings.Lines(r.String()) {
		out.rows = append(out.rows, []string{strings.TrimSuffix(line, "\n")})
	}
	return out
}

func (a *app) soak(ctx context.Context, p soakPlan) error {
	dir := p.keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "tarragonbay-soak-"); err != nil {
			return errors.Annotate(err, "make a folder for logs")
		}
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return result.Wrap(err, result.BadUsage, "--keep")
	}
	report, err := soak.Run(ctx, soak.Options{
		Seed: p.seed, Play: soak.Play(p.play), Gateways: p.gateways, During: p.during(), Sheet: soak.UsersSheet,
		Command: p.command, Dir: dir, Progress: a.Err,
	})
	if err != nil {
		return errors.Annotatef(err, "play the soak, logs in %s", dir)
	}
	if err := a.print(soakReport{report}); err != nil {
		return err
	}
	if n := len(report.Violations); n > 0 {
		return result.New(result.PromiseBroken, "%d broken promises, logs in %s", n, dir)
	}
	if p.keep == "" {
		return errors.Trace(os.RemoveAll(dir))
	}
	return nil
}
