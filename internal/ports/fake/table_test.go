package fake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

func put(id, key, value string, version uint64) ports.Txn {
	return ports.Txn{
		OperationID: id,
		Conditions:  []ports.Condition{{Key: key, Version: version}},
		Writes:      []ports.Write{{Key: key, Value: []byte(value)}},
	}
}

func wantCode(t *testing.T, err error, code result.Code) {
	t.Helper()
	if !result.Is(err, code) {
		t.Fatalf("got %v, want %v", err, code)
	}
}

func TestCommitTakesEffectWholeOrNotAtAll(t *testing.T) {
	ctx := t.Context()
	tab := New(Options{}).Table
	if err := tab.Commit(ctx, put("1", "a", "x", 0)); err != nil {
		t.Fatal(err)
	}
	bad := put("2", "b", "y", 0)
	bad.Conditions = append(bad.Conditions, ports.Condition{Key: "a", Version: 7})
	wantCode(t, tab.Commit(ctx, bad), result.TableConflict)
	if _, ok, _ := tab.Get(ctx, "b"); ok {
		t.Error("a refused transaction wrote a row")
	}
	wantCode(t, tab.Commit(ctx, put("1", "a", "z", 1)), result.TableConflict)
	rows, err := tab.Scan(ctx, "a", "c", 10)
	if err != nil || len(rows) != 1 || rows[0].Version != 1 || string(rows[0].Value) != "x" {
		t.Errorf("scan got %v, %v", rows, err)
	}
}

func TestLostReplyCanBeReadBackForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		tab := New(Options{}).Table
		tab.SetFaults(TableFaults{LoseReplies: 1, LoseRequests: 1})
		wantCode(t, tab.Commit(ctx, put("lost", "a", "x", 0)), result.TableUnknown)
		wantCode(t, tab.Commit(ctx, put("kept", "a", "x", 0)), result.TableUnknown)
		for id, want := range map[string]bool{"lost": false, "kept": true} {
			if got, err := tab.Applied(ctx, id); got != want || err != nil {
				t.Errorf("Applied(%s) = %v, %v", id, got, err)
			}
		}
		time.Sleep(OperationMemory)
		if got, _ := tab.Applied(ctx, "kept"); got {
			t.Error("an operation ID was kept for more than an hour")
		}
	})
}

func TestLatencyPastTheDeadlineIsUnknownForWritesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := New(Options{}).Table
		tab.SetFaults(TableFaults{Latency: time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		wantCode(t, tab.Commit(ctx, put("1", "a", "x", 0)), result.TableUnknown)
		_, _, err := tab.Get(ctx, "a")
		wantCode(t, err, result.TableUnavailable)
		if got, _ := tab.Applied(t.Context(), "1"); !got {
			t.Error("the write lost its effect with its reply")
		}
	})
}

func TestRateLimitCountsRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		tab := New(Options{TableWritesPerSecond: 2}).Table
		txn := put("1", "a", "x", 0)
		txn.Writes = append(txn.Writes, ports.Write{Key: "b", Value: []byte("y")})
		if err := tab.Commit(ctx, txn); err != nil {
			t.Fatal(err)
		}
		wantCode(t, tab.Commit(ctx, put("2", "a", "z", 1)), result.TableLimited)
		time.Sleep(time.Second)
		if err := tab.Commit(ctx, put("3", "a", "z", 1)); err != nil {
			t.Error(err)
		}
		if u := tab.Usage(); u.Writes != 3 || u.Refused != 1 {
			t.Errorf("usage %+v", u)
		}
	})
}

func TestRestoreBringsBackTheOldRows(t *testing.T) {
	ctx := t.Context()
	tab := New(Options{}).Table
	_ = tab.Commit(ctx, put("1", "a", "old", 0))
	b := tab.Backup()
	_ = tab.Commit(ctx, put("2", "a", "new", 1))
	tab.Restore(b)
	row, ok, err := tab.Get(ctx, "a")
	if !ok || err != nil || string(row.Value) != "old" || row.Version != 1 {
		t.Errorf("got %v %v %v", row, ok, err)
	}
}

func TestOtherServicesShowTheirFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		p := New(Options{WeightsPerSecond: 1})
		p.Hosts.Put(ports.HostState{Name: "h1"})
		_ = p.Objects.PutIfAbsent(ctx, "o", []byte("data"))
		_ = p.Objects.PutIfAbsent(ctx, "gone", []byte("data"))
		p.SetFaults(Faults{
			Hosts:   HostFaults{Lag: time.Minute},
			Objects: ObjectFaults{Damaged: []string{"o"}, Missing: []string{"gone"}},
			Ratings: RatingFaults{Delay: time.Minute, SampleEvery: 2},
		})
		if list, err := p.Hosts.List(ctx); len(list) != 0 || err != nil {
			t.Errorf("the list does not lag: %v %v", list, err)
		}
		if data, _ := p.Objects.Get(ctx, "o"); string(data) == "data" {
			t.Error("the object is not damaged")
		}
		_, err := p.Objects.Get(ctx, "gone")
		wantCode(t, err, result.ObjectMissing)
		_ = p.Ratings.Submit(ctx, ports.Sample{RequestID: "1"})
		_ = p.Ratings.Submit(ctx, ports.Sample{RequestID: "2"})
		if got, _, _ := p.Ratings.Since(ctx, 0, 10); len(got) != 0 {
			t.Error("the rating is not late")
		}
		_ = p.Weights.Reserve(ctx, "v")
		wantCode(t, p.Weights.Reserve(ctx, "v"), result.WeightsLimited)
		time.Sleep(time.Minute)
		if list, _ := p.Hosts.List(ctx); len(list) != 1 {
			t.Error("the list never caught up")
		}
		got, next, err := p.Ratings.Since(ctx, 0, 10)
		if len(got) != 1 || got[0].RequestID != "2" || next != 1 || err != nil {
			t.Errorf("ratings %v %d %v", got, next, err)
		}
	})
}
