package gateway

import (
	"tarragonbay.example/tarragonbay/internal/store"
	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// This file holds what a gateway keeps of shifts while the store's tables do not show it:
// after the store came back older, or while it cannot be written.

// mostPast bounds the earlier orders that are remembered of a service.
const maxPastOrders = 8

// knows reports whether an order is a known one that shows once more after the store came
// back older: as the copy holds it, or written again by the operator, which happens once.
func (s *serviceShift) isKnownOrder(o versionshift.Order) bool {
	for _, p := range s.pastOrders {
		if o.Copied(p) {
			return true
		}
	}
	if !s.ordered || !o.Repeats(s.order) {
		return false
	}
	if o.Copied(s.order) {
		return true
	}
	if store.Era(s.rewrittenRev) < store.Era(o.Rev) {
		s.rewrittenRev = o.Rev
	}
	return s.rewrittenRev == o.Rev
}

// cameBack notes that the store has come back from a copy: the rows of states may be gone
// or older than what is known.
func (b *shiftTracker) storeRestored(era uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.era = era
	for _, s := range b.services {
		s.unsaved = s.known
	}
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
}

// condemn notes that the evidence has a version withdrawn; it reports whether that is
// new. It answers a store that is away: the version gets nothing from here from now on,
// whenever the withdrawal can be written, and however old its evidence is by then.
func (b *shiftTracker) decideWithdrawal(st versionshift.State) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shift(st.Service)
	if s.withdrawal != nil && s.withdrawal.Order == st.Order {
		return false
	}
	s.withdrawal = &st
	return true
}

// condemned returns the withdrawal that was decided on for an order.
func (b *shiftTracker) decidedWithdrawal(o versionshift.Order) (versionshift.State, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shift(o.Service)
	if !s.isWithdrawn() {
		return versionshift.State{}, false
	}
	return *s.withdrawal, s.withdrawal.Of(o)
}

func (s *serviceShift) isWithdrawn() bool { return s.withdrawal != nil && s.withdrawal.Of(s.order) }

// listedIn notes that a list of the states in the era of a revision holds those of the
// services given alone.
func (b *shiftTracker) applyStateList(rev uint64, holds map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, s := range b.services {
		if s.known && !holds[name] && store.Era(s.rev) < store.Era(rev) {
			s.rev, s.unsaved = store.RevAt(store.Era(rev), 0), true
		}
	}
}

// unsavedState returns a state that must be written again, if there is one for the order.
func (b *shiftTracker) unsavedState(o versionshift.Order) (versionshift.State, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shift(o.Service)
	return s.state, s.unsaved && s.known && s.state.Of(o) && store.Era(s.rev) == b.era
}
