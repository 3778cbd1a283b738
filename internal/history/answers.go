package history

import "slices"

// checkAnswers judges what callers were told.
func (c *checker) checkAnswers() {
	for _, r := range c.order {
		if r.asked == nil || r.answered == nil {
			continue
		}
		if r.answered.Outcome == notRun && !r.answered.Whole && len(r.ran) > 0 {
			c.add(NotRunIsTrue, r.id, "its caller was told that it did not run, but %s ran it", r.ran[0].Upstream)
		}
		if r.answered.Whole {
			c.checkWhole(r)
		}
	}
}

// checkWhole finds the answer among those that were made for the request or,
// for a repeated key, for another request with that key.
func (c *checker) checkWhole(r *request) {
	served := r.served
	if r.answered.Replayed {
		served = c.servedForKey(r)
	}
	same := sameContent(served, r.answered.Digest)
	switch {
	case len(served) == 0:
		c.add(WholeAnswer, r.id, "its caller has an answer that no upstream made for it")
	case len(same) == 0:
		c.add(WholeAnswer, r.id, "its caller has another content than was made for it")
	case r.answered.Version != "" && !slices.ContainsFunc(same, func(e *Event) bool { return e.Version == r.answered.Version }):
		c.add(WholeAnswer, r.id, "its caller was told %s, but %s answered", r.answered.Version, same[0].Version)
	}
}

func sameContent(served []*Event, digest string) []*Event {
	var out []*Event
	for _, e := range served {
		if e.Digest == digest {
			out = append(out, e)
		}
	}
	return out
}

// sameKey returns the requests with the idempotency key of a request, itself
// included; none when it has no key.
func (c *checker) sameKey(r *request) []*request {
	if r.asked.Key == "" {
		return nil
	}
	return c.byKey[keyOf(r.asked)]
}

func (c *checker) servedForKey(r *request) []*Event {
	var out []*Event
	for _, o := range c.sameKey(r) {
		out = append(out, o.served...)
	}
	return out
}

// checkSessions compares the versions that answered each session.
func (c *checker) checkSessions() {
	type session struct{ organisation, name string }
	pinned := map[session]string{}
	for _, r := range c.byEnd() {
		if r.asked.Session == "" {
			continue
		}
		version := c.answeredBy(r)
		if version == "" {
			continue
		}
		s := session{r.asked.Organisation, r.asked.Session}
		if pinned[s] == "" {
			pinned[s] = version
		}
		if pinned[s] != version {
			c.add(SessionPinned, r.id, "session %q of %s went from %s to %s", s.name, s.organisation, pinned[s], version)
		}
	}
}

// byEnd returns the requests with a whole answer, in the order of their ends.
func (c *checker) byEnd() []*request {
	var out []*request
	for _, r := range c.order {
		if r.asked != nil && r.answered != nil && r.answered.Whole {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b *request) int { return a.answered.At.Compare(b.answered.At) })
	return out
}

// answeredBy returns the version that made the answer which the caller has.
func (c *checker) answeredBy(r *request) string {
	same := sameContent(r.served, r.answered.Digest)
	for _, e := range same {
		if e.Version == r.answered.Version {
			return e.Version
		}
	}
	if len(same) > 0 {
		return same[0].Version
	}
	return r.answered.Version
}

// checkStops finds requests that were cut while a daemon stopped as planned.
// A fault that was injected before the request's end excuses it, since the
// history cannot tell which of the two cut it.
func (c *checker) checkStops() {
	stopping := map[string]*Event{}
	for i := range c.events {
		e := &c.events[i]
		switch e.Kind {
		case Stopping:
			stopping[e.Source] = e
		case Stopped:
			if e.Code != 0 {
				c.add(GracefulStop, "", "%s ended its planned stop with exit status %d", e.Source, e.Code)
			}
			c.checkStop(stopping[e.Source], e)
			delete(stopping, e.Source)
		}
	}
	for _, e := range stopping {
		c.add(GracefulStop, "", "%s did not end its planned stop", e.Source)
	}
}

func (c *checker) checkStop(begin, end *Event) {
	if begin == nil {
		c.add(BadHistory, "", "%s stopped without the begin of its stop", end.Source)
		return
	}
	for _, r := range c.order {
		if r.asked == nil || r.answered == nil || !cut(r.answered) {
			continue
		}
		overlaps := r.asked.At.Before(end.At) && r.answered.At.After(begin.At)
		if overlaps && !c.faultBefore(r.answered) {
			c.add(GracefulStop, r.id, "was cut (code %d) while %s stopped", r.answered.Code, end.Source)
		}
	}
}

// deadlineExceeded is result.DeadlineExceeded: the caller's own limit.
const deadlineExceeded = 4004

func cut(answered *Event) bool {
	return !answered.Whole && !answered.GaveUp && answered.Outcome != notRun && answered.Code != deadlineExceeded
}

func (c *checker) faultBefore(e *Event) bool {
	return slices.ContainsFunc(c.events, func(f Event) bool { return f.Kind == Fault && f.At.Before(e.At) })
}
