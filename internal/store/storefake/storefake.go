// Package storefake is an in-memory store with the semantics of the port: one
// counter of revisions, atomic transactions and feeds.
package storefake

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/store"
)

// Fake implements store.Store. Its zero value is not usable.
type Fake struct {
	mu      sync.Mutex
	rows    map[store.Key]store.Row
	history []store.Row
	kept    uint64
	rev     uint64
	started time.Time
	changed chan struct{}
	fail    error
	lost    bool
}

var _ store.Store = (*Fake)(nil)

// New returns an empty store.
func New() *Fake {
	return &Fake{rows: map[store.Key]store.Row{}, started: time.Now(), changed: make(chan struct{})}
}

// Fail makes every call return the error and do nothing; nil ends that.
func (f *Fake) Fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = err
}

// LoseAnswers makes commits take effect and return TableUnknown.
func (f *Fake) LoseAnswers(lose bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = lose
}

// Compact drops the history.
func (f *Fake) Compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history, f.kept = nil, f.rev
}

// List returns all rows of a part of a table, in the order of their names.
func (f *Fake) List(_ context.Context, table, part string) (store.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail != nil {
		return store.Page{}, f.fail
	}
	p := store.Page{Rev: f.rev, Now: time.Since(f.started)}
	for k, r := range f.rows {
		if k.Table == table && k.Part == part {
			p.Rows = append(p.Rows, r)
		}
	}
	slices.SortFunc(p.Rows, func(a, b store.Row) int { return strings.Compare(a.Name, b.Name) })
	return p, nil
}

// Feed waits for changes after the revision.
func (f *Fake) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (store.Page, error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for over := false; ; {
		f.mu.Lock()
		if f.fail != nil || after < f.kept {
			err := f.fail
			f.mu.Unlock()
			if err == nil {
				err = result.New(result.HistoryGone, "history starts later")
			}
			return store.Page{}, err
		}
		p := store.Page{Rev: f.rev, Now: time.Since(f.started)}
		for _, r := range f.history {
			if r.Table == table && r.Rev > after {
				p.Rows = append(p.Rows, r)
			}
		}
		changed := f.changed
		f.mu.Unlock()
		if len(p.Rows) > 0 || over {
			return p, nil
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-ctx.Done():
			return store.Page{}, result.Wrap(ctx.Err(), result.TableUnavailable, "the call was given up")
		}
	}
}

// Commit applies a transaction.
func (f *Fake) Commit(_ context.Context, txn store.Txn) (store.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail != nil {
		return store.Outcome{}, f.fail
	}
	out := store.Outcome{Applied: true, Now: time.Since(f.started)}
	for _, e := range txn.Expect {
		r := f.rows[e.Key]
		out.Applied = out.Applied && r.Rev == e.Rev
		if r.Rev != 0 {
			out.Current = append(out.Current, r)
		}
	}
	if !out.Applied {
		out.Rev = f.rev
		return out, nil
	}
	f.rev++
	for _, r := range txn.Set {
		r.Rev = f.rev
		f.rows[r.Key] = r
		f.history = append(f.history, r)
	}
	for _, k := range txn.Delete {
		if _, ok := f.rows[k]; ok {
			delete(f.rows, k)
			f.history = append(f.history, store.Row{Key: k, Rev: f.rev, Removed: true})
		}
	}
	close(f.changed)
	f.changed = make(chan struct{})
	out.Rev, out.Current = f.rev, nil
	if f.lost {
		return store.Outcome{}, result.New(result.TableUnknown, "the answer was lost")
	}
	return out, nil
}
