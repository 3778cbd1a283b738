package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/holdtable"
	"tarragonbay.example/tarragonbay/internal/quarantine"
	"tarragonbay.example/tarragonbay/internal/store"
)

// holdValue returns the value of a row whose hold lasts another hour on a store's clock that
// shows 10 s.
func holdValue(t *testing.T, features ...string) []byte {
	t.Helper()
	b, err := json.Marshal(holdtable.Row{Features: features, SinceMS: 1, UntilMS: 3_610_000, Crashes: 2})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func listHolds(g *Gateway, rows ...store.Row) {
	for i := range rows {
		rows[i].Table = holdtable.Table
	}
	g.applyHoldRows(update{full: true, page: store.Page{Rows: rows, Rev: 9, Now: 10 * time.Second}}, time.Now())
}

// TestOddHoldRowsAreReplaced guards against gateways that write a hold without pause, in vain, since
// its row was overwritten: the condition must name the row's revision.
func TestOddHoldRowsAreReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		value string
		// removed is true if the row is removed where its hold isn't in force: it can be read.
		removed bool
	}{
		"nothing": {"", false}, "torn": {`{"features":["a`, false}, "no feature": {`{"features":["x y"]}`, false}, "a number": {`{"until_ms":1e999}`, false},
		"null": {"null", true}, "without its own feature": {`{"features":["b"],"until_ms":3610000}`, true},
		"over long ago": {`{"features":["a"],"until_ms":-9223372036854775808}`, true},
	} {
		g := newTestGateway()
		hold := quarantine.Hold{Name: 10, Features: []quarantine.Feature{10, 11}, Until: time.Now().Add(time.Hour)}
		if !g.crashes.tracker.Restore(hold) {
			t.Fatal("no hold")
		}
		listHolds(g, store.Row{Key: store.Key{Name: "a"}, Rev: 7, Value: []byte(c.value)})
		txn, _, ok, err := g.crashes.rows.Next(g.crashes.tracker.Holds())
		if err != nil || !ok || len(txn.Set) != 1 || txn.Expect[0].Rev != 7 {
			t.Errorf("%s: in force: %+v, %v, %v", name, txn, ok, err)
		}
		g = newTestGateway()
		listHolds(g, store.Row{Key: store.Key{Name: "a"}, Rev: 7, Value: []byte(c.value)})
		txn, _, ok, err = g.crashes.rows.Next(g.crashes.tracker.Holds())
		if err != nil || ok != c.removed || (ok && (len(txn.Delete) != 1 || txn.Expect[0].Rev != 7)) || len(g.crashes.tracker.Holds()) != 0 {
			t.Errorf("%s: not in force: %+v, %v, %v", name, txn, ok, err)
		}
	}
}

// TestHoldRowsWithOtherNamesAreLeft: a row whose name no gateway writes is no hold, and nothing
// is written on its account.
func TestHoldRowsWithOtherNamesAreLeft(t *testing.T) {
	for _, name := range []string{"", "A", "0a", "+a", "0xa", "1_0", "hold", "10000000000000000"} {
		g := newTestGateway()
		listHolds(g, store.Row{Key: store.Key{Name: name}, Rev: 7, Value: holdValue(t, "a")})
		if txn, _, ok, _ := g.crashes.rows.Next(g.crashes.tracker.Holds()); ok || len(g.crashes.tracker.Holds()) != 0 {
			t.Errorf("%q: %+v", name, txn)
		}
	}
	g := newTestGateway()
	listHolds(g, store.Row{Key: store.Key{Name: "a"}, Rev: 7, Value: holdValue(t, "a", "b")})
	if _, _, ok, _ := g.crashes.rows.Next(g.crashes.tracker.Holds()); ok || len(g.crashes.tracker.Holds()) != 1 {
		t.Error("a sound row is no hold, or is written again")
	}
}
