package rollout

import (
	"math"
	"sync/atomic"
)

// Budget bounds how many responses a new version gives to callers over the whole
// deployment. The grant is cumulative since the version's first response and only
// rises, as ratings arrive. Agents that know of different numbers of ratings
// therefore never grant more together than an agent that knows of all of them, and
// no agent has to ask another before it serves a request.
type Budget struct {
	// Start is granted before the first rating.
	Start int
	// PerGood is granted in addition for each good rating.
	PerGood int
	// Probation bounds the total grant until the version is cleared.
	Probation int
	// MaxUnrated bounds the responses without a rating once the version is
	// cleared; 0 means no bound.
	MaxUnrated int
}

// Defaults of Budget.
const (
	DefaultStart     = 4
	DefaultPerGood   = 2
	DefaultProbation = 56
)

// NewBudget returns the default budget, with the exposure from the catalog as
// the bound after probation.
func NewBudget(exposure int) Budget {
	return Budget{
		Start:      DefaultStart,
		PerGood:    DefaultPerGood,
		Probation:  DefaultProbation,
		MaxUnrated: exposure,
	}
}

// Unlimited is the grant if there is no bound.
const Unlimited = math.MaxInt32

// Tally counts the responses of a new version over all agents.
type Tally struct {
	// Good and Bad count ratings of responses that reached callers.
	Good int `json:"good"`
	Bad  int `json:"bad"`
	// Lost counts responses whose rating will not arrive although the rating
	// service is available. They count as rated once the version is cleared.
	Lost int `json:"lost,omitempty"`
	// Unserved counts responses that reached no caller: drafts that a cascade
	// escalated and attempts that failed.
	Unserved int `json:"unserved,omitempty"`
	// Cleared is set when the version has passed its probation.
	Cleared bool `json:"cleared,omitempty"`
}

// ratedOrLost returns the number of responses with no rating outstanding.
func (t Tally) ratedOrLost() int { return t.Good + t.Bad + t.Lost }

// Granted returns how many responses the version may give in total.
func (b Budget) Granted(t Tally) int {
	if !t.Cleared {
		return min(b.Start+b.PerGood*t.Good, b.Probation) + t.Unserved
	}
	if b.MaxUnrated == 0 {
		return Unlimited
	}
	return t.ratedOrLost() + b.MaxUnrated + t.Unserved
}

// Share returns the part of a grant that belongs to the agent with the given
// rank, counted from 0, among the agents that run the version. The shares add up
// to the grant, and no share falls when the grant rises.
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

// Meter counts the responses of one version on one agent against the agent's
// share. It is safe for concurrent use.
type Meter struct {
	used  atomic.Int64
	limit atomic.Int64
}

// NewMeter returns a meter with the given share. A restarted agent does not know
// how many responses it gave before, so its current share counts as used.
func NewMeter(share int, restarted bool) *Meter {
	m := &Meter{}
	m.limit.Store(int64(share))
	if restarted && share < Unlimited {
		m.used.Store(int64(share))
	}
	return m
}

// Raise sets the share. It ignores a share below the current one, so that a late
// message does not revoke responses that were already granted.
func (m *Meter) Raise(share int) {
	for {
		old := m.limit.Load()
		if int64(share) <= old || m.limit.CompareAndSwap(old, int64(share)) {
			return
		}
	}
}

// Take uses one response of the share and reports whether one was left. If none
// is left, the request is refused with result.ExposureSpent.
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

// Return gives back a response whose attempt was not dispatched.
func (m *Meter) Return() { m.used.Add(-1) }

// Left returns the unused part of the share.
func (m *Meter) Left() int { return int(max(0, m.limit.Load()-m.used.Load())) }
