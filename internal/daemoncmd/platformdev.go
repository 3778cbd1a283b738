package daemoncmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"tarragonbay.example/tarragonbay/internal/bootclock"
	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/gateway"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/settings"
	"tarragonbay.example/tarragonbay/internal/telemetry"
	"tarragonbay.example/tarragonbay/platform"
	"tarragonbay.example/tarragonbay/platform/standin"
)

// devOptions are the flags of gateway-dev.
type devOptions struct {
	gateways, engines int
	rate              float64
	during            time.Duration
}

// gatewayDevCommand runs gateways with stand-ins of the users' platform.
func gatewayDevCommand(stdout, stderr io.Writer) *cobra.Command {
	var o devOptions
	cmd := &cobra.Command{
		Use:   "gateway-dev",
		Short: "Run gateways with stand-ins of the users' platform on loopback, and a load on request",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.gateways < 1 || o.engines < 1 || o.rate < 0 || o.during <= 0 {
				return result.New(result.BadUsage, "--gateways and --engines must be at least 1, --rate at least 0 and --for above 0")
			}
			return gatewayDev(cmd.Context(), o, stdout, stderr)
		},
	}
	cmd.Flags().IntVar(&o.gateways, "gateways", 2, "gateways to run")
	cmd.Flags().IntVar(&o.engines, "engines", 4, "stand-ins of model engines to run")
	cmd.Flags().Float64Var(&o.rate, "rate", 0, "requests a second to send, 0 for none; the command ends after the load")
	cmd.Flags().DurationVar(&o.during, "for", 10*time.Second, "how long to send")
	return cmd
}

// gatewayDev writes one line of JSON with the addresses, then the report of the
// load; the gateways' logs go to stderr.
func gatewayDev(ctx context.Context, o devOptions, stdout, stderr io.Writer) error {
	site, err := standin.StartSite(o.engines)
	if err != nil {
		return errors.Annotate(err, "start the stand-ins")
	}
	defer site.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	var listen []string
	for i := range o.gateways {
		s, err := devSettings(i, site.StoreAddress())
		if err != nil {
			return err
		}
		g := gateway.New(gateway.Options{
			Settings: s, Protocol: platform.Protocol{}, Documents: platform.Documents{},
			Store: platform.NewStore(s.Store), Log: eventlog.New(stderr), Metrics: telemetry.NewMetrics(),
			BootClock: bootclock.Now,
		})
		listen = append(listen, s.Listen)
		group.Go(func() error { return g.Run(ctx) })
	}
	line, err := json.Marshal(map[string]any{
		"gateways": listen, "host": standin.SiteHost, "key": standin.SiteKey,
		"paths": []string{standin.SiteChat, standin.SiteDesk},
	})
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintln(stdout, string(line))
	if o.rate > 0 {
		time.Sleep(startTime)
		fmt.Fprintln(stdout, standin.Load(ctx, listen, o.rate, o.during))
		stop()
	}
	return errors.Trace(group.Wait())
}

// startTime is how long gateways get to read the configuration before a load.
const startTime = 500 * time.Millisecond

// devSettings are the settings of a gateway on loopback, with the bounds of
// the users' sheets.
func devSettings(i int, storeAddress string) (settings.Gateway, error) {
	s := settings.Gateway{
		Name: fmt.Sprintf("gateway-%d", i+1), Domain: fmt.Sprintf("zone-%d", i%3+1), Store: storeAddress, MemoryMB: 134,
		Grace: 8 * time.Second, RevokeWithin: 5 * time.Second, DrainWithin: 2 * time.Second, ConfigWithin: 2 * time.Second,
		RepeatRatio: 0.9, RepeatSlack: 58, RepeatWindow: 10 * time.Second, ExposeShare: 0.15,
	}
	for _, a := range []*string{&s.Listen, &s.ReadyListen, &s.AdminListen, &s.PeerListen} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return s, errors.Annotate(err, "find a free port")
		}
		*a = ln.Addr().String()
		_ = ln.Close() // the gateway opens it again
	}
	return s, nil
}
