package peers

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/store"
)

// Reading is what one gateway has read of a table of the store and tells the
// others, so that they need not read it.
type Reading struct {
	Table string
	// After is the revision up to which a gateway must know the table: the page
	// holds what changed since.
	After uint64
	Page  store.Page
}

// TellReading sends a reading to all listed gateways. One that does not fit a
// datagram is not sent: they then read the table themselves.
func (t *Talk) TellReading(r Reading) {
	m := &gossipv1.Reading{
		Table: r.Table, After: r.After, Rev: r.Page.Rev, StoreNowMs: uint64(r.Page.Now / time.Millisecond),
	}
	for _, row := range r.Page.Rows {
		m.Rows = append(m.Rows, &gossipv1.Row{Name: row.Name, Rev: row.Rev, Value: row.Value, Removed: row.Removed})
	}
	t.send(&gossipv1.News{Gateway: t.o.Name, Incarnation: t.o.Incarnation, Reading: m}, t.addresses())
}

func reading(m *gossipv1.Reading) Reading {
	r := Reading{Table: m.GetTable(), After: m.GetAfter(), Page: store.Page{
		Rev: m.GetRev(), Now: time.Duration(m.GetStoreNowMs()) * time.Millisecond,
	}}
	for _, row := range m.GetRows() {
		r.Page.Rows = append(r.Page.Rows, store.Row{
			Key: store.Key{Table: r.Table, Name: row.GetName()}, Rev: row.GetRev(), Value: row.GetValue(), Removed: row.GetRemoved(),
		})
	}
	return r
}
