package quarantine

import "time"

// rosterMemory is how long an upstream that is no longer listed is remembered: its
// successor at the address may be listed later.
const rosterMemory = time.Minute

// Listed is an upstream as the list shows it.
type Listed struct {
	ID, Address string
	Boot        Boot
	// Born is when the boot started, on its own clock, in Unix milliseconds; zero if unknown.
	Born int64
	// Leaving is true once the upstream has announced its departure.
	Leaving bool
}

// Ending is the end of a boot that the list shows.
type Ending struct {
	Listed
	// Successor is the boot that took its ID; zero if that of its address has another ID.
	Successor Boot
	// Planned is true when the boot had announced that it leaves.
	Planned bool
	// Removed is when the boot was no longer listed; zero if it was listed to the end.
	Removed time.Time
	// After is when the list was last read with the boot and without the successor.
	After time.Time
}

// explains reports whether an attempt that broke off at the given time did so because the boot
// ended, and not as planned.
func (e Ending) explains(at time.Time) bool {
	unlisted := !e.Removed.IsZero() && at.Sub(e.Removed) > crashMatch
	return !e.Planned && !unlisted && at.After(e.After.Add(-listSlack))
}

// Roster finds out from the list of upstreams which boots have ended: another boot has
// their ID or their address. It is not safe for concurrent use; the zero value is empty.
type Roster struct {
	known     map[string]*rosterEntry
	byAddress map[string]string
	// readAt is when the list was read last, before this time.
	readAt, previousRead time.Time
}

type rosterEntry struct {
	Listed
	// removed is when the upstream was no longer listed, listedUntil when the list was read
	// before that.
	removed, listedUntil time.Time
}

// Read records that the list is read; the changes follow.
func (r *Roster) Read(now time.Time) { r.previousRead, r.readAt = r.readAt, now }

// Put records an upstream that is new or has changed, and returns the boots that its entry
// shows to have ended.
func (r *Roster) Put(l Listed) (ended []Ending) {
	if r.known == nil {
		r.known, r.byAddress = map[string]*rosterEntry{}, map[string]string{}
	}
	old := r.known[l.ID]
	if old != nil && old.Boot != l.Boot {
		if l.Born <= old.Born {
			return nil // an older entry, such as one of a store that came back older
		}
		ended = append(ended, r.ending(old, l.Boot))
	}
	if other := r.known[r.byAddress[l.Address]]; other != nil && other.ID != l.ID && other.Address == l.Address && other.Born > 0 && l.Born > other.Born {
		ended = append(ended, r.ending(other, 0))
		delete(r.known, other.ID)
	}
	r.known[l.ID], r.byAddress[l.Address] = &rosterEntry{Listed: l}, l.ID
	return ended
}

func (r *Roster) ending(e *rosterEntry, successor Boot) Ending {
	out := Ending{Listed: e.Listed, Successor: successor, Planned: e.Leaving, Removed: e.removed, After: r.previousRead}
	if !e.removed.IsZero() {
		out.After = e.listedUntil
	}
	return out
}

// Remove records that an upstream is no longer listed.
func (r *Roster) Remove(id string, now time.Time) {
	if e := r.known[id]; e != nil && e.removed.IsZero() {
		e.removed, e.listedUntil = now, r.previousRead
	}
}

// Retain records that a full list holds no other upstreams than those.
func (r *Roster) Retain(listed map[string]bool, now time.Time) {
	for id := range r.known {
		if !listed[id] {
			r.Remove(id, now)
		}
	}
}

// Leaves reports whether a boot leaves as planned: what ends with it says nothing.
func (r *Roster) Leaves(id string, b Boot, now time.Time) bool {
	e := r.known[id]
	return e != nil && e.Boot == b && e.leaves(now)
}

// leaves is true for an upstream that said so, and for one that served on for longer after its
// entry was removed than a crash and the end of its heartbeats can be apart in the list.
func (e *rosterEntry) leaves(now time.Time) bool {
	return e.Leaving || (!e.removed.IsZero() && now.Sub(e.removed) > crashMatch)
}

// Prune forgets upstreams that are no longer listed.
func (r *Roster) Prune(now time.Time) {
	for id, e := range r.known {
		if !e.removed.IsZero() && now.Sub(e.removed) > rosterMemory {
			delete(r.known, id)
			if r.byAddress[e.Address] == id {
				delete(r.byAddress, e.Address)
			}
		}
	}
}
