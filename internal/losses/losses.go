// Package losses shows where the worth of a measured day goes: what callers
// were owed and did not get, and what serving them cost.
package losses

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/plot"
)

// Day is one measured day.
type Day struct {
	// Worth is what is left of 1.
	Worth   float64
	Parts   []Part
	Costs   []Cost
	Routes  []Route
	Windows []Window
	// Broken counts the broken rules by name.
	Broken map[string]int
}

// Part is one view of the worth earned, such as that of the whole day.
type Part struct {
	Name string
	// Weight is the part's share of the worth, Earned the share of what was
	// owed that was earned, both from 0 to 1.
	Weight, Earned float64
}

// Cost is a price that is taken off.
type Cost struct {
	Name string
	// Amount is in the unit that the name tells, Worth in parts of 1.
	Amount, Worth float64
}

// Route counts what became of the requests of one kind.
type Route struct {
	Name                                 string
	Asked, OnTime, Late, Refused, Failed int
	// Earned is the share of what was owed that was earned.
	Earned float64
}

// Window is one span of the day.
type Window struct {
	// From is its start in seconds.
	From string
	// Owed counts its requests, Earned the share that was earned.
	Owed   int
	Earned float64
}

// Item is one loss.
type Item struct {
	Cause string
	// Worth that was lost, in parts of 1.
	Worth float64
	// Amount is what a price was paid for; zero for what was not earned.
	Amount float64
}

// leastLoss is the least loss that is listed: a tenth of what two runs of one
// day differ by.
const leastLoss = 0.0005

// Budget returns the losses of a day, largest first.
func Budget(d Day) []Item {
	var items []Item
	for _, p := range d.Parts {
		items = append(items, Item{Cause: "not earned, " + p.Name, Worth: p.Weight * (1 - p.Earned)})
	}
	for _, c := range d.Costs {
		items = append(items, Item{Cause: c.Name, Worth: c.Worth, Amount: c.Amount})
	}
	items = slices.DeleteFunc(items, func(i Item) bool { return i.Worth < leastLoss })
	slices.SortStableFunc(items, func(a, b Item) int { return cmp.Compare(b.Worth, a.Worth) })
	return items
}

// worstWindows is how many of the worst windows are shown, leastOwed how many
// requests make one worth showing.
const (
	worstWindows = 4
	leastOwed    = 20
)

// Worst returns the windows that earned least.
func Worst(d Day) []Window {
	windows := slices.DeleteFunc(slices.Clone(d.Windows), func(w Window) bool { return w.Owed < leastOwed })
	slices.SortStableFunc(windows, func(a, b Window) int { return cmp.Compare(a.Earned, b.Earned) })
	return windows[:min(len(windows), worstWindows)]
}

// Print writes the budget, the routes and the worst windows of a day as tables.
func Print(w io.Writer, name string, d Day) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%s: worth %.3f\nlost\tby\tamount\n", name, d.Worth) // Flush reports what fails
	for _, i := range Budget(d) {
		amount := ""
		if i.Amount != 0 {
			amount = fmt.Sprintf("%.6g", i.Amount)
		}
		_, _ = fmt.Fprintf(t, "%.4f\t%s\t%s\n", i.Worth, i.Cause, amount)
	}
	_, _ = fmt.Fprint(t, "\nroute\tasked\ton time\tlate\trefused\tfailed\tearned\n")
	for _, r := range d.Routes {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\n", r.Name, r.Asked, r.OnTime, r.Late, r.Refused, r.Failed, r.Earned)
	}
	_, _ = fmt.Fprint(t, "\nworst from second\towed\tearned\n")
	for _, x := range Worst(d) {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.3f\n", x.From, x.Owed, x.Earned)
	}
	_, _ = fmt.Fprintln(t)
	return errors.Trace(t.Flush())
}

// mostBars bounds the losses that are drawn; the others are in the table.
const mostBars = 8

// Plot writes the largest losses of a day as an SVG bar chart.
func Plot(w io.Writer, name string, d Day) error {
	items := Budget(d)
	bars := make([]plot.Bar, 0, mostBars)
	for _, i := range items[:min(len(items), mostBars)] {
		bars = append(bars, plot.Bar{Label: i.Cause, Value: i.Worth})
	}
	return errors.Trace(plot.Bars(w, fmt.Sprintf("%s: worth %.3f, lost by", name, d.Worth), bars))
}
