package peers

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/sharedrate"
	"tarragonbay.example/tarragonbay/internal/store"
)

// table lists the gateways: the key is the name, the value its address.
const table = "gateways"

// Pace of the talk.
const (
	// perSecond bounds the datagrams of rounds that one gateway sends in a second,
	// toldPerSecond those of requests that are told at once: what a burst adds
	// must stay small beside the requests themselves.
	perSecond     = 100
	toldPerSecond = 1000
	// leastPause is the shortest pause between two rounds.
	leastPause = 200 * time.Millisecond
	// listEvery is the least pause between two reads of the table; a stranger's
	// datagram brings the next one forward. All gateways together make listsPerSecond
	// at most.
	listEvery      = 15 * time.Second
	listsPerSecond = 3
	listSoon       = 500 * time.Millisecond
	// retryPause is the pause after a call that failed.
	retryPause = 500 * time.Millisecond
	// leaveTime bounds the removal of the row at the end, which must fit the
	// last part of the grace.
	leaveTime = 200 * time.Millisecond
	// enterTime is how long gateways take at most to enter a store that has lost their
	// rows: several pauses after calls that failed.
	enterTime = 5 * time.Second
	// mostQueued bounds the requests that wait to be told; further ones wait for
	// the next round.
	mostQueued = 256
	// maxDatagram bounds a datagram, in bytes.
	maxDatagram = 8 << 10
)

// LeastTold is the prompt work in milliseconds from which a request is told at
// once: less hardly moves an estimate until the next round.
const LeastTold = 5.0

// Pause is the time between two rounds of news to so many peers.
func Pause(peers int) time.Duration {
	return max(leastPause, time.Duration(peers)*time.Second/perSecond)
}

// apart is the time between two tellings to so many peers; what begins meanwhile is
// told together.
func apart(peers int) time.Duration { return time.Duration(peers) * time.Second / toldPerSecond }

// mostToldAll is how many gateways hear of each request at once. Among more, those in
// the upstream's failure domain do, which prefer it; the others hear of it with the
// next round.
const mostToldAll = 32

// Options are what a Talk is made of.
type Options struct {
	Name string
	// Domain is the failure domain.
	Domain string
	// Address is IP:port for datagrams, the same as in the table.
	Address string
	// Incarnation rises with each start of the process.
	Incarnation uint64
	Store       store.Store
	Log         *eventlog.Log
	// News returns what this gateway tells; the caller's fields are kept.
	News func() *gossipv1.News
	// Reading takes what a listed gateway has read of a table; it must not block.
	Reading func(from string, r Reading)
	// Limits takes what upstreams have told a listed gateway of their limits; it must not
	// block.
	Limits func(from string, told []sharedrate.Told)
	// Leaving takes the hashes of the boots of upstreams (see HashBoot) that have told a
	// listed gateway that they leave; it must not block.
	Leaving func(from string, boots []uint32)
}

// Talk sends and receives news.
type Talk struct {
	Book *Book
	o    Options
	conn *net.UDPConn

	// begun are requests to be told before the next round.
	begun chan Begun

	mu     sync.Mutex
	listed map[string]listed
	// read is true once the table was read.
	read bool
	// out is true while this gateway's row may be missing in the table.
	out bool
	// era is that of the store at the last read of the table.
	era uint64
	// entering is the time until which gateways enter a store that has lost their rows.
	entering time.Time
	again    chan struct{}
}

// Begun is a request that this gateway has just sent.
type Begun struct {
	// Upstream is the ID of the upstream, Domain its failure domain and WorkMS the
	// prompt work in milliseconds of its time.
	Upstream, Domain string
	WorkMS           float64
}

// listed is a gateway in the table.
type listed struct {
	address netip.AddrPort
	domain  string
	// since is when it was first seen in the table.
	since time.Time
}

// Listen opens the socket; nothing is sent before Run.
func Listen(o Options) (*Talk, error) {
	address, err := net.ResolveUDPAddr("udp4", o.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "address for datagrams %s", o.Address)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for datagrams on %s", o.Address)
	}
	return &Talk{
		Book: NewBook(), o: o, conn: conn, listed: map[string]listed{},
		begun: make(chan Begun, mostQueued), again: make(chan struct{}, 1),
	}, nil
}

// entry is the value of a row of the table.
type entry struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

func (t *Talk) key() store.Key { return store.Key{Table: table, Name: t.o.Name} }

// Enter keeps this gateway in the table and the table in mind until ctx ends,
// then leaves it.
func (t *Talk) Enter(ctx context.Context) error {
	value, err := json.Marshal(entry{Address: t.o.Address, Domain: t.o.Domain})
	if err != nil {
		return errors.Trace(err)
	}
	t.setOut(true)
	for ctx.Err() == nil {
		if t.isOut() {
			_, err := t.o.Store.Commit(ctx, store.Txn{Set: []store.Row{{Key: t.key(), Value: value}}})
			t.setOut(err != nil)
		}
		next := listPause(t.Gateways())
		if t.isOut() || !t.list(ctx) {
			next = retryPause
		}
		timer := time.NewTimer(next)
		select {
		case <-timer.C:
		case <-t.again:
			sleep(ctx, listSoon)
		case <-ctx.Done():
		}
		timer.Stop()
	}
	leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTime)
	defer cancel()
	if _, err := t.o.Store.Commit(leave, store.Txn{Delete: []store.Key{t.key()}}); err != nil {
		t.o.Log.Event("peers", "row left behind", zap.String("gateway", t.o.Name), eventlog.Error(err))
	}
	return nil
}

// EnterAgain has this gateway write its row again, since the store may have lost it.
func (t *Talk) EnterAgain() {
	t.setOut(true)
	select {
	case t.again <- struct{}{}:
	default: // the next look at the table is on its way
	}
}

func (t *Talk) setOut(out bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.out = out
}

func (t *Talk) isOut() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.out
}

// listPause is the time between two reads of the table by one of so many gateways.
func listPause(gateways int) time.Duration {
	return max(listEvery, time.Duration(gateways)*time.Second/listsPerSecond)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (t *Talk) list(ctx context.Context) bool {
	page, err := t.o.Store.List(ctx, table, "")
	if err != nil {
		return false // the follower of the configuration reports the loss
	}
	all := map[string]listed{}
	names := map[string]bool{}
	for _, r := range page.Rows {
		var e entry
		if err := json.Unmarshal(r.Value, &e); err != nil || r.Name == t.o.Name {
			continue // a row of another writer, or our own
		}
		if a, err := netip.ParseAddrPort(e.Address); err == nil {
			all[r.Name], names[r.Name] = listed{address: a, domain: e.Domain}, true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if store.Era(page.Rev) > t.era {
		t.era, t.entering = store.Era(page.Rev), now.Add(enterTime)
	}
	for name, p := range all {
		if known, ok := t.listed[name]; ok {
			p.since = known.since
		} else {
			p.since = now
		}
		all[name] = p
	}
	for name, p := range t.listed {
		if _, ok := all[name]; !ok && now.Before(t.entering) && t.Book.Hears(name, now) {
			all[name], names[name] = p, true // the store has lost its row, and it enters again
		}
	}
	if len(all) != len(t.listed) {
		t.o.Log.Event("peers", "gateways listed", zap.Int("count", len(all)), zap.Uint64("rev", page.Rev))
	}
	t.listed, t.read = all, true
	t.Book.Forget(names)
	return true
}

// Tell has the peers know of a request before the next round: others would
// send theirs to the same upstream until then. It never blocks.
func (t *Talk) Tell(b Begun) {
	if b.WorkMS < LeastTold {
		return
	}
	select {
	case t.begun <- b:
	default: // the next round tells it
	}
}

// Send tells the news to all listed gateways until ctx ends, and what has begun
// between two rounds at once.
func (t *Talk) Send(ctx context.Context) error {
	for number := uint32(1); ctx.Err() == nil; number++ {
		to := t.addresses()
		if len(to) > 0 {
			t.queued() // what waits is part of the round
			n := t.o.News()
			n.Gateway, n.Incarnation, n.Number = t.o.Name, t.o.Incarnation, number
			t.send(n, to)
		}
		t.between(ctx, number, to)
	}
	return nil
}

// between tells what begins until the next round.
func (t *Talk) between(ctx context.Context, number uint32, to []netip.AddrPort) {
	round := time.NewTimer(Pause(len(to)))
	defer round.Stop()
	queue := t.begun // nil while the last telling was too short a time ago
	var next <-chan time.Time
	for {
		select {
		case <-round.C:
			return
		case <-ctx.Done():
			return
		case <-next:
			queue = t.begun
		case first := <-queue:
			sent := t.sendBegun(number, append(t.queued(), first))
			queue, next = nil, time.After(apart(sent))
		}
	}
}

// sendBegun tells of requests; it returns how many datagrams that took.
func (t *Talk) sendBegun(number uint32, all []Begun) (sent int) {
	for domain, some := range t.byHearers(all) {
		n := &gossipv1.News{Gateway: t.o.Name, Incarnation: t.o.Incarnation, Number: number, Addition: true}
		for _, b := range some {
			n.Upstreams, n.UnreadMs = append(n.Upstreams, Hash(b.Upstream)), append(n.UnreadMs, uint32(b.WorkMS))
		}
		to := t.addressesIn(domain)
		t.send(n, to)
		sent += len(to)
	}
	return sent
}

// byHearers groups requests by the failure domain whose gateways hear of them; the
// empty one stands for all.
func (t *Talk) byHearers(all []Begun) map[string][]Begun {
	if !t.Lags() {
		return map[string][]Begun{"": all}
	}
	out := map[string][]Begun{}
	for _, b := range all {
		out[b.Domain] = append(out[b.Domain], b)
	}
	return out
}

// queued takes what waits to be told.
func (t *Talk) queued() []Begun {
	out := make([]Begun, 0, len(t.begun)+1)
	for range len(t.begun) {
		out = append(out, <-t.begun) // nobody else receives
	}
	return out
}

// addresses returns those of all listed gateways.
func (t *Talk) addresses() []netip.AddrPort { return t.addressesIn("") }

// addressesIn returns those of the gateways in a failure domain; the empty one stands
// for all.
func (t *Talk) addressesIn(domain string) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]netip.AddrPort, 0, len(t.listed))
	for _, p := range t.listed {
		if domain == "" || p.domain == domain {
			out = append(out, p.address)
		}
	}
	return out
}

// Lags reports whether requests are told at once in their failure domain alone, so that
// news of work elsewhere come with the rounds.
func (t *Talk) Lags() bool { return t.Gateways() > mostToldAll }

// Gateways returns how many gateways there are with this one, zero while the table
// has not been read.
func (t *Talk) Gateways() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.read {
		return 0
	}
	return len(t.listed) + 1
}

func (t *Talk) send(n *gossipv1.News, to []netip.AddrPort) {
	b, err := proto.Marshal(n)
	if err != nil || len(b) > maxDatagram {
		t.o.Log.Event("peers", "news not sent", zap.Int("bytes", len(b)), eventlog.Error(err))
		return
	}
	for _, a := range to {
		// A datagram that cannot be sent is like one that is lost: the next
		// round replaces it.
		_, _ = t.conn.WriteToUDPAddrPort(b, a)
	}
}

// Receive takes in datagrams until ctx ends.
func (t *Talk) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		size, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			sleep(ctx, retryPause) // such as a refused datagram of ours
			continue
		}
		var n gossipv1.News
		if err := proto.Unmarshal(buf[:size], &n); err != nil {
			t.o.Log.Event("peers", "news unreadable", zap.Int("bytes", size), eventlog.Error(err))
			continue
		}
		t.take(&n, from)
	}
}

// take takes in a datagram. Readings of the store are taken from the listed address
// of their gateway alone.
func (t *Talk) take(n *gossipv1.News, from netip.AddrPort) {
	t.mu.Lock()
	peer, known := t.listed[n.GetGateway()]
	t.mu.Unlock()
	switch {
	case known && n.GetReading() != nil:
		t.takeReading(n, peer.address == from)
		return
	case known:
		if t.Book.Take(n, time.Now()) && peer.address == from {
			t.pass(n)
		}
		return
	}
	select {
	case t.again <- struct{}{}: // a gateway that has entered since the last list
	default:
	}
}
