package ctl

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/result"
)

// change is one object that a publication changes.
type change struct {
	Action string `json:"action"`
	Object string `json:"object"`
}

// changes is what a publication changes.
type changes struct {
	// Revision that was made, or that is in force when none was.
	Revision uint64   `json:"revision"`
	Changes  []change `json:"changes"`
	// Note is one sentence for the reader.
	Note string `json:"note"`
}

func (c changes) grid() grid {
	g := grid{}
	for _, x := range c.Changes {
		g.rows = append(g.rows, []string{x.Action, x.Object})
	}
	g.rows = append(g.rows, []string{c.Note})
	return g
}

// The actions of a change.
const (
	actionAdd    = "add"
	actionChange = "change"
	actionDelete = "delete"
)

// describe lists what a delta changes in a set.
func describe(before *catalog.Set, d catalog.Delta) []change {
	out := []change{}
	for _, o := range d.Puts {
		action := actionChange
		if _, there := before.Object(o.Key); !there {
			action = actionAdd
		}
		out = append(out, change{action, o.Key.String()})
	}
	for _, k := range d.Deletes {
		out = append(out, change{actionDelete, k.String()})
	}
	return out
}

// base reads the state that a folder is held against: the expected revision,
// or the head. Before the first publication it is empty.
func base(ctx context.Context, store publish.Store, expect uint64) (publish.State, error) {
	head, found, err := store.Head(ctx)
	if err != nil {
		return publish.State{}, err
	}
	if !found {
		return emptyBase(expect)
	}
	if expect > head.Revision {
		return publish.State{}, result.New(result.RevisionBehind, "revision %d does not exist; the newest is %d", expect, head.Revision)
	}
	if expect != 0 && expect != head.Revision {
		return store.At(ctx, head, expect)
	}
	state, _, err := store.Load(ctx, head)
	return state, err
}

func emptyBase(expect uint64) (publish.State, error) {
	if expect != 0 {
		return publish.State{}, result.New(result.RevisionBehind, "revision %d does not exist; nothing has been published yet", expect)
	}
	set, err := catalog.NewSet(nil)
	return publish.State{Set: set}, err
}

// proposal is a folder beside the published set that it would replace.
type proposal struct {
	store publish.Store
	from  publish.State
	want  *catalog.Set
}

// readProposal reads a folder and the revision it was made from; 0 is the
// newest. What operators set by command stays as it is.
func (a *app) readProposal(ctx context.Context, dir string, expect uint64) (p proposal, err error) {
	if p.want, err = readSet(dir); err != nil {
		return p, err
	}
	if p.store, err = a.store(); err != nil {
		return p, err
	}
	if p.from, err = base(ctx, p.store, expect); err != nil {
		return p, err
	}
	p.want, err = keepOperations(p.from.Set, p.want)
	return p, err
}

func (a *app) diffCommand() *cobra.Command {
	var exitCode bool
	cmd := &cobra.Command{
		Use:   "diff DIR",
		Short: "Show what publishing a folder would change",
		Args:  exactArgs("DIR"),
		RunE: a.within(func(ctx context.Context, args []string) error {
			p, err := a.readProposal(ctx, args[0], 0)
			if err != nil {
				return err
			}
			list := describe(p.from.Set, catalog.Diff(p.from.Set, p.want))
			note := fmt.Sprintf("%d objects differ from revision %d", len(list), p.from.Revision)
			if err := a.print(changes{p.from.Revision, list, note}); err != nil {
				return err
			}
			if exitCode && len(list) > 0 {
				return errDiffers
			}
			return nil
		}),
	}
	cmd.Flags().BoolVar(&exitCode, "exit-code", false, fmt.Sprintf("exit with %d when there are differences", ExitDiffers))
	return cmd
}

func (a *app) publishCommand() *cobra.Command {
	var expect uint64
	var wait bool
	cmd := &cobra.Command{
		Use:   "publish DIR",
		Short: "Check a folder as a whole and bring it into force",
		Long: `Check a folder as a whole and bring it into force as the next revision.

With --expect, what others published since that revision is kept, and a
publication that changes the same objects is refused with their names.
States that operators set by command (withdraw, drain, rollout) stay as they
are unless the folder writes the field.`,
		Args: exactArgs("DIR"),
		RunE: a.within(func(ctx context.Context, args []string) error {
			p, err := a.readProposal(ctx, args[0], expect)
			if err != nil {
				return err
			}
			done, err := a.publisher(p.store).Publish(ctx, publish.Change{Author: a.author, Base: p.from.Revision, Want: p.want})
			return a.published(ctx, p.from.Set, done, err, wait)
		}),
	}
	cmd.Flags().Uint64Var(&expect, "expect", 0, "the revision that the folder was made from; 0 is the newest")
	addWait(cmd, &wait)
	return cmd
}

func addWait(cmd *cobra.Command, wait *bool) {
	cmd.Flags().BoolVar(wait, "wait", false, "wait until the revision is in force at each --daemon")
}

func (a *app) publisher(store publish.Store) *publish.Publisher {
	options := publish.PublisherOptions{Now: a.Now}
	if len(a.daemons) > 0 {
		options.Floor = func(ctx context.Context) (uint64, error) {
			return publish.Highest(ctx, a.peers(), a.daemons), nil
		}
	}
	return publish.NewPublisher(store, options)
}

// published prints a publication and waits for the daemons when asked to.
func (a *app) published(ctx context.Context, before *catalog.Set, done publish.Published, err error, wait bool) error {
	if err != nil {
		return err
	}
	list := describe(before, done.Delta)
	note := fmt.Sprintf("revision %d is published", done.State.Revision)
	if len(list) == 0 {
		note = fmt.Sprintf("revision %d is in force already; nothing changed", done.State.Revision)
	}
	if wait {
		if err := a.waitInForce(ctx, done.State.Revision); err != nil {
			return err
		}
		note += fmt.Sprintf(" and in force at %d daemons", len(a.daemons))
	}
	return a.print(changes{done.State.Revision, list, note})
}

func (a *app) waitInForce(ctx context.Context, revision uint64) error {
	if len(a.daemons) == 0 {
		return result.New(result.BadUsage, "--wait needs the daemons to wait for: --daemon IP:port")
	}
	return publish.WaitInForce(ctx, a.peers(), a.daemons, revision)
}

// getCommand prints objects as they are in force.
func (a *app) getCommand() *cobra.Command {
	return &cobra.Command{
		Use:       "get KIND [NAME]",
		Short:     "Show published objects: one, or the names of a kind",
		Args:      rangeArgs(1, 2),
		ValidArgs: kindNames(),
		RunE: a.within(func(ctx context.Context, args []string) error {
			kind, err := parseKind(args[0])
			if err != nil {
				return err
			}
			state, err := a.current(ctx)
			if err != nil {
				return err
			}
			if len(args) == 1 {
				return a.print(listKind(state, kind))
			}
			o, err := findObject(state.Set, kind, args[1])
			if err != nil {
				return err
			}
			return a.print(objectView{Revision: state.Revision, Kind: kind, Name: args[1], Spec: o.Spec})
		}),
	}
}

// parseKind takes the plural and the singular.
func parseKind(word string) (catalog.Kind, error) {
	for _, k := range catalog.Kinds {
		if word == string(k) || word == strings.TrimSuffix(string(k), "s") {
			return k, nil
		}
	}
	return "", result.New(result.BadUsage, "%q is no kind%s; the kinds are %s", word, hint(word, kindNames()), strings.Join(kindNames(), ", "))
}

func kindNames() []string {
	out := make([]string, len(catalog.Kinds))
	for i, k := range catalog.Kinds {
		out[i] = string(k)
	}
	return out
}

// hint suggests a name that may have been meant.
func hint(name string, candidates []string) string {
	if near := catalog.Nearest(name, candidates); near != "" {
		return fmt.Sprintf(" (did you mean %q?)", near)
	}
	return ""
}

func namesOf(set *catalog.Set, kinds ...catalog.Kind) []string {
	var out []string
	for _, o := range set.Objects() {
		for _, k := range kinds {
			if o.Key.Kind == k {
				out = append(out, o.Key.Name)
			}
		}
	}
	return out
}

func findObject(set *catalog.Set, kind catalog.Kind, name string) (catalog.Object, error) {
	o, found := set.Object(catalog.Key{Kind: kind, Name: name})
	if !found {
		return o, result.New(result.ObjectNotFound, "%s/%s is not published%s", kind, name, hint(name, namesOf(set, kind)))
	}
	return o, nil
}
