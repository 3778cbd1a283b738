// Package compare holds two revisions against each other by the worth of the same measured
// days, played with the same seeds.
package compare

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/losses"
	"tarragonbay.example/tarragonbay/internal/plot"
)

// Pair is one day of one deployment, played by both revisions with the same seed.
type Pair struct {
	Site, Day string
	Seed      uint64
	// Old and New are the days as the older and the newer revision played them.
	Old, New losses.Day
}

// Row is the comparison of one day of a deployment over its seeds, or of all its days.
type Row struct {
	Site string `json:"site"`
	// Day is empty for the mean of the deployment's days.
	Day   string `json:"day,omitempty"`
	Plays int    `json:"plays"`
	// Old and New are mean worths, Difference is the mean of the paired differences and
	// Spread their standard deviation; zero for a single pair.
	Old        float64 `json:"old"`
	New        float64 `json:"new"`
	Difference float64 `json:"difference"`
	Spread     float64 `json:"spread"`
	// OldBroken and NewBroken count the broken rules by name.
	OldBroken map[string]int `json:"oldBroken,omitempty"`
	NewBroken map[string]int `json:"newBroken,omitempty"`
}

// CostRow is a price of a deployment, as the mean over all of its plays in parts of 1.
type CostRow struct {
	Site string  `json:"site"`
	Name string  `json:"name"`
	Old  float64 `json:"old"`
	New  float64 `json:"new"`
}

// Result is a whole comparison.
type Result struct {
	Rows  []Row     `json:"days"`
	Costs []CostRow `json:"costs"`
}

// Summarize sums pairs up, by deployment and day in the order in which they first come.
func Summarize(pairs []Pair) Result {
	var out Result
	for _, site := range group(pairs, func(p Pair) string { return p.Site }) {
		for _, day := range group(site, func(p Pair) string { return p.Day }) {
			out.Rows = append(out.Rows, summarize(day[0].Site, day[0].Day, day))
		}
		out.Rows = append(out.Rows, summarize(site[0].Site, "", site))
		out.Costs = append(out.Costs, costs(site)...)
	}
	return out
}

func group(pairs []Pair, key func(Pair) string) (out [][]Pair) {
	index := map[string]int{}
	for _, p := range pairs {
		i, ok := index[key(p)]
		if !ok {
			i = len(out)
			index[key(p)], out = i, append(out, nil)
		}
		out[i] = append(out[i], p)
	}
	return out
}

func summarize(site, day string, pairs []Pair) Row {
	r := Row{Site: site, Day: day, Plays: len(pairs), OldBroken: map[string]int{}, NewBroken: map[string]int{}}
	n := float64(len(pairs))
	for _, p := range pairs {
		r.Old += p.Old.Worth / n
		r.New += p.New.Worth / n
		for rule, times := range p.Old.Broken {
			r.OldBroken[rule] += times
		}
		for rule, times := range p.New.Broken {
			r.NewBroken[rule] += times
		}
	}
	r.Difference = r.New - r.Old
	if len(pairs) > 1 {
		squares := 0.0
		for _, p := range pairs {
			deviation := p.New.Worth - p.Old.Worth - r.Difference
			squares += deviation * deviation
		}
		r.Spread = math.Sqrt(squares / (n - 1))
	}
	return r
}

// minCost is the least price that is listed, in parts of 1.
const minCost = 0.0005

// costs returns the prices of a deployment, the largest first.
func costs(pairs []Pair) (out []CostRow) {
	index := map[string]int{}
	at := func(name string) *CostRow {
		i, ok := index[name]
		if !ok {
			i = len(out)
			index[name], out = i, append(out, CostRow{Site: pairs[0].Site, Name: name})
		}
		return &out[i]
	}
	n := float64(len(pairs))
	for _, p := range pairs {
		for _, c := range p.Old.Costs {
			at(c.Name).Old += c.Worth / n
		}
		for _, c := range p.New.Costs {
			at(c.Name).New += c.Worth / n
		}
	}
	out = slices.DeleteFunc(out, func(c CostRow) bool { return max(c.Old, c.New) < minCost })
	slices.SortStableFunc(out, func(a, b CostRow) int { return cmp.Compare(max(b.Old, b.New), max(a.Old, a.New)) })
	return out
}

// Print writes the comparison as text.
func Print(w io.Writer, r Result) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "deployment\tday\tplays\told\tnew\tdifference\tspread\tbroken by old\tbroken by new")
	for _, row := range r.Rows {
		day := row.Day
		if day == "" {
			day = "all"
		}
		fmt.Fprintf(tab, "%s\t%s\t%d\t%.3f\t%.3f\t%+.3f\t%.3f\t%s\t%s\n", row.Site, day, row.Plays, row.Old, row.New,
			row.Difference, row.Spread, rules(row.OldBroken), rules(row.NewBroken))
	}
	fmt.Fprintln(tab, "\t\t\t\t\t\t\t\t")
	fmt.Fprintln(tab, "deployment\tprice\t\told\tnew\tdifference\t\t\t")
	for _, c := range r.Costs {
		fmt.Fprintf(tab, "%s\t%s\t\t%.4f\t%.4f\t%+.4f\t\t\t\n", c.Site, c.Name, c.Old, c.New, c.New-c.Old)
	}
	return errors.Annotate(tab.Flush(), "print a comparison")
}

// rules lists broken rules in order of name.
func rules(broken map[string]int) string {
	out := ""
	for _, name := range slices.Sorted(maps.Keys(broken)) {
		out += fmt.Sprintf("%s %d ", name, broken[name])
	}
	return out
}

// Plot draws the worth of each day by both revisions.
func Plot(w io.Writer, r Result) error {
	older, newer := plot.Line{Name: "old"}, plot.Line{Name: "new"}
	least, most := 1.0, 0.0
	for _, row := range r.Rows {
		if row.Day == "" {
			continue
		}
		older.Values, newer.Values = append(older.Values, row.Old), append(newer.Values, row.New)
		least, most = min(least, row.Old, row.New), max(most, row.Old, row.New)
	}
	return plot.Lines(w, "worth by day", least, most, []plot.Line{older, newer})
}
