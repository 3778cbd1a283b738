package ctl

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/settings"
)

// readSet reads and checks a configuration folder. The error is a
// *publish.CheckError with every fault, or ReadFailed.
func readSet(dir string) (*catalog.Set, error) {
	info, err := os.Stat(dir)
	if err != nil {
		return nil, result.Wrap(err, result.ReadFailed, "the folder cannot be read")
	}
	if !info.IsDir() {
		return nil, result.New(result.ReadFailed, "%s is no folder", dir)
	}
	src, err := catalog.Load(os.DirFS(dir))
	if err != nil {
		return nil, result.Wrap(err, result.ReadFailed, "the folder cannot be read")
	}
	set, faults := src.Check()
	if len(faults) > 0 {
		return nil, &publish.CheckError{Faults: faults}
	}
	return set, nil
}

// kindCounts is how many objects a set has of each kind.
type kindCounts struct {
	Objects int         `json:"objects"`
	Digest  string      `json:"digest"`
	Kinds   []kindCount `json:"kinds"`
}

type kindCount struct {
	Kind  catalog.Kind `json:"kind"`
	Count int          `json:"count"`
}

func (k kindCounts) grid() grid {
	g := grid{header: []string{"KIND", "OBJECTS"}}
	for _, c := range k.Kinds {
		g.rows = append(g.rows, []string{string(c.Kind), fmt.Sprint(c.Count)})
	}
	g.rows = append(g.rows, []string{"total", fmt.Sprint(k.Objects)})
	return g
}

func countKinds(set *catalog.Set) kindCounts {
	count := map[catalog.Kind]int{}
	for _, o := range set.Objects() {
		count[o.Key.Kind]++
	}
	out := kindCounts{Objects: set.Len(), Digest: set.Digest()}
	for _, k := range catalog.Kinds {
		out.Kinds = append(out.Kinds, kindCount{k, count[k]})
	}
	return out
}

func (a *app) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check DIR",
		Short: "Check a configuration folder and report every fault at once",
		Args:  exactArgs("DIR"),
		RunE: func(_ *cobra.Command, args []string) error {
			set, err := readSet(args[0])
			if err != nil {
				return err
			}
			return a.print(countKinds(set))
		},
	}
}

func (a *app) settingsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "Check daemon settings or print an example"}
	cmd.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and report every fault at once",
		Args:  exactArgs("FILE"),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			return a.print(message{Message: fmt.Sprintf("settings of the %s %s are in order", s.Role, s.Name)})
		},
	}, &cobra.Command{
		Use:       "example ROLE",
		Short:     "Print an example with every field, its default and its unit",
		Args:      exactArgs("ROLE"),
		ValidArgs: []string{string(settings.RoleEntry), string(settings.RoleAgent), string(settings.RoleDev)},
		RunE: func(_ *cobra.Command, args []string) error {
			for _, r := range settings.Roles {
				if string(r) == args[0] {
					_, err := a.Out.Write(settings.Example(r))
					return err
				}
			}
			return result.New(result.BadUsage, "a role is entry, agent or dev, not %q", args[0])
		},
	})
	return cmd
}
