package fairshare

import "time"

// correction corrects the estimate of the capacity by what answers show. It answers what
// the estimate cannot know: upstreams that are slower than they were, gateways that are
// not heard and send as well, and demand that has not been told yet. It falls by a factor
// in windows in which upstreams turn requests away or their queues use up the time that
// callers have, and rises slowly otherwise.
type correction struct {
	// factor is relative to the estimate; zero stands for 1.
	factor  float64
	started time.Duration
	// The answers of the present window.
	answers, turnedAway, queued int
	// sawTurnedAway is true after an upstream has turned a request away, until it is taken.
	sawTurnedAway bool
}

const (
	correctionWindow = 400 * time.Millisecond
	// minCorrectionAnswers is the least number of answers by which a window is judged.
	minCorrectionAnswers = 3
	// maxTurnedAwayShare is the tolerated share of requests that upstreams turn away.
	maxTurnedAwayShare = 0.01
	// maxQueuedShare is the tolerated share of answers that used up queuedSpareShare of
	// their spare time: chance makes some of them late.
	maxQueuedShare   = 0.25
	queuedSpareShare = 0.6

	correctionDecrease = 0.88
	correctionIncrease = 1.05
	minCorrection      = 0.25
	maxCorrection      = 1.2
)

func (c *correction) value() float64 {
	if c.factor == 0 {
		return 1
	}
	return c.factor
}

// takeTurnedAway reports whether an upstream has turned a request away since the last call.
func (c *correction) takeTurnedAway() bool {
	was := c.sawTurnedAway
	c.sawTurnedAway = false
	return was
}

func (c *correction) add(a Answer, now time.Duration) {
	if c.started == 0 || now < c.started {
		c.started = now
	}
	c.answers++
	switch {
	case a.TurnedAway:
		c.turnedAway++
		c.sawTurnedAway = true
	case float64(a.Took-a.Usual) > queuedSpareShare*float64(a.Longest-a.Usual):
		c.queued++
	}
	if now-c.started < correctionWindow || c.answers < minCorrectionAnswers {
		return
	}
	all := float64(c.answers)
	if float64(c.turnedAway) > maxTurnedAwayShare*all || float64(c.queued) > maxQueuedShare*all {
		c.factor = max(minCorrection, c.value()*correctionDecrease)
	} else {
		c.factor = min(maxCorrection, c.value()*correctionIncrease)
	}
	c.started, c.answers, c.turnedAway, c.queued = now, 0, 0, 0
}
