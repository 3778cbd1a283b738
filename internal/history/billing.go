package history

import "slices"

// checkBilling compares the folded ledger with what ran and was answered.
func (c *checker) checkBilling() {
	lost := 0
	for _, r := range c.order {
		c.checkCharges(r)
		if !c.owesCharge(r) {
			continue
		}
		lost++
		if lost > c.opts.LostCharges {
			c.add(BilledOnce, r.id, "was answered but not billed")
		}
	}
}

// delivered returns what was served for the request and reached its caller, or
// the caller of a repeated key.
func (c *checker) delivered(r *request) []*Event {
	if r.asked == nil {
		return nil
	}
	if r.answered != nil && r.answered.Whole && !r.answered.Replayed {
		return sameContent(r.served, r.answered.Digest)
	}
	for _, o := range c.sameKey(r) {
		if o.answered == nil || !o.answered.Replayed {
			continue
		}
		if made := sameContent(r.served, o.answered.Digest); len(made) > 0 {
			return made
		}
	}
	return nil
}

// checkCharges finds charges that should not be.
func (c *checker) checkCharges(r *request) {
	if len(r.charged) > len(r.ran) {
		c.add(BilledOnce, r.id, "ran %d times and is billed %d times", len(r.ran), len(r.charged))
	}
	steps := map[uint32]int{}
	for _, charge := range r.charged {
		steps[charge.Step]++
		if steps[charge.Step] == 2 {
			c.add(BilledOnce, r.id, "step %d is billed more than once", charge.Step)
		}
		switch {
		case r.asked == nil:
			c.add(BilledOnce, r.id, "is billed but was not asked")
		case charge.Organisation != r.asked.Organisation:
			c.add(BilledOnce, r.id, "is billed to %s, but %s asked", charge.Organisation, r.asked.Organisation)
		case !slices.ContainsFunc(r.ran, func(run *Event) bool { return sameTarget(run, charge) }):
			c.add(BilledOnce, r.id, "is billed for %s%s, which did not run it", charge.Version, charge.Service)
		}
	}
}

func sameTarget(a, b *Event) bool { return a.Version == b.Version && a.Service == b.Service }

// owesCharge reports whether an answer that a caller has lacks the charge of
// what made it.
func (c *checker) owesCharge(r *request) bool {
	made := c.delivered(r)
	if len(made) == 0 {
		return false
	}
	return !slices.ContainsFunc(r.charged, func(charge *Event) bool {
		return slices.ContainsFunc(made, func(e *Event) bool { return sameTarget(e, charge) })
	})
}
