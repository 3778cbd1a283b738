package peers

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/store"
	"tarragonbay.example/tarragonbay/internal/store/storefake"
	"tarragonbay.example/tarragonbay/internal/versionshift"
)

var t0 = time.Unix(1000, 0)

func message(gateway string, incarnation uint64, number, running uint32) *gossipv1.News {
	return &gossipv1.News{
		Gateway: gateway, Incarnation: incarnation, Number: number,
		Upstreams: []uint32{Hash("u")}, Running: []uint32{running}, Waiting: []uint32{1}, UnreadMs: []uint32{10},
	}
}

func TestOutdatedMessagesAreIgnored(t *testing.T) {
	b := NewPeerTable()
	b.Record(message("a", 2, 5, 7), t0)
	for name, old := range map[string]*gossipv1.News{
		"overtaken": message("a", 2, 4, 1), "doubled": message("a", 2, 5, 1), "of an earlier incarnation": message("a", 1, 99, 1),
	} {
		if b.Record(old, t0) || b.Loads(t0)[Hash("u")].Running != 7 {
			t.Errorf("a message that was %s was recorded", name)
		}
	}
	b.Record(message("a", 3, 1, 2), t0)
	b.Record(message("b", 1, 1, 4), t0)
	if l := b.Loads(t0)[Hash("u")]; l.Running != 6 || l.PendingWorkMS != 20 {
		t.Errorf("load %+v", l)
	}
}

func TestOldMessagesExpire(t *testing.T) {
	b := NewPeerTable()
	n := message("a", 1, 1, 7)
	n.Sightings = EncodeEvidence("s", 9, versionshift.EvidenceByClass{"r": {New: map[uint32]versionshift.Tally{7: {Good: 1, Bad: 3}}, OldRunning: 2}})
	b.Record(n, t0)
	if e := b.Evidence("s", 9, t0)["r"]; e.New[7] != (versionshift.Tally{Good: 1, Bad: 3}) || e.OldRunning != 2 {
		t.Errorf("evidence %+v", e)
	}
	if e := b.Evidence("s", 8, t0); len(e) != 0 {
		t.Errorf("evidence for another order: %+v", e)
	}
	later := t0.Add(minFreshness + time.Millisecond)
	if len(b.Loads(later)) != 0 || b.FreshCount(later) != 0 || len(b.Evidence("s", 9, later)) != 0 {
		t.Error("a silent peer is still counted")
	}
}

// TestRestartAfterTheClockWentBack guards against ignoring a restarted peer whose new
// incarnation is lower, once its earlier message is no longer fresh.
func TestRestartAfterTheClockWentBack(t *testing.T) {
	b := NewPeerTable()
	b.Record(message("a", 9, 100, 7), t0)
	later := t0.Add(minFreshness + time.Millisecond)
	if !b.Record(message("a", 8, 1, 2), later) || b.Loads(later)[Hash("u")].Running != 2 {
		t.Error("the message of a restarted peer was not recorded")
	}
}

func addition(gateway string, incarnation uint64, number uint32, works ...uint32) *gossipv1.News {
	n := &gossipv1.News{Gateway: gateway, Incarnation: incarnation, Number: number, Addition: true}
	for _, w := range works {
		n.Upstreams, n.UnreadMs = append(n.Upstreams, Hash("u")), append(n.UnreadMs, w)
	}
	return n
}

// TestAdditionsCountUntilTheNextMessage: requests that a peer has sent since its last full
// message add to the load, shrink as the upstream processes them, and are replaced by the
// next full message. A processed prompt must not count as waiting, or busy upstreams are
// not recognised as busy: in khl-galley's bad-under-load-beside-crashes, seed
// 789381375115, a version that fails on busy upstreams passed in five of seven runs.
func TestAdditionsCountUntilTheNextMessage(t *testing.T) {
	b := NewPeerTable()
	if b.Record(addition("a", 1, 1, 100), t0) {
		t.Error("an addition without a full message was recorded")
	}
	b.Record(message("a", 1, 5, 7), t0)
	if !b.Record(addition("a", 1, 5, 100, 300), t0) {
		t.Fatal("an addition was not recorded")
	}
	for _, c := range []struct {
		after time.Duration
		want  Load
	}{
		{0, Load{Running: 9, Waiting: 3, PendingWorkMS: 410}},
		{60 * time.Millisecond, Load{Running: 9, Waiting: 3, PendingWorkMS: 350}},
		{200 * time.Millisecond, Load{Running: 9, Waiting: 2, PendingWorkMS: 210}},
		{400 * time.Millisecond, Load{Running: 9, Waiting: 1, PendingWorkMS: 10}},
		{500 * time.Millisecond, Load{Running: 9, Waiting: 1}},
	} {
		if got := b.Loads(t0.Add(c.after))[Hash("u")]; got != c.want {
			t.Errorf("after %v: %+v, want %+v", c.after, got, c.want)
		}
	}
	for name, old := range map[string]*gossipv1.News{
		"to an earlier message": addition("a", 1, 4, 100), "of another incarnation": addition("a", 2, 5, 100),
		"with columns of different lengths": {Gateway: "a", Incarnation: 1, Number: 5, Addition: true, Upstreams: []uint32{Hash("u")}},
		"of an unknown peer":                addition("x", 1, 5, 100), "over the bound": addition("a", 1, 5, make([]uint32, maxAdded)...),
	} {
		if b.Record(old, t0) {
			t.Errorf("an addition %s was recorded", name)
		}
	}
	b.Record(message("a", 1, 6, 3), t0)
	if got := b.Loads(t0)[Hash("u")]; got != (Load{Running: 3, Waiting: 1, PendingWorkMS: 10}) {
		t.Errorf("after the next full message: %+v", got)
	}
}

// TestReportedWorkShrinksWithAge: an upstream processes one prompt at a time, so the work
// that two peers reported at different times shrinks by the mean age of the reports.
func TestReportedWorkShrinksWithAge(t *testing.T) {
	b := NewPeerTable()
	for name, at := range map[string]time.Duration{"a": 0, "b": 200 * time.Millisecond} {
		n := message(name, 1, 1, 1)
		n.UnreadMs = []uint32{300}
		b.Record(n, t0.Add(at))
	}
	if got := b.Loads(t0.Add(300 * time.Millisecond))[Hash("u")].PendingWorkMS; got != 400 {
		t.Errorf("%v ms of work are left, want 400 of 600 after 300 and 100 ms", got)
	}
}

func TestMessagesWithUnequalColumnsAreIgnored(t *testing.T) {
	b := NewPeerTable()
	n := message("a", 1, 1, 7)
	n.Running = nil
	b.Record(n, t0)
	if len(b.Loads(t0)) != 0 {
		t.Error("columns of different lengths were decoded")
	}
}

func TestSessionsOfPeers(t *testing.T) {
	b := NewPeerTable()
	n := message("a", 1, 1, 0)
	n.OldSessions, n.NewSessions = []uint32{Hash("s1")}, []uint32{Hash("s2")}
	b.Record(n, t0)
	for session, want := range map[string][2]bool{"s1": {true, false}, "s2": {false, true}, "s3": {}} {
		if onOld, onNew := b.SessionVersions(session); onOld != want[0] || onNew != want[1] {
			t.Errorf("%s is on the old version: %t, on the new: %t", session, onOld, onNew)
		}
	}
	b.Forget(map[string]bool{})
	if onOld, onNew := b.SessionVersions("s1"); onOld || onNew {
		t.Error("a peer that left the table is still counted")
	}
}

// TestCountBeforeIgnoresSilentPeers: a gateway leaves the reading of a table to peers whose
// names sort before its own only while their messages are fresh.
func TestCountBeforeIgnoresSilentPeers(t *testing.T) {
	b := NewPeerTable()
	for _, name := range []string{"a", "c", "d"} {
		b.Record(message(name, 1, 1, 0), t0)
	}
	if n := b.CountBefore("c", t0.Add(time.Second)); n != 1 {
		t.Errorf("%d peers sort before, want 1", n)
	}
	if n := b.CountBefore("c", t0.Add(minFreshness+time.Millisecond)); n != 0 {
		t.Errorf("%d silent peers are counted, want 0", n)
	}
}

// TestMessagesOfManyPeersStayFresh: the interval between rounds grows with the number of
// peers, and the loss of two rounds must not make a peer count as silent.
func TestMessagesOfManyPeersStayFresh(t *testing.T) {
	for _, peers := range []int{1, 6, 27, 103, 300} {
		b := NewPeerTable()
		for i := range peers {
			b.Record(message(fmt.Sprint(i), 1, 1, 1), t0)
		}
		if n := b.FreshCount(t0.Add(3 * RoundInterval(peers))); n != peers {
			t.Errorf("%d of %d peers are fresh after two lost rounds", n, peers)
		}
	}
}

func listen(t *testing.T, st store.Store, name string, running uint32) *Gossip {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := c.LocalAddr().String()
	_ = c.Close() // Listen opens the port again
	tk, err := Listen(Options{
		Name: name, Address: address, Incarnation: 1, Store: st, Log: eventlog.New(io.Discard),
		Message:     func() *gossipv1.News { return message("", 0, 0, running) },
		TableUpdate: func(string, TableUpdate) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	return tk
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// TestGossipBetweenGateways: gateways discover one another in the table, after the store
// was unavailable and when one starts later; they ignore unlisted senders and malformed
// datagrams, and remove their rows at the end.
func TestGossipBetweenGateways(t *testing.T) {
	st := storefake.New()
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	start := func(tk *Gossip) {
		for _, run := range []func(context.Context) error{tk.Register, tk.Send, tk.Receive} {
			wg.Go(func() {
				if err := run(ctx); err != nil {
					t.Error(err)
				}
			})
		}
	}
	st.Fail(result.New(result.TableUnavailable, "away"))
	a, b := listen(t, st, "a", 1), listen(t, st, "b", 2)
	start(a)
	start(b)
	st.Fail(nil)
	waitFor(t, "the message of b at a", func() bool { return a.Peers.Loads(time.Now())[Hash("u")].Running == 2 })
	waitFor(t, "the message of a at b", func() bool { return b.Peers.Loads(time.Now())[Hash("u")].Running == 1 })
	c := listen(t, st, "c", 4)
	start(c)
	waitFor(t, "the message of c at a", func() bool { return a.Peers.Loads(time.Now())[Hash("u")].Running == 6 })

	// The full messages of this test never change, so the request arrives as an addition.
	b.ReportRequest(SentRequest{Upstream: "u", WorkMS: MinReportedWorkMS / 2})
	b.ReportRequest(SentRequest{Upstream: "u", WorkMS: 1e6})
	waitFor(t, "the addition of b at a", func() bool { return a.Peers.Loads(time.Now())[Hash("u")].PendingWorkMS > 9e5 })
	waitFor(t, "the next full message of b at a", func() bool { return a.Peers.Loads(time.Now())[Hash("u")].PendingWorkMS < 9e5 })

	conn, err := net.Dial("udp4", a.opts.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	unlisted, err := proto.Marshal(message("stranger", 1, 1, 100))
	if err != nil {
		t.Fatal(err)
	}
	for _, datagram := range [][]byte{unlisted, {0xff, 0xff, 0xff}, {}} {
		if _, err := conn.Write(datagram); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "further messages at a", func() bool { return a.Peers.FreshCount(time.Now()) == 2 })
	if n := a.Peers.Loads(time.Now())[Hash("u")].Running; n > 6 {
		t.Errorf("the load of an unlisted gateway is counted: %d running", n)
	}
	stop()
	wg.Wait()
	page, err := st.List(context.Background(), gatewayTable, "")
	if err != nil || len(page.Rows) != 0 {
		t.Errorf("%d rows are left in the gateway table, error %v", len(page.Rows), err)
	}
}

// TestReportRequestNeverBlocks: ReportRequest drops requests when the queue is full and Send
// does not run.
func TestReportRequestNeverBlocks(t *testing.T) {
	tk := listen(t, storefake.New(), "a", 1)
	defer func() { _ = tk.conn.Close() }() // nothing was sent on it
	for range 2 * maxPending {
		tk.ReportRequest(SentRequest{Upstream: "u", WorkMS: 100})
	}
	if n := len(tk.pending); n != maxPending {
		t.Errorf("%d requests are queued, want %d", n, maxPending)
	}
}

// TestDatagramsAreBounded: a gateway stays within its datagram rates however many requests
// it sends, and additional messages are no further apart than rounds.
func TestDatagramsAreBounded(t *testing.T) {
	for peers := 1; peers <= 200; peers++ {
		rounds := float64(peers) / RoundInterval(peers).Seconds()
		additions := float64(peers) / additionInterval(peers).Seconds()
		if rounds > maxRoundDatagramsPerSecond+0.5 || additions > maxAdditionDatagramsPerSecond+0.5 {
			t.Errorf("%d peers: %.1f and %.1f datagrams a second", peers, rounds, additions)
		}
		if additionInterval(peers) > RoundInterval(peers) {
			t.Errorf("%d peers: additions are %v apart, rounds %v", peers, additionInterval(peers), RoundInterval(peers))
		}
	}
}

// TestReadsOfTheTableDoNotGrowWithGateways: the reads of all gateways together stay within
// maxListsPerSecond.
func TestReadsOfTheTableDoNotGrowWithGateways(t *testing.T) {
	for gateways := 1; gateways <= 1000; gateways++ {
		if all := float64(gateways) / listInterval(gateways).Seconds(); all > maxListsPerSecond+0.01 {
			t.Errorf("%d gateways read the table %.1f times a second", gateways, all)
		}
	}
}

// TestAdditionsGoToTheDomainAmongManyGateways: additional messages go to all of a few
// gateways, but among many only to those in the upstream's failure domain, so that the
// datagrams for one request do not grow with the number of domains.
func TestAdditionsGoToTheDomainAmongManyGateways(t *testing.T) {
	for _, c := range []struct{ gateways, want int }{{6, 6}, {maxBroadcastGateways, maxBroadcastGateways}, {103, 21}, {300, 60}} {
		tk := listen(t, storefake.New(), "a", 1)
		tk.read = true
		for i := range c.gateways - 1 {
			tk.listed[fmt.Sprint(i)] = listedGateway{address: netip.MustParseAddrPort("127.0.0.1:9"), domain: fmt.Sprint(i % 5)}
		}
		sent := tk.sendAdditions(1, []SentRequest{{Upstream: "u", Domain: "1", WorkMS: 100}})
		if sent > c.want || sent < c.want-1 {
			t.Errorf("%d gateways: %d datagrams", c.gateways, sent)
		}
		_ = tk.conn.Close() // nothing is read from it
	}
}

// TestPendingRequestsArePartOfTheRound: a request that a full message counts must not be
// reported again in an additional message.
func TestPendingRequestsArePartOfTheRound(t *testing.T) {
	tk := listen(t, storefake.New(), "a", 1)
	defer func() { _ = tk.conn.Close() }() // nothing is read from it
	tk.listed["b"] = listedGateway{address: netip.MustParseAddrPort("127.0.0.1:9")}
	for range 3 {
		tk.ReportRequest(SentRequest{Upstream: "u", WorkMS: 100})
	}
	ctx, stop := context.WithCancel(t.Context())
	tk.opts.Message = func() *gossipv1.News {
		if n := len(tk.pending); n != 0 {
			t.Errorf("%d requests are still pending in the round that counts them", n)
		}
		stop()
		return message("", 0, 0, 1)
	}
	if err := tk.Send(ctx); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkEvidence sums the evidence of 102 peers on a shift in four classes.
func BenchmarkEvidence(b *testing.B) {
	table := NewPeerTable()
	for i := range 102 {
		n := message(fmt.Sprint(i), 1, 1, 1)
		seen := versionshift.EvidenceByClass{}
		for _, class := range []string{"", "a", "b", "c"} {
			e := versionshift.Evidence{OldGood: 10, New: map[uint32]versionshift.Tally{}}
			for u := range uint32(20) {
				e.New[u] = versionshift.Tally{Good: 1}
			}
			seen[class] = e
		}
		n.Sightings = EncodeEvidence("s", 9, seen)
		table.Record(n, t0)
	}
	for b.Loop() {
		table.Evidence("s", 9, t0)
	}
}

// TestRestartedPeersSessionsLoseTheirVersion guards against callers of a gateway that was
// stopped, whose sessions go on at others and on the other version of a shift.
func TestRestartedPeersSessionsLoseTheirVersion(t *testing.T) {
	b, now := NewPeerTable(), time.Unix(1000, 0)
	b.Record(&gossipv1.News{Gateway: "peer", Incarnation: 1, Number: 9, OldSessions: []uint32{Hash("kept")}, NewSessions: []uint32{Hash("moved")}}, now)
	for i := range uint32(60) {
		after := time.Duration(i+1) * 200 * time.Millisecond
		b.Record(&gossipv1.News{Gateway: "peer", Incarnation: 2, Number: i + 1}, now.Add(after))
		want := after <= formerSessionTime
		if onOld, _ := b.SessionVersions("kept"); onOld != want {
			t.Fatalf("on the old version %v after the last message of the process before: %v", after, onOld)
		}
		if _, onNew := b.SessionVersions("moved"); onNew != want {
			t.Fatalf("on the new version %v after the last message of the process before: %v", after, onNew)
		}
	}
}
