package quarantine

import (
	"math"
	"slices"
	"time"
)

// A feature that crashes upstreams only some of the time, or that gets no further than the
// queue of its upstream, is found by the share of its requests that end in a crash.
const (
	// shareCrashes is the number of crashes from which the share counts.
	shareCrashes = 5
	// minShare is the least share of attempts with a feature that end in a crash.
	minShare = 0.25
	// releaseShare ends a hold once answers have lowered the share this far.
	releaseShare = 0.15
	// minContrast is the least ratio of that share to the share of attempts without the feature.
	minContrast = 2.0
	// minOthers is the number of answers without the feature that the comparison needs, since
	// baselineTime before the first crash: a gateway may have few requests.
	minOthers    = 10
	baselineTime = time.Minute
	// minEvidence is the least logarithm of the likelihood ratio of a feature that causes the
	// crashes to one that is present by chance: one in eight thousand.
	minEvidence = 9.0
	// priorAttempts and priorHits stand for attempts that were not observed.
	priorAttempts, priorHits = 20.0, 1.0
)

// answerCounts counts answers, in all and for features with strikes.
type answerCounts struct {
	byFeature map[Feature]*answerCount
	slots     [answerSlots]answerSlot
}

// answerCount counts the answers to requests with a feature since its first strike.
type answerCount struct {
	own   uint32
	peers map[string]uint32
}

// answerSlot counts this gateway's answers to requests that were sent in one slotTime.
type answerSlot struct {
	number int64
	count  uint32
}

const (
	slotTime    = 200 * time.Millisecond
	answerSlots = int64(strikeMemory / slotTime)
)

// slotOf numbers the slots of time.
func slotOf(at time.Time) int64 { return at.UnixNano() / int64(slotTime) }

func (c *answerCounts) follow(f Feature) {
	if c.byFeature[f] == nil {
		c.byFeature[f] = &answerCount{}
	}
}

func (c *answerCounts) count(f Feature) {
	if n := c.byFeature[f]; n != nil {
		n.own++
	}
}

// heard records the number of answers that a peer has counted.
func (c *answerCounts) heard(f Feature, peer string, count uint32) {
	n := c.byFeature[f]
	if n == nil || count == 0 {
		return
	}
	if n.peers == nil {
		n.peers = map[string]uint32{}
	}
	n.peers[peer] = count
}

func (c *answerCounts) own(f Feature) uint32 {
	if n := c.byFeature[f]; n != nil {
		return n.own
	}
	return 0
}

func (c *answerCounts) total(f Feature) (sum int) {
	n := c.byFeature[f]
	if n == nil {
		return 0
	}
	sum = int(n.own)
	for _, p := range n.peers {
		sum += int(p)
	}
	return sum
}

// answered counts an answer of any kind to a request that was sent at the given time.
func (c *answerCounts) answered(sentAt time.Time) {
	number := slotOf(sentAt)
	s := &c.slots[number%answerSlots]
	if s.number != number {
		*s = answerSlot{number: number}
	}
	s.count++
}

// since returns this gateway's answers to requests that were sent after a time, from the
// next slot on.
func (c *answerCounts) since(at, now time.Time) (sum int) {
	last := slotOf(now)
	for number := max(slotOf(at)+1, last-answerSlots+1); number <= last; number++ {
		if s := c.slots[number%answerSlots]; s.number == number {
			sum += int(s.count)
		}
	}
	return sum
}

// forget drops the counts of features without strikes or holds.
func (c *answerCounts) forget(strikes []strike, holds []*Hold) {
	struck := map[Feature]bool{}
	for _, h := range holds {
		for _, f := range h.Features {
			struck[f] = true
		}
	}
	for _, s := range strikes {
		for _, f := range s.Features {
			struck[f] = true
		}
	}
	for f := range c.byFeature {
		if !struck[f] {
			delete(c.byFeature, f)
		}
	}
}

// share compares the attempts with a feature with those without it.
type share struct {
	strikes []strike
	// crashes is the number of crashes under the feature, requests that of different requests,
	// answers that of the attempts that had an answer since the first one.
	crashes, requests, answers int
	single                     bool
	// allCrashes and allStrikes are those since the first one, with the feature or without.
	allCrashes, allStrikes int
	// ownAttempts are this gateway's attempts since then, ownWith those with the feature.
	// otherAnswers and otherStrikes are the ends of those without it.
	ownAttempts, ownWith, otherAnswers, otherStrikes int
	// baseline is the number of answers that show what is usual.
	baseline int
}

// shareOf returns what the strikes say about one feature, whether it had answers or not.
func (t *Tracker) shareOf(f Feature) (s share) {
	requests, alone := map[uint64]bool{}, t.heldAlone(f)
	for _, k := range t.strikes {
		if k.has(f) && !t.explained(k, f) && !k.EndedAt.Before(t.lifted[f]) && !alone(k) {
			s.strikes = append(s.strikes, k)
			requests[k.Request] = true
			s.single = s.single || f == Feature(k.Request)
		}
	}
	s.crashes, s.requests = countCrashes(s.strikes), len(requests)
	if s.crashes < shareCrashes-1 {
		return s
	}
	first := s.strikes[0].EndedAt
	all := make([]strike, 0, len(t.strikes))
	for _, k := range t.strikes {
		if k.EndedAt.Before(first) || t.explained(k, f) || alone(k) {
			continue
		}
		all = append(all, k)
		switch {
		case k.own && k.has(f):
			s.ownWith++
		case k.own:
			s.otherStrikes++
		}
	}
	s.allCrashes, s.allStrikes = countCrashes(all), len(all)
	s.answers = t.answers.total(f)
	own := int(t.answers.own(f))
	s.otherAnswers = max(0, t.answers.since(first, t.latest)-own)
	s.baseline = max(0, t.answers.since(first.Add(-baselineTime), t.latest)-own)
	s.ownWith += own
	s.ownAttempts = s.ownWith + s.otherAnswers + s.otherStrikes
	return s
}

// heldAlone returns whether a strike is that of the only request with the feature that is held
// by itself: what it shares with others is not to blame for it. Two such requests suggest
// that it is.
func (t *Tracker) heldAlone(f Feature) func(strike) bool {
	var request uint64
	for _, k := range t.strikes {
		if f == Feature(k.Request) || !k.has(f) || !slices.ContainsFunc(t.holds, func(h *Hold) bool { return h.Name == Feature(k.Request) }) {
			continue
		}
		if request != 0 && request != k.Request {
			return func(strike) bool { return false }
		}
		request = k.Request
	}
	return func(k strike) bool { return request != 0 && k.Request == request }
}

// countCrashes sorts strikes by their end and counts the crashes that are apart in time.
func countCrashes(strikes []strike) (n int) {
	slices.SortFunc(strikes, func(a, b strike) int { return a.EndedAt.Compare(b.EndedAt) })
	var last time.Time
	seen := map[Boot]bool{}
	for _, k := range strikes {
		if !seen[k.Boot] && k.EndedAt.Sub(last) >= crashGap {
			last = k.EndedAt
			n++
		}
		seen[k.Boot] = true
	}
	return n
}

// value is the share of attempts that ended in a crash.
func (s share) value() float64 { return float64(s.crashes) / float64(max(1, s.crashes+s.answers)) }

// unlikely reports whether chance does not explain the share: the feature is present at more
// crashes than its part of the traffic and the number of requests at a crash let expect.
func (s share) unlikely() bool {
	if s.crashes == 0 || s.baseline < minOthers || s.value() < minShare || s.value() < minContrast*rate(s.otherStrikes, s.otherStrikes+s.otherAnswers) {
		return false
	}
	perCrash := float64(s.allStrikes) / float64(s.allCrashes)
	expected := 1 - math.Exp(-perCrash*rate(s.ownWith, s.ownAttempts))
	without := float64(max(0, s.allCrashes-s.crashes))
	present := float64(s.crashes) / (float64(s.crashes) + without)
	if present <= expected {
		return false
	}
	evidence := float64(s.crashes) * math.Log(present/expected)
	if without > 0 {
		evidence += without * math.Log((1-present)/(1-expected))
	}
	return evidence >= minEvidence
}

// rate estimates a probability from hits among attempts.
func rate(hits, attempts int) float64 {
	return (float64(hits) + priorHits) / (float64(attempts) + priorAttempts)
}

// holds reports whether the feature is to be held.
func (s share) holds() bool {
	return s.crashes >= shareCrashes && (s.requests >= minRequests || s.single) && s.unlikely()
}

// Bounds of an outage.
const (
	// outageShare is the share of other requests that end in crashes at which the feature is not
	// present, from which the feature is not to blame.
	outageShare = 1.0 / 3
	// widespread is the share of requests from which a feature that had answers before is present
	// at too many crashes for that: then others count at all crashes, up to widespreadOutageShare.
	widespread            = 0.25
	widespreadOutageShare = 0.5
	// minOutage is the least number of other requests that ended so, or, under a widespread
	// feature, that have answers.
	minOutage = 3
)

// outage reports whether upstreams crash under most requests: a version or a service fails,
// and no feature is to blame. Strikes are those of all gateways; the others answer about as
// many requests as this one.
func (t *Tracker) outage(f Feature, e evidence) bool {
	if len(e.strikes) == 0 {
		return false // the hold of another gateway, which has decided
	}
	first, boots := e.strikes[0].EndedAt, map[Boot]bool{}
	for _, s := range e.strikes {
		boots[s.Boot] = true
	}
	with, struck, stray := t.answers.total(f), 0, 0
	for _, s := range t.strikes {
		switch {
		case s.EndedAt.Before(first):
		case s.has(f):
			with++
		case !t.explained(s, f):
			struck++
			if !boots[s.Boot] {
				stray++
			}
		}
	}
	answered := t.gateways * max(0, t.answers.since(first, t.latest)-int(t.answers.own(f)))
	if _, known := t.cleared.last(f); known && !e.single && float64(with) > widespread*float64(with+struck+answered) {
		unanswered := answered < minOutage && t.answers.since(first.Add(-baselineTime), t.latest) >= minOthers
		return unanswered || struck >= minOutage && float64(struck) > widespreadOutageShare*float64(struck+answered)
	}
	return stray >= minOutage && float64(stray) > outageShare*float64(stray+answered)
}

// holdByShare places a hold on the feature whose share is the least likely, if any.
func (t *Tracker) holdByShare(features []Feature) (changes []Change) {
	for {
		var worst Feature
		var found share
		for _, f := range features {
			if t.heldAs(f) {
				continue
			}
			if s := t.shareOf(f); s.holds() && s.value() > found.value() {
				worst, found = f, s
			}
		}
		if len(found.strikes) == 0 {
			return changes
		}
		h := &Hold{
			Name: worst, Features: t.equals(worst, found), Since: t.latest, Until: t.latest.Add(HoldTime), Placed: t.latest,
			Crashes: found.crashes, Answers: found.answers, countedBefore: t.answers.total(worst),
		}
		t.holds = append(t.holds, h)
		changes = append(changes, Change{Hold: *h})
	}
}

// equals returns f and the features of most of its strikes whose share is about as large.
func (t *Tracker) equals(f Feature, found share) []Feature {
	out := []Feature{f}
	if found.single {
		return out
	}
	counts := map[Feature]int{}
	for _, s := range found.strikes {
		for _, c := range s.Features {
			if c != f && c != Feature(s.Request) {
				counts[c]++
			}
		}
	}
	for c, n := range counts {
		if float64(n) >= commonShare*float64(len(found.strikes)) && t.shareOf(c).value() >= equalShare*found.value() {
			out = append(out, c)
		}
	}
	slices.Sort(out[1:])
	return out
}

// equalShare is the ratio of two shares from which either feature may be to blame.
const equalShare = 0.8

// outweighed reports whether answers outweigh the crashes of a hold that took answers into
// account.
func (h *Hold) outweighed(answers int) bool {
	return float64(h.Crashes) < releaseShare*float64(h.Crashes+answers)
}
