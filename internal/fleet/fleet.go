// Package fleet tracks the known upstreams by the rows they publish in the store. It has
// no I/O: callers pass in rows and the time.
package fleet

import (
	"maps"
	"time"
)

// Upstream is one boot (one run of the process) of an upstream of a service.
type Upstream struct {
	// ID identifies the upstream; it may restart under the same ID.
	ID      string
	Service string
	// Address is IP:port. It may be reused by another upstream later.
	Address string
	// Domain is the failure domain.
	Domain string
	// Version is the version of the upstream's software or weights.
	Version string
	// Slots is how many requests it runs concurrently.
	Slots int
	// Leaving is true once the upstream has announced its departure.
	Leaving bool
	// Born is when this boot started, in Unix milliseconds; zero if unknown.
	Born int64
	// Boot identifies the boot at all hosts; zero if it was not computed.
	Boot uint32
	// ColdFor is how much longer the upstream stays cold, as of its row.
	ColdFor time.Duration
}

// entry is an upstream with the revision of its row.
type entry struct {
	Upstream
	rev uint64
}

// Fleet is the set of known upstreams. It is not safe for concurrent use.
type Fleet struct {
	known map[string]entry
	// rev is the newest revision that was applied.
	rev uint64
	// missing holds the upstreams whose rows were removed, with the time at which the
	// upstreams themselves count as gone.
	missing map[string]time.Time
	// restoredRev is the revision up to which rows may come from the copy from which the
	// store was restored: they may be older than the known state.
	restoredRev uint64
	// keepUntil is the time before which no missing upstream is dropped.
	keepUntil time.Time
	// unusable holds the IDs whose rows name no upstream to use.
	unusable map[string]bool
	// gone holds the start time of the last boot of each upstream that was dropped, in
	// Unix milliseconds, by ID.
	gone map[string]int64
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{known: map[string]entry{}, missing: map[string]time.Time{}, gone: map[string]int64{}, unusable: map[string]bool{}}
}

// StoreRestored records that the store was restored from a copy, at revision rev. Rows up to
// rev do not revert the known state of a boot, and no missing upstream is dropped before
// until.
func (f *Fleet) StoreRestored(rev uint64, until time.Time) { f.restoredRev, f.keepUntil = rev, until }

// maxLeftBoots is the maximum number of dropped boots that are remembered.
const maxLeftBoots = 10_000

// Rev returns the newest revision that was applied.
func (f *Fleet) Rev() uint64 { return f.rev }

// Put applies a row. It reports whether anything but the revision changed; an upstream
// whose row reappears after its removal counts as changed. Older rows than the known one
// are ignored.
func (f *Fleet) Put(u Upstream, rev uint64) bool {
	old, ok := f.known[u.ID]
	if ok && rev < old.rev {
		return false
	}
	if rev <= f.restoredRev && u.Born != 0 {
		if !ok && f.gone[u.ID] == u.Born {
			return false // it left after the copy was made
		}
		u.Leaving = u.Leaving || (ok && old.Leaving && old.Born == u.Born)
	}
	_, missing := f.missing[u.ID]
	delete(f.missing, u.ID)
	delete(f.unusable, u.ID)
	f.known[u.ID] = entry{Upstream: u, rev: rev}
	return !ok || missing || old.Upstream != u
}

// Remove applies the removal of a row at a revision. The upstream counts as gone at
// goneAt at the latest (see Expire), unless its row is put again before.
func (f *Fleet) Remove(id string, rev uint64, goneAt time.Time) {
	delete(f.unusable, id)
	f.remove(id, rev, goneAt)
}

func (f *Fleet) remove(id string, rev uint64, goneAt time.Time) {
	if old, ok := f.known[id]; ok && rev >= old.rev {
		f.missing[id] = goneAt
	}
}

// RemoveUnusable applies a row at a revision that names no upstream to use. An upstream that
// had the row before is gone at once. It reports whether the row named one, or is new.
func (f *Fleet) RemoveUnusable(id string, rev uint64) bool {
	f.remove(id, rev, time.Time{})
	known := f.unusable[id]
	f.unusable[id] = true
	return !known
}

// Advance records that all changes up to the revision were applied.
func (f *Fleet) Advance(rev uint64) { f.rev = max(f.rev, rev) }

// RemoveOthers applies a full list, which holds for each row whether it names an upstream to
// use. Upstreams that are not in it are missing and count as gone at goneAt, since rows that
// expired while the store was unavailable are published again shortly after it returns.
func (f *Fleet) RemoveOthers(listed map[string]bool, goneAt time.Time) {
	maps.DeleteFunc(f.unusable, func(id string, _ bool) bool {
		_, ok := listed[id]
		return !ok
	})
	for id := range f.known {
		if _, waiting := f.missing[id]; !listed[id] && !waiting {
			f.missing[id] = goneAt
		}
	}
}

// minLapsedShare is the share of a service's rows that must be missing for them to count
// as expired together. When fewer are missing, those upstreams left by themselves.
const minLapsedShare = 0.5

// Expire drops missing upstreams and returns their IDs: at once where most rows of the
// service remain, else when the grace period has passed. It drops none before the time
// set by StoreRestored.
func (f *Fleet) Expire(now time.Time) []string {
	known, missing := map[string]int{}, map[string]int{}
	for id, e := range f.known {
		known[e.Service]++
		if _, ok := f.missing[id]; ok {
			missing[e.Service]++
		}
	}
	var gone []string
	for id, at := range f.missing {
		service := f.known[id].Service
		lapsed := float64(missing[service]) >= minLapsedShare*float64(known[service])
		if !now.Before(f.keepUntil) && (!lapsed || !now.Before(at)) {
			gone = append(gone, id)
		}
	}
	if len(f.gone)+len(gone) > maxLeftBoots {
		clear(f.gone)
	}
	for _, id := range gone {
		f.gone[id] = f.known[id].Born
		delete(f.missing, id)
		delete(f.known, id)
	}
	return gone
}

// ByService returns the upstreams that may take new work, by service.
func (f *Fleet) ByService() map[string][]Upstream {
	out := map[string][]Upstream{}
	for _, e := range f.known {
		if !e.Leaving {
			out[e.Service] = append(out[e.Service], e.Upstream)
		}
	}
	return out
}

// Missing reports whether any known upstream has no row.
func (f *Fleet) Missing() bool { return len(f.missing) > 0 }

// Len returns the number of known upstreams, including leaving ones.
func (f *Fleet) Len() int { return len(f.known) }
