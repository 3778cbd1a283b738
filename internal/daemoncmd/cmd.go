// Package daemoncmd is the command line of tarragonbayd.
package daemoncmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"tarragonbay.example/tarragonbay/examples"
	"tarragonbay.example/tarragonbay/internal/daemon"
	"tarragonbay.example/tarragonbay/internal/dev"
	"tarragonbay.example/tarragonbay/internal/gctune"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadUsage = 2
)

// Main runs the command line and returns the exit code: 0 after a graceful
// stop, 1 when something failed or was cut, 2 for a bad command line or bad
// settings.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd := root(stdout, stderr)
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	err := cmd.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, err)
	switch result.From(err).Code {
	case result.BadSettings, result.BadUsage, result.BadTLS, result.CheckFailed, result.ReadFailed:
		return exitBadUsage
	}
	return exitFailed
}

func root(stdout, stderr io.Writer) *cobra.Command {
	cmd := &cobra.Command{
		Use:           "tarragonbayd",
		Short:         "Run a daemon of tarragonbay",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return result.New(result.BadUsage, "a role is needed: entry, agent, gateway or dev; see tarragonbayd --help")
		},
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return result.Wrap(err, result.BadUsage, "bad flag")
	})
	cmd.AddCommand(
		roleCommand(settings.RoleEntry, "Take callers' requests and choose upstreams", daemon.NewEntry, stdout, stderr),
		roleCommand(settings.RoleAgent, "Stand beside the upstreams of one host", daemon.NewAgent, stdout, stderr),
		devCommand(stdout, stderr),
		gatewayCommand(stdout),
		gatewayDevCommand(stdout, stderr),
		settingsCommand(stdout),
	)
	return cmd
}

// readyLine is printed on standard output once the daemon listens.
type readyLine struct {
	Ready bool   `json:"ready"`
	Role  string `json:"role"`
	Name  string `json:"name"`
	daemon.Addresses
}

func roleCommand(role settings.Role, short string, compose func(daemon.Options) (*daemon.Daemon, error),
	stdout, stderr io.Writer) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   string(role) + " --settings FILE",
		Short: short,
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				return result.New(result.BadUsage, "--settings is needed; tarragonbayd settings --example %s prints one", role)
			}
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			if s.Role != role {
				return result.New(result.BadSettings, "the settings are for role %q, not %q", s.Role, role)
			}
			d, err := compose(daemon.Options{Settings: s, LogTo: stderr})
			if err != nil {
				return err
			}
			gctune.SetLimit(d.RuntimeLimit())
			line, err := json.Marshal(readyLine{Ready: true, Role: string(role), Name: s.Name, Addresses: d.Addresses()})
			if err != nil {
				return err
			}
			fmt.Fprintln(stdout, string(line))
			return d.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file, JSON with comments")
	return cmd
}

func noArgs(cmd *cobra.Command, args []string) error {
	if err := cobra.NoArgs(cmd, args); err != nil {
		return result.Wrap(err, result.BadUsage, "bad command line")
	}
	return nil
}

func devCommand(stdout, stderr io.Writer) *cobra.Command {
	var listen, config, level string
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run all roles with stand-ins on loopback",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fsys, err := configFolder(config)
			if err != nil {
				return err
			}
			d, err := dev.New(cmd.Context(), dev.Options{Config: fsys, Listen: listen, LogTo: stderr, LogLevel: level})
			if err != nil {
				return err
			}
			return d.Run(cmd.Context(), func(r dev.Ready) { fmt.Fprintln(stdout, r.Line()) })
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "callers' address on loopback, IP:port; port 0 picks a free one")
	cmd.Flags().StringVar(&config, "config", "examples/"+examples.Default, "configuration folder; examples/kusinang and examples/lemnotrat are built in")
	cmd.Flags().StringVar(&level, "log-level", "warn", "debug, info, warn or error")
	return cmd
}

// configFolder opens a folder of the disk, or an example of that name that is
// built in.
func configFolder(path string) (fs.FS, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		return os.DirFS(path), nil
	}
	fsys, err := examples.Config(filepath.Base(path))
	if err != nil {
		return nil, result.Wrap(err, result.ReadFailed, "there is no configuration folder %q", path)
	}
	return fsys, nil
}

func settingsCommand(stdout io.Writer) *cobra.Command {
	var example string
	cmd := &cobra.Command{
		Use:   "settings --example ROLE",
		Short: "Print documented example settings",
		Args:  noArgs,
		RunE: func(*cobra.Command, []string) error {
			role := settings.Role(example)
			if role != settings.RoleEntry && role != settings.RoleAgent {
				return result.New(result.BadUsage, "--example takes entry or agent, not %q", example)
			}
			_, err := stdout.Write(settings.Example(role))
			return err
		},
	}
	cmd.Flags().StringVar(&example, "example", "entry", "role: entry or agent")
	cmd.Flags().Lookup("example").NoOptDefVal = "entry"
	return cmd
}
