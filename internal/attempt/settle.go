package attempt

import (
	"container/list"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

// Question asks what became of an attempt.
type Question struct {
	AttemptID string
	// Incarnation that the attempt itself named; 0 when it named none.
	Incarnation uint64
	// Age is the time since the attempt was sent, by the asker's clock; 0
	// when not told, which is taken as MaxBudget.
	Age time.Duration
}

// Settle answers what became of an attempt and stops one that was not
// dispatched. NotRun is told only when the attempt was not dispatched and
// this registry will refuse it from now on:
//
//   - An attempt for another incarnation may have run there: Unknown.
//   - A record tells its own outcome; one not yet dispatched is tombstoned.
//   - Without a record, an attempt that named no incarnation may still be on
//     its way to the agent's next one: Unknown.
//   - Without a record, any other attempt sent after everything this registry
//     has forgotten cannot have run here. A tombstone stops its late original.
//   - When no tombstone can be kept, the answer is Unknown.
func (r *Registry) Settle(now time.Time, q Question) Settlement {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	unknown := Settlement{Outcome: result.Unknown, State: Forgotten}
	if q.Incarnation != 0 && q.Incarnation != r.incarnation {
		return unknown
	}
	if rec, ok := r.records[q.AttemptID]; ok {
		return r.settleRecord(now, rec)
	}
	if q.Incarnation == 0 || !r.wouldRemember(now, q) || r.tombstones.Len() >= r.limits.Tombstones {
		return unknown
	}
	rec := &record{id: q.AttemptID, state: Tombstoned, received: now, ended: now}
	r.records[rec.id] = rec
	r.tombstones.PushBack(rec)
	return Settlement{Outcome: result.NotRun, State: Tombstoned}
}

func (r *Registry) settleRecord(now time.Time, rec *record) Settlement {
	switch rec.state {
	case Received, Admitted:
		if r.tombstones.Len() >= r.limits.Tombstones {
			return Settlement{Outcome: result.Unknown, State: rec.state}
		}
		r.end(rec, now, Tombstoned, result.NotRun, r.tombstones)
		return Settlement{Outcome: result.NotRun, State: Tombstoned}
	case Dispatched:
		return Settlement{Outcome: result.Unknown, State: Dispatched}
	default:
		return Settlement{Outcome: rec.outcome, State: rec.state}
	}
}

// wouldRemember reports whether the registry would hold a record of the
// attempt had it been dispatched by this process.
func (r *Registry) wouldRemember(now time.Time, q Question) bool {
	age := q.Age
	if age <= 0 {
		age = MaxBudget
	}
	earliest := now.Add(-age - MaxSettleTransit)
	return r.forgotten.IsZero() || earliest.After(r.forgotten)
}

// expire drops records that are past their age, and the oldest ended ones
// beyond the limit. Tombstones of Settle are never dropped early.
func (r *Registry) expire(now time.Time) {
	for r.ended.Len() > 0 {
		e := r.ended.Front()
		rec := e.Value.(*record)
		aged := now.Sub(rec.ended) >= r.limits.FinishedFor
		if r.ended.Len() <= r.limits.Finished && !aged {
			break
		}
		r.forget(rec, aged)
		r.drop(r.ended, e)
	}
	for r.tombstones.Len() > 0 {
		e := r.tombstones.Front()
		if now.Sub(e.Value.(*record).ended) < tombstoneFor {
			break
		}
		r.drop(r.tombstones, e)
	}
}

// forget notes that a record of an attempt is dropped.
func (r *Registry) forget(rec *record, aged bool) {
	if rec.state == Finished && rec.received.After(r.forgotten) {
		r.forgotten = rec.received
	}
	if aged && rec.received.After(r.agedOut) {
		r.agedOut = rec.received
	}
}

func (r *Registry) drop(file *list.List, e *list.Element) {
	rec := file.Remove(e).(*record)
	delete(r.records, rec.id)
}

// Cancel is called when the caller is gone. An attempt that was not
// dispatched ends as refused. It returns the state before, and the agent
// cancels the upstream call of a dispatched one.
func (r *Registry) Cancel(now time.Time, id string) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[id]
	if !ok {
		return Forgotten
	}
	before := rec.state
	if before == Received || before == Admitted {
		r.end(rec, now, Tombstoned, result.NotRun, r.ended)
	}
	return before
}

// Counts is the registry's size for the state dump and the metrics.
type Counts struct {
	Live       int `json:"live"`
	Ended      int `json:"ended"`
	Tombstones int `json:"tombstones"`
}

// Counts returns how many attempts are held.
func (r *Registry) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Counts{Live: r.live, Ended: r.ended.Len(), Tombstones: r.tombstones.Len()}
}

// Lookup returns the state of an attempt, or Forgotten.
func (r *Registry) Lookup(id string) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec, ok := r.records[id]; ok {
		return rec.state
	}
	return Forgotten
}
