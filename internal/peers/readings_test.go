package peers

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"reflect"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/store"
	"tarragonbay.example/tarragonbay/internal/store/storefake"
)

// TestReadingsReachListedGateways: a reading arrives as it was sent; a reading sent from
// another address under a listed gateway's name is dropped.
func TestReadingsReachListedGateways(t *testing.T) {
	st := storefake.New()
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	a, b := listen(t, st, "a", 1), listen(t, st, "b", 2)
	var mu sync.Mutex
	var got []TableUpdate
	b.opts.TableUpdate = func(from string, r TableUpdate) {
		mu.Lock()
		defer mu.Unlock()
		if from != "a" {
			t.Errorf("reading received from %s, want a", from)
		}
		got = append(got, r)
	}
	for _, tk := range []*Gossip{a, b} {
		for _, run := range []func(context.Context) error{tk.Register, tk.Send, tk.Receive} {
			wg.Go(func() {
				if err := run(ctx); err != nil {
					t.Error(err)
				}
			})
		}
	}
	waitFor(t, "the message of a at b", func() bool { return b.Peers.FreshCount(time.Now()) == 1 && len(a.addresses()) == 1 })
	forged, err := proto.Marshal(&gossipv1.News{Gateway: "a", Reading: &gossipv1.Reading{Table: "forged"}})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("udp4", b.opts.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write(forged); err != nil {
		t.Fatal(err)
	}
	want := TableUpdate{Table: "servers", After: 7, Page: store.Page{Rev: 9, Now: 1500 * time.Millisecond, Rows: []store.Row{
		{Key: store.Key{Table: "servers", Name: "u"}, Rev: 8, Value: []byte("row")},
		{Key: store.Key{Table: "servers", Name: "v"}, Rev: 9, Removed: true},
	}}}
	waitFor(t, "the reading", func() bool {
		a.SendTableUpdate(want)
		mu.Lock()
		defer mu.Unlock()
		return len(got) > 0
	})
	stop()
	wg.Wait()
	if !reflect.DeepEqual(got[0], want) {
		t.Errorf("%+v, want %+v", got[0], want)
	}
}

// TestLargeReadingsAreSentWithoutRows: rows that compress well are sent; rows that do not
// fit a datagram are left out, so that receivers see that they are behind.
func TestLargeReadingsAreSentWithoutRows(t *testing.T) {
	for _, c := range []struct {
		name  string
		value []byte
		after uint64
		rows  int
	}{
		{"packs well", bytes.Repeat([]byte(`{"name":"route","kind":"idempotent"}`), 1000), 7, 1},
		{"does not pack", randomBytes(2 * maxDatagramBytes), 9, 0},
	} {
		sender := listen(t, storefake.New(), "a", 1)
		receiver, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		sender.listed["b"] = listedGateway{address: receiver.LocalAddr().(*net.UDPAddr).AddrPort()}
		sender.SendTableUpdate(TableUpdate{Table: "operator", After: 7, Page: store.Page{Rev: 9, Rows: []store.Row{
			{Key: store.Key{Table: "operator", Name: "config"}, Rev: 9, Value: c.value},
		}}})
		buf := make([]byte, maxDatagramBytes)
		n, err := receiver.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		var m gossipv1.News
		if err := proto.Unmarshal(buf[:n], &m); err != nil {
			t.Fatal(err)
		}
		r, err := decodeReading(m.GetReading())
		if err != nil || r.After != c.after || len(r.Page.Rows) != c.rows || r.Page.Rev != 9 {
			t.Errorf("%s: after %d, %d rows, %v", c.name, r.After, len(r.Page.Rows), err)
		}
		if c.rows == 1 && !bytes.Equal(r.Page.Rows[0].Value, c.value) {
			t.Errorf("%s: the row differs", c.name)
		}
		_, _ = sender.conn.Close(), receiver.Close()
	}
}

func randomBytes(n int) []byte {
	out := make([]byte, n)
	r := rand.New(rand.NewPCG(1, 1))
	for i := range out {
		out[i] = byte(r.Uint32())
	}
	return out
}

// FuzzReading checks that arbitrary compressed rows either decode or return an error
// without rows.
func FuzzReading(f *testing.F) {
	packed, err := packRows([]store.Row{{Key: store.Key{Name: "u"}, Rev: 8, Value: []byte("row")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := decodeReading(&gossipv1.Reading{Table: "t", PackedRows: b})
		if err != nil && len(r.Page.Rows) > 0 {
			t.Error("rows returned together with an error")
		}
	})
}
