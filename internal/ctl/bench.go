package ctl

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"tarragonbay.example/tarragonbay/internal/losses"
	"tarragonbay.example/tarragonbay/internal/policybench"
	"tarragonbay.example/tarragonbay/internal/policybench/host"
	"tarragonbay.example/tarragonbay/internal/policybench/version"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/platform/report"
)

// policyBench compares one kind of decision with plain baselines.
type policyBench struct {
	name string
	run  func(seed uint64, quick bool) ([]policybench.Row, error)
}

var policyBenches = []policyBench{
	{"version", version.Run},
	{"host", host.Run},
}

func (a *app) benchCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "bench", Short: "Measure decisions on seeded models"}
	var seed uint64
	var quick bool
	var page string
	policy := &cobra.Command{
		Use:   "policy [NAME]",
		Short: "Compare each policy with plain baselines; the same seed gives the same figures",
		Args:  rangeArgs(0, 1),
		RunE: func(_ *cobra.Command, args []string) error {
			rows, err := runBenches(args, seed, quick)
			if err != nil {
				return err
			}
			if page != "" {
				if err := writeReport(page, rows); err != nil {
					return err
				}
			}
			if a.output == outputJSON {
				return a.print(benchRows(rows))
			}
			return policybench.Print(a.Out, rows)
		},
	}
	policy.Flags().Uint64Var(&seed, "seed", 1, "seed of the models")
	policy.Flags().BoolVar(&quick, "quick", false, "run shorter loads")
	policy.Flags().StringVar(&page, "report", "", "also write an HTML page with plots to this file")
	spent := &cobra.Command{
		Use:   "losses REPORT...",
		Short: "Show where the worth of days went that were played on the users' bench",
		Args:  rangeArgs(1, maxReports),
		RunE:  func(_ *cobra.Command, args []string) error { return a.printLosses(args) },
	}
	cmd.AddCommand(policy, spent)
	return cmd
}

// maxReports bounds the reports that one command prints.
const maxReports = 100

func (a *app) printLosses(paths []string) error {
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return result.Wrap(err, result.ReadFailed, "the report cannot be read")
		}
		day, err := report.Read(text)
		if err != nil {
			return err
		}
		if err := losses.Print(a.Out, filepath.Base(path), day); err != nil {
			return result.Wrap(err, result.ReadFailed, "the losses cannot be printed")
		}
	}
	return nil
}

func writeReport(path string, rows []policybench.Row) error {
	var page bytes.Buffer
	if err := policybench.WriteReport(&page, rows); err != nil {
		return err
	}
	if err := os.WriteFile(path, page.Bytes(), 0o644); err != nil {
		return result.Wrap(err, result.ReadFailed, "the report cannot be written")
	}
	return nil
}

// benchRows is the JSON form of the figures.
type benchRows []policybench.Row

func (benchRows) grid() grid { return grid{} }

func runBenches(args []string, seed uint64, quick bool) ([]policybench.Row, error) {
	var rows []policybench.Row
	found := false
	for _, b := range policyBenches {
		if len(args) == 1 && args[0] != b.name {
			continue
		}
		found = true
		more, err := b.run(seed, quick)
		if err != nil {
			return nil, err
		}
		rows = append(rows, more...)
	}
	if !found {
		return nil, result.New(result.BadUsage, "no policy bench is named %q; there are: %s", args[0], fmt.Sprint(benchNames()))
	}
	return rows, nil
}

func benchNames() []string {
	var out []string
	for _, b := range policyBenches {
		out = append(out, b.name)
	}
	return out
}
