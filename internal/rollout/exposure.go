package rollout

import (
	"math"
	"sync/atomic"
)

// Budget bounds how many answers a new version gives to callers over the whole
// deployment. What is granted is a sum since the version's first answer that
// only rises, with ratings: so agents that know different numbers of ratings
// never grant more together than one that knows them all, and none asks
// another before it answers.
type Budget struct {
	// Start is granted before any rating.
	Start int
	// PerGood is granted on top for each good rating.
	PerGood int
	// Probation bounds all grants until the version is cleared.
	Probation int
	// Unrated bounds the answers without a rating once the version is
	// cleared; 0 is no bound.
	Unrated int
}

// Defaults of Budget.
const (
	DefaultStart     = 4
	DefaultPerGood   = 2
	DefaultProbation = 56
)

// NewBudget returns the default budget with the catalog's exposure as the
// bound after probation.
func NewBudget(exposure int) Budget {
	return Budget{
		Start:     DefaultStart,
		PerGood:   DefaultPerGood,
		Probation: DefaultProbation,
		Unrated:   exposure,
	}
}

// Unlimited is granted where there is no bound.
const Unlimited = math.MaxInt32

// Tally is what is known of a new version's answers, over all agents.
type Tally struct {
	// Good and Bad count ratings of answers that reached callers.
	Good int `json:"good"`
	Bad  int `json:"bad"`
	// Lost counts answers whose rating will not come although the rating
	// service answers. They count as rated once the version is cleared.
	Lost int `json:"lost,omitempty"`
	// Unserved counts answers that reached no caller: drafts that were
	// handed on and attempts that failed.
	Unserved int `json:"unserved,omitempty"`
	// Cleared is set when the version has passed its probation.
	Cleared bool `json:"cleared,omitempty"`
}

// rated returns how many answers wait for no rating.
func (t Tally) rated() int { return t.Good + t.Bad + t.Lost }

// Granted returns how many answers the version may have given in all.
func (b Budget) Granted(t Tally) int {
	if !t.Cleared {
		return min(b.Start+b.PerGood*t.Good, b.Probation) + t.Unserved
	}
	if b.Unrated == 0 {
		return Unlimited
	}
	return t.rated() + b.Unrated + t.Unserved
}

// Share returns the part of a grant that falls to the agent of the rank, from
// 0, among the agents that run the version. The shares add up to the grant and
// rise with it.
func Share(granted, rank, agents int) int {
	if agents <= 0 || rank < 0 || rank >= agents {
		return 0
	}
	if granted >= Unlimited {
		return Unlimited
	}
	share := granted / agents
	if rank < granted%agents {
		share++
	}
	return share
}

// Meter counts one agent's answers of one version against its share. It is
// safe for use by several goroutines.
type Meter struct {
	used  atomic.Int64
	limit atomic.Int64
}

// NewMeter starts a meter. An agent that has just started does not know what
// it answered before, so it takes its share so far for used up.
func NewMeter(share int, restarted bool) *Meter {
	m := &Meter{}
	m.limit.Store(int64(share))
	if restarted && share < Unlimited {
		m.used.Store(int64(share))
	}
	return m
}

// Raise sets the share. A share below the one before is ignored, so that late
// news takes nothing back that was counted on.
func (m *Meter) Raise(share int) {
	for {
		old := m.limit.Load()
		if int64(share) <= old || m.limit.CompareAndSwap(old, int64(share)) {
			return
		}
	}
}

// Take uses one answer of the share and reports whether there was one left.
// When there was none the request is refused with result.ExposureSpent.
func (m *Meter) Take() bool {
	for {
		used := m.used.Load()
		if used >= m.limit.Load() {
			return false
		}
		if m.used.CompareAndSwap(used, used+1) {
			return true
		}
	}
}

// Return gives an answer back whose attempt was not dispatched.
func (m *Meter) Return() { m.used.Add(-1) }

// Left returns what is left of the share.
func (m *Meter) Left() int { return int(max(0, m.limit.Load()-m.used.Load())) }
