package learned

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/lease"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/result"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// memory returns a learned state with a record for each of n classes; later ones have
// more ratings.
func memory(n int, cursor uint64) quality.Snapshot {
	m := quality.Snapshot{Cursor: cursor, SavedAt: epoch}
	for i := range n {
		m.Records = append(m.Records, quality.Record{
			Key:  quality.Key{Class: fmt.Sprintf("class-%d", i), Version: "small@1"},
			Good: 1 + float32(i)/100, Rated: epoch, Answers: 7, OutputTokens: float32(i), LatencyMs: float32(3 * i),
		})
	}
	return m
}

// packed returns the packed form of m.
func packed(t *testing.T, m quality.Snapshot) []byte {
	t.Helper()
	p, _, err := Pack(m)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestPackLimitsSizeAndRoundTrips(t *testing.T) {
	for _, n := range []int{0, 10, 100, 1000, 5000} {
		m := memory(n, 9)
		p, omitted, err := Pack(m)
		if err != nil || len(p) > MaxBytes {
			t.Fatalf("%d records: %d B, %v", n, len(p), err)
		}
		t.Logf("%d records: %d B, %d omitted", n, len(p), omitted)
		got, err := Unpack(p, epoch)
		if err != nil || len(got.Records)+omitted != n || got.Cursor != 9 {
			t.Fatalf("%d records: %d unpacked, %d omitted, %v", n, len(got.Records), omitted, err)
		}
		if omitted > 0 && got.Records[0].Key != m.Records[n-1].Key {
			t.Errorf("the record with the most ratings is not first: %+v", got.Records[0].Key)
		}
	}
}

func TestUnpackRejectsInvalidStateWithACode(t *testing.T) {
	good := packed(t, memory(3, 9))
	var e envelope
	if err := json.Unmarshal(good, &e); err != nil {
		t.Fatal(err)
	}
	modified := func(f func(*envelope)) []byte {
		c := e
		f(&c)
		p, _ := json.Marshal(c)
		return p
	}
	for name, c := range map[string]struct {
		data []byte
		now  time.Time
		want result.Code
	}{
		"cut":     {good[:len(good)/2], epoch, result.LearnedDamaged},
		"changed": {modified(func(e *envelope) { e.Body = append([]byte{1}, e.Body[1:]...) }), epoch, result.LearnedDamaged},
		"older":   {modified(func(e *envelope) { e.Format = 0 }), epoch, result.LearnedFormat},
		"newer":   {modified(func(e *envelope) { e.Format = 2 }), epoch, result.LearnedFormat},
		"stale":   {good, epoch.Add(quality.MaxMemoryAge + 1), result.LearnedStale},
	} {
		if _, err := Unpack(c.data, c.now); !result.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
}

// saveWithLease writes the stored copy as the holder of the lease.
func saveWithLease(t *testing.T, p *fake.Platform, m quality.Snapshot) {
	t.Helper()
	held, err := lease.NewManager(lease.Options{Table: p.Table, Name: "writer"}).TryAcquire(t.Context(), LeaseItem+m.SavedAt.String()+fmt.Sprint(m.Cursor))
	if err != nil {
		t.Fatal(err)
	}
	s := Saver{Table: p.Table, Address: "writer"}
	if err := s.save(t.Context(), held, m); err != nil {
		t.Fatal(err)
	}
}

// source returns a Source whose peers send the given packed states.
func source(p *fake.Platform, peers map[string][]byte) *Source {
	s := &Source{
		Table: p.Table, Self: "self", Now: func() time.Time { return epoch }, Log: zap.NewNop(),
		Fetch: func(_ context.Context, address string) (*linkv1.LearnedResponse, error) {
			if data, ok := peers[address]; ok {
				return &linkv1.LearnedResponse{Packed: data}, nil
			}
			return nil, result.New(result.NoUpstream, "no peer at %s", address)
		},
	}
	for address := range peers {
		s.Peers = append(s.Peers, address)
	}
	return s
}

func TestStoredCopyIsNotReplacedByOneWithFewerRatings(t *testing.T) {
	p := fake.New(fake.Options{})
	saveWithLease(t, p, memory(5, 90))
	saveWithLease(t, p, memory(1, 10))
	got := source(p, nil).Load(t.Context())
	if len(got) != 1 || got[0].Cursor != 90 {
		t.Fatalf("Load = %+v", got)
	}
	saveWithLease(t, p, memory(1, 91))
	if got := source(p, nil).Load(t.Context()); len(got) != 1 || got[0].Cursor != 91 {
		t.Fatalf("Load = %+v", got)
	}
}

func TestLoadQueriesTheStoredCopyItsWriterAndPeers(t *testing.T) {
	p := fake.New(fake.Options{})
	saveWithLease(t, p, memory(2, 10))
	s := source(p, map[string][]byte{"self": packed(t, memory(1, 99)), "a": packed(t, memory(1, 11)), "empty": nil, "bad": []byte("x")})
	fetch := s.Fetch
	s.Fetch = func(ctx context.Context, address string) (*linkv1.LearnedResponse, error) {
		switch address {
		case "writer":
			return &linkv1.LearnedResponse{Packed: packed(t, memory(1, 12))}, nil
		case "empty":
			return &linkv1.LearnedResponse{Senders: []string{"self", "a", "returned by an agent"}}, nil
		case "returned by an agent":
			return &linkv1.LearnedResponse{Packed: packed(t, memory(1, 20)), Senders: []string{"b"}}, nil
		}
		return fetch(ctx, address)
	}
	sum := uint64(0)
	for _, m := range s.Load(t.Context()) {
		sum += m.Cursor
	}
	if sum != 10+11+12+20 {
		t.Errorf("sum of the cursors is %d, want 10+11+12+20", sum)
	}
	p.Table.SetFaults(fake.TableFaults{Outage: true})
	if got := s.Load(t.Context()); len(got) != 2 || got[0].Cursor != 11 || got[1].Cursor != 20 {
		t.Errorf("during a store outage: Load = %+v", got)
	}
}
