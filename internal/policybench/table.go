// Package policybench compares the decision policies with plain baselines on
// small seeded models under a virtual clock. The same seed gives the same
// figures.
package policybench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Row is the figures of one policy under one load.
type Row struct {
	// Bench names the group of rows that share the same loads.
	Bench  string `json:"bench"`
	Load   string `json:"load"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`

	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// CostPerAnswer is in millionths of the accounting unit.
	CostPerAnswer float64 `json:"costPerAnswerMicros"`
	// AtQuality is the share of answers that were good, 0 to 1.
	AtQuality float64 `json:"atQuality"`
	// P50, P95 and P99 are latencies over answered requests.
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
	// DeadlineMisses counts answers later than their deadline.
	DeadlineMisses int `json:"deadlineMisses"`
	// Exposed counts requests that a bad version answered.
	Exposed int `json:"exposed"`
	// FalseWithdrawals counts good versions that were withdrawn.
	FalseWithdrawals int `json:"falseWithdrawals"`
	// Goodput is answers within their deadline per second of virtual time.
	Goodput float64 `json:"goodput"`
	// GoodTokens is the output tokens of those answers per second.
	GoodTokens float64 `json:"goodTokens"`
	// Fairness is the least share of its fair share that an organisation
	// got, 0 to 1.
	Fairness float64 `json:"fairness"`
}

// Print writes the rows as an aligned table.
func Print(w io.Writer, rows []Row) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "bench\tload\tpolicy\trequests\tanswered\tcost/answer\tat quality\tp50 ms\tp95 ms\tp99 ms\tmisses\texposed\tfalse wd\tgoodput\tfairness\t")
	for _, r := range rows {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%.1f\t%s\t\n",
			r.Bench, r.Load, r.Policy, r.Requests, r.Answered, cost(r), quality(r),
			millis(r.P50), millis(r.P95), millis(r.P99),
			r.DeadlineMisses, r.Exposed, r.FalseWithdrawals, r.Goodput, share(r.Fairness))
	}
	return tw.Flush()
}

// cost and quality print "-" for a bench that has no cost, and so no choice of
// version.
func cost(r Row) string {
	if r.CostPerAnswer == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", r.CostPerAnswer)
}

func quality(r Row) string {
	if r.CostPerAnswer == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4f", r.AtQuality)
}

// share prints a share; "-" for one that the bench does not measure.
func share(v float64) string {
	if v == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", v)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
