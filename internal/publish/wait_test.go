package publish

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"connectrpc.com/connect"

	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/result"
)

func TestWaitInForceNamesWhereItIsNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, fake.Options{})
		c.publish(1)
		c.startAll(5)
		addresses := c.addresses()
		s := c.publish(2)
		ctx, cancel := context.WithTimeout(t.Context(), inForceTarget)
		defer cancel()
		if err := WaitInForce(ctx, c, addresses, s.Revision); err != nil {
			t.Fatal(err)
		}
		c.stop("d003")
		c.platform.Table.SetFaults(fake.TableFaults{Outage: true})
		ctx, cancel = context.WithTimeout(t.Context(), inForceTarget)
		defer cancel()
		err := WaitInForce(ctx, c, addresses, s.Revision)
		wantCode(t, err, result.NotInForce)
		var where *NotInForceError
		if !errors.As(err, &where) || len(where.Daemons) != 1 || !strings.Contains(err.Error(), "d003 does not answer") {
			t.Errorf("got %v", err)
		}
	})
}

// TestPullOverHTTP runs the handler and the client of connect-go.
func TestPullOverHTTP(t *testing.T) {
	c := newCluster(t, fake.Options{})
	c.publish(1)
	source := NewFollower(FollowerOptions{Store: c.store, Name: "source"})
	source.Poll(t.Context())
	mux := http.NewServeMux()
	mux.Handle(NewPeerHandler(source))
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	peers := ConnectPeers{Dial: func(address string) (connect.HTTPClient, string) {
		return srv.Client(), "http://" + address
	}}
	c.platform.Table.SetFaults(fake.TableFaults{Outage: true})
	f := NewFollower(FollowerOptions{Store: c.store, Name: "f", Peers: peers})
	if err := f.pull(t.Context(), srv.Listener.Addr().String()); err != nil || f.Revision() != 1 {
		t.Fatalf("revision %d, %v", f.Revision(), err)
	}
	got := Revisions(t.Context(), peers, []string{srv.Listener.Addr().String(), "127.0.0.1:1"})
	if got[0].Revision != 1 || got[0].Name != "source" || got[1].Err == nil {
		t.Errorf("got %+v", got)
	}
}

func TestStampFindsTheAddressOfAKnownSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, fake.Options{})
		c.publish(1)
		a, b := c.start("a"), c.start("b")
		wantRevision(t, b, 1, inForceTarget)
		b.SawEnvelope(a.Envelope())
		c.platform.Table.SetFaults(fake.TableFaults{Outage: true})
		synctest.Wait()
		c.platform.Table.SetFaults(fake.TableFaults{})
		c.publish(2)
		a.Poll(t.Context())
		c.platform.Table.SetFaults(fake.TableFaults{Outage: true})
		b.SawEnvelope(a.Stamp())
		synctest.Wait()
		if b.Revision() != 2 {
			t.Errorf("revision %d", b.Revision())
		}
	})
}
