package versionshift

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Evidence counts the responses of both versions, at one gateway or summed over many.
// New, OldGood and OldBad cover the last seconds only (see EvidenceWindow), so that the
// earlier good responses of a version that turns bad late do not outweigh its failures.
type Evidence struct {
	// GoodTotal counts the new version's good responses since the start of the shift.
	GoodTotal int
	// New counts the responses of the new version by the hash of the upstream's ID. Bad
	// responses are failures that the upstream itself reported and responses several
	// times slower than the old version's.
	New map[uint32]Tally
	// OldGood and OldBad count the responses of the old version.
	OldGood int
	OldBad  int
	// OldRunning counts the requests in flight on the old version.
	OldRunning int
	// Sent counts the requests sent to the service since the order, retries included;
	// SentNew counts those of them that went to the new version.
	Sent    int
	SentNew int
}

// Tally counts good and bad responses.
type Tally struct{ Good, Bad int }

// Add returns the sum of the evidence of two gateways.
func (e Evidence) Add(o Evidence) Evidence {
	sum := Evidence{New: make(map[uint32]Tally, len(e.New)+len(o.New))}
	sum.merge(e)
	sum.merge(o)
	return sum
}

// merge adds the evidence of another gateway in place. It writes to e.New, which must
// not be shared.
func (e *Evidence) merge(o Evidence) {
	e.GoodTotal += o.GoodTotal
	e.OldGood += o.OldGood
	e.OldBad += o.OldBad
	e.OldRunning += o.OldRunning
	e.Sent += o.Sent
	e.SentNew += o.SentNew
	for id, t := range o.New {
		prev := e.New[id]
		e.New[id] = Tally{Good: prev.Good + t.Good, Bad: prev.Bad + t.Bad}
	}
}

// EvidenceSum accumulates the evidence of many gateways in place: the cost of each addition grows
// with the evidence added and not with the sum. It is not safe for concurrent use.
type EvidenceSum struct{ classes map[string]*Evidence }

// Add adds one gateway's evidence of a class.
func (s *EvidenceSum) Add(class string, e Evidence) {
	if s.classes == nil {
		s.classes = map[string]*Evidence{}
	}
	sum := s.classes[class]
	if sum == nil {
		sum = &Evidence{New: map[uint32]Tally{}}
		s.classes[class] = sum
	}
	sum.merge(e)
}

// ByClass returns the sum by class. Add must not be called afterwards, since the result
// shares its maps with the sum.
func (s *EvidenceSum) ByClass() EvidenceByClass {
	out := make(EvidenceByClass, len(s.classes))
	for class, e := range s.classes {
		out[class] = *e
	}
	return out
}

// total sums the new version's responses over all upstreams; failing is the number of
// upstreams that gave bad ones.
func (e Evidence) total() (t Tally, failing int) {
	for _, n := range e.New {
		t.Good += n.Good
		t.Bad += n.Bad
		if n.Bad > 0 {
			failing++
		}
	}
	return t, failing
}

// withoutWorst sums the new version's responses without those of the upstreams that gave
// the most bad ones. It leaves out as many upstreams as may fail for reasons of their own
// (see maxFaultyFraction).
func (e Evidence) withoutWorst() (t Tally) {
	upstreams := make([]Tally, 0, len(e.New))
	for _, n := range e.New {
		upstreams = append(upstreams, n)
	}
	slices.SortFunc(upstreams, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Good, b.Good))
	})
	faulty := int(math.Ceil(maxFaultyFraction * float64(len(upstreams))))
	for _, n := range upstreams[min(faulty, len(upstreams)):] {
		t.Good += n.Good
		t.Bad += n.Bad
	}
	return t
}

// Summary is the evidence of a class as it is logged.
type Summary struct {
	GoodTotal  int `json:"judged"`
	NewGood    int `json:"newGood"`
	NewBad     int `json:"newBad"`
	Upstreams  int `json:"newUpstreams"`
	Failing    int `json:"failingUpstreams"`
	OldGood    int `json:"oldGood"`
	OldBad     int `json:"oldBad"`
	OldRunning int `json:"oldRunning"`
	Sent       int `json:"sent"`
	SentNew    int `json:"sentNew"`
}

// Summarize returns a summary of each class for the log, without counts by upstream.
func (s EvidenceByClass) Summarize() map[string]Summary {
	out := make(map[string]Summary, len(s))
	for class, e := range s {
		t, failing := e.total()
		out[class] = Summary{
			GoodTotal: e.GoodTotal, NewGood: t.Good, NewBad: t.Bad, Upstreams: len(e.New), Failing: failing,
			OldGood: e.OldGood, OldBad: e.OldBad, OldRunning: e.OldRunning, Sent: e.Sent, SentNew: e.SentNew,
		}
	}
	return out
}

// Thresholds of the sequential test (see Evidence.logOdds). Odds are given as natural
// logarithms and are positive if the evidence is against the new version.
const (
	// minBadVersionRate is the minimum rate of bad responses that makes a version bad.
	minBadVersionRate = 0.3
	// minBadVersionMargin is how far the rate of a bad version is above the old version's
	// at least.
	minBadVersionMargin = 0.2
	// minOldVersionRate is the lower bound of the rate that is assumed of the old version.
	minOldVersionRate = 0.04
	// goodVersionFactor is how many times the old version's rate a good version may have.
	goodVersionFactor = 1.5
	// withdrawLogOdds is the threshold at which a version is withdrawn: odds of a thousand
	// to one.
	withdrawLogOdds = 6.9
	// withdrawOthersLogOdds is the threshold that the responses without those of the worst
	// upstreams must reach as well for a withdrawal: ten to one.
	withdrawOthersLogOdds = 2.3
	// suspectLogOdds is the threshold above which a shift waits for more evidence, unless
	// the responses without those of the worst upstreams reach clearedLogOdds, ten to one
	// in favour of the version. A suspicion is severe from severeLogOdds, twenty to one,
	// which takes at least two failures.
	suspectLogOdds = 1.0
	severeLogOdds  = 3.0
	clearedLogOdds = -2.3
	// maxFaultyFraction is the fraction of a version's upstreams that may fail for reasons
	// of their own: the users' faults of single upstreams affect no more.
	maxFaultyFraction = 0.2
	// minWithdrawBad is the minimum number of bad responses for a withdrawal.
	minWithdrawBad = 4
	// minBusyBad is the number of bad responses of busy upstreams from which good ones must
	// outweigh them. A good version has that many among thirty responses in one shift of
	// 300.
	minBusyBad = 3
	// minFailingBad is the number of bad responses of one upstream after which more of them
	// would add no evidence.
	minFailingBad = 4
)

// EvidenceWindow is the window that evidence covers. At a trial's share the users'
// services give about thirty responses in it.
const EvidenceWindow = 6 * time.Second

// EvidenceByClass is the evidence by class (see Class). A version may be bad only on one
// route, or only under load, which the sum over all classes hides.
type EvidenceByClass map[string]Evidence

// LoadLevel is the load level of an upstream at the time a request was sent to it.
type LoadLevel uint8

// Load levels, by the number of slots in use.
const (
	// Light means that at most half of the slots are in use.
	Light LoadLevel = iota
	// Loaded means that over half of the slots are in use, counting requests whose prompts
	// are still queued.
	Loaded
	// Busy means that over half of the slots are in use, not counting queued requests.
	Busy
)

// LoadLevelOf returns the load level of an upstream with running requests in flight, of which
// active have received an event. Without known slots it is Light.
func LoadLevelOf(running, active, slots int) LoadLevel {
	switch {
	case slots <= 0:
		return Light
	case 2*active > slots:
		return Busy
	case 2*running > slots:
		return Loaded
	}
	return Light
}

// classSuffixes are the suffixes of class names by load level.
var classSuffixes = [...]string{Light: "", Loaded: "|loaded", Busy: "|busy"}

// Class returns the name of the class of responses that upstreams at one load level gave
// on one route.
func Class(route string, level LoadLevel) string { return route + classSuffixes[level] }

// classLevel returns the load level of a class.
func classLevel(class string) LoadLevel {
	switch {
	case strings.HasSuffix(class, classSuffixes[Busy]):
		return Busy
	case strings.HasSuffix(class, classSuffixes[Loaded]):
		return Loaded
	}
	return Light
}

// fromLevel sums the classes of the given load level and above.
func (s EvidenceByClass) fromLevel(minLevel LoadLevel) Evidence {
	sum := Evidence{New: map[uint32]Tally{}}
	for class, e := range s {
		if classLevel(class) >= minLevel {
			sum.merge(e)
		}
	}
	return sum
}

// Add returns the sum of the evidence of two gateways, class by class.
func (s EvidenceByClass) Add(o EvidenceByClass) EvidenceByClass {
	out := make(EvidenceByClass, len(s)+len(o))
	for class, e := range s {
		out[class] = e
	}
	for class, e := range o {
		out[class] = out[class].Add(e)
	}
	return out
}

// Sum returns the sum over all classes.
func (s EvidenceByClass) Sum() Evidence { return s.fromLevel(Light) }

// goodWhenBusy reports whether busy upstreams have given enough good responses. If their
// failures are not outweighed, only the responses without those of the worst upstreams
// count. This guards against a bad version whose first busy upstream fails, which looks
// like a faulty upstream, while the next has given only a few responses, all good by
// chance.
func (s EvidenceByClass) goodWhenBusy() bool {
	busy := s.fromLevel(Busy)
	if t, _ := busy.total(); busy.logOdds(t) <= clearedLogOdds {
		return busy.GoodTotal >= minBusyGood
	}
	return busy.withoutWorst().Good >= minBusyGood
}

// failsWhenBusy reports whether busy upstreams have given more bad responses than chance
// explains, and too few good ones since (see goodWhenBusy).
func (s EvidenceByClass) failsWhenBusy() bool {
	return s.failsFromLevel(Busy)
}

// failsWhenLoaded is like failsWhenBusy for upstreams that are loaded or busy. It guards
// against a bad version in a shift with too little traffic to keep upstreams busy: the
// failures of loaded upstreams predict those under more load.
func (s EvidenceByClass) failsWhenLoaded() bool { return s.failsFromLevel(Loaded) }

// failsFromLevel is like failsWhenBusy for upstreams of the given load level and above.
func (s EvidenceByClass) failsFromLevel(minLevel LoadLevel) bool {
	e := s.fromLevel(minLevel)
	t, _ := e.total()
	return t.Bad >= minBusyBad && e.logOdds(t) > 0 && !s.goodWhenBusy()
}

// Failing reports whether an upstream of the new version has given so many bad responses
// that more of them would add no evidence. The id is the hash of the upstream's ID.
func (s EvidenceByClass) Failing(id uint32) bool {
	bad := 0
	for _, e := range s {
		bad += e.New[id].Bad
	}
	return bad >= minFailingBad
}

// assessment is the result of the sequential test of the new version.
type assessment struct {
	// bad is true if the version must be withdrawn. The responses without those of the
	// worst upstreams are against it too, since a few failing upstreams do not make a
	// version bad.
	bad bool
	// suspected is true while a class of responses is against the version and the
	// responses without those of the worst upstreams have not cleared it.
	suspected bool
	// severe is true if a suspicion is too strong to give the version all requests.
	severe bool
}

// assess evaluates each class by itself and, for each load level, the sum of the classes
// of that level and above.
func (s EvidenceByClass) assess() (a assessment) {
	evaluate := func(e Evidence) {
		t, _ := e.total()
		logOdds, othersLogOdds := e.logOdds(t), e.logOdds(e.withoutWorst())
		enough := t.Bad >= minWithdrawBad
		suspected := logOdds > suspectLogOdds && othersLogOdds > clearedLogOdds
		a.bad = a.bad || (enough && logOdds >= withdrawLogOdds && othersLogOdds >= withdrawOthersLogOdds)
		a.suspected = a.suspected || suspected
		a.severe = a.severe || (suspected && logOdds >= severeLogOdds)
	}
	for _, e := range s {
		evaluate(e)
	}
	for minLevel := range LoadLevel(len(classSuffixes)) {
		evaluate(s.fromLevel(minLevel))
	}
	return a
}

// logOdds is a sequential test of the new version's rate of bad responses against the old
// version's. It returns the natural logarithm of the odds that the new version is bad.
func (e Evidence) logOdds(t Tally) float64 {
	oldRate := minOldVersionRate
	if n := e.OldGood + e.OldBad; n > 0 {
		oldRate = max(oldRate, goodVersionFactor*float64(e.OldBad)/float64(n))
	}
	badRate := max(minBadVersionRate, oldRate+minBadVersionMargin)
	if badRate > 1-minOldVersionRate {
		return 0 // the old version fails too often to be told from a bad one
	}
	return float64(t.Bad)*math.Log(badRate/oldRate) + float64(t.Good)*math.Log((1-badRate)/(1-oldRate))
}
