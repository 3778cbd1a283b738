package lease

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/result"
)

// retireWhenExpired deletes the item's rows once its lease has expired.
func retireWhenExpired(t testing.TB, m *Manager, item string) {
	t.Helper()
	for m.Retire(t.Context(), item) != nil {
		time.Sleep(DefaultDuration)
	}
}

// TestStaleHolderIsRefusedAfterItsRowsAreGone guards against writes of a former
// holder that take effect after its lease has expired and was acquired by
// another, with the item's rows deleted in between and without.
func TestStaleHolderIsRefusedAfterItsRowsAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		for _, remove := range []bool{false, true} {
			table := fake.New(fake.Options{}).Table
			a, b := NewManager(Options{Table: table, Name: "a"}), NewManager(Options{Table: table, Name: "b"})
			old, err := a.TryAcquire(ctx, "item")
			if err != nil {
				t.Fatal(err)
			}
			wantCode(t, b.Retire(ctx, "item"), result.LeaseHeld)
			if remove {
				retireWhenExpired(t, b, "item")
				if rows, _ := table.Scan(ctx, keyPrefix, keyPrefix+"\xff", 10); len(rows) != 0 {
					t.Errorf("rows not deleted: %v", rows)
				}
			}
			var next *Held
			for next == nil {
				time.Sleep(time.Second)
				next, _ = b.TryAcquire(ctx, "item")
			}
			stale := ports.Txn{OperationID: "stale", Conditions: []ports.Condition{old.Condition()}, Writes: []ports.Write{{Key: "work", Value: []byte("x")}}}
			wantCode(t, table.Commit(ctx, stale), result.TableConflict)
			wantCode(t, old.renew(ctx), result.LeaseLost)
			if next.Fence() <= old.Fence() || next.Check() != nil {
				t.Errorf("rows deleted %v: fencing numbers %d and %d", remove, old.Fence(), next.Fence())
			}
		}
	})
}

// TestFencingNumbersNeverFall guards against fencing numbers that are used again after
// an item's rows were deleted.
func TestFencingNumbersNeverFall(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := t.Context()
		table := fake.New(fake.Options{}).Table
		m := NewManager(Options{Table: table, Name: "m"})
		highest := map[string]uint64{}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			item := fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "item"))
			if rapid.Bool().Draw(rt, "retire") {
				if err := m.Retire(ctx, item); err != nil {
					rt.Fatal(err)
				}
			} else {
				highest[item] = acquireAbove(rt, m, item, highest[item])
			}
			if got, err := HighestFence(ctx, table, item); err != nil || got < highest[item] {
				rt.Fatalf("%s: the highest number is %d, %v; it was %d", item, got, err, highest[item])
			}
		}
	})
}

// acquireAbove acquires the item, commits once, releases it and returns the
// fencing number, which must be above the last.
func acquireAbove(rt *rapid.T, m *Manager, item string, last uint64) uint64 {
	ctx := context.Background()
	held, err := m.TryAcquire(ctx, item)
	if err != nil {
		rt.Fatal(err)
	}
	if held.Fence() <= last {
		rt.Fatalf("%s: fencing number %d after %d", item, held.Fence(), last)
	}
	if err := held.Commit(ctx, ports.Txn{OperationID: held.owner.Token + "work"}); err != nil {
		rt.Fatal(err)
	}
	if err := held.release(ctx); err != nil {
		rt.Fatal(err)
	}
	return held.Fence()
}

// TestItemsAreListedPastAPage guards against a list that ends with the first scan page.
func TestItemsAreListedPastAPage(t *testing.T) {
	m := NewManager(Options{Table: fake.New(fake.Options{}).Table, Name: "m"})
	for i := range scanPageSize {
		if _, err := m.TryAcquire(t.Context(), fmt.Sprintf("rollout/%03d", i)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := m.TryAcquire(t.Context(), "orders"); err != nil {
		t.Fatal(err)
	}
	items, err := m.Items(t.Context(), "rollout/")
	if err != nil || len(items) != scanPageSize || !slices.IsSorted(items) || items[0] != "rollout/000" {
		t.Errorf("%d items, %v", len(items), err)
	}
}
