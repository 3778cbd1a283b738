package peers

import "time"

// maxStrangers bounds the unlisted gateways that are remembered.
const maxStrangers = 1000

// strangers decides when a message of an unlisted gateway makes this one read the table
// again: at once, then at growing intervals, since the row of that gateway may stay missing.
// The zero value is empty. It is not safe for concurrent use.
type strangers struct {
	known map[string]stranger
}

type stranger struct {
	// nextAt is the earliest time of the next read, pause the interval before it.
	nextAt time.Time
	pause  time.Duration
}

// heard records a message and reports whether it makes this gateway read the table. The
// interval between two reads grows up to maxPause.
func (s *strangers) heard(name string, now time.Time, maxPause time.Duration) bool {
	was, known := s.known[name]
	if known && now.Before(was.nextAt) {
		return false
	}
	if s.known == nil || len(s.known) >= maxStrangers {
		s.known = map[string]stranger{}
	}
	pause := min(max(2*was.pause, 2*promptListDelay), maxPause)
	s.known[name] = stranger{nextAt: now.Add(pause), pause: pause}
	return true
}

// forget drops a gateway that is listed.
func (s *strangers) forget(name string) { delete(s.known, name) }
