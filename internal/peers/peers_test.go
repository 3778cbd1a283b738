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

func news(gateway string, incarnation uint64, number, running uint32) *gossipv1.News {
	return &gossipv1.News{
		Gateway: gateway, Incarnation: incarnation, Number: number,
		Upstreams: []uint32{Hash("u")}, Running: []uint32{running}, Waiting: []uint32{1}, UnreadMs: []uint32{10},
	}
}

func TestOnlyTheLatestNewsCount(t *testing.T) {
	b := NewBook()
	b.Take(news("a", 2, 5, 7), t0)
	for name, old := range map[string]*gossipv1.News{
		"overtaken": news("a", 2, 4, 1), "doubled": news("a", 2, 5, 1), "of an earlier incarnation": news("a", 1, 99, 1),
	} {
		if b.Take(old, t0) || b.Loads(t0)[Hash("u")].Running != 7 {
			t.Errorf("%s news were taken", name)
		}
	}
	b.Take(news("a", 3, 1, 2), t0)
	b.Take(news("b", 1, 1, 4), t0)
	if l := b.Loads(t0)[Hash("u")]; l.Running != 6 || l.UnreadMS != 20 {
		t.Errorf("load %+v", l)
	}
}

func TestOldNewsExpire(t *testing.T) {
	b := NewBook()
	n := news("a", 1, 1, 7)
	n.Sightings = Sightings("s", 9, versionshift.Seen{"r": {New: map[uint32]versionshift.Tally{7: {Good: 1, Bad: 3}}, OldRunning: 2}})
	b.Take(n, t0)
	if e := b.Evidence("s", 9, t0)["r"]; e.New[7] != (versionshift.Tally{Good: 1, Bad: 3}) || e.OldRunning != 2 {
		t.Errorf("evidence %+v", e)
	}
	if e := b.Evidence("s", 8, t0); len(e) != 0 {
		t.Errorf("evidence of another order: %+v", e)
	}
	later := t0.Add(leastFresh + time.Millisecond)
	if len(b.Loads(later)) != 0 || b.Heard(later) != 0 || len(b.Evidence("s", 9, later)) != 0 {
		t.Error("a silent peer still counts")
	}
}

// TestRestartAfterTheClockWentBack: the new incarnation has the lower number.
func TestRestartAfterTheClockWentBack(t *testing.T) {
	b := NewBook()
	b.Take(news("a", 9, 100, 7), t0)
	later := t0.Add(leastFresh + time.Millisecond)
	if !b.Take(news("a", 8, 1, 2), later) || b.Loads(later)[Hash("u")].Running != 2 {
		t.Error("a restarted peer is not heard")
	}
}

func addition(gateway string, incarnation uint64, number uint32, works ...uint32) *gossipv1.News {
	n := &gossipv1.News{Gateway: gateway, Incarnation: incarnation, Number: number, Addition: true}
	for _, w := range works {
		n.Upstreams, n.UnreadMs = append(n.Upstreams, Hash("u")), append(n.UnreadMs, w)
	}
	return n
}

// TestAdditionsCountUntilTheNextNews: what a peer has sent since its news adds to
// them, is read by the upstream as time goes by, and is part of the next news. A
// prompt that has been read waits no longer, or busy upstreams would not be known
// for it: in khl-galley's bad-under-load-beside-crashes, seed 789381375115, a version
// that fails on them passed in five of seven runs.
func TestAdditionsCountUntilTheNextNews(t *testing.T) {
	b := NewBook()
	if b.Take(addition("a", 1, 1, 100), t0) {
		t.Error("an addition to nothing was taken")
	}
	b.Take(news("a", 1, 5, 7), t0)
	if !b.Take(addition("a", 1, 5, 100, 300), t0) {
		t.Fatal("an addition was not taken")
	}
	for _, c := range []struct {
		after time.Duration
		want  Load
	}{
		{0, Load{Running: 9, Waiting: 3, UnreadMS: 410}},
		{60 * time.Millisecond, Load{Running: 9, Waiting: 3, UnreadMS: 350}},
		{200 * time.Millisecond, Load{Running: 9, Waiting: 2, UnreadMS: 210}},
		{400 * time.Millisecond, Load{Running: 9, Waiting: 1, UnreadMS: 10}},
		{500 * time.Millisecond, Load{Running: 9, Waiting: 1}},
	} {
		if got := b.Loads(t0.Add(c.after))[Hash("u")]; got != c.want {
			t.Errorf("after %v: %+v, want %+v", c.after, got, c.want)
		}
	}
	for name, old := range map[string]*gossipv1.News{
		"to earlier news": addition("a", 1, 4, 100), "of another incarnation": addition("a", 2, 5, 100),
		"with torn columns": {Gateway: "a", Incarnation: 1, Number: 5, Addition: true, Upstreams: []uint32{Hash("u")}},
		"of a stranger":     addition("x", 1, 5, 100), "without end": addition("a", 1, 5, make([]uint32, mostBegun)...),
	} {
		if b.Take(old, t0) {
			t.Errorf("an addition %s was taken", name)
		}
	}
	b.Take(news("a", 1, 6, 3), t0)
	if got := b.Loads(t0)[Hash("u")]; got != (Load{Running: 3, Waiting: 1, UnreadMS: 10}) {
		t.Errorf("after the next news: %+v", got)
	}
}

// TestWorkToldEarlierIsDone: an upstream reads one prompt after the other, so what
// two peers told at different times shrinks by the mean time that has passed.
func TestWorkToldEarlierIsDone(t *testing.T) {
	b := NewBook()
	for name, at := range map[string]time.Duration{"a": 0, "b": 200 * time.Millisecond} {
		n := news(name, 1, 1, 1)
		n.UnreadMs = []uint32{300}
		b.Take(n, t0.Add(at))
	}
	if got := b.Loads(t0.Add(300 * time.Millisecond))[Hash("u")].UnreadMS; got != 400 {
		t.Errorf("%v ms are unread, want 400 of 600 after 300 and 100 ms", got)
	}
}

func TestTornNewsAreLeftOut(t *testing.T) {
	b := NewBook()
	n := news("a", 1, 1, 7)
	n.Running = nil
	b.Take(n, t0)
	if len(b.Loads(t0)) != 0 {
		t.Error("columns of different lengths were read")
	}
}

func TestSessionsOfPeers(t *testing.T) {
	b := NewBook()
	n := news("a", 1, 1, 0)
	n.OldSessions, n.NewSessions = []uint32{Hash("s1")}, []uint32{Hash("s2")}
	b.Take(n, t0)
	for session, want := range map[string][2]bool{"s1": {true, false}, "s2": {false, true}, "s3": {}} {
		if onOld, onNew := b.Versions(session); onOld != want[0] || onNew != want[1] {
			t.Errorf("%s is on the old version: %t, on the new: %t", session, onOld, onNew)
		}
	}
	b.Forget(map[string]bool{})
	if onOld, onNew := b.Versions("s1"); onOld || onNew {
		t.Error("a peer that left the table still counts")
	}
}

// TestSilentPeersDoNotComeBefore: a gateway leaves a read to those that come before
// it only while they are heard.
func TestSilentPeersDoNotComeBefore(t *testing.T) {
	b := NewBook()
	for _, name := range []string{"a", "c", "d"} {
		b.Take(news(name, 1, 1, 0), t0)
	}
	if n := b.Before("c", t0.Add(time.Second)); n != 1 {
		t.Errorf("%d peers before", n)
	}
	if n := b.Before("c", t0.Add(leastFresh+time.Millisecond)); n != 0 {
		t.Errorf("%d silent peers before", n)
	}
}

// TestNewsOfManyPeersStayFresh: the pause between two rounds grows with the peers,
// and a lost round or two must not make a peer silent.
func TestNewsOfManyPeersStayFresh(t *testing.T) {
	for _, peers := range []int{1, 6, 27, 103, 300} {
		b := NewBook()
		for i := range peers {
			b.Take(news(fmt.Sprint(i), 1, 1, 1), t0)
		}
		if n := b.Heard(t0.Add(3 * Pause(peers))); n != peers {
			t.Errorf("%d of %d peers are heard after two lost rounds", n, peers)
		}
	}
}

func talk(t *testing.T, st store.Store, name string, running uint32) *Talk {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := c.LocalAddr().String()
	_ = c.Close() // the talk opens it again
	tk, err := Listen(Options{
		Name: name, Address: address, Incarnation: 1, Store: st, Log: eventlog.New(io.Discard),
		News:    func() *gossipv1.News { return news("", 0, 0, running) },
		Reading: func(string, Reading) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	return tk
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not come", what)
		}
	}
}

// TestTalk: gateways find one another in the table, also one that comes later
// and after the store was away, ignore strangers and junk, and leave the table.
func TestTalk(t *testing.T) {
	st := storefake.New()
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	start := func(tk *Talk) {
		for _, duty := range []func(context.Context) error{tk.Enter, tk.Send, tk.Receive} {
			wg.Go(func() {
				if err := duty(ctx); err != nil {
					t.Error(err)
				}
			})
		}
	}
	st.Fail(result.New(result.TableUnavailable, "away"))
	a, b := talk(t, st, "a", 1), talk(t, st, "b", 2)
	start(a)
	start(b)
	st.Fail(nil)
	until(t, "news of b at a", func() bool { return a.Book.Loads(time.Now())[Hash("u")].Running == 2 })
	until(t, "news of a at b", func() bool { return b.Book.Loads(time.Now())[Hash("u")].Running == 1 })
	c := talk(t, st, "c", 4)
	start(c)
	until(t, "news of c at a", func() bool { return a.Book.Loads(time.Now())[Hash("u")].Running == 6 })

	// The news of the test are always the same, so this comes as an addition.
	b.Tell(Begun{Upstream: "u", WorkMS: LeastTold / 2})
	b.Tell(Begun{Upstream: "u", WorkMS: 1e6})
	until(t, "a long prompt of b at a", func() bool { return a.Book.Loads(time.Now())[Hash("u")].UnreadMS > 9e5 })
	until(t, "the next news of b at a", func() bool { return a.Book.Loads(time.Now())[Hash("u")].UnreadMS < 9e5 })

	conn, err := net.Dial("udp4", a.o.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	stranger, err := proto.Marshal(news("stranger", 1, 1, 100))
	if err != nil {
		t.Fatal(err)
	}
	for _, junk := range [][]byte{stranger, {0xff, 0xff, 0xff}, {}} {
		if _, err := conn.Write(junk); err != nil {
			t.Fatal(err)
		}
	}
	until(t, "the next news", func() bool { return a.Book.Heard(time.Now()) == 2 })
	if n := a.Book.Loads(time.Now())[Hash("u")].Running; n > 6 {
		t.Errorf("a stranger's load counts: %d", n)
	}
	stop()
	wg.Wait()
	page, err := st.List(context.Background(), table, "")
	if err != nil || len(page.Rows) != 0 {
		t.Errorf("%d rows left behind, %v", len(page.Rows), err)
	}
}

// TestTellingNeverBlocks: nobody sends, and the queue is full.
func TestTellingNeverBlocks(t *testing.T) {
	tk := talk(t, storefake.New(), "a", 1)
	defer func() { _ = tk.conn.Close() }() // nothing was sent on it
	for range 2 * mostQueued {
		tk.Tell(Begun{Upstream: "u", WorkMS: 100})
	}
	if n := len(tk.begun); n != mostQueued {
		t.Errorf("%d requests are queued, want %d", n, mostQueued)
	}
}

// TestDatagramsAreBounded: however much begins, a gateway sends no more than its
// share of datagrams, and no upstream's news wait longer than a round.
func TestDatagramsAreBounded(t *testing.T) {
	for peers := 1; peers <= 200; peers++ {
		rounds := float64(peers) / Pause(peers).Seconds()
		told := float64(peers) / apart(peers).Seconds()
		if rounds > perSecond+0.5 || told > toldPerSecond+0.5 {
			t.Errorf("%d peers: %.1f and %.1f datagrams a second", peers, rounds, told)
		}
		if apart(peers) > Pause(peers) {
			t.Errorf("%d peers: tellings are %v apart, rounds %v", peers, apart(peers), Pause(peers))
		}
	}
}

// TestReadsOfTheTableDoNotGrowWithGateways: all together stay under a bound.
func TestReadsOfTheTableDoNotGrowWithGateways(t *testing.T) {
	for gateways := 1; gateways <= 1000; gateways++ {
		if all := float64(gateways) / listPause(gateways).Seconds(); all > listsPerSecond+0.01 {
			t.Errorf("%d gateways read the table %.1f times a second", gateways, all)
		}
	}
}

// TestManyGatewaysHearOfTheirDomainAtOnce: what begins is told to all of a few
// gateways, and to those beside the upstream among many, so that the datagrams of one
// request do not grow with the domains.
func TestManyGatewaysHearOfTheirDomainAtOnce(t *testing.T) {
	for _, c := range []struct{ gateways, want int }{{6, 6}, {mostToldAll, mostToldAll}, {103, 21}, {300, 60}} {
		tk := talk(t, storefake.New(), "a", 1)
		tk.read = true
		for i := range c.gateways - 1 {
			tk.listed[fmt.Sprint(i)] = listed{address: netip.MustParseAddrPort("127.0.0.1:9"), domain: fmt.Sprint(i % 5)}
		}
		sent := tk.sendBegun(1, []Begun{{Upstream: "u", Domain: "1", WorkMS: 100}})
		if sent > c.want || sent < c.want-1 {
			t.Errorf("%d gateways: %d datagrams", c.gateways, sent)
		}
		_ = tk.conn.Close() // nothing is read from it
	}
}

// TestWhatWaitsIsPartOfTheRound: a request that is counted in the news is not
// told once more.
func TestWhatWaitsIsPartOfTheRound(t *testing.T) {
	tk := talk(t, storefake.New(), "a", 1)
	defer func() { _ = tk.conn.Close() }() // nothing is read from it
	tk.listed["b"] = listed{address: netip.MustParseAddrPort("127.0.0.1:9")}
	for range 3 {
		tk.Tell(Begun{Upstream: "u", WorkMS: 100})
	}
	ctx, stop := context.WithCancel(t.Context())
	tk.o.News = func() *gossipv1.News {
		if n := len(tk.begun); n != 0 {
			t.Errorf("%d requests wait beside the round that counts them", n)
		}
		stop()
		return news("", 0, 0, 1)
	}
	if err := tk.Send(ctx); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkEvidence sums what a hundred peers have seen of a shift in four classes.
func BenchmarkEvidence(b *testing.B) {
	book := NewBook()
	for i := range 102 {
		n := news(fmt.Sprint(i), 1, 1, 1)
		seen := versionshift.Seen{}
		for _, class := range []string{"", "a", "b", "c"} {
			e := versionshift.Evidence{OldGood: 10, New: map[uint32]versionshift.Tally{}}
			for u := range uint32(20) {
				e.New[u] = versionshift.Tally{Good: 1}
			}
			seen[class] = e
		}
		n.Sightings = Sightings("s", 9, seen)
		book.Take(n, t0)
	}
	for b.Loop() {
		book.Evidence("s", 9, t0)
	}
}
