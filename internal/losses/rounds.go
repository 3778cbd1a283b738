package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/plot"
)

// Round is one measured score of a site.
type Round struct {
	At time.Time
	// Site names the installation, Commit the code that was measured; Changed
	// is true when files differed from the commit.
	Site    string
	Commit  string
	Changed bool
	// Score is the mean over the standard days; 1 is the users' mark.
	Score float64
	// Purpose is what the round tried.
	Purpose string
}

// bySite returns the rounds of each site in order of time.
func bySite(rounds []Round) map[string][]Round {
	out := map[string][]Round{}
	for _, r := range rounds {
		out[r.Site] = append(out[r.Site], r)
	}
	for _, of := range out {
		slices.SortStableFunc(of, func(a, b Round) int { return a.At.Compare(b.At) })
	}
	return out
}

// shortCommit is how much of a commit's name is shown, shortPurpose how much of
// a purpose.
const (
	shortCommit  = 8
	shortPurpose = 70
)

// PrintRounds writes the rounds of each site as a table.
func PrintRounds(w io.Writer, rounds []Round) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "site\tat\tcommit\tscore\tpurpose") // Flush reports what fails
	sites := bySite(rounds)
	for _, site := range slices.Sorted(maps.Keys(sites)) {
		for _, r := range sites[site] {
			changed := ""
			if r.Changed {
				changed = "+"
			}
			_, _ = fmt.Fprintf(t, "%s\t%s\t%.*s%s\t%.3f\t%.*s\n", r.Site, r.At.Format(time.DateTime),
				shortCommit, r.Commit, changed, r.Score, shortPurpose, r.Purpose)
		}
	}
	return errors.Trace(t.Flush())
}

// PlotRounds writes the score of each site over its rounds as an SVG chart.
// Sites with fewer than two rounds are left out.
func PlotRounds(w io.Writer, rounds []Round) error {
	var lines []plot.Line
	most := 1.0
	for site, of := range bySite(rounds) {
		if len(of) < 2 {
			continue
		}
		line := plot.Line{Name: site}
		for _, r := range of {
			line.Values = append(line.Values, r.Score)
			most = max(most, r.Score)
		}
		lines = append(lines, line)
	}
	slices.SortFunc(lines, func(a, b plot.Line) int { return cmp.Compare(a.Name, b.Name) })
	if len(lines) == 0 {
		return errors.New("no site has two rounds to draw")
	}
	return errors.Trace(plot.Lines(w, "score by round", 0, most, lines))
}
