package retrywindow

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestSumsOfAWindow: the sums are those of its buckets, whatever the times are.
func TestSumsOfAWindow(t *testing.T) {
	const bucket = stormWindow / buckets
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 3))
		w := New(stormWindow)
		now := fleetStart + 5*stormWindow
		if seed%2 == 0 {
			w.spread(now, 500, 70)
		}
		for range 20000 {
			switch r.IntN(20) {
			case 0:
				now += time.Duration(r.Int64N(int64(3 * bucket)))
			case 1:
				if r.IntN(200) == 0 {
					now += time.Duration(r.Int64N(int64(3 * stormWindow)))
				}
			}
			at := now
			if r.IntN(10) == 0 {
				at -= time.Duration(r.Int64N(int64(3 * stormWindow)))
			}
			w.add(at, r.IntN(3), r.IntN(2))
			requests, extra := w.countsWhole(at)
			if wantRequests, wantExtra := w.sumSince(int64(at/bucket) - buckets); requests != wantRequests || extra != wantExtra {
				t.Fatalf("seed %d: %d and %d, want %d and %d", seed, requests, extra, wantRequests, wantExtra)
			}
		}
	}
}
