// Package rolloutrun steps roll-outs and publishes withdrawals. Each roll-out
// is a work item: the daemon that holds its lease steps it and publishes the
// result under the lease, and any other goes on from there when the holder is
// gone. An operator's command, published through the catalog, wins over the
// progress that the last holder left.
package rolloutrun

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/lease"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/rollout"
)

// Author is the author of the publications.
const Author = "rollout"

// Pace of the runner.
const (
	lookEvery = time.Second
	stepEvery = time.Second
)

// Evidence tells what is known of a version. It is implemented by watch.Fleet.
type Evidence interface {
	Observation(version catalog.VersionName, now time.Time) rollout.Observation
}

// Publisher publishes edits. It is implemented by publish.Publisher.
type Publisher interface {
	Edit(ctx context.Context, author string, edit publish.EditFunc, guards ...ports.Condition) (publish.Published, error)
}

// Lease is one tenure of a work item. It is implemented by lease.Held.
type Lease interface {
	Check() error
	Condition() ports.Condition
	Note(ctx context.Context) (note []byte, version uint64, err error)
	SaveNote(ctx context.Context, note []byte, version uint64) (uint64, error)
}

// Options configure a Runner.
type Options struct {
	Leases    *lease.Manager
	Publisher Publisher
	Evidence  Evidence
	// Set returns the configuration in force, or nil.
	Set func() *catalog.Set
	Now func() time.Time
	Log *zap.Logger
}

// Runner runs the roll-outs of the configuration in force. One publication
// runs at a time.
type Runner struct {
	options Options
	// publishing guards the publisher, which is used by one goroutine at a
	// time.
	publishing sync.Mutex
}

// New returns a runner.
func New(o Options) *Runner { return &Runner{options: o} }

// Run competes for the lease of each roll-out that has not ended, until ctx
// ends.
func (r *Runner) Run(ctx context.Context) error {
	running := map[string]context.CancelFunc{}
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		open := openRollouts(r.options.Set())
		for name := range open {
			if running[name] != nil {
				continue
			}
			itemCtx, cancel := context.WithCancel(ctx)
			running[name] = cancel
			wg.Go(func() { r.compete(itemCtx, name) })
		}
		for name, cancel := range running {
			if !open[name] {
				cancel()
				delete(running, name)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func openRollouts(set *catalog.Set) map[string]bool {
	out := map[string]bool{}
	if set == nil {
		return out
	}
	for name, x := range set.Rollouts {
		if !ended(x) {
			out[name] = true
		}
	}
	return out
}

func ended(x *catalog.Rollout) bool {
	return x.State == catalog.RolloutDone || x.State == catalog.RolloutAborted
}

// Item is the work item of a roll-out.
func Item(name string) string { return itemPrefix + name }

func (r *Runner) compete(ctx context.Context, name string) {
	err := r.options.Leases.Run(ctx, Item(name), func(ctx context.Context, held *lease.Held) error {
		r.options.Log.Info("stepping roll-out", zap.String("rollout", name), zap.Uint64("fence", held.Fence()))
		return r.steps(ctx, name, held)
	})
	if err != nil {
		r.options.Log.Warn("roll-out lease", zap.String("rollout", name), zap.Error(err))
	}
}

// steps steps the roll-out while the lease lasts and the roll-out is open.
func (r *Runner) steps(ctx context.Context, name string, held Lease) error {
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	for {
		set := r.options.Set()
		if set == nil || set.Rollouts[name] == nil || ended(set.Rollouts[name]) {
			return nil
		}
		if err := r.Step(ctx, name, set.Rollouts[name], held); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// Step makes at most one step of the roll-out: it publishes what changed under
// the lease, then leaves the progress for the next holder. A holder that dies
// between the two leaves a publication that the next one takes as it stands.
func (r *Runner) Step(ctx context.Context, name string, published *catalog.Rollout, held Lease) error {
	now := r.options.Now()
	note, version, err := held.Note(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	o := r.options.Evidence.Observation(catalog.VersionName(published.To), now)
	state, known := progress(note, name, published, now)
	if !known {
		state.RatedBefore = o.Tally.Good + o.Tally.Bad + o.Tally.Lost
	}
	next := state.Next(o)
	if same(next, published) {
		if known && equal(next, state) {
			return nil
		}
		return r.save(ctx, held, next, version)
	}
	if err := held.Check(); err != nil {
		return err
	}
	if err := r.publish(ctx, next, published.Description, held); err != nil {
		return err
	}
	r.options.Log.Info("roll-out stepped", zap.String("rollout", name), zap.Int("stage", next.Stage),
		zap.String("status", string(next.Status)), zap.String("reason", string(next.Reason)))
	return r.save(ctx, held, next, version)
}

// progress reads the state that the last holder left. When the catalog says
// something else, an operator has acted or the last holder died before it left
// its progress: then the catalog is right.
func progress(note []byte, name string, published *catalog.Rollout, now time.Time) (s rollout.State, known bool) {
	fromCatalog := rollout.New(name, published, now)
	if len(note) == 0 || json.Unmarshal(note, &s) != nil || !same(s, published) {
		return fromCatalog, false
	}
	return s, true
}

// same reports whether the state is what the catalog says.
func same(s rollout.State, published *catalog.Rollout) bool {
	state := published.State
	if state == "" {
		state = catalog.RolloutRunning
	}
	return s.From == published.From && s.To == published.To &&
		s.Stage == published.Stage && string(s.Status) == state
}

func equal(a, b rollout.State) bool {
	return a.Stage == b.Stage && a.Status == b.Status && a.Reason == b.Reason && a.Since.Equal(b.Since)
}

func (r *Runner) save(ctx context.Context, held Lease, s rollout.State, version uint64) error {
	note, err := json.Marshal(s)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = held.SaveNote(ctx, note, version)
	return err
}

// publish puts the state in force; a version that the evidence convicts is
// withdrawn in the same revision.
func (r *Runner) publish(ctx context.Context, s rollout.State, description string, held Lease) error {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	_, err := r.options.Publisher.Edit(ctx, Author, func(current publish.State) (catalog.Delta, error) {
		put, err := newObject(catalog.Key{Kind: catalog.KindRollout, Name: s.Name}, s.Publish(description))
		if err != nil {
			return catalog.Delta{}, err
		}
		delta := catalog.Delta{Puts: []catalog.Object{put}}
		if s.Withdraws() {
			err = addWithdrawal(&delta, current.Set, catalog.VersionName(s.To))
		}
		return delta, err
	}, held.Condition())
	return err
}

// Withdraw publishes that the version is withdrawn, and that roll-outs to it
// are aborted. It is idempotent, so it needs no lease.
func (r *Runner) Withdraw(ctx context.Context, version catalog.VersionName) error {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	_, err := r.options.Publisher.Edit(ctx, Author, func(current publish.State) (catalog.Delta, error) {
		var delta catalog.Delta
		if err := addWithdrawal(&delta, current.Set, version); err != nil {
			return delta, err
		}
		return delta, addAborts(&delta, current.Set, version)
	})
	return err
}

func addWithdrawal(delta *catalog.Delta, set *catalog.Set, name catalog.VersionName) error {
	if set == nil || set.Versions[name] == nil {
		return nil
	}
	v := *set.Versions[name]
	if v.State == catalog.VersionWithdrawn {
		return nil
	}
	v.State = catalog.VersionWithdrawn
	put, err := newObject(catalog.Key{Kind: catalog.KindVersion, Name: string(name)}, v)
	if err == nil {
		delta.Puts = append(delta.Puts, put)
	}
	return err
}

func addAborts(delta *catalog.Delta, set *catalog.Set, version catalog.VersionName) error {
	if set == nil {
		return nil
	}
	for name, x := range set.Rollouts {
		if x.To != string(version) || ended(x) {
			continue
		}
		aborted := *x
		aborted.State = catalog.RolloutAborted
		put, err := newObject(catalog.Key{Kind: catalog.KindRollout, Name: name}, aborted)
		if err != nil {
			return err
		}
		delta.Puts = append(delta.Puts, put)
	}
	return nil
}

func newObject(key catalog.Key, v any) (catalog.Object, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return catalog.Object{}, errors.Trace(err)
	}
	spec, err := catalog.Canonical(data)
	return catalog.Object{Key: key, Spec: spec}, errors.Trace(err)
}
