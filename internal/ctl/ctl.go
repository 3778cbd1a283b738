// Package ctl is the command line for operators. Commands read and publish
// configuration objects through the platform's services, and ask daemons
// through their admin listeners; they never reach an upstream.
package ctl

import (
	"context"
	"io"
	"time"

	"github.com/spf13/cobra"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/client"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/settings"
)

// Names of the environment variables that the commands read.
const (
	// EnvPlatform is the platform's URL when no flag names it.
	EnvPlatform = "TARRAGONBAY_PLATFORM"
	// EnvAdminKey is the admin key. It is no flag, since other users of a
	// machine can read flags.
	EnvAdminKey = "TARRAGONBAY_ADMIN_KEY"
	// EnvCallerKey is the caller key of the load command.
	EnvCallerKey = "TARRAGONBAY_KEY"
)

// Env is what a run of the command line meets.
type Env struct {
	In     io.Reader
	Out    io.Writer
	Err    io.Writer
	Getenv func(string) string
	Now    func() time.Time
}

// app holds the flags that all commands share.
type app struct {
	Env
	output   string
	platform string
	settings string
	author   string
	daemons  []string
	timeout  time.Duration
}

// defaultTimeout bounds a command that asks the platform or daemons.
const defaultTimeout = 10 * time.Second

// New returns the root command.
func New(env Env) *cobra.Command {
	a := &app{Env: env}
	root := &cobra.Command{
		Use:           "tarragonctl",
		Short:         "Check, publish and watch a tarragonbay configuration",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			return a.checkFlags()
		},
	}
	root.SetIn(env.In)
	root.SetOut(env.Out)
	root.SetErr(env.Err)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return result.New(result.BadUsage, "%v", err)
	})
	flags := root.PersistentFlags()
	flags.StringVarP(&a.output, "output", "o", outputTable, "table or json")
	flags.StringVar(&a.platform, "platform", env.Getenv(EnvPlatform), "the platform as http://IP:port; also $"+EnvPlatform)
	flags.StringVar(&a.settings, "settings", "", "a daemon's settings file that names the platform's services")
	flags.StringVar(&a.author, "author", env.Getenv("USER"), "who is named as the author of a publication")
	flags.StringSliceVar(&a.daemons, "daemon", nil, "admin address of a daemon, IP:port; may be repeated")
	flags.DurationVar(&a.timeout, "timeout", defaultTimeout, "time for the whole command")
	root.AddCommand(
		a.checkCommand(), a.diffCommand(), a.publishCommand(), a.getCommand(), a.exportCommand(), a.replaceCommand(),
		a.withdrawCommand(), a.drainCommand(), a.activateCommand(), a.rolloutCommand(),
		a.statusCommand(), a.explainCommand(), a.ledgerCommand(), a.dumpCommand(), a.logLevelCommand(), a.stopCommand(),
		a.codesCommand(), a.keysCommand(), a.settingsCommand(), a.loadCommand(), a.benchCommand(), a.soakCommand(),
	)
	return root
}

func (a *app) checkFlags() error {
	if a.output != outputTable && a.output != outputJSON {
		return result.New(result.BadUsage, "--output must be table or json, not %q", a.output)
	}
	if a.timeout <= 0 {
		return result.New(result.BadUsage, "--timeout must be greater than 0")
	}
	return nil
}

// exactArgs refuses another number of arguments with a numbered error.
func exactArgs(names ...string) cobra.PositionalArgs {
	return rangeArgs(len(names), len(names))
}

func rangeArgs(least, most int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) < least || len(args) > most {
			return result.New(result.BadUsage, "usage: %s", cmd.UseLine())
		}
		return nil
	}
}

// context returns the context of a command that waits for others.
func (a *app) context(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(cmd.Context(), a.timeout)
}

// within runs a command in the time that --timeout allows.
func (a *app) within(run func(ctx context.Context, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		ctx, cancel := a.context(cmd)
		defer cancel()
		return run(ctx, args)
	}
}

// store opens the clients of the platform's services.
func (a *app) store() (publish.Store, error) {
	table, objects, err := a.services()
	return publish.Store{Table: table, Objects: objects}, err
}

func (a *app) services() (ports.Table, ports.Objects, error) {
	if a.settings != "" {
		s, err := settings.Load(a.settings)
		if err != nil {
			return nil, nil, err
		}
		table := client.New(client.Options{BaseURL: s.Platform.Table})
		objects := client.New(client.Options{BaseURL: s.Platform.Objects})
		return table.Table, objects.Objects, nil
	}
	if a.platform == "" {
		return nil, nil, result.New(result.BadUsage, "say where the platform is: --platform, --settings or $%s", EnvPlatform)
	}
	c := client.New(client.Options{BaseURL: a.platform})
	return c.Table, c.Objects, nil
}

// current reads the configuration in force.
func (a *app) current(ctx context.Context) (publish.State, error) {
	store, err := a.store()
	if err != nil {
		return publish.State{}, err
	}
	head, found, err := store.Head(ctx)
	if err != nil {
		return publish.State{}, err
	}
	if !found {
		return publish.State{}, result.New(result.NoConfiguration, "no configuration has been published yet")
	}
	state, _, err := store.Load(ctx, head)
	return state, err
}
