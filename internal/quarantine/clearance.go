package quarantine

import "time"

// clearances remembers when the last request with each feature that had an answer was sent.
// Two generations bound it: an entry lives for at least clearanceEntries newer ones. The
// zero value is ready to use.
type clearances struct {
	current, previous map[Feature]clearance
}

// clearance is when the last request with a feature that had an answer was sent.
type clearance struct {
	at time.Time
	// own is true when this gateway sent it.
	own bool
	// before are the times of this gateway's before it, the latest first.
	before [contradictions]time.Time
}

// contradictions is how many answers may contradict a hold after many crashes: a feature may
// crash upstreams only some of the time.
const contradictions = 2

// clearanceEntries is the number of features in one generation; a gateway has a few hundred
// shared parts in use.
const clearanceEntries = 8192

// add records a clearance; it reports whether it is the newest one of the feature.
func (c *clearances) add(f Feature, new clearance) bool {
	was, ok := c.get(f)
	if ok && !new.at.After(was.at) {
		return false
	}
	new.before = was.before
	if ok && was.own {
		copy(new.before[1:], was.before[:])
		new.before[0] = was.at
	}
	if c.current == nil || len(c.current) >= clearanceEntries {
		c.current, c.previous = map[Feature]clearance{}, c.current
	}
	c.current[f] = new
	return true
}

// last returns when the last request with the feature that had an answer was sent.
func (c *clearances) last(f Feature) (time.Time, bool) {
	e, ok := c.get(f)
	return e.at, ok
}

func (c *clearances) get(f Feature) (clearance, bool) {
	if e, ok := c.current[f]; ok {
		return e, true
	}
	e, ok := c.previous[f]
	return e, ok
}

// many reports whether more answers of this gateway than a hold after many crashes allows were to requests
// sent after the given time.
func (c *clearances) many(f Feature, since time.Time) bool {
	e, ok := c.get(f)
	return ok && e.before[contradictions-1].After(since)
}
