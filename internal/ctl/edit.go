package ctl

import (
	"fmt"

	"github.com/spf13/cobra"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/result"
)

// edit publishes what the function changes in the set in force. It runs again
// on the newer set when another publication came first.
func (a *app) edit(cmd *cobra.Command, wait bool, change func(set *catalog.Set) ([]catalog.Object, error)) error {
	ctx, cancel := a.context(cmd)
	defer cancel()
	store, err := a.store()
	if err != nil {
		return err
	}
	var before *catalog.Set
	done, err := a.publisher(store).Edit(ctx, a.author, func(current publish.State) (catalog.Delta, error) {
		before = current.Set
		puts, err := change(current.Set)
		return changed(current.Set, puts), err
	})
	return a.published(ctx, before, done, err, wait)
}

// changed drops the objects that stay as they are.
func changed(set *catalog.Set, puts []catalog.Object) catalog.Delta {
	var d catalog.Delta
	for _, o := range puts {
		old, there := set.Object(o.Key)
		if !there || string(old.Spec) != string(o.Spec) {
			d.Puts = append(d.Puts, o)
		}
	}
	return d
}

// setVersion returns the version's object in another state.
func setVersion(set *catalog.Set, name string, state catalog.VersionState) (catalog.Object, error) {
	if _, err := findObject(set, catalog.KindVersion, name); err != nil {
		return catalog.Object{}, err
	}
	v := *set.Versions[catalog.VersionName(name)]
	v.State = state
	return newObject(catalog.KindVersion, name, v)
}

func (a *app) withdrawCommand() *cobra.Command {
	var wait bool
	cmd := &cobra.Command{
		Use:   "withdraw VERSION",
		Short: "Withdraw a version: it receives no new work at all",
		Long: `Withdraw a version: it receives no new work at all, and its sessions end with a
clear refusal. A roll-out to the version that has not ended is aborted in the
same revision.`,
		Args: exactArgs("VERSION"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.edit(cmd, wait, func(set *catalog.Set) ([]catalog.Object, error) {
				return withdraw(set, args[0])
			})
		},
	}
	addWait(cmd, &wait)
	return cmd
}

func withdraw(set *catalog.Set, version string) ([]catalog.Object, error) {
	v, err := setVersion(set, version, catalog.VersionWithdrawn)
	if err != nil {
		return nil, err
	}
	puts := []catalog.Object{v}
	for _, name := range namesOf(set, catalog.KindRollout) {
		r := *set.Rollouts[name]
		if r.To != version || ended(&r) {
			continue
		}
		r.State = catalog.RolloutAborted
		o, err := newObject(catalog.KindRollout, name, r)
		if err != nil {
			return nil, err
		}
		puts = append(puts, o)
	}
	return puts, nil
}

func (a *app) drainCommand() *cobra.Command {
	var wait bool
	cmd := &cobra.Command{
		Use:   "drain VERSION|UPSTREAM",
		Short: "Drain a version (sessions finish, no new ones) or an upstream (no new work)",
		Args:  exactArgs("NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.edit(cmd, wait, func(set *catalog.Set) ([]catalog.Object, error) {
				return setDraining(set, args[0], true)
			})
		},
	}
	addWait(cmd, &wait)
	return cmd
}

func (a *app) activateCommand() *cobra.Command {
	var wait bool
	cmd := &cobra.Command{
		Use:   "activate VERSION|UPSTREAM",
		Short: "Undo withdraw or drain",
		Args:  exactArgs("NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.edit(cmd, wait, func(set *catalog.Set) ([]catalog.Object, error) {
				return setDraining(set, args[0], false)
			})
		},
	}
	addWait(cmd, &wait)
	return cmd
}

// setDraining drains or activates the version or upstream of the name. A
// withdrawn version cannot be drained: that would give it work again.
func setDraining(set *catalog.Set, name string, draining bool) ([]catalog.Object, error) {
	if v, isVersion := set.Versions[catalog.VersionName(name)]; isVersion {
		state := catalog.VersionActive
		if draining {
			state = catalog.VersionDraining
		}
		if draining && v.State == catalog.VersionWithdrawn {
			return nil, result.New(result.BadStage, "version %q is withdrawn; activate it first", name)
		}
		o, err := setVersion(set, name, state)
		return []catalog.Object{o}, err
	}
	u, isUpstream := set.Upstreams[name]
	if !isUpstream {
		near := hint(name, namesOf(set, catalog.KindVersion, catalog.KindUpstream))
		return nil, result.New(result.ObjectNotFound, "no version or upstream is named %q%s", name, near)
	}
	changed := *u
	changed.Leaving = draining
	o, err := newObject(catalog.KindUpstream, name, changed)
	return []catalog.Object{o}, err
}

// rolloutView is one roll-out.
type rolloutView struct {
	Name   string    `json:"name"`
	From   string    `json:"from"`
	To     string    `json:"to"`
	State  string    `json:"state"`
	Stage  int       `json:"stage"`
	Stages []float64 `json:"stages"`
}

// rolloutList is every roll-out in force.
type rolloutList struct {
	Revision uint64        `json:"revision"`
	Rollouts []rolloutView `json:"rollouts"`
}

func (l rolloutList) grid() grid {
	g := grid{header: []string{"NAME", "FROM", "TO", "STATE", "STAGE", "SHARE"}}
	for _, r := range l.Rollouts {
		stage := fmt.Sprintf("%d of %d", r.Stage+1, len(r.Stages))
		share := fmt.Sprintf("%g%%", r.Stages[r.Stage]*100)
		g.rows = append(g.rows, []string{r.Name, r.From, r.To, r.State, stage, share})
	}
	return g
}
