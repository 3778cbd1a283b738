package balance

// maxMeanGroupSize is the upper bound of the mean number of upstreams in a
// group.
const maxMeanGroupSize = 256

// group holds some of a pool's members, with their hashes in a contiguous
// slice.
type group struct {
	hashes  []uint64
	members []*member
}

// groupsOf splits the members by hash into a power of two of groups, so that
// the affinity members of a prefix are found by scanning one group. Adding or
// removing a member changes its own group only.
func groupsOf(members []*member) []group {
	n := 1
	for len(members)/n > maxMeanGroupSize {
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

// affinityMembers returns the primary and the secondary affinity upstream of the
// prefix: the two eligible ones that rank highest by rendezvous hashing. Every
// entry computes the same ranking, so entries agree without exchanging messages;
// the prefixes of a lost upstream spread over the others. Either may be nil.
func (pl *pool) affinityMembers(prefix uint64, eligible func(*member) bool) (first, second *member) {
	g := &pl.groups[mix(prefix)%uint64(len(pl.groups))]
	var firstScore, secondScore uint64
	one, two := -1, -1
	for i, h := range g.hashes {
		score := mix(h ^ prefix)
		if score <= secondScore || !eligible(g.members[i]) {
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
