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
}

// clearanceEntries is the number of features in one generation; a gateway has a few hundred
// shared parts in use.
const clearanceEntries = 8192

// add records a clearance; it reports whether it is the newest one of the feature.
func (c *clearances) add(f Feature, new clearance) bool {
	if at, ok := c.last(f); ok && !new.at.After(at) {
		return false
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
