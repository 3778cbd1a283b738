package ctl

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"tarragonbay.example/tarragonbay/internal/policybench"
	"tarragonbay.example/tarragonbay/internal/policybench/host"
	"tarragonbay.example/tarragonbay/internal/policybench/news"
	"tarragonbay.example/tarragonbay/internal/policybench/version"
	"tarragonbay.example/tarragonbay/internal/result"
)

// policyBench compares one kind of decision with plain baselines.
type policyBench struct {
	name string
	run  func(seed uint64, quick bool) ([]policybench.Row, error)
}

var policyBenches = []policyBench{
	{"version", version.Run},
	{"host", host.Run},
	{"news", news.Run},
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
	cmd.AddCommand(policy, a.lossesCommand(), a.roundsCommand(), a.compareCommand())
	return cmd
}

func writeReport(path string, rows []policybench.Row) error {
	return writePage(path, func(w io.Writer) error { return policybench.WriteReport(w, rows) })
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
