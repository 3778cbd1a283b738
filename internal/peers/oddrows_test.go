package peers

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/quarantine"
	"tarragonbay.example/tarragonbay/internal/retrywindow"
	"tarragonbay.example/tarragonbay/internal/sharedrate"
	"tarragonbay.example/tarragonbay/internal/store"
	"tarragonbay.example/tarragonbay/internal/store/storefake"
)

// countedStore counts the lists that one gateway asks for.
type countedStore struct {
	store.Store
	lists atomic.Int32
}

func (s *countedStore) List(ctx context.Context, table, part string) (store.Page, error) {
	s.lists.Add(1)
	return s.Store.List(ctx, table, part)
}

// startGossip runs gateways until the test ends.
func startGossip(t *testing.T, all ...*Gossip) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() {
		stop()
		wg.Wait()
	})
	for _, tk := range all {
		for _, run := range []func(context.Context) error{tk.Register, tk.Send, tk.Receive} {
			wg.Go(func() {
				if err := run(ctx); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

func putGateway(t *testing.T, st store.Store, name string, value []byte) {
	t.Helper()
	key := store.Key{Table: gatewayTable, Name: name}
	if _, err := st.Commit(t.Context(), store.Txn{Set: []store.Row{{Key: key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

func gatewayValue(address string) []byte {
	return fmt.Appendf(nil, `{"address":%q,"domain":"z"}`, address)
}

// TestOddGatewayRowsDoNotMakeGatewaysList guards against gateways that read the table twice a
// second for good, since a row of it is not, or names, a gateway that sends to them.
func TestOddGatewayRowsDoNotMakeGatewaysList(t *testing.T) {
	const maxLists = 4 // in five seconds
	t.Run("another row names its own address", func(t *testing.T) {
		st := &countedStore{Store: storefake.New()}
		a := listen(t, st, "a", 1)
		putGateway(t, st, "stale", gatewayValue(a.opts.Address))
		startGossip(t, a)
		time.Sleep(5 * time.Second)
		if n := st.lists.Load(); n > maxLists || len(a.addresses()) != 0 {
			t.Errorf("%d lists, sends to %v", n, a.addresses())
		}
	})
	t.Run("a peer's row is odd", func(t *testing.T) {
		st := storefake.New()
		counted := &countedStore{Store: st}
		a, b := listen(t, st, "a", 1), listen(t, counted, "b", 1)
		startGossip(t, a, b)
		waitFor(t, "the peers", func() bool { return len(a.addresses()) == 1 && len(b.addresses()) == 1 })
		putGateway(t, st, "a", []byte("null"))
		b.listSoon <- struct{}{}
		waitFor(t, "the odd row at b", func() bool { return len(b.addresses()) == 0 })
		before := counted.lists.Load()
		time.Sleep(5 * time.Second)
		if n := counted.lists.Load() - before; n > maxLists {
			t.Errorf("%d lists", n)
		}
		a.listSoon <- struct{}{} // in place of the wait for its next regular read
		waitFor(t, "the row to be written again", func() bool { return len(b.addresses()) == 1 })
	})
}

// TestOddGatewayRowsNameNoPeer: gateways that no datagram reaches do not count as gateways.
func TestOddGatewayRowsNameNoPeer(t *testing.T) {
	st := storefake.New()
	a := listen(t, st, "a", 1)
	for i, value := range []string{
		"", "null", "{}", "[]", `{"address":7}`, `{"address":"10.0.0.1"}`, `{"address":"10.0.0.1:0"}`, `{"address":"10.0.0.1:65536"}`,
		`{"address":"[::1]:9"}`, `{"address":"0.0.0.0:9"}`, `{"address":"255.255.255.255:9"}`, `{"address":"224.0.0.1:9"}`, `{"address":"host:9"}`,
		string(gatewayValue(a.opts.Address)),
	} {
		putGateway(t, st, fmt.Sprint("odd-", i), []byte(value))
	}
	putGateway(t, st, "sound", gatewayValue("127.0.0.1:9"))
	if !a.refreshList(t.Context()) || a.Gateways() != 2 || len(a.addresses()) != 1 {
		t.Errorf("%d gateways, sends to %v", a.Gateways(), a.addresses())
	}
}

// quietGossip returns a gossip without a socket, which passes on what it hears to nobody.
func quietGossip() *Gossip {
	return &Gossip{
		Peers: NewPeerTable(), listed: map[string]listedGateway{}, listSoon: make(chan struct{}, 1),
		opts: Options{
			Name: "a", Address: "127.0.0.1:8", Log: eventlog.New(io.Discard), TableUpdate: func(string, TableUpdate) {},
			Limits: func(string, []sharedrate.SentLimit) {}, Budgets: func(string, uint64, map[uint32]retrywindow.Totals) {},
			Leaving: func(string, []uint32) {}, Crashes: func(string, quarantine.Report) {},
		},
	}
}

// FuzzDatagram checks that no datagram makes a gateway end.
func FuzzDatagram(f *testing.F) {
	seed := func(n *gossipv1.News) {
		b, err := proto.Marshal(n)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	packed, err := packRows([]store.Row{{Key: store.Key{Name: "u\r\n"}, Rev: 1 << 63, Value: []byte("[[[[")}})
	if err != nil {
		f.Fatal(err)
	}
	seed(message("b", 1, 1, 7))
	seed(addition("b", 1, 1, 100))
	seed(&gossipv1.News{Gateway: "b", Reading: &gossipv1.Reading{Table: "servers", After: 1 << 63, Rev: 1, StoreNowMs: 1 << 63, PackedRows: packed}})
	seed(&gossipv1.News{Gateway: "b", Crashes: &gossipv1.CrashReport{Cleared: []uint64{1}}})
	seed(&gossipv1.News{Gateway: "stranger"})
	f.Add([]byte{0xff, 0x00, 0x17})
	from := netip.MustParseAddrPort("127.0.0.1:9")
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		tk := quietGossip()
		tk.listed["b"] = listedGateway{address: from}
		var n gossipv1.News
		if proto.Unmarshal(datagram, &n) != nil {
			return
		}
		tk.handle(&n, from, time.Now())
		tk.Peers.Loads(time.Now())
		tk.Peers.Evidence("s", 1, time.Now())
	})
}
