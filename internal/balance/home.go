package balance

// maxGroup is the greatest mean number of upstreams in a group.
const maxGroup = 256

// group is a part of a pool's members with their hashes side by side.
type group struct {
	hashes  []uint64
	members []*member
}

// groupsOf splits the members by hash into a power of two of groups, so that
// the homes of a prefix are found by scanning one group. A member that comes
// or goes touches its own group only.
func groupsOf(members []*member) []group {
	n := 1
	for len(members)/n > maxGroup {
		n *= 2
	}
	groups := make([]group, n)
	for _, m := range members {
		g := &groups[m.hash%uint64(n)]
		g.hashes = append(g.hashes, m.hash)
		g.members = append(g.members, m)
	}
	return groups
}

// homes returns the two upstreams for which may holds that rank highest for the
// prefix by rendezvous hashing. Every entry ranks alike, so they agree without
// a message; the prefixes of an upstream that is lost spread over the others.
// Either may be nil.
func (pl *pool) homes(prefix uint64, may func(*member) bool) (first, second *member) {
	g := &pl.groups[mix(prefix)%uint64(len(pl.groups))]
	var firstScore, secondScore uint64
	one, two := -1, -1
	for i, h := range g.hashes {
		score := mix(h ^ prefix)
		if score <= secondScore || !may(g.members[i]) {
			continue
		}
		if score <= firstScore {
			two, secondScore = i, score
			continue
		}
		two, secondScore = one, firstScore
		one, firstScore = i, score
	}
	return g.member(one), g.member(two)
}

func (g *group) member(i int) *member {
	if i < 0 {
		return nil
	}
	return g.members[i]
}
