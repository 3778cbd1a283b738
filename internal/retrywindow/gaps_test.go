package retrywindow

import (
	"math/rand/v2"
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

// TestPeerWhoseClockFellBehindIsLateForever guards against peers that count as silent since
// their virtual machine was paused, or since clocks drift apart.
func TestPeerWhoseClockFellBehindIsLateForever(t *testing.T) {
	for _, c := range []struct {
		name  string
		clock func(at time.Duration) time.Duration
	}{
		{"paused", func(at time.Duration) time.Duration {
			if at > 2*time.Hour {
				return at - 2*time.Second
			}
			return at
		}},
		{"50 parts in a million apart", func(at time.Duration) time.Duration { return at - at/20000 }},
	} {
		f, d := NewFleet(stormWindow, 0), Demand{All: seriesBound, Gateways: 2, Round: seriesRound}
		requests := uint64(0)
		now := fleetStart
		for ; now < 4*time.Hour; now += seriesRound {
			requests += 20
			f.Heard("peer", 1, Totals{At: c.clock(now), Requests: requests, WindowRequests: 1000, LeftKnown: true}, now, seriesRound)
		}
		f.Request(now)
		if left, _ := f.left(now, d); left < 800 {
			t.Errorf("%s: %.0f extra sends are left for 1000 requests in the window", c.name, left)
		}
		if _, ok := f.toldLeft(now, d); !ok {
			t.Errorf("%s: the peer does not count as one that has told", c.name)
		}
	}
}

// TestPeerHeardAgainAfterALongCutUsesTheBoundUp guards against counting extra sends that lie
// before the window when a peer is heard again.
func TestPeerHeardAgainAfterALongCutUsesTheBoundUp(t *testing.T) {
	d := Demand{All: seriesBound, Gateways: 2, Round: seriesRound}
	for _, incarnation := range []uint64{1, 2} {
		f := NewFleet(stormWindow, 0)
		f.Heard("peer", 1, Totals{At: time.Minute, Requests: 10, Extra: 5}, fleetStart, seriesRound)
		now := fleetStart + 10*time.Minute
		for range 1000 {
			f.Request(now)
		}
		f.Heard("peer", incarnation, Totals{At: 11 * time.Minute, Requests: 60000, Extra: 20000, WindowRequests: 1000, WindowExtra: 100}, now, seriesRound)
		if left, _ := f.left(now, d); left < 700 {
			t.Errorf("incarnation %d: %.0f extra sends are left for 1000 requests in the window", incarnation, left)
		}
	}
}

// TestSendsAreForgottenWhenTheRoundChanges guards against a gateway that uses its share twice
// because a gateway joins or leaves while peers have not heard of its extra sends.
func TestSendsAreForgottenWhenTheRoundChanges(t *testing.T) {
	f, peer := NewFleet(stormWindow, 0), NewFleet(stormWindow, 0)
	d := Demand{All: seriesBound, Gateways: 24, Round: 240 * time.Millisecond}
	for range 1000 {
		f.Request(fleetStart)
		peer.Request(fleetStart)
	}
	f.Heard("peer", 1, peer.Totals(fleetStart, d), fleetStart, d.Round)
	got := 0
	for at := fleetStart; at < fleetStart+200*time.Millisecond; at += time.Millisecond {
		for f.Extra(at, d) {
			got++
		}
		d.Round = 250 * time.Millisecond
	}
	if half := int(seriesBound.Ratio * 1000); got > half {
		t.Errorf("%d extra sends for half of 2000 requests, want at most %d", got, half)
	}
}

// TestFleetThatGrowsToFixedPartsUsesTheBoundTwice guards against fixed parts that a few
// gateways have used up while what is left was shared.
func TestFleetThatGrowsToFixedPartsUsesTheBoundTwice(t *testing.T) {
	const grows = 20 * time.Second
	for seed := range uint64(3) {
		run := fleetRun{r: rand.New(rand.NewPCG(seed, 7)), fleet: make([]fleetGateway, 33), round: 330 * time.Millisecond}
		run.perSecond = func(int) float64 { return 14 }
		for at := time.Duration(0); at < fleetTime; at += fleetStep {
			if at == grows {
				run.fleet, run.round = append(run.fleet, fleetGateway{}), 340*time.Millisecond
			}
			run.demand = func(g int) float64 {
				if at > 14*time.Second && (g < 9) == (at < grows) {
					return 200
				}
				return 0
			}
			run.deliver(fleetStart + at)
			for i := range run.fleet {
				if run.startOrStop(i, at) {
					run.gossip(i, at)
					run.send(i, fleetStart+at)
				}
			}
		}
		check(t, len(run.fleet), seed, fleetBound, stormWindow, run.requests, run.extras)
		if used := usedShare(run.requests, run.extras); used < 0.5 {
			t.Errorf("seed %d: %.2f of the bound was used", seed, used)
		}
	}
}

// TestGatewaysBehindAOneWayCutUseTheBoundTwice guards against gateways that hear the others
// but are not heard: they used what the others left, and then the others used it too.
func TestGatewaysBehindAOneWayCutUseTheBoundTwice(t *testing.T) {
	const othersFail = 20 * time.Second
	for seed := range uint64(3) {
		run := fleetRun{r: rand.New(rand.NewPCG(seed, 7)), fleet: make([]fleetGateway, 12), round: 200 * time.Millisecond}
		run.perSecond = func(int) float64 { return 28 }
		run.parted = func(a, b int, at time.Duration) bool { return at > 12*time.Second && a < 4 && b >= 4 }
		for at := time.Duration(0); at < fleetTime; at += fleetStep {
			run.demand = func(g int) float64 {
				if at > 14*time.Second && (g < 4) == (at < othersFail) {
					return 300
				}
				return 0
			}
			run.deliver(fleetStart + at)
			for i := range run.fleet {
				if run.startOrStop(i, at) {
					run.gossip(i, at)
					run.send(i, fleetStart+at)
				}
			}
		}
		check(t, len(run.fleet), seed, fleetBound, stormWindow, run.requests, run.extras)
	}
}
