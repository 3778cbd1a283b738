package following

import "time"

// Pace is how a table is followed by many gateways: one reads it for all and
// tells the others.
type Pace struct {
	// Every is the time between two reads of the gateway that reads for all.
	Every time.Duration
	// Held is true when the store holds its call for that time unless a row
	// changes; otherwise it is answered at once.
	Held bool
	// Own is the time after which each of the others calls all the same, to know
	// whether it reaches the store; zero for never.
	Own time.Duration
}

// ownPerSecond bounds the calls that all gateways together make to know whether they
// reach the store.
const ownPerSecond = 4

// OwnEvery is the time between two such calls of one of so many gateways. Up to six
// gateways learn of a loss before they must turn unready.
func (b Bounds) OwnEvery(gateways int) time.Duration {
	return max(part(b.RevokeWithin, UnreadyPart/2), time.Duration(gateways)*time.Second/ownPerSecond)
}

// Parts of Pace.Every.
const (
	// firstTakeover is the age of the last read heard of from which a gateway reads
	// for all itself. Each gateway that comes before it adds takeoverStep, so that
	// mostly one takes over.
	firstTakeover = 1.5
	takeoverStep  = 0.25
	// mostSteps bounds the steps: the last gateways take over together.
	mostSteps = 4
	// failingEvery is the time between two calls of a gateway that does not reach the
	// store while others read for it.
	failingEvery = 4.0
	// againPart is the least time between two calls of a gateway that is behind.
	againPart = 0.1
)

// View is what a gateway knows of the reads of a table. Ages of what never was are
// Never.
type View struct {
	// Own is the age of its own last read, Known that of the newest read, own or
	// told, that it has taken in, and Earlier that of the last read of a gateway
	// whose name comes before its own.
	Own, Known, Earlier time.Duration
	// Before counts the gateways heard of late whose names come before.
	Before int
	// Behind is true when a peer has read changes that did not reach this gateway.
	Behind bool
	// Failing is true while its own calls fail.
	Failing bool
	// Regained is true when a peer's read ended a time in which nobody read, and it has
	// not called since.
	Regained bool
}

// Never is the age of what has not happened.
const Never = time.Duration(1 << 62)

// Move is what a gateway does next.
type Move struct {
	// Call asks for a read of its own that the store holds for Hold.
	Call bool
	Hold time.Duration
	// Tell is true when the others should hear of the read.
	Tell bool
	// Pause is how long it otherwise waits for news of the readers.
	Pause time.Duration
}

// Takeover is the age of the last read from which a gateway reads for all, with so
// many before it.
func (p Pace) Takeover(before int) time.Duration {
	return part(p.Every, firstTakeover+takeoverStep*float64(min(before, mostSteps)))
}

// Regains reports whether a peer's read that is heard now ends a time in which nobody
// read. It answers a store that was away for all gateways: the first that reaches it
// again brings all others back, while one that alone is cut off looks at its own pace.
func (p Pace) Regains(v View) bool { return v.Failing && v.Known > p.Takeover(v.Before) }

// probesPerSecond bounds the calls with which all gateways find out at once that the
// store is back: a third of the least rate that the users' stores bear.
const probesPerSecond = 600

// regainTellers is how many of the gateways that find out that the store is back tell the
// others as well: the reading that ended the outage may have been lost for some.
const regainTellers = 3

// ProbeSpread is the time over which so many gateways spread these calls.
func ProbeSpread(gateways int) time.Duration {
	return time.Duration(gateways) * time.Second / probesPerSecond
}

// Pauses after calls that failed.
const (
	// awayFirst is the pause after the first one; it doubles with each further one.
	awayFirst = 150 * time.Millisecond
	// awayLeast is the longest pause of a few gateways; awayPerSecond bounds the calls of
	// more of them, and awayMost the pause.
	awayLeast     = 600 * time.Millisecond
	awayPerSecond = 20
	awayMost      = 3 * time.Second
)

// AwayPause is the pause after so many calls in a row that failed, with so many gateways
// that hear one another. It answers an outage that many gateways wait for: the first that
// reaches the store tells the others, so together they look as often as a few would.
func AwayPause(failures, gateways int) time.Duration {
	longest := min(awayMost, max(awayLeast, time.Duration(gateways)*time.Second/awayPerSecond))
	pause := awayFirst
	for range failures - 1 {
		if pause *= 2; pause >= longest {
			return longest
		}
	}
	return pause
}

// Next decides the next read. It answers many gateways that follow one table of a
// store whose calls are dear: the first gateway of those that are alive and reach
// the store reads for all, and each reads for itself as soon as it is behind or
// hears nothing. Lost news cost time or calls, never a change.
func (p Pace) Next(v View) Move {
	limit := p.Takeover(v.Before)
	leads := !v.Failing && (v.Before == 0 || v.Earlier > limit)
	switch {
	case v.Failing && v.Regained:
		return Move{Call: true, Tell: v.Before < regainTellers}
	case v.Failing && v.Known <= limit && !v.Behind:
		// Others read for it; now and then it looks whether it reaches the store again.
		if again := part(p.Every, failingEvery) - v.Own; again > 0 {
			return Move{Pause: min(again, limit-v.Known+time.Millisecond)}
		}
		return Move{Call: true}
	case v.Behind || (!leads && v.Known > limit):
		if again := part(p.Every, againPart) - v.Own; again > 0 {
			return Move{Pause: again}
		}
		return Move{Call: true, Tell: !v.Behind}
	case !leads && p.Own > 0 && v.Own >= p.Own:
		return Move{Call: true}
	case !leads:
		return Move{Pause: max(limit-max(v.Known, v.Earlier), time.Millisecond)}
	case p.Held && v.Known <= p.Every:
		return Move{Call: true, Hold: p.Every, Tell: true}
	case p.Held || v.Own >= p.Every:
		return Move{Call: true, Tell: true}
	}
	return Move{Pause: p.Every - v.Own}
}
