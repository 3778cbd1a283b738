package gateway

import (
	"testing"
	"time"
)

// TestSingleLongGapIsNotSlow guards against counting answers as slow because of single long
// gaps. In khl-galley-large, quiet-1, a good version was withdrawn: engines processed long
// prompts between the first few events of short answers, so a third of the answers on one
// route counted as slow.
func TestSingleLongGapIsNotSlow(t *testing.T) {
	const usual, long = 40 * time.Millisecond, 600 * time.Millisecond
	for _, c := range []struct {
		name  string
		pause func(i int) time.Duration
		slow  bool
	}{
		{"usual", func(int) time.Duration { return usual }, false},
		{"one long prompt", func(i int) time.Duration {
			if i == 2 {
				return long
			}
			return usual
		}, false},
		{"a long prompt at each fourth event", func(i int) time.Duration {
			if i%4 == 3 {
				return long
			}
			return usual
		}, false},
		{"slow throughout", func(int) time.Duration { return 5 * usual }, true},
		{"turns slow midway", func(i int) time.Duration {
			if i > 10 {
				return 5 * usual
			}
			return usual
		}, true},
	} {
		p, slow := latencyBaseline{samples: minBaselineSamples, eventGapMS: float64(usual) / float64(time.Millisecond)}, false
		var g eventGaps
		for i := range 24 {
			g.add(c.pause(i))
			if g.n+1 >= minGapEvents {
				slow = slow || p.isSlow(observation{eventGapMS: float64(g.median()) / float64(time.Millisecond)})
			}
		}
		if slow != c.slow {
			t.Errorf("%s: slow %t", c.name, slow)
		}
	}
}
