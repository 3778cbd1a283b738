package gateway

import (
	"tarragonbay.example/tarragonbay/internal/store"
	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// This file handles shifts whose state the store's tables do not show: after the store was
// restored from an older copy, while it cannot be written, or since something else has
// written there.

// maxPastOrders bounds the earlier orders that are remembered per service.
const maxPastOrders = 8

// isKnownOrder reports whether an order is a known one that appears again after the store
// was restored from an older copy: either as a row of the copy, or written again by the
// operator, which happens once.
func (s *serviceShift) isKnownOrder(o versionshift.Order) bool {
	for _, p := range s.pastOrders {
		if o.RestoredFrom(p) {
			return true
		}
	}
	if !s.ordered || !o.Reissues(s.order) {
		return false
	}
	if o.RestoredFrom(s.order) {
		return true
	}
	if store.Era(s.rewrittenRev) < store.Era(o.Rev) {
		s.rewrittenRev = o.Rev
	}
	return s.rewrittenRev == o.Rev
}

// storeRestored records that the store was restored from an older copy: the rows of states
// may be missing or older than the known states.
func (tr *shiftTracker) storeRestored(era uint64) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.era = era
	for _, s := range tr.services {
		s.unsaved = s.known
	}
	select {
	case tr.wakeup <- struct{}{}:
	default:
	}
}

// decideWithdrawal records that the evidence requires the withdrawal of a version; it
// reports whether the decision is new. It guards against an unreachable store: this
// gateway sends the version no more requests from now on, whenever the withdrawal can be
// written and however old its evidence is by then.
func (tr *shiftTracker) decideWithdrawal(st versionshift.State) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.shift(st.Service)
	if s.withdrawal != nil && s.withdrawal.Order == st.Order {
		return false
	}
	s.withdrawal = &st
	return true
}

// decidedWithdrawal returns the withdrawal that this gateway has decided on for an order.
func (tr *shiftTracker) decidedWithdrawal(o versionshift.Order) (versionshift.State, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.shift(o.Service)
	if !s.isWithdrawn() {
		return versionshift.State{}, false
	}
	return *s.withdrawal, s.withdrawal.BelongsTo(o)
}

// isWithdrawn reports whether this gateway has decided to withdraw the version of the current
// order.
func (s *serviceShift) isWithdrawn() bool {
	return s.withdrawal != nil && s.withdrawal.BelongsTo(s.order)
}

// applyStateList handles a full list of the states at rev: known states of an earlier era
// that are not in holds must be written again.
func (tr *shiftTracker) applyStateList(rev uint64, holds map[string]bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for name, s := range tr.services {
		if s.known && !holds[name] && store.Era(s.rev) < store.Era(rev) {
			s.rev, s.unsaved = store.RevAt(store.Era(rev), 0), true
		}
	}
}

// loseRow records that a service's row was removed or holds no state: a known state must be
// written again.
func (tr *shiftTracker) loseRow(r store.Row) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.shift(r.Name)
	if r.Rev <= s.rev {
		return
	}
	s.rev, s.unsaved = r.Rev, s.known
	if r.Removed {
		s.rev = store.RevAt(store.Era(r.Rev), 0)
	}
}

// unsavedState returns the state of the order if it must be written again.
func (tr *shiftTracker) unsavedState(o versionshift.Order) (versionshift.State, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.shift(o.Service)
	return s.state, s.unsaved && s.known && s.state.BelongsTo(o) && store.Era(s.rev) == tr.era
}
