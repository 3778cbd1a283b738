package losses

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

var day = Day{
	Worth: 0.4,
	Parts: []Part{{"whole day", 0.5, 0.8}, {"worst windows", 0.5, 0.3}},
	Costs: []Cost{{"hosts", 350, 0.04}, {"probes", 0, 0}},
	Windows: []Window{
		{"0", 100, 0.9}, {"2", 3, 0}, {"4", 80, 0.2}, {"6", 90, 0.5}, {"8", 90, 0.6}, {"10", 90, 0.7},
	},
	Routes: []Route{{Name: "a", Asked: 10, OnTime: 7, Late: 1, Failed: 2, Earned: 0.75}},
}

func TestBudgetListsTheLargestLossFirst(t *testing.T) {
	got := Budget(day)
	want := []string{"not earned, worst windows", "not earned, whole day", "hosts"}
	if len(got) != len(want) {
		t.Fatalf("%d items: %+v", len(got), got)
	}
	for i, w := range want {
		if got[i].Cause != w {
			t.Errorf("item %d is %q, want %q", i, got[i].Cause, w)
		}
	}
}

// TestWorstWindows: a window in which next to nothing was owed says nothing.
func TestWorstWindows(t *testing.T) {
	got := Worst(day)
	if len(got) != worstWindows || got[0].From != "4" || got[3].From != "10" {
		t.Errorf("windows %+v", got)
	}
}

func TestPrint(t *testing.T) {
	var out bytes.Buffer
	if err := Print(&out, "a day", day); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"a day: worth 0.400", "0.3500  not earned, worst windows", "0.0400  hosts", "350"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
}

func TestPlot(t *testing.T) {
	var out bytes.Buffer
	if err := Plot(&out, "a day", day); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "a day: worth 0.400", "hosts"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing", want)
		}
	}
	if err := Plot(&out, "a day without losses", Day{Worth: 1}); err == nil {
		t.Error("a day without losses was drawn")
	}
}

func TestRounds(t *testing.T) {
	at := time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
	rounds := []Round{
		{At: at.Add(time.Hour), Site: "b", Commit: "0123456789", Score: 0.9, Purpose: "later"},
		{At: at, Site: "b", Commit: "abcdef", Changed: true, Score: 0.8, Purpose: "earlier"},
		{At: at, Site: "a", Score: 0.5},
	}
	var out bytes.Buffer
	if err := PrintRounds(&out, rounds); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 4 || !strings.HasPrefix(lines[1], "a ") ||
		!strings.Contains(lines[2], "abcdef+") || !strings.Contains(lines[3], "01234567  0.900") {
		t.Errorf("rounds:\n%s", out.String())
	}
	out.Reset()
	if err := PlotRounds(&out, rounds); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "<svg") || strings.Contains(out.String(), ">a<") {
		t.Error("the site with one round was drawn, or nothing")
	}
	if err := PlotRounds(&out, rounds[:1]); err == nil {
		t.Error("a single round was drawn")
	}
}
