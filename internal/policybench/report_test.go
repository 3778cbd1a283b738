package policybench

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

func TestReportHasATableAndPlotsForEachLoad(t *testing.T) {
	rows := []Row{
		{Bench: "host", Load: "steady", Policy: "ours", Requests: 10, P95: time.Second, CostPerAnswer: 2},
		{Bench: "host", Load: "steady", Policy: "random", Requests: 10, P95: 2 * time.Second, CostPerAnswer: 3},
		{Bench: "host", Load: "flood <x>", Policy: "ours", P95: time.Second},
		{Bench: "host", Load: "flood <x>", Policy: "random", P95: time.Second},
	}
	var a, b bytes.Buffer
	if err := WriteReport(&a, rows); err != nil {
		t.Fatal(err)
	}
	if err := WriteReport(&b, rows); err != nil {
		t.Fatal(err)
	}
	page := a.String()
	if n := strings.Count(page, "<svg"); n != 3 {
		t.Errorf("%d plots, want 3", n)
	}
	if n := strings.Count(page, "<h2>"); n != 2 || strings.Contains(page, "flood <x>") {
		t.Errorf("%d loads, want 2 with their names escaped", n)
	}
	if page != b.String() {
		t.Error("the same rows gave another report")
	}
}
