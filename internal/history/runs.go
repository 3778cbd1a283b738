package history

import (
	"slices"
	"time"
)

// checkRuns judges each call that reached an upstream.
func (c *checker) checkRuns() {
	for _, r := range c.order {
		for _, run := range r.ran {
			c.checkRun(r, run)
		}
	}
	c.checkLeaving()
	c.checkAttempts()
}

// checkAttempts finds an attempt that was dispatched more than once.
func (c *checker) checkAttempts() {
	type dispatch struct{ request, attempt string }
	seen := map[dispatch]bool{}
	for _, r := range c.order {
		for _, run := range r.ran {
			d := dispatch{r.id, run.Attempt}
			if run.Attempt != "" && seen[d] {
				c.add(AtMostOnce, r.id, "attempt %s reached an upstream more than once", run.Attempt)
			}
			seen[d] = true
		}
	}
}

func (c *checker) checkRun(r *request, run *Event) {
	if r.asked == nil {
		c.add(WholeAnswer, r.id, "%s ran a request that no one asked for", run.Upstream)
		return
	}
	configs := c.inForce(run.At)
	if len(configs) == 0 {
		c.add(Allowed, r.id, "ran on %s before any revision was published", run.Upstream)
		return
	}
	target := run.Version
	if run.Service != "" {
		target = run.Service
	}
	org := r.asked.Organisation
	if !slices.ContainsFunc(configs, func(x *Config) bool { return slices.Contains(x.Allowed[org], target) }) {
		c.add(Allowed, r.id, "%s ran on %s, which %s may not use", org, target, org)
	}
	if !slices.ContainsFunc(configs, func(x *Config) bool { return !slices.Contains(x.Withdrawn, target) }) {
		c.add(Withdrawn, r.id, "ran on %s after it was withdrawn", target)
	}
}

// inForce returns the configurations that a daemon may use at a time: the
// last one published, those that it replaced a moment ago, and one that was
// recorded right after.
func (c *checker) inForce(at time.Time) []*Config {
	var out []*Config
	for i, p := range c.published {
		if p.At.After(at.Add(publishLag)) {
			break
		}
		replaced := i+1 < len(c.published) && c.published[i+1].At.Add(InForceWithin).Before(at)
		if !replaced && p.Config != nil {
			out = append(out, p.Config)
		}
	}
	return out
}

// checkLeaving follows the upstreams that leave, in the order of time.
func (c *checker) checkLeaving() {
	left := map[string]time.Time{}
	for i := range c.events {
		e := &c.events[i]
		name := e.Upstream
		switch e.Kind {
		case Leaving:
			if _, known := left[name]; !known {
				left[name] = e.At
			}
		case Returned:
			delete(left, name)
		case Ran:
			since, leaving := left[name]
			if leaving && e.At.After(since.Add(InForceWithin)) {
				c.add(NoWorkLeaving, e.Request, "%s got it %v after it said that it leaves", name, e.At.Sub(since))
			}
		}
	}
}

// checkOnce counts the runs of each call that may not be repeated, over all the
// requests that its callers made of it.
func (c *checker) checkOnce() {
	for _, r := range c.order {
		if r.asked == nil || !r.asked.Once {
			continue
		}
		c.checkKey(r)
		all := c.sameKey(r)
		if len(all) > 0 && all[0] != r {
			continue
		}
		var runs []*Event
		for _, o := range all {
			runs = append(runs, o.ran...)
		}
		if n := len(runs); n > 1 {
			c.add(AtMostOnce, runs[1].Request, "key %q of %s at %s ran %d times", r.asked.Key, r.asked.Organisation, r.asked.Service, n)
		}
	}
}

// checkKey finds a run whose upstream was told another key: it could not
// recognise a repeat.
func (c *checker) checkKey(r *request) {
	for _, run := range r.ran {
		if run.Key != r.asked.Key {
			c.add(AtMostOnce, r.id, "%s ran it under key %q, its caller gave %q", run.Upstream, run.Key, r.asked.Key)
		}
	}
}
