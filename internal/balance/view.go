package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// view is the compiled form of the configured upstreams. It is immutable; the
// replicas it points to are shared with the views before and after.
type view struct {
	pools  map[Target]*pool
	byName map[string]*replica
	byHost map[string][]*replica
	// poolsOf lists the pools that a replica stands in.
	poolsOf map[*replica][]*pool
}

// pool is the upstreams of one target.
type pool struct {
	// members are all upstreams of the region.
	members []*member
	// groups hold the members by hash, for the homes of a prefix.
	groups []group
	// near is the subset's part in this entry's failure domain.
	near []*member
	// away is the subset's part in the other failure domains.
	away []*member
	// subset is the bounded choice of this entry over all domains.
	subset []*member
	// far are upstreams of other regions, used when nothing else is left.
	far     []*member
	typical typicalSpeed
	// changed is set while compiling when an upstream's identity differs
	// from the view before.
	changed bool
}

// Rebuild compiles the set. It is called with each new revision; counts,
// loads and health of upstreams that stay are kept. Upstreams that come later
// than the first set begin with a slow start.
func (p *Picker) Rebuild(set *catalog.Set, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.view.Load()
	first := len(old.byName) == 0
	v := &view{
		pools:   map[Target]*pool{},
		byName:  make(map[string]*replica, len(set.Upstreams)),
		byHost:  map[string][]*replica{},
		poolsOf: make(map[*replica][]*pool, len(set.Upstreams)),
	}
	region := p.regionOf(set)
	for _, name := range sortedNames(set.Upstreams) {
		u := set.Upstreams[name]
		r, known := old.byName[name]
		if !known {
			r = p.newReplica(name, now.UnixNano(), first)
		}
		changed := r.configure(name, u, u.Domain == p.settings.Domain)
		v.add(r, u, region, changed)
	}
	for t, pl := range v.pools {
		if !pl.reuse(old.pools[t]) {
			pl.compile(p.settings)
		}
	}
	p.view.Store(v)
}

func (p *Picker) newReplica(name string, now int64, first bool) *replica {
	if first {
		return newReplica(name, 0)
	}
	return newReplica(name, now)
}

// regionOf returns the region of this entry's failure domain.
func (p *Picker) regionOf(set *catalog.Set) string {
	for _, u := range set.Upstreams {
		if u.Domain == p.settings.Domain {
			return u.Region
		}
	}
	return ""
}

func sortedNames(m map[string]*catalog.Upstream) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// configure takes the configured fields. Slots that the agent reported stay
// until the configuration names another number. It reports whether the
// identity changed.
func (r *replica) configure(name string, u *catalog.Upstream, near bool) bool {
	next := identity{name: name, host: u.Host, agent: u.Agent, domain: u.Domain, region: u.Region, near: near}
	cur := r.id.Load()
	changed := cur == nil || *cur != next
	if changed {
		r.id.Store(&next)
	}
	slots := u.Slots
	if slots == 0 {
		slots = catalog.DefaultSlots
	}
	if r.configuredSlots.Swap(int32(slots)) != int32(slots) {
		r.slots.Store(int32(slots))
	}
	r.leavingConfig.Store(u.Leaving)
	r.forgetTargets(u)
	return changed
}

func (v *view) add(r *replica, u *catalog.Upstream, region string, changed bool) {
	v.byName[r.id.Load().name] = r
	v.byHost[u.Host] = append(v.byHost[u.Host], r)
	if u.Service != "" {
		v.put(Target{Service: u.Service}, r, u.Region == region, changed)
		return
	}
	if u.Role == "prefill" {
		return
	}
	for _, ver := range u.Versions {
		v.put(Target{Version: catalog.VersionName(ver)}, r, u.Region == region, changed)
	}
}

func (v *view) put(t Target, r *replica, near, changed bool) {
	pl, ok := v.pools[t]
	if !ok {
		pl = &pool{}
		v.pools[t] = pl
	}
	pl.changed = pl.changed || changed
	m := r.member(t)
	if near {
		pl.members = append(pl.members, m)
	} else {
		pl.far = append(pl.far, m)
	}
	v.poolsOf[r] = append(v.poolsOf[r], pl)
}

// reuse takes over the derived parts of the pool before when the members are
// the same, which is so for most revisions.
func (pl *pool) reuse(before *pool) bool {
	if before == nil || pl.changed || !slices.Equal(pl.members, before.members) {
		return false
	}
	pl.groups, pl.subset = before.groups, before.subset
	pl.near, pl.away = before.near, before.away
	return true
}

// compile fills the parts derived from the members.
func (pl *pool) compile(s Settings) {
	pl.groups = groupsOf(pl.members)
	pl.subset = subsetOf(pl.members, s.Entry, s.SubsetSize)
	for _, m := range pl.subset {
		if m.id.Load().domain == s.Domain {
			pl.near = append(pl.near, m)
		} else {
			pl.away = append(pl.away, m)
		}
	}
}

// subsetOf returns at most size members, the same number from each failure
// domain as far as it goes, ranked by rendezvous hashing on the entry's name.
// A member that comes or goes changes at most one place.
func subsetOf(members []*member, entry string, size int) []*member {
	if len(members) <= size {
		return members
	}
	seed := xxhash.Sum64String(entry)
	byDomain := map[string][]*member{}
	for _, m := range members {
		d := m.id.Load().domain
		byDomain[d] = append(byDomain[d], m)
	}
	domains := make([]string, 0, len(byDomain))
	for d, rs := range byDomain {
		domains = append(domains, d)
		slices.SortFunc(rs, func(a, b *member) int {
			return cmp.Compare(mix(b.hash^seed), mix(a.hash^seed))
		})
	}
	slices.Sort(domains)
	return takeInTurn(byDomain, domains, size)
}

// takeInTurn takes the best ranked of each domain in turn.
func takeInTurn(byDomain map[string][]*member, domains []string, size int) []*member {
	out := make([]*member, 0, size)
	for rank := 0; len(out) < size; rank++ {
		for _, d := range domains {
			if rank < len(byDomain[d]) && len(out) < size {
				out = append(out, byDomain[d][rank])
			}
		}
	}
	return out
}
