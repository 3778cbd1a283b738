package retrywindow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// disruption is what happens to one gateway of a series.
type disruption string

const (
	killed disruption = "killed"
	// stopped gateways take no new callers for drainTime and then end.
	stopped disruption = "stopped"
	// frozen gateways do nothing for frozenTime; messages to them wait.
	frozen disruption = "frozen"
)

// Times of the series, of the order of those of a gateway on the users' platform.
const (
	drainTime   = 2900 * time.Millisecond
	frozenTime  = 2 * time.Second
	restartTime = 300 * time.Millisecond
	seriesRound = 200 * time.Millisecond
	// failuresFrom is when upstreams begin to fail 9 of 10 requests. A whole window of
	// requests without extra sends lies before it, so the bound allows a burst then.
	failuresFrom = 12 * time.Second
	seriesEnd    = 58 * time.Second
	seriesTime   = 75 * time.Second
	seriesStep   = 2 * time.Millisecond
)

var seriesBound = Bound{Ratio: 0.9, Slack: 58}

// series disrupts one of six gateways after the other while 36 callers send requests.
type series struct {
	of []disruption
	// together disrupts all gateways at the same moment.
	together bool
	every    time.Duration
	attempts int
	// think is the pause of a caller after an answer.
	think time.Duration

	r        *rand.Rand
	gateways []seriesGateway
	callers  []seriesCaller
	wire     []told
	// requests and extras are when they happened.
	requests, extras []time.Duration
}

type seriesGateway struct {
	budget    *Fleet
	starts    uint64
	nextRound time.Duration
	// The gateway is draining, frozen or down until these times.
	draining, frozen, down time.Duration
}

type seriesCaller struct {
	gateway, attempts int
	nextAt            time.Duration
}

// play runs the series on the gateways' clocks, which start at fleetStart.
func (s *series) play(seed uint64) {
	s.r = rand.New(rand.NewPCG(seed, 1))
	s.gateways, s.callers = make([]seriesGateway, 6), make([]seriesCaller, 36)
	for i := range s.gateways {
		s.gateways[i] = seriesGateway{budget: NewFleet(stormWindow, 0), starts: 1, nextRound: fleetStart + time.Duration(s.r.Int64N(int64(seriesRound)))}
	}
	for i := range s.callers {
		s.callers[i] = seriesCaller{gateway: i % len(s.gateways), nextAt: fleetStart + time.Duration(s.r.Int64N(int64(time.Second)))}
	}
	next, victim := fleetStart+failuresFrom+time.Second, 0
	for now := fleetStart; now < fleetStart+seriesTime; now += seriesStep {
		if now >= next && now < fleetStart+seriesEnd {
			s.disruptNext(victim, now)
			next, victim = next+s.every, victim+1
		}
		s.step(now)
	}
}

func (s *series) disruptNext(victim int, now time.Duration) {
	d := s.of[s.r.IntN(len(s.of))]
	if !s.together {
		s.disrupt(victim%len(s.gateways), d, now)
		return
	}
	for i := range s.gateways {
		s.disrupt(i, d, now)
	}
}

func (s *series) disrupt(i int, d disruption, now time.Duration) {
	g := &s.gateways[i]
	switch d {
	case killed:
		g.budget, g.down = nil, now+restartTime
	case stopped:
		g.draining = now + drainTime
	case frozen:
		g.frozen = now + frozenTime
	}
}

func (s *series) step(now time.Duration) {
	kept := s.wire[:0]
	for _, m := range s.wire {
		switch g := &s.gateways[m.to]; {
		case m.due > now || now < g.frozen:
			kept = append(kept, m)
		case g.budget != nil:
			g.budget.Heard(fmt.Sprint(m.from), m.incarnation, m.totals, now, seriesRound)
		}
	}
	s.wire = kept
	for i := range s.gateways {
		s.run(i, now)
	}
	for i := range s.callers {
		if c := &s.callers[i]; now >= c.nextAt {
			s.call(c, now)
		}
	}
}

// run ends, starts and lets a gateway gossip when that is due.
func (s *series) run(i int, now time.Duration) {
	g := &s.gateways[i]
	if g.draining > 0 && now >= g.draining {
		g.budget, g.draining, g.down = nil, 0, now+restartTime
	}
	if g.budget == nil && now >= g.down {
		*g = seriesGateway{budget: NewFleet(stormWindow, now), starts: g.starts + 1, nextRound: now}
	}
	if g.budget == nil || now < g.frozen || now < g.nextRound {
		return
	}
	g.nextRound = now + seriesRound
	totals, heard := g.budget.Totals(now, s.demand()), g.budget.HeardPeers(now, s.demand())
	for j := range s.gateways {
		if j != i {
			totals.Deaf = !slices.Contains(heard, fmt.Sprint(j))
			s.wire = append(s.wire, told{due: now + seriesStep, from: i, to: j, incarnation: g.starts, totals: totals})
		}
	}
}

func (s *series) demand() Demand {
	return Demand{All: seriesBound, Gateways: len(s.gateways), Round: seriesRound}
}

// call lets a caller send its next request, or its gateway send it once more.
func (s *series) call(c *seriesCaller, now time.Duration) {
	const attemptTime = 4 * time.Millisecond
	g := &s.gateways[c.gateway]
	switch {
	case now < g.frozen:
		return
	case g.budget == nil, g.draining > 0 && c.attempts == 0:
		*c = seriesCaller{gateway: s.r.IntN(len(s.gateways)), nextAt: now + attemptTime}
		return
	case c.attempts == 0:
		g.budget.Request(now)
		s.requests = append(s.requests, now)
	case now >= fleetStart+failuresFrom && s.r.Float64() < 0.9 && c.attempts < s.attempts && g.budget.Extra(now, s.demand()):
		s.extras = append(s.extras, now)
	default:
		c.attempts, c.nextAt = 0, now+s.think
		return
	}
	c.attempts, c.nextAt = c.attempts+1, now+attemptTime
}

// mostUsed returns the largest share of the bound that a window of extra sends has used.
// Windows that reach beyond the last extra send are left out.
func (s *series) mostUsed() float64 {
	most := 0.0
	for _, from := range s.extras {
		if from+stormWindow > s.extras[len(s.extras)-1] {
			break
		}
		most = max(most, usedOf(seriesBound, s.requests, s.extras, from))
	}
	return most
}

// usedOf returns the share of the bound that the extra sends of the window from a time have
// used. The requests are those of that window, the one before it or the one half a window
// before it, whichever has most.
func usedOf(bound Bound, requests, extras []time.Duration, from time.Duration) float64 {
	count := func(all []time.Duration, from time.Duration) float64 {
		first, _ := slices.BinarySearch(all, from)
		end, _ := slices.BinarySearch(all, from+stormWindow)
		return float64(end - first)
	}
	sent := max(count(requests, from), count(requests, from-stormWindow/2), count(requests, from-stormWindow))
	return count(extras, from) / (bound.Ratio*sent + bound.Slack)
}

// TestGatewaysRestartedAfterABurstExceedTheBound guards against gateways that forget at a
// restart what they have sent, or count requests that they hear of late.
func TestGatewaysRestartedAfterABurstExceedTheBound(t *testing.T) {
	all := []disruption{killed, stopped, frozen}
	for _, c := range []series{
		{of: []disruption{killed}, every: 1500 * time.Millisecond, attempts: 6, think: 100 * time.Millisecond},
		{of: []disruption{killed}, every: 3 * time.Second, attempts: 6, think: 20 * time.Millisecond},
		{of: []disruption{killed}, together: true, every: 4 * time.Second, attempts: 6, think: 20 * time.Millisecond},
		{of: []disruption{stopped}, every: 1500 * time.Millisecond, attempts: 6, think: 100 * time.Millisecond},
		{of: []disruption{stopped}, every: 3 * time.Second, attempts: 3, think: 20 * time.Millisecond},
		{of: []disruption{frozen}, every: 3 * time.Second, attempts: 3, think: 20 * time.Millisecond},
		{of: all, every: 3 * time.Second, attempts: 3, think: 100 * time.Millisecond},
		{of: all, every: 3 * time.Second, attempts: 6, think: 20 * time.Millisecond},
		{of: all, every: 1500 * time.Millisecond, attempts: 6, think: 20 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%v together %v every %v, %d attempts, think %v", c.of, c.together, c.every, c.attempts, c.think), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				s := c
				s.play(seed)
				if used := s.mostUsed(); used > 1 {
					t.Errorf("seed %d: %.3f of the bound was used in a window", seed, used)
				} else {
					t.Logf("seed %d: %.3f of the bound was used in a window", seed, used)
				}
			}
		})
	}
}

// TestRequestsHeardAfterAFreezeOutliveTheWindow guards against counting requests from the
// time at which a frozen gateway reads the messages about them.
func TestRequestsHeardAfterAFreezeOutliveTheWindow(t *testing.T) {
	const freeze = 5 * time.Second
	peer, f := NewFleet(stormWindow, 0), NewFleet(stormWindow, 0)
	d := Demand{All: seriesBound, Gateways: 2, Round: seriesRound}
	hear := func(now time.Duration, m Totals) { f.Heard("peer", 1, m, now, seriesRound) }
	hear(fleetStart, peer.Totals(fleetStart, d))
	var waiting []Totals
	for at := seriesRound; at <= freeze; at += seriesRound {
		if at <= time.Second {
			for range 20 {
				peer.Request(fleetStart + at)
			}
		}
		waiting = append(waiting, peer.Totals(fleetStart+at, d))
	}
	for _, m := range waiting {
		hear(fleetStart+freeze, m)
	}
	later := fleetStart + time.Second + stormWindow + seriesRound
	hear(later, peer.Totals(later, d))
	f.Request(later)
	if left, _ := f.left(later, d); left > seriesBound.Ratio {
		t.Errorf("%.0f extra sends are left for one request in the window", left)
	}
}

// TestRestartedGatewayOfALargeFleetUsesItsPart: with fixed parts, it does so while most
// gateways have counted for a whole window, and uses its part of the slack alone otherwise.
func TestRestartedGatewayOfALargeFleetUsesItsPart(t *testing.T) {
	const gateways = 100
	d := Demand{All: seriesBound, Gateways: gateways, Round: time.Second}
	for _, c := range []struct {
		counting int
		want     int
	}{
		{counting: 80, want: 36}, // of 50 requests, by the part of the ratio
		{counting: 40, want: 0},
	} {
		now := fleetStart + time.Second
		f := NewFleet(stormWindow, fleetStart)
		for i := range gateways - 1 {
			f.Heard(fmt.Sprint(i), 1, Totals{At: now, LeftKnown: i < c.counting}, now, d.Round)
		}
		for range 50 {
			f.Request(now)
		}
		got := 0
		for f.Extra(now, d) {
			got++
		}
		if got != c.want {
			t.Errorf("%d of %d gateways have counted for a window: %d extra sends, want %d", c.counting, gateways, got, c.want)
		}
	}
}
