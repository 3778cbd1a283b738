package holdtable

import (
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/quarantine"
	"tarragonbay.example/tarragonbay/internal/store"
)

// TestContestedRowsAreLeft: a gateway that saw an answer does not take a hold over; it deleted the
// row, which lifted the hold everywhere.
func TestContestedRowsAreLeft(t *testing.T) {
	var placed, other Rows
	now := time.Now()
	placed.Update(true, 10*time.Second, now)
	hold := quarantine.Hold{Name: 10, Features: []quarantine.Feature{10, 11}, Since: now, Placed: now, Until: now.Add(time.Hour), Crashes: 6, Answers: 2}
	txn, name, ok, err := placed.Next([]quarantine.Hold{hold})
	if err != nil || !ok || name != 10 {
		t.Fatalf("%+v, %v, %v", txn, ok, err)
	}
	other.Update(true, 10*time.Second, now)
	h, err := other.Read(store.Row{Key: txn.Set[0].Key, Value: txn.Set[0].Value, Rev: 7})
	if err != nil || len(h.Features) != 2 || h.Crashes != 6 || h.Answers != 2 || h.Placed.Sub(now).Abs() > time.Millisecond {
		t.Fatalf("%+v, %v", h, err)
	}
	if txn, _, ok, _ := other.Next(nil); !ok || len(txn.Delete) != 1 {
		t.Errorf("the row of a hold that ended: %+v", txn)
	}
	other.Contested(10)
	if txn, _, ok, _ := other.Next(nil); ok {
		t.Errorf("a contested row: %+v", txn)
	}
}
