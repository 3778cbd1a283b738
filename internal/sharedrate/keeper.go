package sharedrate

import (
	"math"
	"slices"
	"time"
)

// Keeper enforces one gateway's shares of the limits of upstreams. Its times are on this
// host's clock. It is not safe for concurrent use.
type Keeper struct {
	clock    Clock
	limits   limitTable
	shares   map[Boot]*share
	demands  map[string]*demand
	groups   map[string]group
	groupsAt time.Duration
	// nextWarmUp is where Blocked begins, so that all upstreams have their turn.
	nextWarmUp int
}

// RecordLimit records the limit in an upstream's response to this gateway. It reports whether
// the rate changed.
func (k *Keeper) RecordLimit(b Boot, limit RateLimit) (changed bool) {
	return k.limits.observe(b, limit, true)
}

// RecordPeerLimit records a limit that a peer received from an upstream.
func (k *Keeper) RecordPeerLimit(b Boot, limit RateLimit) (changed bool) {
	return k.limits.observe(b, limit, false)
}

// SetWarmUp limits an upstream that warms up to a rate, from the next slot on; zero ends
// the limit. It reports whether that is a change.
func (k *Keeper) SetWarmUp(b Boot, perSecond float64) (changed bool) {
	was, limited := k.limits.warmUps[b]
	switch {
	case perSecond > 0:
		if k.limits.warmUps == nil {
			k.limits.warmUps = map[Boot]float64{}
		}
		k.limits.warmUps[b] = min(max(perSecond, minRate), maxRate)
		return !limited || was != k.limits.warmUps[b]
	case limited:
		delete(k.limits.warmUps, b)
		if !k.limits.announced(b) {
			delete(k.shares, b) // its slots must not count when it is limited again
		}
	}
	return limited
}

// Limit returns the rate limit of an upstream and its age.
func (k *Keeper) Limit(b Boot, now time.Duration) (perSecond float64, age time.Duration, ok bool) {
	w, ok := k.limits.limit(b)
	if !ok {
		return 0, 0, false
	}
	return w.PerSecond, now - w.At, true
}

// Prune drops the limits of upstreams that are no longer listed.
func (k *Keeper) Prune(listed map[Boot]bool) {
	k.limits.prune(listed)
	for b := range k.shares {
		if !listed[b] {
			delete(k.shares, b)
		}
	}
}

// ObserveClock records a reading of the clock that all gateways share.
func (k *Keeper) ObserveClock(receivedAt, shared time.Duration) { k.clock.Observe(receivedAt, shared) }

// Request counts a caller's request for a service.
func (k *Keeper) Request(service string, value float64, now time.Duration) {
	k.demand(service).request(value, now)
}

func (k *Keeper) demand(service string) *demand {
	d := k.demands[service]
	if d == nil {
		d = &demand{}
		if k.demands == nil {
			k.demands = map[string]*demand{}
		}
		k.demands[service] = d
	}
	return d
}

// SentLimit is one upstream's limit as sent to peers.
type SentLimit struct {
	Boot Boot
	// PerSecond is zero when the limit has ended.
	PerSecond float64
	Age       time.Duration
}

// endedLimitRetention is how long the end of a limit is sent to peers, since any single
// gossip message may be lost.
const endedLimitRetention = 10 * time.Second

// GossipState returns the content of a gossip message: the latest limits that this gateway
// received from upstreams, newest first, and the demand for each service, which determines
// the shares from now on.
func (k *Keeper) GossipState(now time.Duration) (limits []SentLimit, demands map[string]Level) {
	for b, w := range k.limits.own {
		if w.limited() || now-w.At <= endedLimitRetention {
			limits = append(limits, SentLimit{Boot: b, PerSecond: w.PerSecond, Age: now - w.At})
		}
	}
	slices.SortFunc(limits, func(a, b SentLimit) int { return int(a.Age - b.Age) })
	demands = make(map[string]Level, len(k.demands))
	for service, d := range k.demands {
		if next := d.advertised.next(d.perSecond(now)); next < d.advertised || !k.partitioned(service, now) {
			d.advertised = next
		}
		demands[service] = d.advertised
	}
	return limits, demands
}

// partitioned reports whether many of the gateways that share the rates of a service are
// silent. An increase in demand is not sent then: the silent ones would keep using the old
// shares.
func (k *Keeper) partitioned(service string, now time.Duration) bool {
	g := k.groups[service]
	return now-k.groupsAt <= 2*groupRefreshInterval && len(g.reachable) < len(g.members) && g.takeover < 1
}

// groupRefreshInterval is how long a view of the other gateways is used: much shorter than
// the time in which a silent gateway is detected.
const groupRefreshInterval = 200 * time.Millisecond

// HasLimits reports whether any upstream has a limit.
func (k *Keeper) HasLimits() bool { return !k.limits.empty() }

// HasWarmUps reports whether any upstream warms up.
func (k *Keeper) HasWarmUps() bool { return len(k.limits.warmUps) > 0 }

// MembersStale reports whether SetMembers should be called again.
func (k *Keeper) MembersStale(now time.Duration) bool {
	return k.groups == nil || now-k.groupsAt >= groupRefreshInterval
}

// MemberCounts returns how many gateways share the rates of a service (listed), and how many
// of them have sent a message recently, including this one (reachable).
func (k *Keeper) MemberCounts(service string) (reachable, listed int) {
	g := k.groups[service]
	return len(g.reachable), len(g.members)
}

// SetMembers sets which gateways share the rates of each service besides this gateway. While
// the others are not known, none may be given for a service: this gateway then has no share.
func (k *Keeper) SetMembers(self string, others map[string][]Member, now time.Duration) {
	k.groups, k.groupsAt = make(map[string]group, len(others)), now
	for service, members := range others {
		k.groups[service] = newGroup(Member{Name: self, Demand: k.demand(service).advertised}, members)
	}
}

// Services returns the services that have had requests.
func (k *Keeper) Services() []string {
	out := make([]string, 0, len(k.demands))
	for s := range k.demands {
		out = append(out, s)
	}
	return out
}

// MustSend is the value of a request that must be sent, such as the retry of one that failed
// at an upstream: it is not compared with others.
var MustSend = math.Inf(1)

// maxWarmUpsEvaluated bounds the upstreams that warm up whose slots are evaluated for one
// request. The owner of each slot is found among all gateways, so a failure domain of a
// thousand upstreams that is back would cost more than the request; a few of them are
// enough to choose from.
const maxWarmUpsEvaluated = 24

// Blocked returns which of a service's upstreams may not be sent a request of this value
// now because of their limits; nil when all may.
func (k *Keeper) Blocked(service string, boots []Boot, value float64, now time.Duration) map[Boot]bool {
	if k.limits.empty() {
		return nil
	}
	var blocked map[Boot]bool
	grants, warmUps := 0, 0
	k.nextWarmUp++
	for i := range boots {
		b := boots[(i+k.nextWarmUp)%len(boots)]
		w, ok := k.limits.limit(b)
		if !ok {
			continue
		}
		if blocked == nil {
			blocked = map[Boot]bool{}
		}
		announced := k.limits.announced(b)
		if !announced {
			if warmUps++; warmUps > maxWarmUpsEvaluated {
				blocked[b] = true
				continue
			}
		}
		n, _ := k.share(b, w, service, now).left()
		if n > 0 && !announced {
			continue // a short warm-up is no reason to wait for a more valuable request
		}
		blocked[b] = true
		grants += n
	}
	if grants == 0 {
		return blocked
	}
	shared, _ := k.clock.Now(now)
	for b := range blocked {
		if n, until := k.shares[b].left(); n > 0 && k.demand(service).shouldUseGrant(value, grants, until-shared, now) {
			delete(blocked, b)
		}
	}
	return blocked
}

// Spent returns which upstreams have a limit and no grant of this gateway left as of the
// last request. It changes nothing.
func (k *Keeper) Spent(boots []Boot) map[Boot]bool {
	out := map[Boot]bool{}
	for _, b := range boots {
		if _, ok := k.limits.limit(b); !ok {
			continue
		}
		if s := k.shares[b]; s == nil {
			out[b] = true
		} else if n, _ := s.left(); n == 0 {
			out[b] = true
		}
	}
	return out
}

// share returns the up-to-date share of an upstream with a limit.
func (k *Keeper) share(b Boot, w RateLimit, service string, now time.Duration) *share {
	s := k.shares[b]
	if s == nil {
		s = &share{}
		if k.shares == nil {
			k.shares = map[Boot]*share{}
		}
		k.shares[b] = s
	}
	s.setRate(w)
	if shared, ok := k.clock.Now(now); ok {
		g := k.groups[service]
		s.advance(b, &g, shared)
	}
	return s
}

// Grant is the right to send one request to an upstream; the zero value is the grant for an
// upstream without a limit.
type Grant struct {
	boot    Boot
	limited bool
	until   time.Duration
}

// Limited reports whether the upstream has a limit.
func (g Grant) Limited() bool { return g.limited }

// Take uses a grant for an upstream that Blocked did not return. ok is false when no grant is
// left.
func (k *Keeper) Take(b Boot) (g Grant, ok bool) {
	if _, limited := k.limits.limit(b); !limited {
		return Grant{}, true
	}
	s := k.shares[b]
	if s == nil {
		return Grant{}, false // the limit was received after the upstream was chosen
	}
	until, ok := s.take()
	return Grant{boot: b, limited: true, until: until}, ok
}

// GiveBack returns a grant whose request was not sent.
func (k *Keeper) GiveBack(g Grant) {
	if s := k.shares[g.boot]; g.limited && s != nil {
		s.giveBack(g.until)
	}
}

// RetryAfter returns when a caller that found all upstreams at their limits should retry:
// after the retry times of the callers before it. A caller that waits at most maxWait, and
// would have to wait longer, reserves no retry time. ok is false while this gateway has no
// share.
func (k *Keeper) RetryAfter(service string, boots []Boot, maxWait, now time.Duration) (wait time.Duration, ok bool) {
	rate := 0.0
	for _, b := range boots {
		if w, limited := k.limits.limit(b); limited {
			rate += w.PerSecond
		}
	}
	g := k.groups[service]
	if rate *= g.share(); rate <= 0 {
		return 0, false
	}
	d := k.demand(service)
	due := max(d.lastRetryAt, now) + time.Duration(float64(time.Second)/rate)
	if due-now <= maxWait {
		d.lastRetryAt = due
	}
	return due - now, true
}

// Announced reports whether the upstream itself has set a limit.
func (k *Keeper) Announced(b Boot) bool { return k.limits.announced(b) }
