package retrywindow

import (
	"math/rand/v2"
	"testing"
	"time"
)

// sharer is one gateway in a retry storm.
type sharer struct {
	window  *Window
	sharers GatewayCount
	// joined is true for a gateway that joined after the start; it lists all gateways at
	// once.
	joined, left bool
}

// storm is a group of gateways that send requests again as often as allowed.
type storm struct {
	fleet []*sharer
	// known is the number of gateways listed by those that were there from the start.
	known            int
	requests, extras []time.Duration
}

const stormWindow = 10 * time.Second

func newSharers(n int, joined bool) []*sharer {
	out := make([]*sharer, n)
	for i := range out {
		out[i] = &sharer{window: New(stormWindow), joined: joined}
	}
	return out
}

// change makes gateways join, restart and leave at fixed times; those from the start list
// the joined ones a second late.
func (s *storm) change(now time.Duration) {
	third := len(s.fleet) / 3
	switch now {
	case 80 * time.Second:
		s.fleet = append(s.fleet, newSharers(len(s.fleet)*3/4, true)...)
	case 81 * time.Second:
		s.known = len(s.fleet)
	case 95 * time.Second:
		copy(s.fleet, newSharers(third, false))
	case 110 * time.Second:
		for _, g := range s.fleet[:third] {
			g.left = true
		}
		s.known -= third
	}
}

func (s *storm) step(now time.Duration, all Bound, r *rand.Rand) {
	for _, g := range s.fleet {
		if g.left {
			continue
		}
		listed := s.known
		if g.joined {
			listed = len(s.fleet)
		}
		if r.Float64() < 0.05 {
			g.window.Request(now)
			s.requests = append(s.requests, now)
		}
		bound := GatewayBound(all, g.sharers.Max(listed, now, stormWindow))
		for g.window.Extra(now, bound) {
			s.extras = append(s.extras, now)
		}
	}
}

// TestAllGatewaysTogetherKeepTheBound simulates retry storms with several numbers of
// gateways and counts the extra sends of all of them in each window.
func TestAllGatewaysTogetherKeepTheBound(t *testing.T) {
	all := Bound{Ratio: 0.9, Slack: 58}
	for _, gateways := range []int{1, 6, 27, 103, 300} {
		for seed := range uint64(3) {
			r := rand.New(rand.NewPCG(seed, uint64(gateways)))
			s := &storm{fleet: newSharers(gateways, false), known: gateways}
			for now := time.Minute; now < 2*time.Minute; now += 50 * time.Millisecond {
				s.change(now)
				s.step(now, all, r)
			}
			check(t, gateways, seed, all, s.requests, s.extras)
		}
	}
}

// check compares each window that ends with an extra send with the bound. Both lists are
// sorted.
func check(t *testing.T, gateways int, seed uint64, all Bound, requests, extras []time.Duration) {
	t.Helper()
	from, reqFrom, reqTo := 0, 0, 0
	for i, end := range extras {
		for extras[from] <= end-stormWindow {
			from++
		}
		for reqFrom < len(requests) && requests[reqFrom] <= end-stormWindow {
			reqFrom++
		}
		for reqTo < len(requests) && requests[reqTo] <= end {
			reqTo++
		}
		if n, upper := i-from+1, all.Ratio*float64(reqTo-reqFrom)+all.Slack; float64(n) > upper {
			t.Fatalf("%d gateways, seed %d: %d extra sends in the window up to %v, bound %.1f", gateways, seed, n, end, upper)
		}
	}
}

// TestUnknownFleetUsesNoSlack checks the bound of a gateway that does not know yet how many
// gateways there are.
func TestUnknownFleetUsesNoSlack(t *testing.T) {
	if b := GatewayBound(Bound{Ratio: 0.9, Slack: 58}, 0); b.Slack != 0 || b.Ratio <= 0 {
		t.Errorf("%+v", b)
	}
}
