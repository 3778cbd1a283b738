package order

import (
	"sync"

	"tarragonbay.example/tarragonbay/internal/result"
)

// Gate guards the engines of one host. It is safe for concurrent use.
//
// For each upstream it remembers the highest fencing number seen, refuses
// lower ones, and lets one order through at a time. After a restart it knows
// no number and refuses everything until Learn is called with the one that
// stands in the table service.
type Gate struct {
	mu        sync.Mutex
	upstreams map[string]*gateState
}

// gateState is the gate of one upstream.
type gateState struct {
	known   bool
	highest uint64
	// running is the order that was let through and has not ended.
	running string
	// unsettled is set when the effect of the last order is not known and
	// the engine does not check fencing numbers.
	unsettled bool
	// done holds the results of the last orders, oldest first.
	done []doneOrder
}

type doneOrder struct {
	id      string
	refused *result.Error
}

// maxDone is the number of ended orders remembered for each upstream.
const maxDone = 64

// NewGate returns a gate that knows no fencing number.
func NewGate() *Gate { return &Gate{upstreams: map[string]*gateState{}} }

func (g *Gate) state(upstream string) *gateState {
	s, ok := g.upstreams[upstream]
	if !ok {
		s = &gateState{}
		g.upstreams[upstream] = s
	}
	return s
}

// Learn takes the fencing number that a read of the table service returned.
// A lower number than the highest seen changes nothing.
func (g *Gate) Learn(upstream string, fence uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(upstream)
	s.known = true
	s.highest = max(s.highest, fence)
}

// Highest returns the highest fencing number seen, and whether it is known.
func (g *Gate) Highest(upstream string) (uint64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(upstream)
	return s.highest, s.known
}

// Begin asks to pass an order to the engine. With run set the caller passes it
// and then calls End. Without, the order had its effect before or is refused:
// StaleFence, FenceUnknown, InProgress for the same order still running,
// OrderRefused while another one runs or is not settled.
func (g *Gate) Begin(o Order) (run bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(o.Upstream)
	if !s.known {
		return false, result.New(result.FenceUnknown, "the fencing number of %s is not known yet", o.Upstream)
	}
	if o.Fence < s.highest {
		return false, result.New(result.StaleFence, "order %s carries %d, the highest seen is %d", o.ID, o.Fence, s.highest)
	}
	s.highest = o.Fence
	if d, ok := s.find(o.ID); ok {
		return false, d.err()
	}
	if s.running == o.ID {
		return false, result.New(result.InProgress, "order %s is running", o.ID)
	}
	if s.running != "" || s.unsettled {
		return false, result.New(result.OrderRefused, "an earlier order to %s has not settled", o.Upstream)
	}
	s.running = o.ID
	return true, nil
}

func (s *gateState) find(id string) (doneOrder, bool) {
	for _, d := range s.done {
		if d.id == id {
			return d, true
		}
	}
	return doneOrder{}, false
}

// err avoids a typed nil in the interface.
func (d doneOrder) err() error {
	if d.refused == nil {
		return nil
	}
	return d.refused
}

// End notes how the order that Begin let through ended: failure is nil when
// it took effect. checks is set when the engine refuses old fencing numbers
// itself. With an unknown outcome an engine that does not check gets no
// further order until Settle, since the old one may still take effect.
func (g *Gate) End(o Order, failure *result.Error, checks bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(o.Upstream)
	if s.running != o.ID {
		return
	}
	s.running = ""
	if failure != nil && failure.Outcome == result.Unknown {
		s.unsettled = !checks
		return
	}
	s.done = append(s.done, doneOrder{o.ID, failure})
	if len(s.done) > maxDone {
		s.done = s.done[1:]
	}
}

// Settle lets orders through again after the agent has read the engine's
// state back and found that nothing of the last order is outstanding.
func (g *Gate) Settle(upstream string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state(upstream).unsettled = false
}
