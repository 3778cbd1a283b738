package attempt

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"tarragonbay.example/tarragonbay/internal/result"
)

func TestRequestRetryRules(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		released   bool
		end        Ending
		again      bool
		outcome    result.Outcome
	}{
		{"once, proven not run", false, false, Ending{Outcome: result.NotRun}, true, result.NotRun},
		{"once, unknown", false, false, Ending{Outcome: result.Unknown}, false, result.Unknown},
		{"once, ran and failed", false, false, Ending{Outcome: result.Ran}, false, result.Ran},
		{"idempotent, unknown", true, false, Ending{Outcome: result.Unknown}, true, result.Unknown},
		{"idempotent, ran and failed", true, false, Ending{Outcome: result.Ran}, true, result.Ran},
		{"idempotent, bytes with the caller", true, true, Ending{Outcome: result.Unknown}, false, result.Ran},
		{"whole", true, false, Ending{Whole: true}, false, result.Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRequest(tt.idempotent)
			if err := r.Begin("a"); err != nil {
				t.Fatal(err)
			}
			if r.MayTry() == nil || r.Outcome() != result.Unknown {
				t.Error("an open attempt must block another and leave the outcome unknown")
			}
			if tt.released {
				if err := r.Release("a"); err != nil {
					t.Fatal(err)
				}
			}
			if r.Conclude("b", Ending{}) == nil || r.Conclude("a", tt.end) != nil || r.Conclude("a", tt.end) == nil {
				t.Error("only the open attempt may be concluded, once")
			}
			if got := r.MayTry() == nil; got != tt.again {
				t.Errorf("another attempt allowed: %v, want %v", got, tt.again)
			}
			if got := r.Outcome(); got != tt.outcome {
				t.Errorf("outcome %v, want %v", got, tt.outcome)
			}
		})
	}
}

func TestReportKeepsTheWorstOutcome(t *testing.T) {
	r := NewRequest(true)
	_ = r.Begin("a")
	_ = r.Conclude("a", Ending{Outcome: result.Unknown})
	_ = r.Begin("b")
	_ = r.Conclude("b", Ending{Outcome: result.NotRun})
	if got := r.Report(result.New(result.QueueFull, "full")); got.Outcome != result.Unknown {
		t.Errorf("the last refusal hid an unknown attempt: %v", got.Outcome)
	}
}

func TestRequestNeverRepeatsWhatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRequest(false)
		mayHaveRun := false
		var open string
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				n++
				id := fmt.Sprint(n)
				if r.Begin(id) != nil {
					return
				}
				if mayHaveRun || open != "" {
					t.Fatal("an attempt was allowed beside one that may have run")
				}
				open = id
			},
			"conclude": func(t *rapid.T) {
				e := Ending{Outcome: rapid.SampledFrom([]result.Outcome{result.NotRun, result.Unknown, result.Ran}).Draw(t, "outcome")}
				if r.Conclude(open, e) != nil {
					return
				}
				open = ""
				mayHaveRun = mayHaveRun || e.Outcome != result.NotRun
			},
			"": func(t *rapid.T) {
				if r.Outcome() == result.NotRun && (mayHaveRun || open != "") {
					t.Fatal("told not run while an attempt may have run")
				}
			},
		})
	})
}
