package retrywindow

import (
	"testing"
	"time"
)

// TestRequestsOfLostMessagesCountAsNewOnes guards against counting requests that messages
// told which a frozen gateway's full socket buffer has dropped.
func TestRequestsOfLostMessagesCountAsNewOnes(t *testing.T) {
	const freeze = 25 * time.Second
	peer, f := NewFleet(stormWindow, 0), NewFleet(stormWindow, 0)
	d := Demand{All: seriesBound, Gateways: 2, Round: seriesRound}
	var kept []Totals
	for at := time.Duration(0); at <= freeze+seriesRound; at += seriesRound {
		for range 20 {
			peer.Request(fleetStart + at)
		}
		if m := peer.Totals(fleetStart+at, d); at <= time.Second { // the buffer is full afterwards
			kept = append(kept, m)
		}
	}
	f.Heard("peer", 1, kept[0], fleetStart, seriesRound)
	for _, m := range kept[1:] {
		f.Heard("peer", 1, m, fleetStart+freeze, seriesRound)
	}
	now := fleetStart + freeze + seriesRound
	f.Heard("peer", 1, peer.Totals(now, d), now, seriesRound)
	f.Request(now)
	if left, _ := f.left(now, d); left > seriesBound.Ratio*1001 {
		t.Errorf("%.0f extra sends are left for 1000 requests in the window", left)
	}
}
