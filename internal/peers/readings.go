package peers

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"tarragonbay.example/tarragonbay/internal/eventlog"
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

// maxUnpacked bounds the rows of a reading once they are unpacked, in bytes.
const maxUnpacked = 1 << 20

// mostPacked bounds the packed rows, in bytes; it leaves room in a datagram for the
// rest.
const mostPacked = maxDatagram - 512

// TellReading sends a reading to all listed gateways. Rows that do not fit a datagram
// are left out: the others then see that they are behind and read for themselves.
func (t *Talk) TellReading(r Reading) {
	m := &gossipv1.Reading{
		Table: r.Table, After: r.After, Rev: r.Page.Rev, StoreNowMs: uint64(r.Page.Now / time.Millisecond),
	}
	packed, err := pack(r.Page.Rows)
	if err != nil {
		t.o.Log.Event("peers", "reading not packed", eventlog.Error(err))
	}
	if err != nil || len(packed) > mostPacked {
		m.After, packed = r.Page.Rev, nil
	}
	m.PackedRows = packed
	t.send(&gossipv1.News{Gateway: t.o.Name, Incarnation: t.o.Incarnation, Reading: m}, t.addresses())
}

func pack(rows []store.Row) ([]byte, error) {
	if len(rows) == 0 {
		return nil, nil
	}
	m := &gossipv1.Rows{}
	for _, r := range rows {
		m.Rows = append(m.Rows, &gossipv1.Row{Name: r.Name, Rev: r.Rev, Value: r.Value, Removed: r.Removed})
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return out.Bytes(), nil
}

// reading decodes what a peer has told.
func reading(m *gossipv1.Reading) (Reading, error) {
	r := Reading{Table: m.GetTable(), After: m.GetAfter(), Page: store.Page{
		Rev: m.GetRev(), Now: time.Duration(m.GetStoreNowMs()) * time.Millisecond,
	}}
	if len(m.GetPackedRows()) == 0 {
		return r, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.GetPackedRows())), maxUnpacked+1))
	if err != nil {
		return r, errors.Annotate(err, "unpack rows")
	}
	if len(raw) > maxUnpacked {
		return r, errors.Errorf("rows of over %d bytes", maxUnpacked)
	}
	var rows gossipv1.Rows
	if err := proto.Unmarshal(raw, &rows); err != nil {
		return r, errors.Annotate(err, "decode rows")
	}
	for _, row := range rows.GetRows() {
		r.Page.Rows = append(r.Page.Rows, store.Row{
			Key: store.Key{Table: r.Table, Name: row.GetName()}, Rev: row.GetRev(), Value: row.GetValue(), Removed: row.GetRemoved(),
		})
	}
	return r, nil
}

// takeReading hands on a reading of a listed gateway, unless it comes from elsewhere
// or cannot be read.
func (t *Talk) takeReading(n *gossipv1.News, listed bool) {
	if !listed {
		return
	}
	r, err := reading(n.GetReading())
	if err != nil {
		t.o.Log.Event("peers", "reading unreadable", eventlog.Error(err))
		return
	}
	t.o.Reading(n.GetGateway(), r)
}
