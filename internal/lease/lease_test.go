package lease

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"tarragonbay.example/tarragonbay/internal/order"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/result"
)

// pausable is a table as seen by a process that can be paused: its calls wait
// until it runs again.
type pausable struct {
	ports.Table
	mu   sync.Mutex
	gate chan struct{}
}

func (p *pausable) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate = make(chan struct{})
}

func (p *pausable) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.gate)
	p.gate = nil
}

func (p *pausable) wait() {
	p.mu.Lock()
	gate := p.gate
	p.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

func (p *pausable) Get(ctx context.Context, key string) (ports.Row, bool, error) {
	p.wait()
	return p.Table.Get(ctx, key)
}

func (p *pausable) Commit(ctx context.Context, txn ports.Txn) error {
	p.wait()
	return p.Table.Commit(context.WithoutCancel(ctx), txn)
}

// tenure is one period in which a process considered itself the holder.
type tenure struct {
	name  string
	fence uint64
}

// group is a set of managers that compete for the same item.
type group struct {
	t     testing.TB
	table *fake.Table
	// candidates is Options.Candidates of every manager.
	candidates func() []string

	mu            sync.Mutex
	tenures       []tenure
	activeHolders int
	overlaps      int
	held          map[string]*Held
	done          sync.WaitGroup
}

func newGroup(t testing.TB) *group {
	g := &group{t: t, table: fake.New(fake.Options{}).Table, held: map[string]*Held{}}
	t.Cleanup(g.done.Wait)
	return g
}

// run starts a manager that works until its lease is lost.
func (g *group) run(ctx context.Context, name string, table ports.Table) {
	m := NewManager(Options{Table: table, Name: name, Candidates: g.candidates})
	g.done.Go(func() { _ = m.Run(ctx, "item", g.work(name)) })
}

func (g *group) work(name string) Work {
	return func(ctx context.Context, h *Held) error {
		g.mu.Lock()
		g.tenures = append(g.tenures, tenure{name, h.Fence()})
		g.held[name] = h
		g.activeHolders++
		if g.activeHolders > 1 {
			g.overlaps++
		}
		g.mu.Unlock()
		<-ctx.Done()
		g.mu.Lock()
		g.activeHolders--
		g.mu.Unlock()
		return nil
	}
}

func (g *group) count() (tenures, overlaps int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tenures), g.overlaps
}

func (g *group) latest() (tenure, *Held) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.tenures) == 0 {
		return tenure{}, nil
	}
	t := g.tenures[len(g.tenures)-1]
	return t, g.held[t.name]
}

func wantCode(t testing.TB, err error, code result.Code) {
	t.Helper()
	if !result.Is(err, code) {
		t.Errorf("got %v, want %v", err, code)
	}
}

// maxTakeover is the maximum time from a holder's last renewal to the next
// tenure: the duration with the clock margin, and two poll intervals. It is
// knownTakeover among candidates that know one another, which poll more often.
const (
	maxTakeover   = 21 * time.Second
	knownTakeover = 16 * time.Second
)

// TestOneHolderAtATimeThroughCrashes guards against two holders at a time, and against
// a late takeover, when one holder after the other crashes.
func TestOneHolderAtATimeThroughCrashes(t *testing.T) {
	known := func() []string { return []string{"0", "1", "2", "3", "4"} }
	t.Run("known candidates", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { checkCrashes(t, known, knownTakeover) })
	})
	t.Run("unknown to one another", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { checkCrashes(t, nil, maxTakeover) })
	})
}

func checkCrashes(t *testing.T, candidates func() []string, takeover time.Duration) {
	g := newGroup(t)
	g.candidates = candidates
	ctx, stopAll := context.WithCancel(t.Context())
	defer stopAll()
	stops := map[string]context.CancelFunc{}
	start := func(name string) {
		c, cancel := context.WithCancel(ctx)
		stops[name] = cancel
		g.run(c, name, g.table)
	}
	for i := range 5 {
		start(fmt.Sprint(i))
	}
	time.Sleep(takeover)
	for round := range 5 {
		holder, _ := g.latest()
		stops[holder.name]()
		time.Sleep(takeover)
		now, _ := g.latest()
		if now.fence != holder.fence+1 {
			t.Errorf("round %d: fencing number %d after %d", round, now.fence, holder.fence)
		}
		start(holder.name)
	}
	if tenures, overlaps := g.count(); tenures != 6 || overlaps != 0 {
		t.Errorf("%d tenures, %d overlaps", tenures, overlaps)
	}
}

// TestLeaseIsKeptThroughAnOutageShorterThanIt guards against a lease that is lost in a
// short outage of the table service, or still held after a long one.
func TestLeaseIsKeptThroughAnOutageShorterThanIt(t *testing.T) {
	for _, tt := range []struct {
		outage time.Duration
		kept   bool
	}{{DefaultDuration / 3, true}, {time.Hour, false}} {
		t.Run(tt.outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				g.run(ctx, "a", g.table)
				g.run(ctx, "b", g.table)
				time.Sleep(time.Minute)
				first, held := g.latest()
				g.table.SetFaults(fake.TableFaults{Outage: true})
				time.Sleep(tt.outage)
				if kept := held.Check() == nil; kept != tt.kept {
					t.Errorf("held after the outage: %v", kept)
				}
				g.table.SetFaults(fake.TableFaults{})
				time.Sleep(maxTakeover)
				now, _ := g.latest()
				if (now.fence == first.fence) != tt.kept {
					t.Errorf("fencing number %d, was %d", now.fence, first.fence)
				}
				if _, overlaps := g.count(); overlaps != 0 {
					t.Errorf("%d overlaps", overlaps)
				}
			})
		})
	}
}

// TestPausedHolderCannotAct guards against writes and orders of a holder that is
// paused right after its check until its lease has expired and another process
// has taken over.
func TestPausedHolderCannotAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		paused := &pausable{Table: g.table}
		g.run(ctx, "a", paused)
		time.Sleep(maxTakeover)
		_, old := g.latest()
		if err := old.Check(); err != nil {
			t.Fatal(err)
		}
		condition := old.Condition()
		paused.pause()
		g.run(ctx, "b", g.table)
		time.Sleep(2 * maxTakeover)
		now, current := g.latest()
		if now.name != "b" || now.fence != old.Fence()+1 {
			t.Fatalf("the lease went to %+v", now)
		}
		act := ports.Txn{
			OperationID: uuid.NewString(),
			Conditions:  []ports.Condition{condition},
			Writes:      []ports.Write{{Key: "work", Value: []byte("stale")}},
		}
		wantCode(t, g.table.Commit(ctx, act), result.TableConflict)
		wantCode(t, old.Check(), result.LeaseLost)
		if err := current.Commit(ctx, ports.Txn{OperationID: "b", Writes: []ports.Write{{Key: "work", Value: []byte("new")}}}); err != nil {
			t.Error(err)
		}
		paused.resume()
		time.Sleep(maxTakeover)
		if current.Check() != nil {
			t.Error("the paused holder took the lease back by a late renewal")
		}
		checkOrderGate(t, g.table, old, current)
	})
}

// checkOrderGate sends the orders of both holders to the order gate of an
// agent that has restarted and lost the highest fencing number.
func checkOrderGate(t *testing.T, table ports.Table, old, current *Held) {
	t.Helper()
	gate := order.NewGate()
	send := func(h *Held) error {
		o := order.Order{ID: fmt.Sprint(h.Fence()), Upstream: "u", Fence: h.Fence()}
		run, err := gate.Begin(o)
		if run {
			gate.End(o, nil, false)
		}
		return err
	}
	wantCode(t, send(old), result.FenceUnknown)
	highest, err := HighestFence(t.Context(), table, "item")
	if err != nil {
		t.Fatal(err)
	}
	gate.Learn("u", highest)
	wantCode(t, send(old), result.StaleFence)
	if err := send(current); err != nil {
		t.Errorf("the holder's order: %v", err)
	}
}

// TestConcurrentTriesHaveOneWinner guards against two managers acquiring the same free
// item at the same time.
func TestConcurrentTriesHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.New(fake.Options{}).Table
		var wg sync.WaitGroup
		var mu sync.Mutex
		won := 0
		for i := range 20 {
			wg.Go(func() {
				m := NewManager(Options{Table: table, Name: fmt.Sprint(i)})
				h, err := m.TryAcquire(t.Context(), "item")
				mu.Lock()
				defer mu.Unlock()
				if err == nil && h.Fence() == 1 {
					won++
				} else if !result.Is(err, result.LeaseHeld) {
					t.Errorf("got %v", err)
				}
			})
		}
		wg.Wait()
		if won != 1 {
			t.Errorf("%d managers acquired the lease, want 1", won)
		}
	})
}

// TestLostRepliesKeepOneTenure guards against a holder that loses its lease to itself
// when a write took effect but its reply was lost.
func TestLostRepliesKeepOneTenure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		g.table.SetFaults(fake.TableFaults{LoseReplies: 3, LoseRequests: 2})
		g.run(ctx, "a", g.table)
		time.Sleep(time.Minute)
		for range 10 {
			g.table.SetFaults(fake.TableFaults{LoseReplies: 1})
			time.Sleep(DefaultDuration)
		}
		if tenures, _ := g.count(); tenures != 1 {
			t.Errorf("%d tenures", tenures)
		}
	})
}

// TestNextHolderResumesFromTheNote guards against progress lost in a takeover, and
// against a former holder that overwrites it.
func TestNextHolderResumesFromTheNote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		table := fake.New(fake.Options{}).Table
		a := NewManager(Options{Table: table, Name: "a"})
		b := NewManager(Options{Table: table, Name: "b"})
		first, err := a.TryAcquire(ctx, "item")
		if err != nil {
			t.Fatal(err)
		}
		version, err := first.SaveProgress(ctx, []byte("step 1"), 0)
		if err != nil {
			t.Fatal(err)
		}
		var second *Held
		for second == nil {
			time.Sleep(time.Second)
			second, _ = b.TryAcquire(ctx, "item")
		}
		note, _, err := second.LoadProgress(ctx)
		if err != nil || string(note) != "step 1" {
			t.Errorf("note %q, %v", note, err)
		}
		_, err = first.SaveProgress(ctx, []byte("stale"), version)
		wantCode(t, err, result.LeaseLost)
	})
}

func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	ctx := t.Context()
	table := fake.New(fake.Options{}).Table
	a := NewManager(Options{Table: table, Name: "a"})
	b := NewManager(Options{Table: table, Name: "b"})
	held, err := a.TryAcquire(ctx, "item")
	if err != nil {
		t.Fatal(err)
	}
	_, err = b.TryAcquire(ctx, "item")
	wantCode(t, err, result.LeaseHeld)
	if err := held.release(ctx); err != nil {
		t.Fatal(err)
	}
	wantCode(t, held.Check(), result.LeaseLost)
	next, err := b.TryAcquire(ctx, "item")
	if err != nil || next.Fence() != 2 {
		t.Errorf("got %v, %v", next, err)
	}
}

// TestClocksMayDifferByTheMargin guards against tenures that overlap in real time
// when the challenger's clock runs faster than the holder's by up to the margin.
func TestClocksMayDifferByTheMargin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clockRatio := rapid.Float64Range(1, 1+clockRateMargin).Draw(t, "challenger's rate against the holder's")
		transitMs := rapid.Int64Range(0, 2000).Draw(t, "renewal on its way, ms")
		pollMs := rapid.Int64Range(1, 5000).Draw(t, "ms between looks")
		start := time.Unix(0, 0)
		holderEnds := start.Add(DefaultDuration)
		var w expiryDetector
		for at := start.Add(time.Duration(transitMs) * time.Millisecond); ; at = at.Add(time.Duration(pollMs) * time.Millisecond) {
			local := start.Add(time.Duration(float64(at.Sub(start)) * clockRatio))
			if !w.observe(7, DefaultDuration, local) {
				continue
			}
			if at.Before(holderEnds.Add(-time.Microsecond)) {
				t.Fatalf("acquired %v before the holder's lease expires", holderEnds.Sub(at))
			}
			return
		}
	})
}
