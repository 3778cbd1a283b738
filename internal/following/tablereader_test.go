package following

import (
	"math/rand/v2"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/store"
)

// simulation runs gateways that follow one table and send each other their table readings,
// on a simulated clock.
type simulation struct {
	rand     *rand.Rand
	policy   ReadPolicy
	gateways []simGateway
	calls    int // of all gateways
	// rev is the table's revision; lossRate is the fraction of readings that are lost.
	rev      uint64
	lossRate float64
	now      time.Duration
}

type simGateway struct {
	dead, cut bool // cut: cannot reach the store
	// lastCall, lastRead and lastEarlier are the times from which ReadState.LastCallAge,
	// LastReadAge and LastEarlierPeerReadAge are computed.
	lastCall, lastRead, lastEarlier time.Duration
	rev                             uint64
	behind, failing                 bool
	// outageEnded is ReadState.OutageEnded. failures counts consecutive failed calls.
	// notBefore is the earliest time of the next call, after an outage or a failed call.
	outageEnded bool
	failures    int
	notBefore   time.Duration
	tail        Tail
	// heldUntil is when the store ends the call in flight, zero when there is none;
	// sendToPeers is Action.SendToPeers of that call.
	heldUntil   time.Duration
	sendToPeers bool
}

// drainWithin is the time within which the users' gateways must stop using an upstream that
// is leaving.
const drainWithin = 2 * time.Second

// longAgo is a time long before the start of a run, for events that have not happened.
const longAgo = -time.Hour

func newSimulation(n int, lossRate float64, seed uint64, policy ReadPolicy) *simulation {
	s := &simulation{rand: rand.New(rand.NewPCG(seed, 1)), policy: policy, gateways: make([]simGateway, n), lossRate: lossRate, now: time.Second}
	for i := range s.gateways {
		s.gateways[i] = simGateway{lastCall: longAgo, lastRead: longAgo, lastEarlier: longAgo}
	}
	return s
}

// step advances each gateway: a call whose hold is over completes, and a gateway that is due
// calls the store.
func (s *simulation) step() {
	for i := range s.gateways {
		gw := &s.gateways[i]
		if gw.dead {
			gw.heldUntil = 0
			continue
		}
		if gw.heldUntil > 0 && !gw.cut {
			if gw.rev < s.rev || s.now >= gw.heldUntil {
				s.completeRead(i, gw.sendToPeers)
			}
			continue
		}
		before := 0
		for j := range i {
			if !s.gateways[j].dead {
				before++
			}
		}
		if s.lossRate == 1 {
			before = 0 // without gossip it knows no peers
		}
		m := s.policy.Next(ReadState{
			LastCallAge: s.now - gw.lastCall, LastReadAge: s.now - gw.lastRead, LastEarlierPeerReadAge: s.now - gw.lastEarlier, EarlierPeers: before, Behind: gw.behind, Failing: gw.failing, OutageEnded: gw.outageEnded,
		})
		if !m.Call || s.now < gw.notBefore {
			continue
		}
		s.calls++
		gw.outageEnded = false
		if gw.failing = gw.cut; gw.cut {
			gw.failures++
			gw.heldUntil, gw.lastCall, gw.notBefore = 0, s.now, s.now+time.Duration((0.75+s.rand.Float64()/2)*float64(OutageBackoff(gw.failures, len(s.gateways))))
			continue
		}
		if m.Hold > 0 && gw.rev == s.rev {
			gw.heldUntil, gw.sendToPeers = s.now+m.Hold, m.SendToPeers
			continue
		}
		s.completeRead(i, m.SendToPeers)
	}
}

// completeRead applies the table to gateway i and, if sendToPeers is true, sends the
// reading to its peers.
func (s *simulation) completeRead(i int, sendToPeers bool) {
	gw := &s.gateways[i]
	gw.heldUntil, gw.behind, gw.lastCall, gw.lastRead, gw.failures = 0, false, s.now, s.now, 0
	var rows []store.Row
	for rev := gw.rev + 1; rev <= s.rev; rev++ {
		rows = append(rows, store.Row{Key: store.Key{Name: "u"}, Rev: rev})
	}
	gw.rev = s.rev
	gw.tail.Add(rows, s.now)
	if !sendToPeers {
		return
	}
	after, _ := gw.tail.Rows()
	for j := range s.gateways {
		to := &s.gateways[j]
		if j == i || to.dead || s.rand.Float64() < s.lossRate {
			continue
		}
		if i < j {
			to.lastEarlier = s.now
		}
		if after > to.rev {
			to.behind = true
			continue
		}
		if s.policy.EndsOutage(ReadState{LastReadAge: s.now - to.lastRead, Failing: to.failing}) {
			to.outageEnded, to.notBefore = true, s.now+time.Duration(s.rand.Float64()*float64(ProbeSpread(len(s.gateways))))
		}
		to.rev, to.lastRead = gw.rev, s.now
	}
}

// outdated returns the index of a gateway that reaches the store and does not know the last
// change, or -1.
func (s *simulation) outdated() int {
	for i, gw := range s.gateways {
		if !gw.dead && !gw.cut && gw.rev < s.rev {
			return i
		}
	}
	return -1
}

// TestGatewaysKnowChangesInTime: with lost readings, gateways that die and gateways that
// lose the store, each gateway that reaches the store must know a change within three
// quarters of the time allowed, which leaves the rest for a read that fails. With all
// gateways healthy, six of them need at most one read per second each, and the total must
// not grow with the number of gateways.
func TestGatewaysKnowChangesInTime(t *testing.T) {
	for _, policy := range []ReadPolicy{{Interval: drainWithin * 3 / 10}, {Interval: drainWithin / 4, LongPoll: true}} {
		for _, c := range []struct {
			name     string
			gateways int
			lossRate float64
			die, cut int
			maxReads float64 // per second, of all gateways; 0 for no bound
		}{
			{"alone", 1, 0, 0, 0, 0}, {"six", 6, 0, 0, 0, 6}, {"many", 27, 0, 0, 0, 6}, {"hundreds", 300, 0, 0, 0, 6},
			{"half of the readings are lost", 6, 0.5, 0, 0, 0}, {"all readings are lost", 6, 1, 0, 0, 0},
			{"the first two die", 6, 0, 2, 0, 0}, {"the first two lose the store", 6, 0, 0, 2, 0},
			{"a third of many lose the store", 27, 0, 0, 9, 12},
		} {
			for seed := range uint64(10) {
				s := newSimulation(c.gateways, c.lossRate, seed, policy)
				reads := s.run(t, c.name, seed, c.die, c.cut)
				if c.maxReads > 0 && reads > c.maxReads {
					t.Errorf("%s, seed %d, held %v: %.2f reads per second of all gateways", c.name, seed, policy.LongPoll, reads)
				}
			}
		}
	}
}

// run simulates a minute in which the table changes every few seconds and, a quarter into
// it, the first gateways die or lose the store. It returns the calls per second of all
// gateways.
func (s *simulation) run(t *testing.T, name string, seed uint64, die, cut int) float64 {
	t.Helper()
	const tick, seconds = 10 * time.Millisecond, 60
	var changedAt time.Duration
	startCalls := 0
	for n := range int(seconds * time.Second / tick) {
		s.now += tick
		if n%365 == 250 {
			s.rev, changedAt = s.rev+1, s.now
		}
		if n == 1500 {
			for i := range s.gateways {
				s.gateways[i].dead, s.gateways[i].cut = i < die, i < cut
			}
		}
		s.step()
		if n == 100 {
			startCalls = s.calls // at the start each gateway reads the table itself
		}
		if i := s.outdated(); i >= 0 && s.now-changedAt > drainWithin*3/4 {
			t.Fatalf("%s, seed %d, held %v: gateway %d does not know the last change after %v", name, seed, s.policy.LongPoll, i, s.now-changedAt)
		}
	}
	return float64(s.calls-startCalls) / seconds
}

// advance runs the simulation for a duration.
func (s *simulation) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 5 * time.Millisecond
		s.step()
	}
}

// outage makes the store unreachable for all gateways for a duration, after a time in which
// it is reachable.
func (s *simulation) outage(after, duration time.Duration) {
	s.advance(after)
	for i := range s.gateways {
		s.gateways[i].cut = true
	}
	s.advance(duration)
	for i := range s.gateways {
		s.gateways[i].cut = false
	}
}

// TestAllReachTheStoreSoonAfterItsReturn: after an outage of the store for all gateways, each
// must reach it again within half a second of the first, with few calls per gateway. On a
// day at ctlt-flotta-grown the last gateway reached the store 4.7 s after it was back.
func TestAllReachTheStoreSoonAfterItsReturn(t *testing.T) {
	for _, n := range []int{2, 6, 23, 103, 300} {
		for seed := range uint64(5) {
			s := newSimulation(n, 0.01, seed, ReadPolicy{Interval: 750 * time.Millisecond, LongPoll: true, CheckInterval: 3 * time.Second})
			s.outage(5*time.Second, 6*time.Second)
			before := s.calls
			// All gateways together call twenty times a second; up to twelve call at
			// intervals of minBackoffLimit each.
			s.advance(max(minBackoffLimit, time.Duration(n)*time.Second/outageCallsPerSecond)/time.Duration(n) + 500*time.Millisecond)
			failing := 0
			for _, gw := range s.gateways {
				if gw.failing {
					failing++
				}
			}
			if failing > n/50 { // one reading in a hundred is lost
				t.Errorf("%d gateways, seed %d: %d have not reached the store again", n, seed, failing)
			}
			if calls := s.calls - before; calls > 3*n {
				t.Errorf("%d gateways, seed %d: %d calls after the outage", n, seed, calls)
			}
		}
	}
}

// TestReachabilityChecksDoNotGrowWithGateways: each gateway calls the store at intervals to
// check that it reaches it; the rate of these calls of all gateways must be bounded.
func TestReachabilityChecksDoNotGrowWithGateways(t *testing.T) {
	b := FreshnessBounds{ConfigWithin: 2 * time.Second, RevokeWithin: 5 * time.Second}
	for gateways := 1; gateways <= 1000; gateways++ {
		interval := b.CheckInterval(gateways)
		if rate := float64(gateways) / interval.Seconds(); rate > reachabilityChecksPerSecond+0.01 {
			t.Errorf("%d gateways make %.1f calls per second", gateways, rate)
		}
		if gateways <= 6 && 2*interval > b.UnreadyAge() {
			t.Errorf("%d gateways check only every %v, too late to detect a lost store before they turn unready", gateways, interval)
		}
	}
	p, v := ReadPolicy{Interval: time.Second, LongPoll: true, CheckInterval: 3 * time.Second}, ReadState{LastCallAge: 2 * time.Second, EarlierPeers: 2}
	if m := p.Next(v); m.Call {
		t.Errorf("call before the interval is over: %+v", m)
	}
	v.LastCallAge = 3 * time.Second
	if m := p.Next(v); !m.Call || m.Hold != 0 || m.SendToPeers {
		t.Errorf("want a call without hold and without a message to peers, got %+v", m)
	}
}

// TestLaggingStoreIsNotReadContinuously: a peer has read a change that the store does not
// return to this gateway yet. The gateway must pause between its reads.
func TestLaggingStoreIsNotReadContinuously(t *testing.T) {
	p := ReadPolicy{Interval: drainWithin}
	v := ReadState{LastCallAge: 0, LastReadAge: 0, LastEarlierPeerReadAge: 0, EarlierPeers: 1, Behind: true}
	if m := p.Next(v); m.Call || m.Wait < drainWithin/20 || m.Wait > drainWithin/4 {
		t.Errorf("want a pause between reads of a lagging store, got %+v", m)
	}
	v.LastCallAge = time.Second
	if m := p.Next(v); !m.Call || m.Hold != 0 || m.SendToPeers {
		t.Errorf("want a read without hold of the missed change, got %+v", m)
	}
}

// TestTailKeepsRecentRows: a changed row stays in the tail for maxTailAge, and a row that
// exceeds the size bound is left out, so that peers read it from the store.
func TestTailKeepsRecentRows(t *testing.T) {
	row := func(rev uint64, size int) store.Row {
		return store.Row{Key: store.Key{Name: "a"}, Rev: rev, Value: make([]byte, size)}
	}
	var tail Tail
	tail.Reset(10)
	tail.Add([]store.Row{row(12, 100), row(15, 100)}, time.Second)
	if after, rows := tail.Rows(); after != 10 || len(rows) != 2 {
		t.Errorf("tail after revision %d with %d rows", after, len(rows))
	}
	tail.Add(nil, time.Second+maxTailAge)
	tail.Add([]store.Row{row(20, 100)}, 2*time.Second+maxTailAge)
	if after, rows := tail.Rows(); after != 15 || len(rows) != 1 || rows[0].Rev != 20 {
		t.Errorf("tail after revision %d with %d rows", after, len(rows))
	}
	tail.Add([]store.Row{row(30, maxTailBytes), row(31, 10)}, 3*time.Second+maxTailAge)
	if after, rows := tail.Rows(); after != 30 || len(rows) != 1 || rows[0].Rev != 31 {
		t.Errorf("tail after revision %d with %d rows", after, len(rows))
	}
}

// TestGatewayThatMissedManyChangesReadsTheRows: a gateway that was cut off while a large
// configuration changed many times asked for every version of it.
func TestGatewayThatMissedManyChangesReadsTheRows(t *testing.T) {
	replaced := ReadPolicy{Interval: 750 * time.Millisecond, LongPoll: true, ReplacedWhole: true}
	changed := replaced
	changed.ReplacedWhole = false
	old := ReadState{LastCallAge: 4 * time.Second, LastReadAge: 4 * time.Second, LastEarlierPeerReadAge: 0, EarlierPeers: 3, Behind: true}
	recent, failing, alone := old, old, old
	recent.LastReadAge = time.Second
	failing.Failing = true
	alone.Behind, alone.LastEarlierPeerReadAge = false, Never
	for _, c := range []struct {
		name   string
		policy ReadPolicy
		state  ReadState
		list   bool
	}{
		{"behind for long", replaced, old, true},
		{"behind for long, its calls fail", replaced, failing, true},
		{"behind for a moment", replaced, recent, false},
		{"rows that change one by one", changed, old, false},
		// Peers need the changes that it reads for them.
		{"takes over as reader", replaced, alone, false},
	} {
		if got := c.policy.Next(c.state); !got.Call || got.List != c.list {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}
