package history

// checkRevisions follows the revisions that were published and used.
func (c *checker) checkRevisions() {
	c.checkPublished()
	used := map[string]uint64{}
	for i := range c.events {
		e := &c.events[i]
		if e.Kind != InForce {
			continue
		}
		if e.Revision < used[e.Source] {
			c.add(NoRevert, "", "%s went from revision %d back to %d", e.Source, used[e.Source], e.Revision)
		}
		used[e.Source] = max(used[e.Source], e.Revision)
	}
	for _, r := range c.order {
		c.checkAnswerRevision(r)
	}
}

// checkPublished finds a revision number that went down or stands for two
// sets.
func (c *checker) checkPublished() {
	var last *Event
	for _, p := range c.published {
		if last != nil && p.Revision < last.Revision {
			c.add(NoRevert, "", "revision %d was published after %d", p.Revision, last.Revision)
		}
		if last != nil && p.Revision == last.Revision && hash(p) != hash(last) {
			c.add(NoRevert, "", "revision %d stands for two configurations", p.Revision)
		}
		last = p
	}
}

func hash(e *Event) string {
	if e.Config == nil {
		return ""
	}
	return e.Config.Hash
}

// checkAnswerRevision finds an answer on a revision that a later one had
// replaced everywhere before the request was asked.
func (c *checker) checkAnswerRevision(r *request) {
	if r.asked == nil || r.answered == nil || r.answered.Revision == 0 {
		return
	}
	for _, p := range c.published {
		if p.At.Add(InForceWithin).Before(r.asked.At) && p.Revision > r.answered.Revision {
			c.add(NoRevert, r.id, "was answered on revision %d after %d was in force", r.answered.Revision, p.Revision)
			return
		}
	}
}
