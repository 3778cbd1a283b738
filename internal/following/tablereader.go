package following

import "time"

// ReadPolicy configures how many gateways follow one table: one of them, the table reader,
// reads it for all and sends what it read to its peers as gossip messages (table
// readings).
type ReadPolicy struct {
	// Interval is the interval between two reads of the table reader.
	Interval time.Duration
	// LongPoll is true when the store holds the table reader's call for that interval unless
	// a row changes (a long poll); otherwise the store responds at once.
	LongPoll bool
	// CheckInterval is the interval at which each of the other gateways calls the store
	// itself, to check that it can reach it; zero for never.
	CheckInterval time.Duration
	// ReplacedWhole is true for a table of few rows that are replaced again and again: a
	// gateway that has missed changes for long reads the rows, since the store returns
	// every version of them as a change.
	ReplacedWhole bool
}

// reachabilityChecksPerSecond bounds the calls that all gateways together make to check
// that they can reach the store.
const reachabilityChecksPerSecond = 4

// CheckInterval returns the interval of one gateway's reachability checks
// (ReadPolicy.CheckInterval), given the number of gateways. With up to six gateways, each
// detects that it has lost the store before it must turn unready.
func (b FreshnessBounds) CheckInterval(gateways int) time.Duration {
	return max(fraction(b.RevokeWithin, unreadyFraction/2), time.Duration(gateways)*time.Second/reachabilityChecksPerSecond)
}

// Multiples of ReadPolicy.Interval.
const (
	// takeoverBase is the age of the last known read from which the first gateway in the
	// order of names takes over as table reader. Each gateway before it adds
	// takeoverStep, so that usually only one takes over.
	takeoverBase = 1.5
	takeoverStep = 0.25
	// maxTakeoverSteps bounds the number of steps: gateways further back in the order
	// take over at the same time.
	maxTakeoverSteps = 4
	// failingInterval is the time between two calls of a gateway that cannot reach the
	// store while a peer reads for it.
	failingInterval = 4.0
	// relistAge is the age of the newest known read from which a gateway that is behind
	// reads all rows of a table that is replaced whole.
	relistAge = 2.0
	// minCallInterval is the minimum time between two calls of a gateway that is behind,
	// or that knows of no recent read and is not the table reader.
	minCallInterval = 0.1
)

// ReadState is what a gateway knows of the reads of a table. The age of an event that has
// not happened is Never.
type ReadState struct {
	// LastCallAge is the age of the gateway's own last call. LastReadAge is the age of the
	// newest read that it has applied, its own or one received from a peer.
	// LastEarlierPeerReadAge is the age of the last read received from a gateway that is
	// before it in the order of names.
	LastCallAge, LastReadAge, LastEarlierPeerReadAge time.Duration
	// EarlierPeers is the number of recently seen gateways that are before it in the order
	// of names.
	EarlierPeers int
	// Behind is true when a peer has read changes that this gateway has not received.
	Behind bool
	// Failing is true while its own calls fail.
	Failing bool
	// OutageEnded is true when a read received from a peer ended an outage in which no
	// gateway read the table, and this gateway has not called the store since.
	OutageEnded bool
}

// Never is the age of an event that has not happened.
const Never = time.Duration(1 << 62)

// Action is the next action of a gateway.
type Action struct {
	// Call is true when the gateway should read the table itself. The store holds the
	// call for up to Hold.
	Call bool
	Hold time.Duration
	// List is true when the call should read all rows rather than the changes.
	List bool
	// SendToPeers is true when the result of the call should be sent to peers.
	SendToPeers bool
	// Wait is how long a gateway that does not call waits for readings from peers before
	// it decides again.
	Wait time.Duration
}

// takeoverAge returns the age of the last read from which a gateway takes over as table
// reader, given the number of gateways before it in the order of names.
func (p ReadPolicy) takeoverAge(before int) time.Duration {
	return fraction(p.Interval, takeoverBase+takeoverStep*float64(min(before, maxTakeoverSteps)))
}

// EndsOutage reports whether a read received from a peer now ends an outage in which no
// gateway read the table. After an outage of the store for all gateways, the first one
// that reaches it again makes all others call at once. A gateway that alone cannot reach
// the store still receives its peers' reads and keeps to its own interval.
func (p ReadPolicy) EndsOutage(v ReadState) bool {
	return v.Failing && v.LastReadAge > p.takeoverAge(v.EarlierPeers)
}

// probesPerSecond bounds the rate of the calls by which all gateways check at once that the
// store is back: a third of the lowest call rate that the users' stores can serve.
const probesPerSecond = 600

// maxOutageEndAnnouncers is the number of gateways that send their first read after an
// outage to peers, besides the one that reached the store first: some peers may have lost
// that one's message.
const maxOutageEndAnnouncers = 3

// ProbeSpread returns the time over which the given number of gateways spread these calls.
func ProbeSpread(gateways int) time.Duration {
	return time.Duration(gateways) * time.Second / probesPerSecond
}

// Backoff after failed calls.
const (
	// initialBackoff is the pause after the first failure; it doubles with each further one.
	initialBackoff = 150 * time.Millisecond
	// The upper bound of the pause grows with the number of gateways, from
	// minBackoffLimit to maxBackoffLimit; in between, all gateways together make
	// outageCallsPerSecond.
	minBackoffLimit      = 600 * time.Millisecond
	outageCallsPerSecond = 20
	maxBackoffLimit      = 3 * time.Second
)

// OutageBackoff returns the backoff after the given number of consecutive failed calls, for
// gateways that receive each other's gossip messages. Many gateways may wait for a store to
// come back: the first that reaches it informs the others, so a larger number of gateways
// each call less often.
func OutageBackoff(failures, gateways int) time.Duration {
	limit := min(maxBackoffLimit, max(minBackoffLimit, time.Duration(gateways)*time.Second/outageCallsPerSecond))
	pause := initialBackoff
	for range failures - 1 {
		if pause *= 2; pause >= limit {
			return limit
		}
	}
	return pause
}

// Relists reports whether a gateway that knows that it is behind reads all rows rather than
// the changes, which may be too many for its link.
func (p ReadPolicy) Relists(lastReadAge time.Duration) bool {
	return p.ReplacedWhole && lastReadAge > fraction(p.Interval, relistAge)
}

// Next returns a gateway's next action. Calls to the store are expensive, so of the
// gateways that are alive and reach the store, only the first in the order of names reads
// the table for all; any other gateway reads it as soon as it is behind or receives no
// readings. A lost gossip message costs time or calls, never a change.
func (p ReadPolicy) Next(v ReadState) Action {
	limit := p.takeoverAge(v.EarlierPeers)
	isReader := !v.Failing && (v.EarlierPeers == 0 || v.LastEarlierPeerReadAge > limit)
	switch {
	case v.Failing && v.OutageEnded:
		return Action{Call: true, SendToPeers: v.EarlierPeers < maxOutageEndAnnouncers}
	case v.Failing && v.LastReadAge <= limit && !v.Behind:
		// A peer reads for this gateway, which checks at intervals whether it reaches the
		// store again.
		if wait := fraction(p.Interval, failingInterval) - v.LastCallAge; wait > 0 {
			return Action{Wait: min(wait, limit-v.LastReadAge+time.Millisecond)}
		}
		return Action{Call: true}
	case v.Behind || (!isReader && v.LastReadAge > limit):
		if wait := fraction(p.Interval, minCallInterval) - v.LastCallAge; wait > 0 {
			return Action{Wait: wait}
		}
		return Action{Call: true, SendToPeers: !v.Behind, List: v.Behind && p.Relists(v.LastReadAge)}
	case !isReader && p.CheckInterval > 0 && v.LastCallAge >= p.CheckInterval:
		return Action{Call: true}
	case !isReader:
		return Action{Wait: max(limit-max(v.LastReadAge, v.LastEarlierPeerReadAge), time.Millisecond)}
	case p.LongPoll && v.LastReadAge <= p.Interval:
		return Action{Call: true, Hold: p.Interval, SendToPeers: true}
	case p.LongPoll || v.LastCallAge >= p.Interval:
		return Action{Call: true, SendToPeers: true}
	}
	return Action{Wait: p.Interval - v.LastCallAge}
}
