package retrywindow

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestEveryWindowKeepsTheBound simulates a retry storm, in which requests are sent again as
// often as allowed, and counts the extra sends in each window that ends with one.
func TestEveryWindowKeepsTheBound(t *testing.T) {
	const span = 10 * time.Second
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 2))
		w, bound := New(span), Bound{Ratio: 0.63, Slack: 2}
		var requests, extras []time.Duration
		now := time.Hour
		for now < time.Hour+2*time.Minute {
			now += time.Duration(r.IntN(80)) * time.Millisecond
			if (now/time.Second)%30 < 20 { // intermittent load
				w.Request(now)
				requests = append(requests, now)
			}
			for w.Extra(now, bound) {
				extras = append(extras, now)
			}
		}
		count := func(at []time.Duration, from, to time.Duration) (n int) {
			for _, x := range at {
				if x > from && x <= to {
					n++
				}
			}
			return n
		}
		for _, end := range extras {
			// The oldest bucket counts as a whole, so a window of requests may
			// reach one bucket further back.
			n := count(extras, end-span, end)
			upper := 0.63*float64(count(requests, end-span-span/buckets, end)) + 2
			if float64(n) > upper {
				t.Fatalf("seed %d: %d extra sends in the window up to %v, bound %.1f", seed, n, end, upper)
			}
		}
	}
}

// TestChoicesLeaveRoomForFailures guards against a fault seen in khl-galley-large, quiet-1:
// at a gateway with few requests, sends to larger models happened to use the whole bound,
// and a stream whose upstream was given up was cut off midway.
func TestChoicesLeaveRoomForFailures(t *testing.T) {
	for _, round := range []time.Duration{200 * time.Millisecond, 2 * time.Second} { // what is left, and fixed shares
		f, d := NewFleet(10*time.Second, 0), Demand{All: Bound{Ratio: 0.9, Slack: 2.4}, Gateways: 1, Round: round}
		for i := range 70 {
			f.Request(time.Minute + time.Duration(i)*100*time.Millisecond)
		}
		now := time.Minute + 7*time.Second
		choice := d
		for choice.Optional = true; f.Extra(now, choice); {
		}
		failures := 0
		for f.Extra(now, d) {
			failures++
		}
		if failures < 5 {
			t.Errorf("rounds of %v: room for %d failures after the choices", round, failures)
		}
	}
}

func TestSlackAlone(t *testing.T) {
	w, bound := New(time.Second), Bound{Ratio: 0.5, Slack: 3}
	n := 0
	for w.Extra(time.Minute, bound) {
		n++
	}
	if n != 3 {
		t.Errorf("%d extra sends without requests, want 3", n)
	}
	if !w.Extra(time.Minute+2*time.Second, bound) {
		t.Error("the slack is not available again in the next window")
	}
}
