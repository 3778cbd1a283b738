package retrywindow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// pulse is a time in which callers send a fleet's requests at a steady rate.
type pulse struct {
	from, to time.Duration
	// failing requests are sent again as often as the budget allows, four times at most.
	failing bool
}

// playPulses lets gateways that hear each other every round serve the pulses, and returns
// when requests and extra sends were made.
func playPulses(seed uint64, gateways, perSecond int, round time.Duration, pulses []pulse) (requests, extras []time.Duration) {
	const attempts = 4
	r := rand.New(rand.NewPCG(seed, 2))
	fleet := make([]*Fleet, gateways)
	for i := range fleet {
		fleet[i] = NewFleet(stormWindow, 0)
	}
	d := Demand{All: pulseBound, Gateways: gateways, Round: round}
	nextRound := fleetStart
	for now := fleetStart; now < pulses[len(pulses)-1].to+fleetStart; now += time.Millisecond {
		if now >= nextRound {
			nextRound += round
			for i, from := range fleet {
				totals := from.Totals(now, d)
				for j, to := range fleet {
					if i != j {
						to.Heard(fmt.Sprint(i), 1, totals, now, round)
					}
				}
			}
		}
		at := slices.IndexFunc(pulses, func(p pulse) bool { return now >= fleetStart+p.from && now < fleetStart+p.to })
		if at < 0 || r.Float64() >= float64(perSecond)/1000 {
			continue
		}
		f := fleet[r.IntN(gateways)]
		f.Request(now)
		requests = append(requests, now)
		for i := 1; i < attempts && pulses[at].failing && f.Extra(now, d); i++ {
			extras = append(extras, now)
		}
	}
	return requests, extras
}

var pulseBound = Bound{Ratio: 0.9, Slack: 58}

// TestPulsesOfRequestsExceedTheBound: a window that begins in a pause between two pulses has
// the requests of one of them, while the window before the present has those of both.
func TestPulsesOfRequestsExceedTheBound(t *testing.T) {
	s := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	for name, pulses := range map[string][]pulse{
		"two at the ends of a window": {{0, s(20), false}, {s(40), s(41), false}, {s(48.5), s(49.5), true}},
		"a steady load that pauses":   {{0, s(24), false}, {s(30), s(32), true}},
		"three, the last failing":     {{0, s(1), false}, {s(4.7), s(5.7), false}, {s(8.8), s(9.8), true}},
		"each pulse failing":          {{s(20), s(21), true}, {s(28.5), s(29.5), true}, {s(45), s(46), true}, {s(53.7), s(54.7), true}},
		"steady and failing late":     {{0, s(20), false}, {s(20), s(40), true}},
	} {
		for gateways, round := range map[int]time.Duration{
			1: 50 * time.Millisecond, 4: 50 * time.Millisecond, 12: 200 * time.Millisecond,
			20: time.Second, // each gateway keeps to a fixed part
		} {
			t.Run(fmt.Sprintf("%s, %d gateways", name, gateways), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(4) {
					requests, extras := playPulses(seed, gateways, 800, round, pulses)
					if used := mostUsedOf(requests, extras, pulseBound); used > 1 {
						t.Errorf("seed %d: %.3f of the bound was used in a window", seed, used)
					}
					if len(extras) < int(pulseBound.Slack) {
						t.Errorf("seed %d: %d extra sends, too few to test anything", seed, len(extras))
					}
				}
			})
		}
	}
}

// mostUsedOf returns the largest share of the bound that a window has used which begins or
// ends at an extra send.
func mostUsedOf(requests, extras []time.Duration, bound Bound) float64 {
	most := 0.0
	for _, at := range extras {
		most = max(most, usedOf(bound, requests, extras, at), usedOf(bound, requests, extras, at-stormWindow+1))
	}
	return most
}
