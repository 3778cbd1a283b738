package sharedrate

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is one of the gateways that share the rates of a service.
type Member struct {
	// Name identifies the gateway.
	Name string
	// Reachable is true when a message from it arrived recently.
	Reachable bool
	// DemandKnown is true when it has sent its demand for the service; Demand is the last
	// one sent.
	DemandKnown bool
	Demand      Level
}

// Level is a quantised request rate: coarse, so that it rarely changes and all
// gateways have the same view most of the time.
type Level uint8

// Levels of demand.
const (
	// levelUnit is the rate of level zero in requests a second; each further level is
	// levelStep times as much.
	levelUnit = 0.125
	levelStep = math.Sqrt2
	maxLevel  = 40
	// levelHysteresis is how many levels a rate may deviate before the level changes.
	levelHysteresis = 0.75
)

// next returns the level of a rate, given that the last level was l.
func (l Level) next(perSecond float64) Level {
	at := math.Log(max(perSecond, levelUnit)/levelUnit) / math.Log(levelStep)
	if math.Abs(at-float64(l)) <= levelHysteresis {
		return l
	}
	return Level(min(math.Round(at), maxLevel))
}

// PerSecond returns the request rate of a level.
func (l Level) PerSecond() float64 { return levelUnit * math.Pow(levelStep, float64(min(l, maxLevel))) }

// Bounds on the takeover of slots of silent members.
const (
	// maxPartitionExcess is the maximum fraction of the rate by which all partitions of a
	// fleet together exceed it; upstreams tolerate an excess of one half.
	maxPartitionExcess = 0.3
	// maxWarmUpExcess is the same for upstreams that warm up: over a single second, chance
	// adds more to the excess than over the window of a limit.
	maxWarmUpExcess = 0.1
	// minTakeoverFraction is the minimum fraction of a fleet that takes over slots: a smaller
	// one is more likely cut off from the rest.
	minTakeoverFraction = 0.25
)

// group is one gateway's view of the gateways that share the rates of a service. The zero
// value owns no slots.
type group struct {
	// members are all members; the first one is this gateway.
	members []groupMember
	// reachable are the members with a recent message, including this gateway.
	reachable []groupMember
	// takeover is the fraction of the slots of silent members that the reachable ones take
	// over, warmUpTakeover the same for upstreams that warm up. It is below one while many
	// are silent, since those may be alive and use them.
	takeover, warmUpTakeover float64
	// leader is the smallest name hash of the reachable members. Partitions have different
	// leaders and therefore take over different slots.
	leader uint64
}

type groupMember struct {
	name   uint64
	weight float64
	silent bool
}

// newGroup builds the view from this gateway and the other listed members.
func newGroup(self Member, others []Member) group {
	self.Reachable, self.DemandKnown = true, true
	var g group
	reachable, knownWeight, known := 0.0, 0.0, 0
	for _, m := range append([]Member{self}, others...) {
		s := groupMember{name: xxhash.Sum64String(m.Name), silent: !m.Reachable}
		if m.DemandKnown {
			s.weight = math.Pow(levelStep, float64(min(m.Demand, maxLevel)))
			knownWeight += s.weight
			known++
		}
		g.members = append(g.members, s)
	}
	all := 0.0
	for i := range g.members {
		s := &g.members[i]
		if s.weight == 0 {
			s.weight = knownWeight / float64(known) // it has not sent its demand yet: use the mean
		}
		all += s.weight
		if !s.silent {
			if reachable == 0 || s.name < g.leader {
				g.leader = s.name
			}
			reachable += s.weight
			g.reachable = append(g.reachable, *s)
		}
	}
	if silent := all - reachable; silent > 0 && reachable >= minTakeoverFraction*all {
		g.takeover = min(1, maxPartitionExcess*reachable/silent)
		g.warmUpTakeover = min(1, maxWarmUpExcess*reachable/silent)
	}
	return g
}

// share returns the fraction of all slots that this gateway owns.
func (g *group) share() float64 {
	if len(g.members) == 0 {
		return 0
	}
	all, reachable := 0.0, 0.0
	for _, s := range g.members {
		all += s.weight
		if !s.silent {
			reachable += s.weight
		}
	}
	return g.members[0].weight / reachable * (reachable + g.takeover*(all-reachable)) / all
}

// owns reports whether a slot of an upstream's rate is this gateway's: its own, or that
// of a silent member which it takes over. Gateways with the same view agree; where views
// differ by one member, they disagree only on that member's slots (weighted rendezvous
// hashing).
func (g *group) owns(b Boot, slot int64, warmUp bool) bool {
	if len(g.members) == 0 {
		return false
	}
	takeover := g.takeover
	if warmUp {
		takeover = g.warmUpTakeover
	}
	owner := slotOwner(g.members, b, slot)
	if owner.silent && uniformHash(^g.leader, b, slot) < takeover {
		owner = slotOwner(g.reachable, b, slot)
	}
	return owner.name == g.members[0].name
}

// slotOwner returns the member that a slot belongs to.
func slotOwner(members []groupMember, b Boot, slot int64) (owner groupMember) {
	minScore := math.Inf(1)
	for _, s := range members {
		if score := -math.Log(uniformHash(s.name, b, slot)) / s.weight; score < minScore {
			owner, minScore = s, score
		}
	}
	return owner
}

// uniformHash hashes its arguments to a number in (0, 1] that is the same at every gateway.
func uniformHash(name uint64, b Boot, slot int64) float64 {
	var key [20]byte
	binary.LittleEndian.PutUint64(key[0:], name)
	binary.LittleEndian.PutUint32(key[8:], uint32(b))
	binary.LittleEndian.PutUint64(key[12:], uint64(slot))
	return float64(xxhash.Sum64(key[:])>>11+1) / (1 << 53)
}

// Length and lifetime of slots.
const (
	// minSlotLength is the length of the slots of high rates, which then allow several
	// requests each.
	minSlotLength = 10 * time.Millisecond
	// minSlotLifetime is how long the owner may use a slot of a high rate. A window of four
	// seconds, over which upstreams measure, then exceeds the rate by at most an eighth.
	minSlotLifetime = 500 * time.Millisecond
	// warmUpSlotLifetime is the same for upstreams that warm up. Each gateway of a large
	// fleet owns few slots and would let half of them expire sooner.
	warmUpSlotLifetime = 900 * time.Millisecond
)

// schedule divides time into slots of a rate.
type schedule struct {
	perSecond float64
	// warmUp is true for the rate of a warm-up.
	warmUp bool
}

// length returns the length of one slot.
func (s schedule) length() time.Duration {
	return max(minSlotLength, time.Duration(float64(time.Second)/s.perSecond))
}

// lifetime returns how long after its start a slot may be used. At low rates it is longer by
// one slot, since the owner must wait for a request and one more request is negligible.
func (s schedule) lifetime() time.Duration {
	lifetime := minSlotLifetime
	if s.warmUp {
		lifetime = warmUpSlotLifetime
	}
	return lifetime + time.Duration(float64(time.Second)/s.perSecond)
}

// slotAt returns the slot at a time.
func (s schedule) slotAt(shared time.Duration) int64 {
	return int64(math.Floor(float64(shared) / float64(s.length())))
}

func (s schedule) start(slot int64) time.Duration {
	return time.Duration(float64(slot) * float64(s.length()))
}

// capacity returns how many requests a slot allows.
func (s schedule) capacity(slot int64) int {
	each := s.perSecond * s.length().Seconds()
	if s.perSecond*minSlotLength.Seconds() <= 1 {
		return 1
	}
	return int(math.Floor(float64(slot+1)*each) - math.Floor(float64(slot)*each))
}
