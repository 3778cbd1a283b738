package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/claim"
	"tarragonbay.example/tarragonbay/internal/lease"
	"tarragonbay.example/tarragonbay/internal/ledger"
	"tarragonbay.example/tarragonbay/internal/wait"
)

func (d *Daemon) newCharger() *ledger.Charger {
	return ledger.NewCharger(ledger.ChargerOptions{
		Agent:         d.settings.Name,
		Incarnation:   d.incarnation,
		Table:         d.ports.Table,
		Objects:       d.ports.Objects,
		FlushInterval: d.flushPause,
		NewID:         uuid.NewString,
	})
}

// flushPause is the pause between an agent's writes of charges.
func (d *Daemon) flushPause() time.Duration {
	set := d.set()
	if set == nil {
		return ledger.MaxFlushInterval
	}
	agents := map[string]bool{}
	for _, u := range set.Upstreams {
		agents[u.Agent] = true
	}
	return ledger.FlushInterval(len(agents))
}

// Work of the ledger that one entry does at a time.
const (
	foldItem    = "ledger/fold"
	foldEvery   = time.Minute
	expireEvery = time.Hour
	// expireSpan is how far back expired segments are looked for, so that a
	// gap in the lease leaves none.
	expireSpan = 24 * time.Hour
)

// fold folds the ledger while this entry holds the lease, until ctx ends.
func (d *Daemon) fold(leases *lease.Manager) func(context.Context) error {
	folder := ledger.NewFolder(ledger.FolderOptions{
		Table: d.ports.Table, Objects: d.ports.Objects,
		Now: time.Now, NewID: uuid.NewString, MinAge: ledger.FoldAfter,
	})
	log := d.log.Part("ledger")
	return func(ctx context.Context) error {
		return leases.Run(ctx, foldItem, func(ctx context.Context, held *lease.Held) error {
			expired := time.Time{}
			for {
				done, err := folder.FoldDue(ctx, held.Check)
				if err != nil {
					return err
				}
				if done.Charges > 0 || done.TooLate > 0 || done.Damaged > 0 {
					log.Info("ledger folded", zap.Any("pass", done))
				}
				if time.Since(expired) > expireEvery {
					expired = time.Now()
					if _, err := folder.Expire(ctx, expireSpan); err != nil {
						return err
					}
				}
				wait.For(ctx, foldEvery)
				if ctx.Err() != nil {
					return nil
				}
			}
		})
	}
}

// Work of the claims that one entry does at a time: a slice in collectEvery, so
// that all are gone through in the time that a claim is remembered.
const (
	collectItem  = "claims/collect"
	collectEvery = claim.KeyRetention / claim.Slices
	collectPause = time.Second
)

// collect deletes expired claims while this entry holds the lease, until ctx
// ends.
func (d *Daemon) collect(leases *lease.Manager) func(context.Context) error {
	log := d.log.Part("claims")
	pause := func(ctx context.Context) error {
		wait.For(ctx, collectPause)
		return ctx.Err()
	}
	return func(ctx context.Context) error {
		return leases.Run(ctx, collectItem, func(ctx context.Context, held *lease.Held) error {
			for slice := 0; ; slice = (slice + 1) % claim.Slices {
				if err := held.Check(); err != nil {
					return err
				}
				done, err := claim.Collect(ctx, d.ports.Table, slice, time.Now(), uuid.NewString, pause)
				if err != nil {
					return err
				}
				if done.Deleted > 0 {
					log.Info("claims collected", zap.Int("slice", slice), zap.Int("deleted", done.Deleted))
				}
				if !wait.For(ctx, collectEvery) {
					return nil
				}
			}
		})
	}
}
