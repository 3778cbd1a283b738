package order

import (
	"testing"

	"pgregory.net/rapid"

	"tarragonbay.example/tarragonbay/internal/result"
)

func begin(t *testing.T, g *Gate, o Order, run bool, code result.Code) {
	t.Helper()
	got, err := g.Begin(o)
	if got != run || (code == result.OK) != (err == nil) || (err != nil && !result.Is(err, code)) {
		t.Fatalf("Begin(%+v) = %v, %v; want %v, %v", o, got, err, run, code)
	}
}

func TestGateLearnsAfterARestartAndRefusesTheOldHolder(t *testing.T) {
	g := NewGate()
	old := Order{ID: "old", Upstream: "u", Fence: 4}
	begin(t, g, old, false, result.FenceUnknown)
	g.Learn("u", 5)
	begin(t, g, old, false, result.StaleFence)
	g.Learn("u", 3)
	begin(t, g, old, false, result.StaleFence)
	begin(t, g, Order{ID: "new", Upstream: "u", Fence: 5}, true, result.OK)
	begin(t, g, Order{ID: "other", Upstream: "v", Fence: 9}, false, result.FenceUnknown)
}

func TestGateCarriesOutAnOrderOnce(t *testing.T) {
	g := NewGate()
	g.Learn("u", 1)
	o := Order{ID: "o", Upstream: "u", Fence: 1}
	begin(t, g, o, true, result.OK)
	begin(t, g, o, false, result.InProgress)
	g.End(o, nil, false)
	begin(t, g, o, false, result.OK)
	bad := Order{ID: "bad", Upstream: "u", Fence: 1}
	begin(t, g, bad, true, result.OK)
	g.End(bad, result.New(result.OrderRefused, "no room"), false)
	begin(t, g, bad, false, result.OrderRefused)
}

// TestOrderOfUnknownEffect holds back further orders from an engine that does
// not check fencing numbers, for the lost one may still arrive there.
func TestOrderOfUnknownEffect(t *testing.T) {
	for _, checks := range []bool{false, true} {
		g := NewGate()
		g.Learn("u", 1)
		lost := Order{ID: "lost", Upstream: "u", Fence: 1}
		begin(t, g, lost, true, result.OK)
		g.End(lost, result.New(result.OutcomeUnknown, "no reply"), checks)
		next := Order{ID: "next", Upstream: "u", Fence: 2}
		if checks {
			begin(t, g, next, true, result.OK)
			continue
		}
		begin(t, g, next, false, result.OrderRefused)
		g.Settle("u")
		begin(t, g, next, true, result.OK)
	}
}

// TestGateNeverGoesBack sends orders of racing holders in any sequence.
func TestGateNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGate()
		g.Learn("u", 1)
		var highest uint64
		ran := map[string]int{}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			fence := rapid.Uint64Range(0, 6).Draw(t, "fence")
			o := Order{ID: orderID(fence, rapid.Uint64Range(1, 3).Draw(t, "n")), Upstream: "u", Fence: fence}
			run, err := g.Begin(o)
			if !run {
				continue
			}
			if err != nil || fence < highest {
				t.Fatalf("order with fence %d ran after %d, error %v", fence, highest, err)
			}
			highest = fence
			ran[o.ID]++
			if ran[o.ID] > 1 {
				t.Fatalf("order %s ran %d times", o.ID, ran[o.ID])
			}
			g.End(o, nil, rapid.Bool().Draw(t, "checks"))
		}
	})
}
