package agent

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tarragonbay.example/tarragonbay/internal/admission"
	"tarragonbay.example/tarragonbay/internal/balance"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/upstream"
)

// hostedUpstream is one upstream on this host.
type hostedUpstream struct {
	name   string
	config catalog.Upstream
	client *upstream.Client
	gate   *admission.Limiter
	// leaving is what the upstream says about itself.
	leaving atomic.Bool
	// healthy is false while the upstream cannot be reached.
	healthy    atomic.Bool
	firstToken smoothed
	// tokens measures the time between the tokens of streamed answers.
	tokens *balance.TokenMeter
	// loaded lists the versions that the engine said it holds.
	loaded atomic.Pointer[[]string]
	now    func() time.Time
	// stop ends the goroutine that ticks the gate.
	stop context.CancelFunc
}

// hosted is the set of upstreams on this host. A reader takes the map as it
// stands; a rebuild replaces it.
type hosted struct {
	host string
	now  func() time.Time

	mu     sync.Mutex
	byName atomic.Pointer[map[string]*hostedUpstream]
}

func (h *hosted) init(host string, now func() time.Time) {
	h.host = host
	h.now = now
	h.byName.Store(&map[string]*hostedUpstream{})
}

func (h *hosted) get(name string) (*hostedUpstream, bool) {
	u, ok := (*h.byName.Load())[name]
	return u, ok
}

func (h *hosted) all() []*hostedUpstream {
	return slices.SortedFunc(maps.Values(*h.byName.Load()), func(a, b *hostedUpstream) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
}

// rebuild takes the upstreams of this host from the set. One whose address
// stays keeps its client, gate and counts.
func (h *hosted) rebuild(set *catalog.Set) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := *h.byName.Load()
	next := map[string]*hostedUpstream{}
	for name, u := range set.Upstreams {
		if u.Host != h.host {
			continue
		}
		next[name] = h.update(old[name], name, u, set)
	}
	h.byName.Store(&next)
	for name, u := range old {
		if next[name] == nil || next[name].gate != u.gate {
			u.stop()
			u.client.Close()
		}
	}
}

func (h *hosted) update(old *hostedUpstream, name string, u *catalog.Upstream, set *catalog.Set) *hostedUpstream {
	slots := slotsOf(u)
	if old == nil || old.config.Address != u.Address {
		up := &hostedUpstream{
			name:   name,
			config: *u,
			client: upstream.NewClient(u.Address),
			gate:   admission.NewLimiter(admission.NewUpstreamController(slots, rand.Float64), h.now),
			tokens: &balance.TokenMeter{},
			now:    h.now,
		}
		up.healthy.Store(true)
		up.gate.Configure(set, 1)
		up.stop = runGate(up.gate)
		return up
	}
	up := &hostedUpstream{
		name: name, config: *u, client: old.client, gate: old.gate,
		tokens: old.tokens, now: old.now, stop: old.stop,
	}
	up.leaving.Store(old.leaving.Load())
	up.healthy.Store(old.healthy.Load())
	up.loaded.Store(old.loaded.Load())
	up.firstToken.value.Store(old.firstToken.value.Load())
	up.gate.SetLimit(slots)
	up.gate.Configure(set, 1)
	return up
}

// slotsOf is the limit of an upstream's gate.
func slotsOf(u *catalog.Upstream) int {
	if u.Slots == 0 {
		return catalog.DefaultSlots
	}
	return u.Slots
}

// runGate ticks the gate, which then refuses those who wait in vain, until the
// returned function is called.
func runGate(gate *admission.Limiter) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		tick := time.NewTicker(gateTick)
		defer tick.Stop()
		_ = gate.Run(ctx, tick.C)
	}()
	return cancel
}

// probe asks each model engine for its state.
func (h *hosted) probe(ctx context.Context) {
	for _, u := range h.all() {
		if u.config.Service != "" {
			continue
		}
		state, err := u.client.State(ctx)
		u.healthy.Store(err == nil)
		if err == nil {
			u.leaving.Store(state.Leaving)
			u.loaded.Store(&state.Versions)
		}
	}
}

// loadedVersions returns the versions that the engine said it holds, or nil.
func (u *hostedUpstream) loadedVersions() []string {
	if loaded := u.loaded.Load(); loaded != nil {
		return *loaded
	}
	return nil
}

// load is what rides on answers and reports.
func (u *hostedUpstream) load(leaving bool) *linkv1.Load {
	running, waiting := u.gate.Counts()
	return &linkv1.Load{
		InFlight:     uint32(running),
		Queued:       uint32(waiting),
		Slots:        uint32(slotsOf(&u.config)),
		FirstTokenUs: uint32(u.firstToken.get().Microseconds()),
		TokenUs:      uint32(u.tokens.Best(u.now()).Microseconds()),
		Leaving:      leaving || u.leaving.Load() || u.config.Leaving,
	}
}

// serves reports whether the upstream runs the version or service.
func (u *hostedUpstream) serves(version, service string) bool {
	if service != "" {
		return u.config.Service == service
	}
	return slices.Contains(u.config.Versions, version)
}

// smoothed is an exponentially smoothed duration.
type smoothed struct{ value atomic.Int64 }

// smoothing is the weight of a new observation, as one part in so many.
const smoothing = 8

func (s *smoothed) observe(d time.Duration) {
	old := s.value.Load()
	if old == 0 {
		s.value.Store(int64(d))
		return
	}
	s.value.Store(old + (int64(d)-old)/smoothing)
}

func (s *smoothed) get() time.Duration { return time.Duration(s.value.Load()) }
