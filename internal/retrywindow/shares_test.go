package retrywindow

import (
	"math/rand/v2"
	"testing"
	"time"
)

// sharer is one gateway in a storm.
type sharer struct {
	window  *Window
	sharers Sharers
	left    bool
}

// TestAllGatewaysTogetherKeepTheBound plays storms over any number of gateways, some
// of which start again, join or leave, and counts the extra sends of all in each
// window. A gateway learns of those that join a second late.
func TestAllGatewaysTogetherKeepTheBound(t *testing.T) {
	const span = 10 * time.Second
	all := Bound{Ratio: 0.9, Slack: 58}
	for _, gateways := range []int{1, 6, 27, 103, 300} {
		for seed := range uint64(3) {
			r := rand.New(rand.NewPCG(seed, uint64(gateways)))
			fleet := make([]*sharer, gateways)
			for i := range fleet {
				fleet[i] = &sharer{window: New(span)}
			}
			known := gateways
			var extras, requests []time.Duration
			for now := time.Minute; now < 2*time.Minute; now += 50 * time.Millisecond {
				switch {
				case now == 80*time.Second: // three quarters as many again join
					for range gateways * 3 / 4 {
						fleet = append(fleet, &sharer{window: New(span)})
					}
				case now == 81*time.Second:
					known = len(fleet)
				case now == 95*time.Second: // a third are killed and start again
					for i := range len(fleet) / 3 {
						fleet[i] = &sharer{window: New(span)}
					}
				case now == 110*time.Second: // a third leave
					for i := range len(fleet) / 3 {
						fleet[i].left = true
					}
					known -= len(fleet) / 3
				}
				for i, s := range fleet {
					if s.left {
						continue
					}
					listed := known
					if i >= gateways {
						listed = len(fleet) // those that join list all
					}
					if r.Float64() < 0.05 {
						s.window.Request(now)
						requests = append(requests, now)
					}
					bound := Part(all, s.sharers.Most(listed, now, span))
					for s.window.Extra(now, bound) {
						extras = append(extras, now)
					}
				}
			}
			check(t, gateways, seed, all, span, requests, extras)
		}
	}
}

// check counts each window that ends with an extra send. Both lists are in order.
func check(t *testing.T, gateways int, seed uint64, all Bound, span time.Duration, requests, extras []time.Duration) {
	t.Helper()
	from, reqFrom, reqTo := 0, 0, 0
	for i, end := range extras {
		for extras[from] <= end-span {
			from++
		}
		for reqFrom < len(requests) && requests[reqFrom] <= end-span {
			reqFrom++
		}
		for reqTo < len(requests) && requests[reqTo] <= end {
			reqTo++
		}
		if n, most := i-from+1, all.Ratio*float64(reqTo-reqFrom)+all.Slack; float64(n) > most {
			t.Fatalf("%d gateways, seed %d: %d extra sends in the window up to %v, bound %.1f", gateways, seed, n, end, most)
		}
	}
}

// TestUnknownFleetUsesNoSlack: a gateway that does not know the others yet.
func TestUnknownFleetUsesNoSlack(t *testing.T) {
	if b := Part(Bound{Ratio: 0.9, Slack: 58}, 0); b.Slack != 0 || b.Ratio <= 0 {
		t.Errorf("%+v", b)
	}
}
