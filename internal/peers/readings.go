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

// TableUpdate is the result of reading a store table, which one gateway sends to the others
// so that they need not read the table themselves.
type TableUpdate struct {
	Table string
	// After is the revision that the page builds on: a receiver must have the table up
	// to it, and the page holds the changes since.
	After uint64
	Page  store.Page
}

// maxUnpackedBytes bounds the decompressed rows of a reading.
const maxUnpackedBytes = 1 << 20

// maxPackedBytes bounds the compressed rows; it leaves room in a datagram for the other
// fields.
const maxPackedBytes = maxDatagramBytes - 512

// SendTableUpdate sends a reading to all listed gateways. Rows that do not fit a datagram
// are left out; the receivers then see that they are behind and read the table themselves.
func (t *Gossip) SendTableUpdate(r TableUpdate) {
	m := &gossipv1.Reading{
		Table: r.Table, After: r.After, Rev: r.Page.Rev, StoreNowMs: uint64(r.Page.Now / time.Millisecond),
	}
	packed, err := packRows(r.Page.Rows)
	if err != nil {
		t.opts.Log.Event("peers", "table reading not compressed", eventlog.Error(err))
	}
	if err != nil || len(packed) > maxPackedBytes {
		m.After, packed = r.Page.Rev, nil
	}
	m.PackedRows = packed
	t.send(&gossipv1.News{Gateway: t.opts.Name, Incarnation: t.opts.Incarnation, Reading: m}, t.addresses())
}

func packRows(rows []store.Row) ([]byte, error) {
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

// decodeReading returns the reading in a peer's gossip message.
func decodeReading(m *gossipv1.Reading) (TableUpdate, error) {
	r := TableUpdate{Table: m.GetTable(), After: m.GetAfter(), Page: store.Page{
		Rev: m.GetRev(), Now: time.Duration(m.GetStoreNowMs()) * time.Millisecond,
	}}
	if len(m.GetPackedRows()) == 0 {
		return r, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.GetPackedRows())), maxUnpackedBytes+1))
	if err != nil {
		return r, errors.Annotate(err, "decompress rows")
	}
	if len(raw) > maxUnpackedBytes {
		return r, errors.Errorf("decompressed rows exceed %d bytes", maxUnpackedBytes)
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

// receiveReading passes a reading on. It drops one that was not sent from the listed
// address of its gateway, and logs and drops one that cannot be decoded.
func (t *Gossip) receiveReading(n *gossipv1.News, listed bool) {
	if !listed {
		return
	}
	r, err := decodeReading(n.GetReading())
	if err != nil {
		t.opts.Log.Event("peers", "table reading not decoded", eventlog.Error(err))
		return
	}
	t.opts.TableUpdate(n.GetGateway(), r)
}
