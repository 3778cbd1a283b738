package retrywindow

import "time"

// leastOffset tracks the least difference between this gateway's clock when a message was read
// and the peer's when it was sent. It follows clocks that drift apart or that stop, such as that
// of a paused virtual machine. The zero value has no difference.
type leastOffset struct {
	known             bool
	since             time.Duration
	previous, current time.Duration
}

// observe records a difference seen at the given time and returns the least one of at least the
// last span in which messages were read.
func (o *leastOffset) observe(offset, at, span time.Duration) time.Duration {
	switch {
	case !o.known:
		*o = leastOffset{known: true, since: at, previous: offset, current: offset}
	case at-o.since >= span:
		// After a freeze, the messages that waited must not replace both.
		o.since, o.previous, o.current = at, o.current, offset
	}
	o.current = min(o.current, offset)
	return min(o.previous, o.current)
}
