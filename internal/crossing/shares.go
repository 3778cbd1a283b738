package crossing

import (
	"math"
	"time"
)

// Shares follows which share of a gateway's requests goes to each failure domain, for
// operators. The zero value is ready to use.
type Shares struct {
	byDomain map[string]*traffic
	started  time.Duration
}

// traffic is what a gateway has sent to one domain.
type traffic struct {
	Traffic
	window int
	logged float64
}

// Traffic counts requests and bytes sent to one domain.
type Traffic struct {
	Requests int64   `json:"requests"`
	Bytes    float64 `json:"bytes"`
}

const (
	// shareWindow is the time over which shares are compared.
	shareWindow = 2 * time.Second
	// minShareRequests is the least number of requests by which a window is judged.
	minShareRequests = 10
	// loggedShareChange is the change of a share that is reported.
	loggedShareChange = 0.2
)

// Change is a change of the share of requests that go to a domain.
type Change struct {
	Domain   string
	Was, Now float64
}

// Add counts a request to a domain. At the end of a window it returns the shares that
// have changed.
func (s *Shares) Add(domain string, bytes float64, now time.Duration) (changes []Change) {
	if s.byDomain == nil {
		s.byDomain, s.started = map[string]*traffic{}, now
	}
	t := s.byDomain[domain]
	if t == nil {
		t = &traffic{}
		s.byDomain[domain] = t
	}
	t.Requests++
	t.Bytes += bytes
	t.window++
	if now-s.started < shareWindow {
		return nil
	}
	return s.closeWindow(now)
}

func (s *Shares) closeWindow(now time.Duration) (changes []Change) {
	all := 0
	for _, t := range s.byDomain {
		all += t.window
	}
	s.started = now
	for domain, t := range s.byDomain {
		share := float64(t.window) / float64(all)
		if all >= minShareRequests && math.Abs(share-t.logged) >= loggedShareChange {
			changes = append(changes, Change{domain, t.logged, share})
			t.logged = share
		}
		t.window = 0
	}
	return changes
}

// Totals returns what was sent to each domain since the start.
func (s *Shares) Totals() map[string]Traffic {
	out := make(map[string]Traffic, len(s.byDomain))
	for domain, t := range s.byDomain {
		out[domain] = t.Traffic
	}
	return out
}
