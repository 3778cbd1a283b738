package ctl

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/result"
)

// exported is a configuration in the form of one file.
type exported map[catalog.Kind]map[string]json.RawMessage

func (exported) grid() grid { return grid{} }

func export(set *catalog.Set) exported {
	out := exported{}
	for _, o := range set.Objects() {
		if out[o.Key.Kind] == nil {
			out[o.Key.Kind] = map[string]json.RawMessage{}
		}
		out[o.Key.Kind][o.Key.Name] = o.Spec
	}
	return out
}

func (a *app) exportCommand() *cobra.Command {
	var from string
	cmd := &cobra.Command{
		Use:   "export",
		Short: "Print the configuration in force as one file that can be published",
		Long: `Print the configuration in force as one file that can be published: that of
the platform's store, or with --from that of a daemon, which has it in a store
outage as well.`,
		Args: exactArgs(),
		RunE: a.within(func(ctx context.Context, _ []string) error {
			set, revision, err := a.inForce(ctx, from)
			if err != nil {
				return err
			}
			if a.output == outputJSON {
				return a.print(export(set))
			}
			text, err := json.MarshalIndent(export(set), "", "\t")
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(a.Out, "// Revision %d.\n%s\n", revision, text)
			return err
		}),
	}
	cmd.Flags().StringVar(&from, "from", "", "admin address of a daemon, IP:port")
	return cmd
}

// inForce returns the set of the store, or of the daemon at the address.
func (a *app) inForce(ctx context.Context, addr string) (*catalog.Set, uint64, error) {
	if addr == "" {
		state, err := a.current(ctx)
		return state.Set, state.Revision, err
	}
	d, err := a.daemon(addr)
	if err != nil {
		return nil, 0, err
	}
	c, err := d.Config(ctx)
	if err != nil {
		return nil, 0, err
	}
	set, err := c.Set()
	return set, c.Revision, err
}

func (a *app) replaceCommand() *cobra.Command {
	var wait bool
	cmd := &cobra.Command{
		Use:   "replace DIR --daemon IP:port ...",
		Short: "Start a new history of revisions in a store that was lost",
		Long: `Start a new history of revisions, with the folder as its first, above every
revision that the store and the daemons know. It is for a store that was lost,
or that holds revisions which the daemons refuse (TB6008); name every daemon, so
that none of them knows a higher revision. For all else use publish.`,
		Args: exactArgs("DIR"),
		RunE: a.within(func(ctx context.Context, args []string) error {
			want, err := readSet(args[0])
			if err != nil {
				return err
			}
			floor, err := a.floor(ctx)
			if err != nil {
				return err
			}
			store, err := a.store()
			if err != nil {
				return err
			}
			state, err := a.publisher(store).Replace(ctx, publish.State{Set: want}, floor, a.author)
			if err != nil {
				return err
			}
			if wait {
				if err := a.waitInForce(ctx, state.Revision); err != nil {
					return err
				}
			}
			text := fmt.Sprintf("revision %d begins a new history with %d objects", state.Revision, want.Len())
			return a.print(message{Message: text, Revision: state.Revision})
		}),
	}
	addWait(cmd, &wait)
	return cmd
}

// floor is the highest revision at the daemons. All of them must answer: one
// that does not may know a higher revision and would refuse the new history.
func (a *app) floor(ctx context.Context) (uint64, error) {
	if len(a.daemons) == 0 {
		return 0, result.New(result.BadUsage, "name every daemon with --daemon IP:port")
	}
	var highest uint64
	for _, d := range publish.Revisions(ctx, a.peers(), a.daemons) {
		if d.Err != nil {
			return 0, d.Err
		}
		highest = max(highest, d.Revision)
	}
	return highest, nil
}
