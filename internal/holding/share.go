package holding

import (
	"sync"
	"sync/atomic"
	"time"
)

// Phase is where a connection stands.
type Phase uint8

// The phases of a connection.
const (
	// Fresh connections have sent nothing yet.
	Fresh Phase = iota
	// Idle connections wait for the next request.
	Idle
	// Partial connections have sent a part of a request.
	Partial
	// Running connections have sent a whole request that is not answered yet.
	Running
	phases = iota
)

// String returns the phase as it is logged.
func (p Phase) String() string { return [...]string{"fresh", "idle", "partial", "running"}[p] }

// Times after which a client counts as stalled. Callers inside the limits send a request at
// once when they have connected, and the rest of it without a pause.
const (
	// freshTime allows one retransmission of the first packet, and the round trip.
	freshTime = 1200 * time.Millisecond
	// partialTime is a pause within a request.
	partialTime = time.Second
	// unreadTime is a pause in the reading of an answer.
	unreadTime = 2 * time.Second
)

const (
	// smallBytes is what a client may hold without counting as large.
	smallBytes = 128 << 10
	// largeShare is the share of the budget that large clients may hold together, answers
	// apart, so that there is always room for ordinary requests.
	largeShare = 0.7
	// answersShare is the share of the budget for answers. Upstreams decide how large they
	// are, so no request can be refused for its answer in time.
	answersShare = 0.3
	// contendedShare is the share of the budget from which on an organisation that holds
	// ownerShare of it gets no more, so that the rest is for the others.
	contendedShare = 0.75
	ownerShare     = 0.4
	// maxScanned bounds the clients that are compared to find the largest.
	maxScanned = 256
)

// Closed tells why a client was closed.
type Closed struct {
	Phase Phase
	// Held is what it held, in bytes.
	Held int64
	// Stalled is the time since its last progress.
	Stalled time.Duration
}

// Share is what is held for the clients of one listener. It is safe for concurrent use.
type Share struct {
	mu     sync.Mutex
	limits Limits
	// used counts all bytes, large those of large clients without their answers, answers
	// those of answers.
	used, large, answers int64
	open                 int
	// owned counts the bytes of requests by organisation.
	owned map[string]int64
	// byPhase holds the clients of each phase; those whose last progress is the longest
	// ago come first.
	byPhase [phases]list

	// refusedCount counts what was not admitted, closedCount the clients closed for others.
	refusedCount, closedCount atomic.Int64
}

// NewShare returns a share that holds nothing.
func NewShare(limits Limits) *Share { return &Share{limits: limits, owned: map[string]int64{}} }

// Refused returns how often there was no room.
func (s *Share) Refused() int64 { return s.refusedCount.Load() }

// Closed returns how many clients were closed for others.
func (s *Share) Closed() int64 { return s.closedCount.Load() }

// SetLimits sets the limits for what is admitted from now on.
func (s *Share) SetLimits(limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// Client is one connection and what is held for it. Its fields are guarded by the share.
type Client struct {
	share *Share
	phase Phase
	// base counts the bytes of the connection, held those and the ones of its request, and
	// answer those of its answer.
	base, held, answer int64
	// owner is the organisation of the request; empty while it is not known.
	owner string
	// at is the time of the last progress.
	at     time.Time
	closed bool
	// opened is the time of Connect. writing is the time from then to the start of the
	// pending write of an answer, in nanoseconds; zero while there is none.
	opened  time.Time
	writing atomic.Int64
	// end closes the connection.
	end        func(Closed)
	prev, next *Client
}

// Connect admits a new connection, which holds the extra bytes beyond those of any other;
// end is called when it must be closed for others. It returns nil when there is no room for
// the connection.
func (s *Share) Connect(now time.Time, extra int64, end func(Closed)) *Client {
	c := &Client{share: s, phase: Fresh, at: now, opened: now, base: connectionBytes + extra, end: end}
	s.mu.Lock()
	victims, ok := s.roomForConnection(c.base, now)
	if ok {
		c.held = c.base
		s.used += c.held
		s.open++
		s.byPhase[Fresh].pushBack(c)
	}
	s.mu.Unlock()
	s.finish(victims, ok)
	if !ok {
		return nil
	}
	return c
}

// Take admits bytes of a request and notes progress in the phase. When it returns false,
// nothing is admitted and the request must be refused.
func (c *Client) Take(phase Phase, bytes int64, now time.Time) bool {
	s := c.share
	s.mu.Lock()
	if c.closed {
		s.mu.Unlock()
		return false
	}
	victims, ok := []victim(nil), bytes == 0 || !s.outgrown(c.owner, bytes)
	if ok {
		victims, ok = s.roomForBytes(c, bytes, now)
	}
	if ok {
		s.add(c, bytes)
		s.move(c, phase, now)
	}
	s.mu.Unlock()
	s.finish(victims, ok)
	return ok
}

// Reserve admits bytes of an answer.
func (c *Client) Reserve(bytes int64, now time.Time) bool {
	s := c.share
	s.mu.Lock()
	ok, victims := !c.closed && s.answers+bytes <= int64(answersShare*float64(s.limits.Bytes)), []victim(nil)
	if ok {
		victims, ok = s.roomForAnswer(c, bytes, now)
	}
	if ok {
		c.answer += bytes
		s.answers += bytes
		s.used += bytes
	}
	s.mu.Unlock()
	s.finish(victims, ok)
	return ok
}

// Own names the organisation whose request the client has sent. It returns false when the
// organisation holds so much that the request must be refused for the others.
func (c *Client) Own(owner string) bool {
	s := c.share
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closed {
		return false
	}
	if s.outgrown(owner, 0) {
		s.refusedCount.Add(1)
		return false
	}
	c.owner = owner
	s.owned[owner] += c.held
	return true
}

// Writing notes that a write to the client begins.
func (c *Client) Writing(now time.Time) { c.writing.Store(max(1, int64(now.Sub(c.opened)))) }

// Written notes that the write has ended.
func (c *Client) Written() { c.writing.Store(0) }

// unread reports whether a write to the client has been pending for too long.
func (c *Client) unread(now time.Time) bool {
	since := c.writing.Load()
	return since > 0 && now.Sub(c.opened)-time.Duration(since) >= unreadTime
}

// Done releases what a request held. The connection goes on in the phase.
func (c *Client) Done(phase Phase, now time.Time) {
	c.share.mu.Lock()
	defer c.share.mu.Unlock()
	if c.closed {
		return
	}
	c.share.disown(c)
	c.share.add(c, c.base-c.held)
	c.share.dropAnswer(c)
	c.share.move(c, phase, now)
}

// CloseStalled closes the incomplete request that has stalled for the longest, if there is
// one.
func (s *Share) CloseStalled(now time.Time) {
	s.mu.Lock()
	var victims []victim
	if c := s.byPhase[Partial].stalled(now, partialTime); c != nil {
		victims = append(victims, s.take(c, now))
	}
	s.mu.Unlock()
	s.finish(victims, true)
}

// Close releases everything. It may be called more than once.
func (c *Client) Close() {
	c.share.mu.Lock()
	defer c.share.mu.Unlock()
	c.share.remove(c)
}

// Usage is what a share holds.
type Usage struct {
	Bytes, Answers int64
	Connections    int
}

// Usage returns what is held now.
func (s *Share) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Usage{Bytes: s.used, Answers: s.answers, Connections: s.open}
}

// add changes what the client holds.
func (s *Share) add(c *Client, bytes int64) {
	s.large += largePart(c.held+bytes) - largePart(c.held)
	s.used += bytes
	c.held += bytes
	if c.owner != "" {
		s.owned[c.owner] += bytes
	}
}

// outgrown reports whether the organisation would hold more than its part of a budget that is
// nearly spent.
func (s *Share) outgrown(owner string, bytes int64) bool {
	limit := float64(s.limits.Bytes)
	return owner != "" && float64(s.used+bytes) > contendedShare*limit && float64(s.owned[owner]+bytes) > ownerShare*limit
}

// disown ends the count of what the organisation holds through the client.
func (s *Share) disown(c *Client) {
	if c.owner == "" {
		return
	}
	if s.owned[c.owner] -= c.held; s.owned[c.owner] <= 0 {
		delete(s.owned, c.owner)
	}
	c.owner = ""
}

// largePart is what a client that holds the bytes adds to those of large clients.
func largePart(held int64) int64 {
	if held <= smallBytes {
		return 0
	}
	return held
}

func (s *Share) dropAnswer(c *Client) {
	s.answers -= c.answer
	s.used -= c.answer
	c.answer = 0
}

func (s *Share) move(c *Client, phase Phase, now time.Time) {
	s.byPhase[c.phase].remove(c)
	c.phase, c.at = phase, now
	s.byPhase[phase].pushBack(c)
}

func (s *Share) remove(c *Client) {
	if c.closed {
		return
	}
	c.closed = true
	s.byPhase[c.phase].remove(c)
	s.disown(c)
	s.add(c, -c.held)
	s.dropAnswer(c)
	s.open--
}

// victim is a client to close for others.
type victim struct {
	client *Client
	why    Closed
}

// finish closes clients and counts. The share must not be locked.
func (s *Share) finish(victims []victim, ok bool) {
	if !ok {
		s.refusedCount.Add(1)
	}
	s.closedCount.Add(int64(len(victims)))
	for _, v := range victims {
		v.client.end(v.why)
	}
}

// take removes the client and returns it as a victim.
func (s *Share) take(c *Client, now time.Time) victim {
	v := victim{client: c, why: Closed{Phase: c.phase, Held: c.held + c.answer, Stalled: now.Sub(c.at)}}
	s.remove(c)
	return v
}
