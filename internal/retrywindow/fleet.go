package retrywindow

import (
	"math"
	"time"
)

// Totals counts a gateway's requests and extra sends of one service, as it tells its peers:
// those since its start, from which peers that hear each message get the difference, and
// those of its present window for peers that hear it for the first time.
type Totals struct {
	// At is the time of the counts on the gateway's own clock, zero if it is not told.
	At                          time.Duration
	Requests, Extra             uint64
	WindowRequests, WindowExtra uint64
	// Left is the number of extra sends that the gateway takes to be left of the bound of all
	// gateways. LeftKnown is false while the gateway has not counted for a whole window.
	Left      int64
	LeftKnown bool
	// Deaf is true when the gateway tells that it does not hear the one it tells this.
	Deaf bool
}

// Fleet limits the extra sends of one service at one gateway by what all gateways have
// sent. It answers failures that meet the callers of a few gateways: those use what the
// others leave, where fixed shares would deny them while most of the bound is unused.
//
// What is left of the bound is computed from the gateways that are heard. A gateway that is
// silent keeps to its own requests, and so do the others: it only counts where it has used
// more than its requests allow. One that does not hear this gateway counts as silent, since
// it uses what it leaves itself. Of what is left, each gateway uses its share of the
// requests until its peers have heard of it, so all of them together use it once.
//
// A process that has just started has lost what its predecessor counted, and what it is told
// of the others' windows lacks those that have stopped. Until it has counted for a whole
// window, it uses no more than the peers that have done so take to be left, and without such
// a peer only its part of the slack. It is not safe for concurrent use.
type Fleet struct {
	span time.Duration
	// since is when the gateway began to count.
	since time.Duration
	own   *Window
	total Totals
	peers map[string]*peer
	// unheard counts the extra sends of the last lag, of which peers may not know.
	unheard *Window
	// sums are those of the peers as of sumsAt.
	sums   peerSums
	sumsAt time.Duration
	// sharedAt is when what is left was shared last, rather than fixed parts in force.
	sharedAt time.Duration
}

// peer is what one other gateway has told.
type peer struct {
	incarnation uint64
	total       Totals
	heardAt     time.Duration
	offset      leastOffset
	// window is nil while only fixed parts are in force.
	window *Window
}

// peerSums adds up the peers.
type peerSums struct {
	// requests and extra are those of the peers that are heard.
	requests, extra int
	// history is theirs too.
	history history
	// excess is what silent peers have used beyond their own requests' part.
	excess float64
}

// Shares and intervals of the fleet's bound.
const (
	// reservedShare is the share of the bound that optional sends leave for failed requests,
	// besides one standard deviation.
	reservedShare = 0.05
	// sharedMargin is the share of the ratio that is used; the rest is for extra sends of
	// gateways that ended before their peers heard of them.
	sharedMargin = 0.98
	// silentRounds is the number of rounds of gossip after which a gateway counts as silent.
	silentRounds = 3
	// maxLag is the longest time in which peers may not know of extra sends. Above it the
	// part that is kept back for that exceeds what fixed shares lose.
	maxLag = time.Second
	// minLag is the least time in which peers may not know of extra sends.
	minLag = 100 * time.Millisecond
	// vouchingShare is the share of the gateways that must have counted for a whole window
	// before one that has not may use its fixed part.
	vouchingShare = 0.75
	// sumsTime is how long the sums of the peers are reused.
	sumsTime = 50 * time.Millisecond
)

// NewFleet returns an empty count for windows of the given length of a gateway that has
// counted since the given time.
func NewFleet(span, since time.Duration) *Fleet {
	return &Fleet{span: span, since: since, own: New(span), peers: map[string]*peer{}}
}

// Request counts one request of a caller.
func (f *Fleet) Request(now time.Duration) {
	f.own.Request(now)
	f.total.Requests++
}

// Totals returns what this gateway tells its peers.
func (f *Fleet) Totals(now time.Duration, d Demand) Totals {
	requests, extra := f.own.counts(now)
	t := f.total
	t.At = now - f.since
	t.WindowRequests, t.WindowExtra = uint64(requests), uint64(extra)
	if t.LeftKnown = f.countsWholeWindow(now); t.LeftKnown {
		left, _ := f.left(now, d)
		t.Left = int64(math.Floor(left))
	}
	return t
}

// countsWholeWindow reports whether the gateway has counted for a whole window.
func (f *Fleet) countsWholeWindow(now time.Duration) bool { return now-f.since >= f.span }

// Heard records what a peer has told. Requests that were told late may lie before the
// window, so they do not count; extra sends do.
func (f *Fleet) Heard(name string, incarnation uint64, told Totals, now, round time.Duration) {
	fixedParts := silentRounds*round > maxLag && !f.sharedLately(now)
	p := f.peers[name]
	if p == nil || (p.window == nil) != fixedParts {
		f.add(name, incarnation, told, now, fixedParts)
		return
	}
	if incarnation != p.incarnation {
		p.incarnation, p.total, p.offset = incarnation, Totals{}, leastOffset{}
	}
	if told.Requests < p.total.Requests || told.Extra < p.total.Extra {
		return // overtaken by a later message
	}
	// A message that waited, such as in the buffers of a process that was frozen, tells of
	// requests that may lie before the window.
	late := told.At > 0 && now-told.At-p.offset.observe(now-told.At, now, f.span) > silentRounds*round
	told.LeftKnown = told.LeftKnown && !late
	if p.window != nil {
		requests := 0
		// Messages in between may have been lost.
		gap := max(now-p.heardAt, told.At-p.total.At)
		if !late && gap <= silentRounds*round {
			requests = int(min(told.Requests-p.total.Requests, told.WindowRequests))
		}
		p.window.add(now, requests, int(min(told.Extra-p.total.Extra, told.WindowExtra)))
	}
	p.total, p.heardAt = told, now
}

// add adds a peer that is heard for the first time, and forgets those that are gone. The
// peers' windows are not needed while fixed parts are in force.
func (f *Fleet) add(name string, incarnation uint64, told Totals, now time.Duration, fixedParts bool) {
	for other, p := range f.peers {
		if f.gone(p, now) {
			delete(f.peers, other)
		}
	}
	p := &peer{incarnation: incarnation, total: told, heardAt: now}
	p.offset.observe(now-told.At, now, f.span)
	if !fixedParts {
		p.window = New(f.span)
		p.window.spread(now, int(told.WindowRequests), int(told.WindowExtra))
	}
	f.peers[name] = p
}

// gone reports whether all that a peer has told lies before the window.
func (f *Fleet) gone(p *peer, now time.Duration) bool { return now-p.heardAt > f.span+f.span/buckets }

// HeardPeers returns the names of the peers that are not silent, which nobody needs where fixed
// parts are in force.
func (f *Fleet) HeardPeers(now time.Duration, d Demand) []string {
	if d.lag() > maxLag {
		return nil
	}
	var out []string
	for name, p := range f.peers {
		if now-p.heardAt <= d.lag() {
			out = append(out, name)
		}
	}
	return out
}

// Demand is an extra send that is asked for.
type Demand struct {
	// All is the bound of all gateways, Gateways their number; zero while it is unknown.
	All      Bound
	Gateways int
	// Round is the interval between two rounds of gossip.
	Round time.Duration
	// Optional is true for a send that no failure requires.
	Optional bool
}

// State is what a gateway knows about a budget, for its log.
type State struct {
	// Requests and Extra are its own of the present window.
	Requests, Extra int
	// Left is what it takes to be left over all gateways, Share its part of that.
	Left, Share float64
	// WholeWindow is false while it has not counted for a whole window. Told is then the least
	// that its peers take to be left; Peers is false if none of them has told.
	WholeWindow bool
	Told        float64
	Peers       bool
}

// State returns what the decision on an extra send rests on.
func (f *Fleet) State(now time.Duration, d Demand) State {
	s := State{WholeWindow: f.countsWholeWindow(now)}
	s.Requests, s.Extra = f.own.counts(now)
	s.Left, s.Share = f.left(now, d)
	if s.Told, s.Peers = f.toldLeft(now, d); !s.Peers {
		s.Told = 0
	}
	return s
}

// Extra reports whether a request may be sent once more, and counts the send if so.
func (f *Fleet) Extra(now time.Duration, d Demand) bool {
	if !f.allows(now, d) {
		return false
	}
	f.own.add(now, 0, 1)
	f.total.Extra++
	if f.unheard != nil {
		f.unheard.add(now, 0, 1)
	}
	return true
}

func (f *Fleet) allows(now time.Duration, d Demand) bool {
	part := GatewayBound(d.All, d.Gateways)
	whole, extraWhole := f.own.countsWhole(now)
	if float64(extraWhole+1) <= d.usable(part.Slack) {
		return true
	}
	if d.lag() > maxLag {
		allowed := func(requests float64) float64 { return d.usable(part.Ratio*requests + part.Slack) }
		h := historyOf(now, f.span)
		h.add(f.own)
		if !f.vouched(now, d) || min(allowed(float64(whole))-float64(extraWhole), h.leastLeft(allowed)) < 1 {
			return false
		}
		if !f.sharedLately(now) {
			return true
		}
	}
	left, share, ok := f.leftNow(now, d)
	if !ok {
		return false
	}
	if !f.countsWholeWindow(now) {
		// Peers tell what is left for failed requests.
		told, ok := f.toldLeft(now, d)
		if !ok {
			return false
		}
		left = min(left, d.usable(told))
	}
	_, unheard := f.unheard.countsWhole(now)
	enough := func(left float64) bool { return float64(unheard+1) <= share*(left+float64(unheard)) }
	return enough(left) && enough(f.leftOverlapping(now, d))
}

// sharedLately reports whether peers may have used this gateway's part within the window,
// because what is left was shared until fixed parts came into force.
func (f *Fleet) sharedLately(now time.Duration) bool {
	return f.sharedAt > 0 && now-f.sharedAt <= f.span+f.span/buckets
}

// lag returns the time in which peers may not know of extra sends.
func (d Demand) lag() time.Duration { return max(minLag, silentRounds*d.Round) }

// left returns what is left of the bound over all gateways, and this gateway's share of it.
func (f *Fleet) left(now time.Duration, d Demand) (left, share float64) {
	left, share, ok := f.leftNow(now, d)
	if !ok {
		return 0, 0
	}
	return min(left, f.leftOverlapping(now, d)), share
}

// leftNow is like left, of the window that ends now alone; ok is false if it has no request.
func (f *Fleet) leftNow(now time.Duration, d Demand) (left, share float64, ok bool) {
	lag := d.lag()
	if lag <= maxLag && f.countsWholeWindow(now) {
		f.sharedAt = now
	}
	requests, extra := f.own.counts(now)
	f.sumPeers(now, lag, d.All.Ratio)
	if f.unheard == nil || f.unheard.span != lag {
		f.unheard = f.unheard.resized(now, lag)
	}
	all := float64(requests + f.sums.requests)
	if all == 0 {
		return 0, 0, false
	}
	return d.shared(all) - float64(extra+f.sums.extra) - f.sums.excess, float64(requests) / all, true
}

// leftOverlapping is what is left of all windows that overlap the present, once leftNow has
// been called.
func (f *Fleet) leftOverlapping(now time.Duration, d Demand) float64 {
	h := historyOf(now, f.span)
	h.add(f.own)
	h.addHistory(&f.sums.history)
	return h.leastLeft(d.shared) - f.sums.excess
}

// shared returns how many extra sends a number of requests allows over all gateways. Extra
// sends allowed by a chance maximum of the requests still count when those are back at their
// mean: one standard deviation is kept back, which matters for few.
func (d Demand) shared(requests float64) float64 {
	return d.usable(sharedMargin * d.All.Ratio * (requests - math.Sqrt(requests)))
}

// toldLeft returns the least that peers which are heard take to be left; ok is false if none
// has told.
func (f *Fleet) toldLeft(now time.Duration, d Demand) (left float64, ok bool) {
	left = math.Inf(1)
	for _, p := range f.peers {
		if p.total.LeftKnown && now-p.heardAt <= d.lag() {
			left, ok = min(left, float64(p.total.Left)), true
		}
	}
	return left, ok
}

// vouched reports whether most of the gateways that keep fixed parts have counted for a whole
// window, so that the margin of the parts covers what the others have lost.
func (f *Fleet) vouched(now time.Duration, d Demand) bool {
	if f.countsWholeWindow(now) {
		return true
	}
	counting := 0
	for _, p := range f.peers {
		if p.total.LeftKnown && now-p.heardAt <= d.lag() {
			counting++
		}
	}
	return float64(counting) >= vouchingShare*float64(d.Gateways)
}

// usable returns how much of a number of extra sends may be used. Optional ones leave some
// for failures that come by chance, and for a few beyond that.
func (d Demand) usable(extra float64) float64 {
	if !d.Optional {
		return extra
	}
	return extra - reservedShare*extra - math.Sqrt(max(0, extra))
}

// sumPeers adds up the peers, unless that was done just now.
func (f *Fleet) sumPeers(now, lag time.Duration, ratio float64) {
	if f.sumsAt > 0 && now-f.sumsAt < sumsTime {
		return
	}
	f.sums, f.sumsAt = peerSums{history: historyOf(now, f.span)}, now
	for _, p := range f.peers {
		if p.window == nil || f.gone(p, now) {
			continue
		}
		requests, extra := p.window.counts(now)
		if now-p.heardAt <= lag && !p.total.Deaf {
			f.sums.requests += requests
			f.sums.extra += extra
			f.sums.history.add(p.window)
		} else {
			f.sums.excess += max(0, float64(extra)-ratio*float64(requests))
		}
	}
}
