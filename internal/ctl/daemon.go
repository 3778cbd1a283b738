package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/alitto/pond/v2"
	"github.com/spf13/cobra"

	"tarragonbay.example/tarragonbay/internal/adminapi"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/result"
)

// askConcurrency bounds the daemons that are asked at a time.
const askConcurrency = 32

func (a *app) daemon(addr string) (*adminapi.Client, error) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return nil, result.New(result.BadUsage, "a daemon is named by the IP:port of its admin listener, not %q", addr)
	}
	return adminapi.NewClient(addr, a.Getenv(EnvAdminKey)), nil
}

// adminPeers asks daemons for their revision through their admin listeners, so
// that the command line needs no certificate of a daemon.
type adminPeers struct{ a *app }

func (a *app) peers() publish.PeerClient { return adminPeers{a} }

// Pull returns the daemon's name and revision, and no objects.
func (p adminPeers) Pull(ctx context.Context, addr string, _ *linkv1.PullRequest) (*linkv1.PullResponse, error) {
	d, err := p.a.daemon(addr)
	if err != nil {
		return nil, err
	}
	s, err := d.Status(ctx)
	if err != nil {
		return nil, err
	}
	return &linkv1.PullResponse{Envelope: &linkv1.Envelope{Sender: s.Name, Revision: s.Revision}}, nil
}

// daemonStatus is one line of the status.
type daemonStatus struct {
	Address string `json:"address"`
	adminapi.Status
	Error string `json:"error,omitempty"`
}

// statusList is the head and every daemon that was asked.
type statusList struct {
	// Head is the newest published revision; 0 when it was not read.
	Head    uint64         `json:"head"`
	Daemons []daemonStatus `json:"daemons"`
}

func (l statusList) grid() grid {
	g := grid{header: []string{"ADDRESS", "NAME", "ROLE", "DOMAIN", "REVISION", "STATE"}}
	for _, d := range l.Daemons {
		g.rows = append(g.rows, []string{d.Address, d.Name, d.Role, d.Domain, fmt.Sprint(d.Revision), l.state(d)})
	}
	if l.Head > 0 {
		g.rows = append(g.rows, []string{fmt.Sprintf("newest revision: %d", l.Head)})
	}
	return g
}

func (l statusList) state(d daemonStatus) string {
	switch {
	case d.Error != "":
		return d.Error
	case d.Leaving:
		return "leaving"
	case !d.Ready:
		return "not ready: " + d.Reason
	case d.Revision < l.Head:
		return "behind"
	}
	return "ready"
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status --daemon IP:port ...",
		Short: "Show which daemon is on which revision",
		Args:  exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(a.daemons) == 0 {
				return result.New(result.BadUsage, "say which daemons to ask: --daemon IP:port")
			}
			ctx, cancel := a.context(cmd)
			defer cancel()
			list := statusList{Daemons: a.askAll(ctx)}
			if a.platform != "" || a.settings != "" {
				head, err := a.head(ctx)
				if err != nil {
					return err
				}
				list.Head = head
			}
			return a.print(list)
		},
	}
}

func (a *app) head(ctx context.Context) (uint64, error) {
	store, err := a.store()
	if err != nil {
		return 0, err
	}
	head, _, err := store.Head(ctx)
	return head.Revision, err
}

// askAll asks the daemons, a bounded number at a time, and keeps their order.
func (a *app) askAll(ctx context.Context) []daemonStatus {
	out := make([]daemonStatus, len(a.daemons))
	group := pond.NewPool(askConcurrency).NewGroup()
	for i, addr := range a.daemons {
		group.Submit(func() { out[i] = a.ask(ctx, addr) })
	}
	_ = group.Wait() // the tasks return no errors
	return out
}

func (a *app) ask(ctx context.Context, addr string) daemonStatus {
	d, err := a.daemon(addr)
	if err != nil {
		return daemonStatus{Address: addr, Error: result.From(err).Message}
	}
	s, err := d.Status(ctx)
	if err != nil {
		return daemonStatus{Address: addr, Error: result.From(err).Message}
	}
	return daemonStatus{Address: addr, Status: s}
}

// dumpView is the state of a daemon's parts.
type dumpView struct{ adminapi.Dump }

func (d dumpView) grid() grid {
	g := grid{}
	for _, p := range d.Parts {
		text, _ := json.MarshalIndent(p.State, "  ", "  ") // it came as JSON
		g.rows = append(g.rows, []string{p.Part + ":"}, []string{"  " + string(text)})
	}
	return g
}

// withDaemon runs a command on the daemon that its first argument names.
func (a *app) withDaemon(run func(ctx context.Context, d *adminapi.Client, args []string) error) func(*cobra.Command, []string) error {
	return a.within(func(ctx context.Context, args []string) error {
		d, err := a.daemon(args[0])
		if err != nil {
			return err
		}
		return run(ctx, d, args)
	})
}

func (a *app) dumpCommand() *cobra.Command {
	var metrics bool
	cmd := &cobra.Command{
		Use:   "dump IP:port",
		Short: "Show the state of a daemon, part by part",
		Args:  exactArgs("IP:port"),
		RunE: a.withDaemon(func(ctx context.Context, d *adminapi.Client, args []string) error {
			if metrics {
				return d.Metrics(ctx, a.Out)
			}
			dump, err := d.Dump(ctx)
			if err != nil {
				return err
			}
			return a.print(dumpView{dump})
		}),
	}
	cmd.Flags().BoolVar(&metrics, "metrics", false, "print the metrics instead")
	return cmd
}

func (a *app) logLevelCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "loglevel IP:port [LEVEL]",
		Short: "Show or change the log level of a daemon",
		Args:  rangeArgs(1, 2),
		RunE: a.withDaemon(func(ctx context.Context, d *adminapi.Client, args []string) error {
			if len(args) == 2 {
				if err := d.SetLogLevel(ctx, args[1]); err != nil {
					return err
				}
			}
			level, err := d.LogLevel(ctx)
			if err != nil {
				return err
			}
			return a.print(message{Message: level})
		}),
	}
}

func (a *app) stopCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "stop IP:port",
		Short: "Stop a daemon gracefully: no new work, running requests finish",
		Args:  exactArgs("IP:port"),
		RunE: a.withDaemon(func(ctx context.Context, d *adminapi.Client, args []string) error {
			if err := d.Drain(ctx); err != nil {
				return err
			}
			return a.print(message{Message: args[0] + " is stopping"})
		}),
	}
}
