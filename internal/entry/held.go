package entry

import (
	"slices"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/balance"
	"tarragonbay.example/tarragonbay/internal/catalog"
)

// spentFor is how long an entry leaves a version alone after an agent said
// that its budget of unrated answers is spent.
const spentFor = 250 * time.Millisecond

// Bounds of asking another host after one whose budget is spent.
const (
	// refusedFor is how long the others are asked first.
	refusedFor = 2 * time.Second
	// maxRefused is how many hosts are kept for each version.
	maxRefused = 4
)

// resting are the versions that take no work for a moment, and the upstreams
// that refused them last.
type resting struct {
	mu      sync.Mutex
	until   map[catalog.VersionName]time.Time
	refused map[catalog.VersionName][]refusal
}

// refusal is an upstream whose share of a version's budget is spent.
type refusal struct {
	upstream string
	until    time.Time
}

// rest leaves the version alone for a moment after the upstream said that its
// share is spent. The next try goes to another host, whose share may not be.
func (r *resting) rest(v catalog.VersionName, upstream string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until == nil {
		r.until = map[catalog.VersionName]time.Time{}
		r.refused = map[catalog.VersionName][]refusal{}
	}
	r.until[v] = now.Add(spentFor)
	r.refused[v] = append(r.refused[v], refusal{upstream, now.Add(refusedFor)})
	r.refused[v] = r.refused[v][max(0, len(r.refused[v])-maxRefused):]
}

// avoid adds the upstreams that refused the version lately to those tried. It
// reports whether there were any.
func (r *resting) avoid(v catalog.VersionName, now time.Time, tried *balance.TriedUpstreams) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := false
	for _, x := range r.refused[v] {
		if now.Before(x.until) {
			tried.Add(x.upstream)
			found = true
		}
	}
	return found
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
