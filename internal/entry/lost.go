package entry

import (
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

const (
	// lostAfter is the age from which an answer without a rating is lost, if a
	// later answer of the version is rated. Ratings that all come late make
	// none lost.
	lostAfter = 10 * time.Minute
	// maxLostShare bounds the answers of a version that count as lost, as a
	// share of its ratings. A version that turns bad answers so much more
	// before its ratings show it, and no more.
	maxLostShare = 0.05
	// maxWaiting bounds the answers of a version that wait for a rating.
	maxWaiting = 4096
)

// unrated follows this entry's own answers of new versions until their rating
// comes or is lost. It is safe for concurrent use.
type unrated struct {
	mu       sync.Mutex
	versions map[catalog.VersionName]*waiting
}

// waiting are the answers of one version.
type waiting struct {
	// given maps requests to when their answers were given; order lists them
	// from the oldest on, with those that are rated meanwhile.
	given map[string]time.Time
	order []string
	// newest is when the newest rated answer was given.
	newest time.Time
	// rated and lost count this entry's own answers.
	rated, lost int
	// told is how many answers of the whole deployment were counted as lost.
	told int
}

// answered takes an answer that reached a caller and was handed in for rating.
func (u *unrated) answered(version catalog.VersionName, request string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.versions[version]
	if w == nil {
		if u.versions == nil {
			u.versions = map[catalog.VersionName]*waiting{}
		}
		w = &waiting{given: map[string]time.Time{}}
		u.versions[version] = w
	}
	w.given[request] = now
	w.order = append(w.order, request)
	if len(w.order) > maxWaiting {
		w.drop()
	}
}

// drop forgets the oldest answer.
func (w *waiting) drop() {
	delete(w.given, w.order[0])
	w.order = w.order[1:]
}

// rated takes a rating of whatever entry's answer.
func (u *unrated) rated(version catalog.VersionName, request string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.versions[version]
	if w == nil {
		return
	}
	given, own := w.given[request]
	if !own {
		return
	}
	delete(w.given, request)
	w.rated++
	if given.After(w.newest) {
		w.newest = given
	}
}

// lost returns how many more of a version's answers count as lost over the whole
// deployment, which has so many ratings: the share lost of this entry's own, up
// to the bound.
func (u *unrated) lost(version catalog.VersionName, ratings int, now time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.versions[version]
	if w == nil {
		return 0
	}
	w.expire(now)
	if w.rated == 0 {
		return 0
	}
	share := min(float64(w.lost)/float64(w.rated), maxLostShare)
	more := max(0, int(share*float64(ratings))-w.told)
	w.told += more
	return more
}

// expire counts the answers that are lost.
func (w *waiting) expire(now time.Time) {
	for len(w.order) > 0 {
		given, waits := w.given[w.order[0]]
		if waits && (now.Sub(given) < lostAfter || !w.newest.After(given)) {
			return
		}
		if waits {
			w.lost++
		}
		w.drop()
	}
}

// keep forgets the versions that are not in the configuration.
func (u *unrated) keep(set *catalog.Set) []catalog.VersionName {
	u.mu.Lock()
	defer u.mu.Unlock()
	var names []catalog.VersionName
	for name := range u.versions {
		if set.Versions[name] == nil {
			delete(u.versions, name)
			continue
		}
		names = append(names, name)
	}
	return names
}

// countLost tells the watch which answers of new versions are lost.
func (e *Entry) countLost() {
	set, _ := e.config.Set()
	now := e.now()
	for _, name := range e.unrated.keep(set) {
		tally := e.fleet.Observation(name, now).Tally
		if n := e.unrated.lost(name, tally.Good+tally.Bad, now); n > 0 {
			e.fleet.Lost(string(name), n)
		}
	}
}
