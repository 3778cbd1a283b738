package fake

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// HostFaults are the switches of the host list.
type HostFaults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// Lag is the age of the list that is returned.
	Lag time.Duration `json:"lag"`
}

// Hosts is the lagging list of hosts. All methods are safe for concurrent
// use.
type Hosts struct {
	now func() time.Time

	mu     sync.Mutex
	states map[string]ports.HostState
	past   []pastList
	faults HostFaults
	usage  Usage
}

// pastList is the list as it stood from a time on.
type pastList struct {
	from  time.Time
	hosts []ports.HostState
}

var _ ports.Hosts = (*Hosts)(nil)

func newHosts(now func() time.Time) *Hosts {
	return &Hosts{now: now, states: map[string]ports.HostState{}}
}

// SetFaults replaces the switches.
func (h *Hosts) SetFaults(f HostFaults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = f
}

// Faults returns the switches as they stand.
func (h *Hosts) Faults() HostFaults {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faults
}

// Usage returns what was asked for so far.
func (h *Hosts) Usage() Usage {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usage
}

// Put adds or replaces one host.
func (h *Hosts) Put(s ports.HostState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.states[s.Name] = s
	h.remember()
}

// Remove takes one host off the list.
func (h *Hosts) Remove(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.states, name)
	h.remember()
}

// remember keeps the list as it stands now. The caller holds the lock.
func (h *Hosts) remember() {
	list := make([]ports.HostState, 0, len(h.states))
	for _, s := range h.states {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b ports.HostState) int { return strings.Compare(a.Name, b.Name) })
	h.past = append(h.past, pastList{from: h.now(), hosts: list})
}

// List returns the list as it stood a lag ago.
func (h *Hosts) List(ctx context.Context) ([]ports.HostState, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.faults.Outage || ctx.Err() != nil {
		h.usage.Refused++
		return nil, result.New(result.HostsUnavailable, "the host list does not answer")
	}
	h.usage.Reads++
	at := h.now().Add(-h.faults.Lag)
	var list []ports.HostState
	for _, p := range h.past {
		if p.from.After(at) {
			break
		}
		list = p.hosts
	}
	return slices.Clone(list), nil
}
