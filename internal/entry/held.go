package entry

import (
	"slices"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// spentFor is how long an entry leaves a version alone after an agent said
// that its budget of unrated answers is spent.
const spentFor = 250 * time.Millisecond

// resting are the versions that take no work for a moment.
type resting struct {
	mu    sync.Mutex
	until map[catalog.VersionName]time.Time
}

func (r *resting) rest(v catalog.VersionName, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until == nil {
		r.until = map[catalog.VersionName]time.Time{}
	}
	r.until[v] = until
}

// list returns the resting versions, sorted; nil when there are none.
func (r *resting) list(now time.Time) []catalog.VersionName {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []catalog.VersionName
	for v, until := range r.until {
		if now.After(until) {
			delete(r.until, v)
			continue
		}
		out = append(out, v)
	}
	slices.Sort(out)
	return out
}
