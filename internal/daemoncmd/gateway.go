package daemoncmd

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"tarragonbay.example/tarragonbay/internal/bootclock"
	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/gateway"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/settings"
	"tarragonbay.example/tarragonbay/internal/telemetry"
	"tarragonbay.example/tarragonbay/platform"
)

// gatewayCommand runs the daemon that serves callers on the users' platform.
func gatewayCommand(stdout io.Writer) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Take callers' requests on the users' platform and send them to upstreams",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(platform.SettingsVariable)
			}
			if path == "" {
				return result.New(result.BadUsage, "--settings or %s must name the settings file", platform.SettingsVariable)
			}
			s, err := settings.LoadGateway(path)
			if err != nil {
				return err
			}
			store, metrics := platform.NewStore(s.Store), telemetry.NewMetrics()
			metrics.GaugeFunc("store", "calls", func() int64 { calls, _ := store.Calls(); return calls })
			metrics.GaugeFunc("store", "read_bytes", func() int64 { _, bytes := store.Calls(); return bytes })
			g := gateway.New(gateway.Options{
				Settings:     s,
				SettingsFile: path,
				Protocol:     platform.Protocol{},
				Documents:    platform.Documents{},
				Store:        store,
				Log:          eventlog.New(stdout),
				Metrics:      metrics,
				LimitRuntime: true,
				BootClock:    bootclock.Now,
			})
			return g.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file, JSON with comments; by default the one that the platform names")
	return cmd
}
