package ctl

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/policybench"
)

// TestBenchPrintsTheRowsOfTheNamedBench runs benches of one row each, so that
// it costs nothing.
func TestBenchPrintsTheRowsOfTheNamedBench(t *testing.T) {
	real := policyBenches
	defer func() { policyBenches = real }()
	row := func(name string) policyBench {
		return policyBench{name, func(seed uint64, quick bool) ([]policybench.Row, error) {
			load := "long"
			if quick {
				load = "short"
			}
			return []policybench.Row{{Bench: name, Load: load, Policy: "ours", Seed: seed, Requests: 5}}, nil
		}}
	}
	policyBenches = []policyBench{row("one"), row("two")}
	tests := []struct {
		args       string
		want, miss string
	}{
		{"bench policy two", "two  long    ours", "one"},
		{"bench policy one --quick", "one  short    ours", "two"},
		{"bench policy --seed 9 -o json", `"seed": 9`, "bench  load"},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		env := Env{In: strings.NewReader(""), Out: &out, Err: &out, Getenv: func(string) string { return "" }, Now: time.Now}
		if code := Run(t.Context(), env, strings.Fields(tt.args)); code != ExitOK {
			t.Errorf("%s: exit code %d: %s", tt.args, code, out.String())
		}
		if got := out.String(); !strings.Contains(got, tt.want) || strings.Contains(got, tt.miss) {
			t.Errorf("%s: got\n%s", tt.args, got)
		}
	}
}
