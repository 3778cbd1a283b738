package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// view is the compiled form of the configured upstreams. It is immutable; the
// replicas it points to are shared with earlier and later views.
type view struct {
	pools  map[Target]*pool
	byName map[string]*replica
	byHost map[string][]*replica
	// poolsOf lists the pools that a replica belongs to.
	poolsOf map[*replica][]*pool
}

// pool holds the upstreams of one target.
type pool struct {
	// members are all upstreams of the entry's region.
	members []*member
	// groups hold the members by hash, for affinityMembers.
	groups []group
	// ownDomain is the subset's part in this entry's failure domain.
	ownDomain []*member
	// otherDomains is the subset's part in the other failure domains.
	otherDomains []*member
	// subset is this entry's bounded selection over all domains.
	subset []*member
	// otherRegions are upstreams of other regions, used when no other is usable.
	otherRegions []*member
	typical      typicalSpeed
	// changed is set during Rebuild when an upstream's identity differs from
	// the previous view.
	changed bool
}

// Rebuild compiles the set. It is called with each new revision and keeps the
// counts, loads and health of upstreams that remain. Upstreams added after the
// first set begin with a slow start.
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

// configure applies the configured fields. The slots reported by the agent stay
// in force until the configured number changes. It reports whether the
// identity changed.
func (r *replica) configure(name string, u *catalog.Upstream, sameDomain bool) bool {
	next := identity{name: name, host: u.Host, agent: u.Agent, domain: u.Domain, region: u.Region, sameDomain: sameDomain}
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
	r.removeStaleTargets(u)
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

func (v *view) put(t Target, r *replica, sameRegion, changed bool) {
	pl, ok := v.pools[t]
	if !ok {
		pl = &pool{}
		v.pools[t] = pl
	}
	pl.changed = pl.changed || changed
	m := r.member(t)
	if sameRegion {
		pl.members = append(pl.members, m)
	} else {
		pl.otherRegions = append(pl.otherRegions, m)
	}
	v.poolsOf[r] = append(v.poolsOf[r], pl)
}

// reuse copies the derived parts of the previous pool when the members are the
// same, as in most revisions. It reports whether it did.
func (pl *pool) reuse(before *pool) bool {
	if before == nil || pl.changed || !slices.Equal(pl.members, before.members) {
		return false
	}
	pl.groups, pl.subset = before.groups, before.subset
	pl.ownDomain, pl.otherDomains = before.ownDomain, before.otherDomains
	return true
}

// compile fills the parts derived from the members.
func (pl *pool) compile(s Settings) {
	pl.groups = groupsOf(pl.members)
	pl.subset = subsetOf(pl.members, s.Entry, s.SubsetSize)
	for _, m := range pl.subset {
		if m.id.Load().domain == s.Domain {
			pl.ownDomain = append(pl.ownDomain, m)
		} else {
			pl.otherDomains = append(pl.otherDomains, m)
		}
	}
}

// subsetOf returns at most size members, the same number from each failure
// domain as far as possible, ranked by rendezvous hashing on the entry's name.
// Adding or removing a member changes at most one element.
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
	return takeRoundRobin(byDomain, domains, size)
}

// takeRoundRobin takes the best ranked member of each domain in turn.
func takeRoundRobin(byDomain map[string][]*member, domains []string, size int) []*member {
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
