package fleet

import "time"

// Reading is what a gateway knows of the last reads of the list of upstreams.
type Reading struct {
	// Own is when it read the list itself, Told the latest read of a peer.
	Own, Told time.Time
	// Seen is the revision up to which it knows the list, Changed the revision
	// of the last change that a peer found.
	Seen, Changed uint64
	// Before counts the peers that read the list before this gateway does: those
	// heard of late whose names come first.
	Before int
}

// Parts of the time in which a leaving upstream must be left alone.
const (
	// readPart is the age of the last read at which the first gateway reads, and
	// readStep what each of the next ones waits longer, so that mostly one of
	// them reads for all. Even the last ones leave time for a second try.
	readPart = 0.3
	readStep = 0.12
	// laterGateways bounds the steps.
	laterGateways = 2
	// againPart is the least time between two own reads: the store may not show a
	// change yet that a peer has found.
	againPart = 0.1
	// ownPart is the greatest age of a gateway's own last read: peers may be
	// wrong in what they tell.
	ownPart = 2.5
)

// Due returns when the gateway should read the list itself. It answers many
// gateways that follow one list: each read that one of them tells of spares the
// others theirs, and a change that one found is read by all at once.
func (r Reading) Due(within time.Duration) time.Time {
	if r.Changed > r.Seen {
		return r.Own.Add(time.Duration(againPart * float64(within)))
	}
	step := float64(min(r.Before, laterGateways))
	due := r.Last().Add(time.Duration((readPart + readStep*step) * float64(within)))
	if own := r.Own.Add(time.Duration(ownPart * float64(within))); own.Before(due) {
		return own
	}
	return due
}

// Last returns when the gateway last knew the list: a peer's read counts unless
// it found a change that the gateway has not read.
func (r Reading) Last() time.Time {
	if r.Told.After(r.Own) && r.Changed <= r.Seen {
		return r.Told
	}
	return r.Own
}
