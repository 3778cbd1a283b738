package admission

import "time"

// Pace bounds the rate at which a target's requests are admitted. It answers a flood
// into a service with few slots and many entries: a share of the slots would be less
// than one request, while a share of the rate can have any size.
type Pace struct {
	// PerSecond is the rate of admissions in requests a second; zero means no bound.
	PerSecond float64
	// Burst is how many requests may be admitted at once after a pause; values below 1
	// count as 1.
	Burst float64
	// Weight returns the share of a flow while several wait; nil keeps the weights of the
	// organisations and priority classes.
	Weight func(organisation string, priority int) float64
}

// paceLimit is the token bucket of a paced target.
type paceLimit struct {
	Pace
	tokens  float64
	updated time.Time
}

// set changes the pace and keeps the tokens up to the new burst. A target that was not
// paced starts with one token.
func (p *paceLimit) set(pace Pace, now time.Time) {
	if p.active() {
		p.refill(now)
	} else {
		p.tokens, p.updated = 1, now
	}
	p.Pace = pace
	p.tokens = min(p.tokens, p.burst())
}

func (p *paceLimit) active() bool   { return p.PerSecond > 0 }
func (p *paceLimit) burst() float64 { return max(1, p.Burst) }

func (p *paceLimit) refill(now time.Time) {
	if d := now.Sub(p.updated); d > 0 {
		p.tokens = min(p.burst(), p.tokens+p.PerSecond*d.Seconds())
		p.updated = now
	}
}

// tokenTolerance absorbs rounding, so that a timer set for the next token finds it.
const tokenTolerance = 1e-6

func (p *paceLimit) hasRoom(now time.Time) bool {
	if !p.active() {
		return true
	}
	p.refill(now)
	return p.tokens >= 1-tokenTolerance
}

func (p *paceLimit) take() {
	if p.active() {
		p.tokens--
	}
}

// untilToken returns the time until the bucket holds the given number of tokens.
func (p *paceLimit) untilToken(tokens float64, now time.Time) time.Duration {
	p.refill(now)
	return time.Duration(max(0, tokens-p.tokens) / p.PerSecond * float64(time.Second))
}

// SetPace sets the rate at which a target's requests are admitted and admits waiting
// requests that it allows.
func (c *Controller) SetPace(target string, p Pace, now time.Time) []Event {
	s := c.targetQueue(target)
	s.pace.set(p, now)
	s.fair.weight = p.Weight
	s.fair.reconfigure()
	return c.dispatch(nil, s, now)
}

// Charge takes a token of a paced target for a request that does not wait, such as a
// repeat, so that later requests wait for it.
func (c *Controller) Charge(target string) { c.targetQueue(target).pace.take() }

// maxTickInterval bounds the time until requests that wait too long are refused.
const maxTickInterval = 20 * time.Millisecond

// NextTick returns the time until Tick may admit or refuse a request of a paced target;
// ok is false while none waits.
func (c *Controller) NextTick(now time.Time) (wait time.Duration, ok bool) {
	wait = maxTickInterval
	for _, s := range c.ordered {
		if s.waiting == 0 || !s.pace.active() {
			continue
		}
		ok = true
		wait = min(wait, s.pace.untilToken(1, now))
	}
	return wait, ok
}
