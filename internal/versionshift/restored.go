package versionshift

import "tarragonbay.example/tarragonbay/internal/store"

// This file handles a store that was restored from a snapshot some seconds old. The state
// of a shift may then be older than the one last written, or missing, and the operator
// writes the lost orders again, at revisions of a later era.

// Reissues reports whether the order is a known one that was written again in a later era.
func (o Order) Reissues(known Order) bool {
	return o.Service == known.Service && o.To == known.To && o.Within == known.Within && store.Era(o.Rev) > store.Era(known.Rev)
}

// RestoredFrom reports whether the order, read in a later era, is the row of a known order as
// it was in the snapshot. Rows of a snapshot keep the number of their revision.
func (o Order) RestoredFrom(known Order) bool {
	return o.Reissues(known) && store.Number(o.Rev) == store.Number(known.Rev)
}

// BelongsTo reports whether the state belongs to the order, which may have been written again in
// a later era since.
func (s State) BelongsTo(o Order) bool {
	return s.Order == o.Rev || o.Reissues(Order{Service: s.Service, To: s.To, Within: s.Within, Rev: s.Order})
}

// OlderThan reports whether the state, read in a later era, is older than the state that was
// known before. The known state then remains valid, since callers and the operator have
// acted on it. A known end of a shift is never replaced by another phase.
func (s State) OlderThan(known State) bool {
	order := Order{Service: s.Service, To: s.To, Within: s.Within, Rev: s.Order}
	same := s.Order == known.Order || known.BelongsTo(order) || s.BelongsTo(Order{Service: known.Service, To: known.To, Within: known.Within, Rev: known.Order})
	if !same {
		return s.Order < known.Order
	}
	if known.Ended() {
		return s.Phase != known.Phase
	}
	return s.Phase.rank() < known.Phase.rank()
}

// rank returns the position of the phase in the course of a shift.
func (p Phase) rank() int {
	switch p {
	case Trial:
		return 0
	case LoadTest:
		return 1
	case Moved:
		return 2
	}
	return 3 // Done or Withdrawn
}
