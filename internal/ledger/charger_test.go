package ledger

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
)

func charge(request string, step uint32, tokens uint64) *linkv1.Charge {
	return &linkv1.Charge{
		RequestId: request, Step: step, AttemptId: uuid.NewString(), Organisation: "org", Version: "m@1",
		InputTokens: tokens, OutputTokens: 2 * tokens, Micros: 3 * tokens, AtMs: time.Now().UnixMilli(),
	}
}

// testRequestID returns a request ID with the time of the synctest bubble.
func testRequestID(n uint64) string {
	var u uuid.UUID
	ms := uint64(time.Now().UnixMilli())
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	for i := range 8 {
		u[8+i] = byte(n >> (8 * (7 - i)))
	}
	u[6], u[8] = 0x70, 0x80
	return u.String()
}

type fixture struct {
	*fake.Platform
	ids int
}

func newFixture() *fixture { return &fixture{Platform: fake.New(fake.Options{})} }

func (b *fixture) newID() string {
	b.ids++
	return fmt.Sprint("op", b.ids)
}

func (b *fixture) charger(agent string, incarnation uint64) *Charger {
	return NewCharger(ChargerOptions{
		Agent: agent, Incarnation: incarnation, Table: b.Table, Objects: b.Objects,
		FlushInterval: func() time.Duration { return MaxFlushInterval }, NewID: b.newID,
	})
}

func (b *fixture) folder() *Folder {
	return NewFolder(FolderOptions{Table: b.Table, Objects: b.Objects, Now: time.Now, NewID: b.newID, MinAge: 0})
}

func leaseHeld() error { return nil }

// foldAll folds every block and returns how many times each request is billed.
func (b *fixture) foldAll(t *testing.T) map[string]int {
	t.Helper()
	f := b.folder()
	if _, err := f.FoldDue(t.Context(), leaseHeld); err != nil {
		t.Fatal(err)
	}
	out := map[string]int{}
	err := f.EachCharge(t.Context(), time.Now().Add(-Retention), time.Now().Add(time.Hour), func(c Billed) error {
		out[c.RequestID]++
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func (b *fixture) billedCharges(t *testing.T) uint64 {
	t.Helper()
	sums, err := b.folder().Sums(t.Context(), time.Now().Add(-Retention), time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	total := uint64(0)
	for _, s := range sums {
		if s.Micros != 3*s.InputTokens || s.OutputTokens != 2*s.InputTokens {
			t.Errorf("sum %+v is inconsistent", s)
		}
		total += s.Charges
	}
	return total
}

func TestFewAgentsWriteSooner(t *testing.T) {
	for agents, want := range map[int]time.Duration{
		0:   minFlushInterval,
		13:  minFlushInterval,
		60:  2 * time.Second,
		293: MaxFlushInterval * 293 / 300,
		600: MaxFlushInterval,
	} {
		if got := FlushInterval(agents).Round(time.Millisecond); got != want.Round(time.Millisecond) {
			t.Errorf("%d agents write every %v, want %v", agents, got, want)
		}
	}
}

func TestChargesAreDurableAndBilledOnce(t *testing.T) {
	tests := []struct {
		name   string
		faults fake.TableFaults
	}{
		{"healthy", fake.TableFaults{}},
		{"reply lost", fake.TableFaults{LoseReplies: 2}},
		{"request lost", fake.TableFaults{LoseRequests: 2}},
		{"outage", fake.TableFaults{Outage: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture()
				c := b.charger("agent-1", 7)
				b.Table.SetFaults(tt.faults)
				for i := range uint64(3000) {
					c.Charge(charge(testRequestID(i), 0, 1))
				}
				for i := 0; !c.Flush(t.Context()); i++ {
					if c.Durable() == 3000 {
						t.Fatal("reported as durable before the write")
					}
					b.Table.SetFaults(fake.TableFaults{})
				}
				if c.Durable() != 3000 {
					t.Errorf("durable up to %d", c.Durable())
				}
				if got := b.foldAll(t); len(got) != 3000 || b.billedCharges(t) != 3000 {
					t.Errorf("%d requests billed, %d charges in the sums", len(got), b.billedCharges(t))
				}
			})
		})
	}
}

func TestRunFlushesAtTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture()
		c := b.charger("agent-1", 7)
		c.Charge(charge(testRequestID(1), 0, 1))
		ctx, cancel := contextWithCancel(t)
		done := make(chan error, 1)
		go func() { done <- c.Run(ctx) }()
		synctest.Wait()
		if c.Durable() != 0 {
			t.Error("written before the flush interval")
		}
		cancel()
		if err := <-done; err != nil || c.Durable() != 1 {
			t.Errorf("after shutdown durable up to %d, %v", c.Durable(), err)
		}
	})
}

// TestLongOutageIsBounded guards against unbounded memory and lost charges
// while the stores are unavailable for hours.
func TestLongOutageIsBounded(t *testing.T) {
	const charges, perFlush = 200_000, 500
	tests := []struct {
		name      string
		objects   bool
		keyed     bool
		maxMemory int
	}{
		{"table away, objects there", true, true, spillThresholdBytes + 1<<20},
		{"both away", false, false, compactThresholdBytes + maxSumBytes},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture()
				c := b.charger("agent-1", 7)
				b.Table.SetFaults(fake.TableFaults{Outage: true})
				b.Objects.SetFaults(fake.ObjectFaults{Outage: !tt.objects})
				for i := range uint64(charges / perFlush) {
					chargeAndFlush(t, c, i*perFlush, perFlush, tt.maxMemory)
				}
				b.Table.SetFaults(fake.TableFaults{})
				b.Objects.SetFaults(fake.ObjectFaults{})
				if !c.Flush(t.Context()) || c.Durable() != charges {
					t.Fatalf("durable up to %d", c.Durable())
				}
				got := b.foldAll(t)
				counts := c.Counts()
				if total := b.billedCharges(t); total != charges || counts.Lost != 0 {
					t.Errorf("billed %d of %d, counts %+v", total, charges, counts)
				}
				if uint64(len(got))+counts.Compacted != charges || tt.keyed != (counts.Compacted == 0) {
					t.Errorf("%d billed by request, counts %+v", len(got), counts)
				}
			})
		})
	}
}

// chargeAndFlush adds charges, attempts to write them and checks the memory
// bound.
func chargeAndFlush(t *testing.T, c *Charger, from, n uint64, maxMemory int) {
	t.Helper()
	for i := range n {
		c.Charge(charge(testRequestID(from+i), 0, 1))
	}
	time.Sleep(MaxFlushInterval)
	c.Flush(t.Context())
	if n := c.Counts().HeldBytes; n > maxMemory {
		t.Fatalf("%d bytes held, the bound is %d", n, maxMemory)
	}
}
