package peers

import (
	"context"
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

// TestReadingsReachListedGateways: a reading arrives as it was sent; one under a
// listed gateway's name from another address is not taken.
func TestReadingsReachListedGateways(t *testing.T) {
	st := storefake.New()
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	a, b := talk(t, st, "a", 1), talk(t, st, "b", 2)
	var mu sync.Mutex
	var got []Reading
	b.o.Reading = func(from string, r Reading) {
		mu.Lock()
		defer mu.Unlock()
		if from != "a" {
			t.Errorf("a reading of %s", from)
		}
		got = append(got, r)
	}
	for _, tk := range []*Talk{a, b} {
		for _, duty := range []func(context.Context) error{tk.Enter, tk.Send, tk.Receive} {
			wg.Go(func() {
				if err := duty(ctx); err != nil {
					t.Error(err)
				}
			})
		}
	}
	until(t, "news of a at b", func() bool { return b.Book.Heard(time.Now()) == 1 && len(a.addresses()) == 1 })
	forged, err := proto.Marshal(&gossipv1.News{Gateway: "a", Reading: &gossipv1.Reading{Table: "forged"}})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("udp4", b.o.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write(forged); err != nil {
		t.Fatal(err)
	}
	want := Reading{Table: "servers", After: 7, Page: store.Page{Rev: 9, Now: 1500 * time.Millisecond, Rows: []store.Row{
		{Key: store.Key{Table: "servers", Name: "u"}, Rev: 8, Value: []byte("row")},
		{Key: store.Key{Table: "servers", Name: "v"}, Rev: 9, Removed: true},
	}}}
	until(t, "the reading", func() bool {
		a.TellReading(want)
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
