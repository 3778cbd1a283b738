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
	"tarragonbay.example/tarragonbay/internal/quarantine"
	"tarragonbay.example/tarragonbay/internal/retrywindow"
	"tarragonbay.example/tarragonbay/internal/sharedrate"
	"tarragonbay.example/tarragonbay/internal/store"
)

// gatewayTable is the store table of gateways: the key is the name of a gateway, the value
// a gatewayRow.
const gatewayTable = "gateways"

// Rates, intervals and bounds of the gossip.
const (
	// maxRoundDatagramsPerSecond bounds the datagrams of rounds that one gateway sends,
	// maxAdditionDatagramsPerSecond those that report requests between rounds. The
	// datagrams of a burst must cost little compared with its requests.
	maxRoundDatagramsPerSecond    = 100
	maxAdditionDatagramsPerSecond = 1000
	// minRoundInterval is the shortest interval between two rounds.
	minRoundInterval = 200 * time.Millisecond
	// minListInterval is the shortest regular interval between two reads of the table.
	// A message from an unlisted gateway triggers a read after promptListDelay. All
	// gateways together make at most maxListsPerSecond regular reads.
	minListInterval   = 15 * time.Second
	maxListsPerSecond = 3
	promptListDelay   = 500 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 500 * time.Millisecond
	// leaveTimeout bounds the removal of the row at shutdown, which must fit the last
	// part of the grace period.
	leaveTimeout = 200 * time.Millisecond
	// reentryWindow is the longest time that gateways need to register again in a store
	// that has lost their rows. It covers several retries.
	reentryWindow = 5 * time.Second
	// maxPending bounds the requests queued for an additional message; further ones are
	// reported in the next round.
	maxPending = 256
	// maxDatagramBytes bounds a datagram.
	maxDatagramBytes = 8 << 10
)

// MinReportedWorkMS is the prompt work in milliseconds from which a request is reported between
// rounds. Less work hardly changes a load estimate until the next round.
const MinReportedWorkMS = 5.0

// RoundInterval returns the interval between two rounds of gossip to the given number of peers.
func RoundInterval(peers int) time.Duration {
	return max(minRoundInterval, time.Duration(peers)*time.Second/maxRoundDatagramsPerSecond)
}

// additionInterval returns the interval between two additional messages that are sent to
// the given number of gateways; requests sent in the meantime share a message.
func additionInterval(peers int) time.Duration {
	return time.Duration(peers) * time.Second / maxAdditionDatagramsPerSecond
}

// maxBroadcastGateways is the largest number of gateways at which additional messages go
// to all of them. With more, they go to the gateways in the upstream's failure domain,
// which prefer that upstream; the others receive the load with the next round.
const maxBroadcastGateways = 32

// Options configure a Gossip.
type Options struct {
	Name string
	// Domain is the failure domain of this gateway.
	Domain string
	// Address is the IP:port for datagrams, as written to the gateway table.
	Address string
	// Incarnation rises with each start of the process.
	Incarnation uint64
	Store       store.Store
	Log         *eventlog.Log
	// Message returns the content of the next gossip message; Send sets the gateway, the
	// incarnation and the number.
	Message func() *gossipv1.News
	// TableUpdate is called with each reading from a listed gateway; it must not block.
	TableUpdate func(from string, r TableUpdate)
	// Limits is called with the limits that upstreams have reported to a listed gateway; it
	// must not block.
	Limits func(from string, limits []sharedrate.SentLimit)
	// Budgets is called with what a listed gateway has counted for its retry budgets, by the
	// hash of the service; it must not block.
	Budgets func(from string, incarnation uint64, totals map[uint32]retrywindow.Totals)
	// Leaving is called with the hashes of the boots of upstreams (see HashBoot) that have
	// announced their departure to a listed gateway; it must not block.
	Leaving func(from string, boots []uint32)
	// Crashes is called with what a listed gateway has seen of crashes of upstreams; it must
	// not block.
	Crashes func(from string, r quarantine.Report)
}

// Gossip sends and receives gossip messages.
type Gossip struct {
	Peers *PeerTable
	opts  Options
	conn  *net.UDPConn

	// pending holds requests to report before the next round.
	pending chan SentRequest

	mu     sync.Mutex
	listed map[string]listedGateway
	// read is true once the gateway table has been read.
	read bool
	// rowMissing is true while the table may lack this gateway's row.
	rowMissing bool
	// storeEra is the era of the store at the last read of the table.
	storeEra uint64
	// reentryUntil is the end of the reentryWindow after the store has lost its rows.
	reentryUntil time.Time
	// listSoon triggers a read of the table before the regular interval has passed.
	listSoon chan struct{}
	// strangers are unlisted gateways that have sent messages.
	strangers strangers
}

// listedGateway is a row of the gateway table.
type listedGateway struct {
	address netip.AddrPort
	domain  string
	// since is when this gateway first saw the row.
	since time.Time
}

// Listen opens the socket and sends nothing.
func Listen(o Options) (*Gossip, error) {
	address, err := net.ResolveUDPAddr("udp4", o.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "resolve gossip address %s", o.Address)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for gossip on %s", o.Address)
	}
	if err := stampArrivals(conn); err != nil {
		o.Log.Event("peers", "arrivals of datagrams are not stamped", eventlog.Error(err)) // ages then count from when they are read
	}
	return &Gossip{
		Peers: NewPeerTable(), opts: o, conn: conn, listed: map[string]listedGateway{},
		pending: make(chan SentRequest, maxPending), listSoon: make(chan struct{}, 1),
	}, nil
}

// gatewayRow is the value of a row of the gateway table.
type gatewayRow struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

func (t *Gossip) key() store.Key { return store.Key{Table: gatewayTable, Name: t.opts.Name} }

// Register keeps this gateway registered in the table and re-reads the table until ctx ends,
// then removes the gateway's row.
func (t *Gossip) Register(ctx context.Context) error {
	value, err := json.Marshal(gatewayRow{Address: t.opts.Address, Domain: t.opts.Domain})
	if err != nil {
		return errors.Trace(err)
	}
	t.setRowMissing(true)
	for ctx.Err() == nil {
		t.writeMissingRow(ctx, value)
		read := !t.isRowMissing() && t.refreshList(ctx)
		if read {
			t.writeMissingRow(ctx, value) // the list shows whether it holds this gateway's row
		}
		next := listInterval(t.Gateways())
		if !read || t.isRowMissing() {
			next = retryDelay
		}
		timer := time.NewTimer(next)
		select {
		case <-timer.C:
		case <-t.listSoon:
			sleep(ctx, promptListDelay)
		case <-ctx.Done():
		}
		timer.Stop()
	}
	leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if _, err := t.opts.Store.Commit(leave, store.Txn{Delete: []store.Key{t.key()}}); err != nil {
		t.opts.Log.Event("peers", "gateway row not removed", zap.String("gateway", t.opts.Name), eventlog.Error(err))
	}
	return nil
}

// writeMissingRow writes this gateway's row if the table may lack it.
func (t *Gossip) writeMissingRow(ctx context.Context, value []byte) {
	if !t.isRowMissing() {
		return
	}
	_, err := t.opts.Store.Commit(ctx, store.Txn{Set: []store.Row{{Key: t.key(), Value: value}}})
	t.setRowMissing(err != nil)
}

// Reregister makes Register write this gateway's row again, since the store may have lost
// it.
func (t *Gossip) Reregister() {
	t.setRowMissing(true)
	select {
	case t.listSoon <- struct{}{}:
	default: // a read of the table is already requested
	}
}

func (t *Gossip) setRowMissing(missing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rowMissing = missing
}

func (t *Gossip) isRowMissing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rowMissing
}

// listInterval returns the interval between two reads of the table by one of the given
// number of gateways.
func listInterval(gateways int) time.Duration {
	return max(minListInterval, time.Duration(gateways)*time.Second/maxListsPerSecond)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// refreshList reads the gateway table and reports whether it succeeded.
func (t *Gossip) refreshList(ctx context.Context) bool {
	page, err := t.opts.Store.List(ctx, gatewayTable, "")
	if err != nil {
		return false // the configuration follower logs the loss of the store
	}
	all := map[string]listedGateway{}
	names := map[string]bool{}
	rowMissing := true
	for _, r := range page.Rows {
		var e gatewayRow
		err := json.Unmarshal(r.Value, &e)
		switch {
		case r.Name == t.opts.Name:
			rowMissing = err != nil || e != gatewayRow{Address: t.opts.Address, Domain: t.opts.Domain}
		case err != nil || e.Address == t.opts.Address:
			// Written by something else, or by a gateway that had this one's address.
		default:
			if a, ok := parsePeer(e.Address); ok {
				all[r.Name], names[r.Name] = listedGateway{address: a, domain: e.Domain}, true
			}
		}
	}
	if rowMissing {
		t.setRowMissing(true)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if store.Era(page.Rev) > t.storeEra {
		t.storeEra, t.reentryUntil = store.Era(page.Rev), now.Add(reentryWindow)
	}
	for name, p := range all {
		if known, ok := t.listed[name]; ok {
			p.since = known.since
		} else {
			p.since = now
		}
		all[name] = p
		t.strangers.forget(name)
	}
	for name, p := range t.listed {
		if _, ok := all[name]; !ok && now.Before(t.reentryUntil) && t.Peers.isFresh(name, now) {
			all[name], names[name] = p, true // the store has lost the row, and the gateway is registering again
		}
	}
	if len(all) != len(t.listed) {
		t.opts.Log.Event("peers", "gateways listed", zap.Int("count", len(all)), zap.Uint64("rev", page.Rev))
	}
	t.listed, t.read = all, true
	t.Peers.Forget(names)
	return true
}

// parsePeer returns the address of a row; ok is false unless it is that of a single host.
func parsePeer(address string) (a netip.AddrPort, ok bool) {
	a, err := netip.ParseAddrPort(address)
	ip, broadcast := a.Addr(), netip.AddrFrom4([4]byte{255, 255, 255, 255})
	return a, err == nil && a.Port() != 0 && ip.Is4() && !ip.IsUnspecified() && !ip.IsMulticast() && ip != broadcast
}

// Send sends a gossip message to all listed gateways in each round until ctx ends, and
// additional messages for requests sent between two rounds.
func (t *Gossip) Send(ctx context.Context) error {
	for number := uint32(1); ctx.Err() == nil; number++ {
		to := t.addresses()
		if len(to) > 0 {
			t.drainPending() // this round already counts the pending requests
			n := t.opts.Message()
			n.Gateway, n.Incarnation, n.Number = t.opts.Name, t.opts.Incarnation, number
			t.send(n, to)
		}
		t.sendBetweenRounds(ctx, number, to)
	}
	return nil
}

// addresses returns the addresses of all listed gateways.
func (t *Gossip) addresses() []netip.AddrPort { return t.addressesIn("") }

// addressesIn returns the addresses of the listed gateways in a failure domain; the empty
// domain stands for all.
func (t *Gossip) addressesIn(domain string) []netip.AddrPort {
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

// LimitsAdditionsToDomain reports whether additional messages go only to the upstream's
// failure domain, so that load on upstreams of other domains is received with the rounds.
func (t *Gossip) LimitsAdditionsToDomain() bool { return t.Gateways() > maxBroadcastGateways }

// Gateways returns the number of gateways including this one, or zero until the table
// has been read.
func (t *Gossip) Gateways() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.read {
		return 0
	}
	return len(t.listed) + 1
}

func (t *Gossip) send(n *gossipv1.News, to []netip.AddrPort) {
	b, err := proto.Marshal(n)
	if err != nil || len(b) > maxDatagramBytes {
		t.opts.Log.Event("peers", "gossip message not sent", zap.Int("bytes", len(b)), eventlog.Error(err))
		return
	}
	for _, a := range to {
		// A send error is handled like a lost datagram: the next round replaces it.
		_, _ = t.conn.WriteToUDPAddrPort(b, a)
	}
}

// Receive handles incoming datagrams until ctx ends.
func (t *Gossip) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	buf, control := make([]byte, maxDatagramBytes), make([]byte, arrivalControlBytes)
	for {
		size, controlSize, _, from, err := t.conn.ReadMsgUDPAddrPort(buf, control)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			sleep(ctx, retryDelay) // such as an ICMP refusal of a datagram sent earlier
			continue
		}
		var n gossipv1.News
		if err := proto.Unmarshal(buf[:size], &n); err != nil {
			t.opts.Log.Event("peers", "gossip message not decoded", zap.Int("bytes", size), eventlog.Error(err))
			continue
		}
		t.handle(&n, from, arrivalTime(control[:controlSize], time.Now()))
	}
}

// handle processes a gossip message. Readings, limits and departures are accepted only
// from the listed address of the gateway that the message names.
func (t *Gossip) handle(n *gossipv1.News, from netip.AddrPort, arrived time.Time) {
	t.mu.Lock()
	peer, known := t.listed[n.GetGateway()]
	ask := !known && n.GetGateway() != t.opts.Name &&
		t.strangers.heard(n.GetGateway(), time.Now(), listInterval(len(t.listed)+1))
	t.mu.Unlock()
	switch {
	case known && n.GetReading() != nil:
		t.receiveReading(n, peer.address == from)
		return
	case known && n.GetCrashes() != nil:
		if peer.address == from {
			t.opts.Crashes(n.GetGateway(), decodeCrashes(n.GetCrashes(), arrived))
		}
		return
	case known:
		if t.Peers.Record(n, time.Now()) && peer.address == from {
			t.dispatchNotices(n)
		}
		return
	case !ask:
		return
	}
	select {
	case t.listSoon <- struct{}{}: // a gateway that has registered since the last read
	default:
	}
}
