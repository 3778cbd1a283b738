// Package rolloutrun advances rollouts and publishes withdrawals. Each rollout is a
// work item. The daemon that holds its lease steps the rollout and publishes the
// result under the lease; when the holder is gone, another daemon continues. An
// operator's command, published through the catalog, overrides the progress that
// the previous holder saved.
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

// Author is the author of the runner's publications.
const Author = "rollout"

// Intervals at which the runner looks for active rollouts and steps them.
const (
	pollInterval = time.Second
	stepInterval = time.Second
)

// Evidence returns observations of versions. It is implemented by watch.Fleet.
type Evidence interface {
	Observation(version catalog.VersionName, now time.Time) rollout.Observation
}

// Publisher publishes edits. It is implemented by publish.Publisher.
type Publisher interface {
	Edit(ctx context.Context, author string, edit publish.EditFunc, guards ...ports.Condition) (publish.Published, error)
}

// Lease is one tenure of the lease of a work item. It is implemented by
// lease.Held.
type Lease interface {
	Check() error
	Condition() ports.Condition
	LoadProgress(ctx context.Context) (progress []byte, version uint64, err error)
	SaveProgress(ctx context.Context, progress []byte, version uint64) (uint64, error)
}

// Options configures a Runner.
type Options struct {
	Leases    *lease.Manager
	Publisher Publisher
	Evidence  Evidence
	// Set returns the current configuration, or nil if there is none.
	Set func() *catalog.Set
	Now func() time.Time
	Log *zap.Logger
}

// Runner runs the rollouts of the current configuration. It publishes one change
// at a time.
type Runner struct {
	options Options
	// publishing guards Options.Publisher, which is not safe for concurrent
	// use.
	publishing sync.Mutex
}

// New returns a runner.
func New(o Options) *Runner { return &Runner{options: o} }

// Run competes for the lease of each rollout that has not ended, until ctx is
// done.
func (r *Runner) Run(ctx context.Context) error {
	running := map[string]context.CancelFunc{}
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		active := activeRollouts(r.options.Set())
		for name := range active {
			if running[name] != nil {
				continue
			}
			itemCtx, cancel := context.WithCancel(ctx)
			running[name] = cancel
			wg.Go(func() { r.runUnderLease(itemCtx, name) })
		}
		for name, cancel := range running {
			if !active[name] {
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

// activeRollouts returns the names of the rollouts that have not ended.
func activeRollouts(set *catalog.Set) map[string]bool {
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

// Item returns the work item of a rollout.
func Item(name string) string { return itemPrefix + name }

// runUnderLease competes for the rollout's lease and steps the rollout while it
// holds the lease.
func (r *Runner) runUnderLease(ctx context.Context, name string) {
	err := r.options.Leases.Run(ctx, Item(name), func(ctx context.Context, held *lease.Held) error {
		r.options.Log.Info("stepping rollout", zap.String("rollout", name), zap.Uint64("fence", held.Fence()))
		return r.stepUntilEnded(ctx, name, held)
	})
	if err != nil {
		r.options.Log.Warn("cannot run rollout under its lease", zap.String("rollout", name), zap.Error(err))
	}
}

// stepUntilEnded steps the rollout until it ends or ctx, which ends with the
// lease, is done.
func (r *Runner) stepUntilEnded(ctx context.Context, name string, held Lease) error {
	tick := time.NewTicker(stepInterval)
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

// Step performs at most one step of the rollout: it publishes a changed state under
// the lease, then saves the progress for the next holder. If the holder dies in
// between, the next holder starts from the publication.
func (r *Runner) Step(ctx context.Context, name string, published *catalog.Rollout, held Lease) error {
	now := r.options.Now()
	progress, version, err := held.LoadProgress(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	o := r.options.Evidence.Observation(catalog.VersionName(published.To), now)
	state, known := loadProgress(progress, name, published, now)
	if !known {
		state.RatedBefore = o.Tally.Good + o.Tally.Bad + o.Tally.Lost
	}
	next := state.Next(o)
	if matchesCatalog(next, published) {
		if known && equalStates(next, state) {
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
	r.options.Log.Info("rollout stepped", zap.String("rollout", name), zap.Int("stage", next.Stage),
		zap.String("status", string(next.Status)), zap.String("reason", string(next.Reason)))
	return r.save(ctx, held, next, version)
}

// loadProgress decodes the state that the previous holder saved. If the catalog
// differs from it, an operator has changed the rollout, or the previous holder died
// before it saved its progress. In both cases the state of the catalog applies, and
// known is false.
func loadProgress(progress []byte, name string, published *catalog.Rollout, now time.Time) (s rollout.State, known bool) {
	fromCatalog := rollout.New(name, published, now)
	if len(progress) == 0 || json.Unmarshal(progress, &s) != nil || !matchesCatalog(s, published) {
		return fromCatalog, false
	}
	return s, true
}

// matchesCatalog reports whether the state equals the published one.
func matchesCatalog(s rollout.State, published *catalog.Rollout) bool {
	state := published.State
	if state == "" {
		state = catalog.RolloutRunning
	}
	return s.From == published.From && s.To == published.To &&
		s.Stage == published.Stage && string(s.Status) == state
}

func equalStates(a, b rollout.State) bool {
	return a.Stage == b.Stage && a.Status == b.Status && a.Reason == b.Reason && a.Since.Equal(b.Since)
}

func (r *Runner) save(ctx context.Context, held Lease, s rollout.State, version uint64) error {
	progress, err := json.Marshal(s)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = held.SaveProgress(ctx, progress, version)
	return err
}

// publish publishes the state. If the evidence is against the version, the same
// revision withdraws the version.
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

// Withdraw publishes that the version is withdrawn and that rollouts to it are
// aborted. It needs no lease, since it is idempotent.
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

// addWithdrawal adds the withdrawal of a version to delta, unless the version is
// unknown or already withdrawn.
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

// addAborts adds the abort of each active rollout to the version to delta.
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
