package retrywindow

import (
	"testing"
	"time"
)

// TestTimesOutOfOrder: callers take the time before they wait for one another, so a decision
// may come with a time before that of the last one, in an earlier bucket.
func TestTimesOutOfOrder(t *testing.T) {
	d := Demand{All: pulseBound, Gateways: 2, Round: 50 * time.Millisecond}
	bucket := stormWindow / buckets
	f := NewFleet(stormWindow, 0)
	peer := NewFleet(stormWindow, 0)
	for range 1000 {
		f.Request(fleetStart)
		peer.Request(fleetStart)
	}
	f.Heard("peer", 1, peer.Totals(fleetStart, d), fleetStart, d.Round)
	spend := func(now time.Duration) (extra int) {
		for f.Extra(now, d) {
			extra++
		}
		return extra
	}
	extra := 0
	for _, now := range []time.Duration{fleetStart, fleetStart - 1, fleetStart - bucket, fleetStart - 3*bucket, fleetStart} {
		extra += spend(now)
	}
	if most := pulseBound.Ratio*2000 + pulseBound.Slack; float64(extra) > most || extra < 500 {
		t.Errorf("%d extra sends, want 500 to %.0f", extra, most)
	}
}
