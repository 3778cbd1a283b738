package holding

import "time"

// roomForConnection frees a connection, and the memory for it, if there is none. What is
// closed first costs ordinary callers least: a connection on which nothing came in time, then
// a request that has stalled, then the oldest of the fresh or of the idle connections,
// whichever are more.
func (s *Share) roomForConnection(bytes int64, now time.Time) (victims []victim, ok bool) {
	for s.open >= s.limits.Connections || s.used+bytes > s.limits.Bytes {
		c := first(
			s.byPhase[Fresh].stalled(now, freshTime),
			s.byPhase[Partial].stalled(now, partialTime),
			s.withoutRequest(nil),
			s.byPhase[Partial].front,
			s.byPhase[Running].stalledReader(now),
		)
		if c == nil {
			return victims, false
		}
		victims = append(victims, s.take(c, now))
	}
	return victims, true
}

// roomForBytes frees memory for more bytes of the client's request. A request that has
// stalled goes first, then the incomplete one that holds most if that is more than this one
// will hold, then connections without a request. A small request also takes the place of the
// incomplete one without progress for longest, since many that hold little each may fill the
// budget.
func (s *Share) roomForBytes(c *Client, bytes int64, now time.Time) (victims []victim, ok bool) {
	after := c.held + bytes
	for {
		lacksLarge := s.large+largePart(after)-largePart(c.held) > s.largeLimit()
		if !lacksLarge && s.used+bytes <= s.limits.Bytes {
			return victims, true
		}
		v := first(
			s.stalledPartial(c, lacksLarge, now),
			s.byPhase[Partial].largest(c, after),
		)
		if v == nil && !lacksLarge {
			v = s.withoutRequest(c)
		}
		if v == nil && after <= smallBytes {
			v = s.byPhase[Partial].except(c)
		}
		if v == nil {
			v = s.byPhase[Running].stalledReader(now)
		}
		if v == nil || v == c {
			return victims, false
		}
		victims = append(victims, s.take(v, now))
	}
}

// roomForAnswer frees memory for an answer. The request has run, so incomplete requests go
// first, however much they hold.
func (s *Share) roomForAnswer(c *Client, bytes int64, now time.Time) (victims []victim, ok bool) {
	for s.used+bytes > s.limits.Bytes {
		v := first(s.byPhase[Partial].largest(c, 0), s.withoutRequest(c))
		if v == nil {
			return victims, false
		}
		victims = append(victims, s.take(v, now))
	}
	return victims, true
}

func (s *Share) largeLimit() int64 { return int64(largeShare * float64(s.limits.Bytes)) }

// stalledPartial returns the incomplete request that has stalled for the longest, only large
// ones if so asked.
func (s *Share) stalledPartial(besides *Client, large bool, now time.Time) *Client {
	scanned := 0
	for c := s.byPhase[Partial].front; c != nil && scanned < maxScanned; c = c.next {
		scanned++
		if now.Sub(c.at) < partialTime {
			return nil
		}
		if c != besides && (!large || c.held > smallBytes) {
			return c
		}
	}
	return nil
}

// withoutRequest returns the oldest of the fresh connections or of the idle ones, whichever are
// more: a crowd makes room for itself.
func (s *Share) withoutRequest(besides *Client) *Client {
	fresh, idle := s.byPhase[Fresh].except(besides), s.byPhase[Idle].except(besides)
	if s.byPhase[Fresh].count > s.byPhase[Idle].count {
		return first(fresh, idle)
	}
	return first(idle, fresh)
}

// first returns the first client that is not nil.
func first(clients ...*Client) *Client {
	for _, c := range clients {
		if c != nil {
			return c
		}
	}
	return nil
}

// list holds the clients of one phase. The zero value is empty.
type list struct {
	front, back *Client
	count       int
}

func (l *list) pushBack(c *Client) {
	l.count++
	c.prev, c.next = l.back, nil
	if l.back != nil {
		l.back.next = c
	} else {
		l.front = c
	}
	l.back = c
}

func (l *list) remove(c *Client) {
	l.count--
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		l.front = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		l.back = c.prev
	}
	c.prev, c.next = nil, nil
}

// stalled returns the front if it has had no progress for the time.
func (l *list) stalled(now time.Time, after time.Duration) *Client {
	if l.front == nil || now.Sub(l.front.at) < after {
		return nil
	}
	return l.front
}

// except returns the first client that is not c.
func (l *list) except(c *Client) *Client {
	if l.front == c && c != nil {
		return c.next
	}
	return l.front
}

// largest returns the client that holds most, if that is more than the bytes.
func (l *list) largest(besides *Client, bytes int64) (most *Client) {
	scanned := 0
	for c := l.front; c != nil && scanned < maxScanned; c = c.next {
		scanned++
		if c != besides && c.held > bytes {
			most, bytes = c, c.held
		}
	}
	return most
}

// stalledReader returns a client that has left its answer unread for too long.
func (l *list) stalledReader(now time.Time) *Client {
	scanned := 0
	for c := l.front; c != nil && scanned < maxScanned; c = c.next {
		scanned++
		if c.unread(now) {
			return c
		}
	}
	return nil
}
