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

// tenure is one time that a process believed it held the lease.
type tenure struct {
	name  string
	fence uint64
}

// group is some managers that want the same item.
type group struct {
	t     testing.TB
	table *fake.Table
	// candidates are known to all when not nil.
	candidates func() []string

	mu       sync.Mutex
	tenures  []tenure
	believe  int
	overlaps int
	held     map[string]*Held
	done     sync.WaitGroup
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
		g.believe++
		if g.believe > 1 {
			g.overlaps++
		}
		g.mu.Unlock()
		<-ctx.Done()
		g.mu.Lock()
		g.believe--
		g.mu.Unlock()
		return nil
	}
}

func (g *group) count() (tenures, overlaps int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tenures), g.overlaps
}

func (g *group) last() (tenure, *Held) {
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

// takeover is the longest time from a holder's last renewal to the next
// tenure: the duration with its margin, and two looks. It is shorter among
// candidates that know one another.
const (
	takeover      = 21 * time.Second
	closeTakeover = 16 * time.Second
)

func TestOneHolderAtATimeThroughCrashes(t *testing.T) {
	known := func() []string { return []string{"0", "1", "2", "3", "4"} }
	t.Run("known candidates", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { checkCrashes(t, known, closeTakeover) })
	})
	t.Run("unknown to one another", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { checkCrashes(t, nil, takeover) })
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
		holder, _ := g.last()
		stops[holder.name]()
		time.Sleep(takeover)
		now, _ := g.last()
		if now.fence != holder.fence+1 {
			t.Errorf("round %d: fencing number %d after %d", round, now.fence, holder.fence)
		}
		start(holder.name)
	}
	if tenures, overlaps := g.count(); tenures != 6 || overlaps != 0 {
		t.Errorf("%d tenures, %d overlaps", tenures, overlaps)
	}
}

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
				first, held := g.last()
				g.table.SetFaults(fake.TableFaults{Outage: true})
				time.Sleep(tt.outage)
				if kept := held.Check() == nil; kept != tt.kept {
					t.Errorf("held after the outage: %v", kept)
				}
				g.table.SetFaults(fake.TableFaults{})
				time.Sleep(takeover)
				now, _ := g.last()
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

// TestPausedHolderCannotAct pauses a holder right after its check, past its
// lease, and lets another one take over before it acts.
func TestPausedHolderCannotAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		paused := &pausable{Table: g.table}
		g.run(ctx, "a", paused)
		time.Sleep(takeover)
		_, old := g.last()
		if err := old.Check(); err != nil {
			t.Fatal(err)
		}
		guard := old.Condition()
		paused.pause()
		g.run(ctx, "b", g.table)
		time.Sleep(2 * takeover)
		now, current := g.last()
		if now.name != "b" || now.fence != old.Fence()+1 {
			t.Fatalf("the lease went to %+v", now)
		}
		act := ports.Txn{
			OperationID: uuid.NewString(),
			Conditions:  []ports.Condition{guard},
			Writes:      []ports.Write{{Key: "work", Value: []byte("stale")}},
		}
		wantCode(t, g.table.Commit(ctx, act), result.TableConflict)
		wantCode(t, old.Check(), result.LeaseLost)
		if err := current.Commit(ctx, ports.Txn{OperationID: "b", Writes: []ports.Write{{Key: "work", Value: []byte("new")}}}); err != nil {
			t.Error(err)
		}
		paused.resume()
		time.Sleep(takeover)
		if current.Check() != nil {
			t.Error("the paused holder took the lease from the new one by a late renewal")
		}
		checkGate(t, g.table, old, current)
	})
}

// checkGate sends the orders of both holders through an agent's gate that has
// restarted and forgotten the highest number.
func checkGate(t *testing.T, table ports.Table, old, current *Held) {
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

func TestTwoTakersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.New(fake.Options{}).Table
		var wg sync.WaitGroup
		var mu sync.Mutex
		won := 0
		for i := range 20 {
			wg.Go(func() {
				m := NewManager(Options{Table: table, Name: fmt.Sprint(i)})
				h, err := m.Try(t.Context(), "item")
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
			t.Errorf("%d took the lease", won)
		}
	})
}

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

func TestNextHolderResumesFromTheNote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		table := fake.New(fake.Options{}).Table
		a := NewManager(Options{Table: table, Name: "a"})
		b := NewManager(Options{Table: table, Name: "b"})
		first, err := a.Try(ctx, "item")
		if err != nil {
			t.Fatal(err)
		}
		version, err := first.SaveNote(ctx, []byte("step 1"), 0)
		if err != nil {
			t.Fatal(err)
		}
		var second *Held
		for second == nil {
			time.Sleep(time.Second)
			second, _ = b.Try(ctx, "item")
		}
		note, _, err := second.Note(ctx)
		if err != nil || string(note) != "step 1" {
			t.Errorf("note %q, %v", note, err)
		}
		_, err = first.SaveNote(ctx, []byte("stale"), version)
		wantCode(t, err, result.LeaseLost)
	})
}

func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	ctx := t.Context()
	table := fake.New(fake.Options{}).Table
	a := NewManager(Options{Table: table, Name: "a"})
	b := NewManager(Options{Table: table, Name: "b"})
	held, err := a.Try(ctx, "item")
	if err != nil {
		t.Fatal(err)
	}
	_, err = b.Try(ctx, "item")
	wantCode(t, err, result.LeaseHeld)
	if err := held.release(ctx); err != nil {
		t.Fatal(err)
	}
	wantCode(t, held.Check(), result.LeaseLost)
	next, err := b.Try(ctx, "item")
	if err != nil || next.Fence() != 2 {
		t.Errorf("got %v, %v", next, err)
	}
}

// TestClocksMayDifferByTheMargin runs the clocks of holder and challenger at
// different rates and checks that the tenures never overlap in true time.
func TestClocksMayDifferByTheMargin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fast := rapid.Float64Range(1, 1+clockMargin).Draw(t, "challenger's rate against the holder's")
		sent := rapid.Int64Range(0, 2000).Draw(t, "renewal on its way, ms")
		look := rapid.Int64Range(1, 5000).Draw(t, "ms between looks")
		start := time.Unix(0, 0)
		holderEnds := start.Add(DefaultDuration)
		var w Watch
		for at := start.Add(time.Duration(sent) * time.Millisecond); ; at = at.Add(time.Duration(look) * time.Millisecond) {
			local := start.Add(time.Duration(float64(at.Sub(start)) * fast))
			if !w.Seen(7, DefaultDuration, local) {
				continue
			}
			if at.Before(holderEnds.Add(-time.Microsecond)) {
				t.Fatalf("taken %v before the holder stops", holderEnds.Sub(at))
			}
			return
		}
	})
}
