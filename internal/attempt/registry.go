package attempt

import (
	"container/list"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

const (
	// MaxBudget is the longest budget an attempt may carry; a longer one is
	// cut to it.
	MaxBudget = 10 * time.Minute
	// MaxClockSkew bounds the difference between two hosts' wall clocks that
	// the refusal of late attempts tolerates.
	MaxClockSkew = time.Minute
	// MaxSettleTransit bounds how long a settle request travels: its sender
	// ignores an answer that comes later.
	MaxSettleTransit = 5 * time.Second
)

// Limits bound the registry's memory.
type Limits struct {
	// Live is the most attempts received, admitted or dispatched.
	Live int
	// Finished is the most finished or refused attempts remembered.
	Finished int
	// FinishedFor is how long a finished attempt is remembered. It must be
	// more than twice MaxClockSkew.
	FinishedFor time.Duration
	// Tombstones is the most tombstones written by Settle.
	Tombstones int
}

// DefaultLimits suit an agent that runs 50 attempts a second and up to 1,000
// for short times.
func DefaultLimits() Limits {
	return Limits{Live: 8192, Finished: 65536, FinishedFor: 3 * time.Minute, Tombstones: 32768}
}

// tombstoneFor outlives every late original: an attempt older than its budget
// and the skew is refused by its own send time.
const tombstoneFor = MaxBudget + MaxClockSkew

// Arrival is an attempt request as the agent received it.
type Arrival struct {
	AttemptID string
	RequestID string
	// Incarnation of the agent the sender believes in; 0 takes any.
	Incarnation uint64
	// SentAt is the sender's wall clock. It must be told.
	SentAt time.Time
	// Budget is the time left until the caller's deadline when it was sent.
	Budget time.Duration
}

// record is one remembered attempt.
type record struct {
	id       string
	request  string
	state    State
	outcome  result.Outcome
	received time.Time
	deadline time.Time
	// ended is when the record became finished or tombstoned.
	ended time.Time
}

// Registry is the agent's record of attempts. One lock guards it; every
// method is safe for concurrent use and takes a short, bounded time.
type Registry struct {
	incarnation uint64
	limits      Limits

	mu      sync.Mutex
	records map[string]*record
	live    int
	// ended holds finished and refused records, oldest first.
	ended *list.List
	// tombstones holds the records that Settle stopped, oldest first.
	tombstones *list.List
	// forgotten is the latest receive time of a dispatched attempt whose
	// record is gone. Nothing sent after it has been forgotten.
	forgotten time.Time
	// agedOut is the latest receive time of any attempt whose record was
	// dropped for its age.
	agedOut time.Time
}

// NewRegistry returns the empty registry of an agent's incarnation.
func NewRegistry(incarnation uint64, limits Limits) *Registry {
	return &Registry{
		incarnation: incarnation,
		limits:      limits,
		records:     map[string]*record{},
		ended:       list.New(),
		tombstones:  list.New(),
	}
}

// Receive takes in an attempt. For a repeated attempt ID it returns the state
// of the first and no error: the caller may attach to its answer and must not
// dispatch it. A new attempt returns Forgotten as its earlier state. The
// error is a *result.Error; its outcome is NotRun, but Unknown for an attempt
// so old that an earlier copy may have run and been forgotten.
func (r *Registry) Receive(now time.Time, a Arrival) (State, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if a.Incarnation != 0 && a.Incarnation != r.incarnation {
		return Forgotten, result.New(result.WrongIncarnation,
			"attempt is for incarnation %d, this is %d", a.Incarnation, r.incarnation).WithOutcome(result.NotRun)
	}
	if rec, ok := r.records[a.AttemptID]; ok {
		if rec.state == Tombstoned {
			return rec.state, result.New(result.Tombstoned, "attempt was settled before it was dispatched")
		}
		return rec.state, nil
	}
	budget := min(a.Budget, MaxBudget)
	if err := r.checkAge(now, a.SentAt, budget); err != nil {
		return Forgotten, err
	}
	if r.live >= r.limits.Live {
		return Forgotten, result.New(result.QueueFull, "agent holds %d attempts", r.live)
	}
	r.live++
	r.records[a.AttemptID] = &record{
		id: a.AttemptID, request: a.RequestID, state: Received,
		received: now, deadline: now.Add(budget),
	}
	return Forgotten, nil
}

// checkAge refuses an attempt that has outlived its budget by more than the
// clocks can differ, or that may be a copy of a forgotten one.
func (r *Registry) checkAge(now, sent time.Time, budget time.Duration) error {
	age := now.Sub(sent)
	switch {
	case sent.IsZero() || age < -MaxClockSkew:
		return result.New(result.BadField, "attempt has no credible send time")
	case !r.agedOut.IsZero() && !sent.Add(-MaxClockSkew).After(r.agedOut):
		return result.New(result.UnknownAttempt, "attempt is older than the agent's memory")
	case budget <= 0 || age > budget+MaxClockSkew:
		return result.New(result.DeadlineTooClose, "attempt arrived after its budget")
	}
	return nil
}

// Admit moves a received attempt to admitted.
func (r *Registry) Admit(now time.Time, id string) error {
	return r.advance(now, id, Received, Admitted)
}

// Dispatch moves an admitted attempt to dispatched. It is called right before
// the first byte goes to the upstream, and the attempt must not be sent when
// it fails. An attempt past its deadline is tombstoned instead.
func (r *Registry) Dispatch(now time.Time, id string) error {
	return r.advance(now, id, Admitted, Dispatched)
}

func (r *Registry) advance(now time.Time, id string, from, to State) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[id]
	if !ok {
		return result.New(result.UnknownAttempt, "attempt %s is not known", id)
	}
	if rec.state == Tombstoned {
		return result.New(result.Tombstoned, "attempt was settled before it was dispatched")
	}
	if rec.state != from {
		return badMove(rec, to)
	}
	if !now.Before(rec.deadline) {
		r.end(rec, now, Tombstoned, result.NotRun, r.ended)
		return result.New(result.DeadlineTooClose, "deadline passed before the attempt was dispatched")
	}
	rec.state = to
	return nil
}

// Refuse ends an attempt that was not dispatched; "not run" is then proven.
func (r *Registry) Refuse(now time.Time, id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[id]
	if !ok || rec.state == Tombstoned {
		return nil
	}
	if rec.state != Received && rec.state != Admitted {
		return badMove(rec, Tombstoned)
	}
	r.end(rec, now, Tombstoned, result.NotRun, r.ended)
	return nil
}

// Finish ends a dispatched attempt. NotRun is right only when no connection
// to the upstream was made.
func (r *Registry) Finish(now time.Time, id string, outcome result.Outcome) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[id]
	if !ok {
		return result.New(result.UnknownAttempt, "attempt %s is not known", id)
	}
	if rec.state != Dispatched {
		return badMove(rec, Finished)
	}
	r.end(rec, now, Finished, outcome, r.ended)
	return nil
}

func badMove(rec *record, to State) error {
	return result.New(result.Internal, "attempt %s cannot go from %s to %s", rec.id, rec.state, to)
}

// end moves a live record to an end state and files it.
func (r *Registry) end(rec *record, now time.Time, s State, o result.Outcome, file *list.List) {
	r.live--
	rec.state, rec.outcome, rec.ended = s, o, now
	file.PushBack(rec)
	r.expire(now)
}
