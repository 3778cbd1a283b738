package entry

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/watch"
)

// judgeEvery is the pause between two judgements of all versions.
const judgeEvery = 500 * time.Millisecond

// Withdrawer publishes that a version is withdrawn. It must be idempotent:
// every entry that convicts a version calls it.
type Withdrawer interface {
	Withdraw(ctx context.Context, version catalog.VersionName) error
}

// Judge weighs failures, holds suspect versions back and has convicted ones
// withdrawn, until ctx ends.
func (e *Entry) Judge(ctx context.Context, w Withdrawer) error {
	tick := time.NewTicker(judgeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			e.fleet.Evaluate(e.now())
			e.refreshHeld()
			e.withdraw(ctx, w)
		}
	}
}

// refreshHeld reads which versions are held back. It is called after each read
// of ratings as well, so that a suspect version gets no work from then on.
func (e *Entry) refreshHeld() {
	held := e.fleet.Held()
	before := e.heldVersions()
	e.held.Store(&held)
	if !slices.Equal(before, held) {
		e.log.Warn("versions held back", zap.Any("versions", held))
	}
}

func (e *Entry) heldVersions() []catalog.VersionName {
	if held := e.held.Load(); held != nil {
		return *held
	}
	return nil
}

func (e *Entry) withdraw(ctx context.Context, w Withdrawer) {
	set, _ := e.config.Set()
	if set == nil {
		return
	}
	for _, name := range e.fleet.ToWithdraw() {
		v := set.Versions[name]
		if v == nil || v.State == catalog.VersionWithdrawn {
			continue
		}
		if err := w.Withdraw(ctx, name); err != nil {
			e.log.Warn("withdrawal not published yet", zap.String("version", string(name)), zap.Error(err))
			continue
		}
		e.log.Warn("version withdrawn", zap.String("version", string(name)))
	}
}

// tellFleet passes on whether an attempt speaks for or against its version.
// The ends of attempts that no upstream answered for tell nothing.
func (e *Entry) tellFleet(end watch.AttemptEnd, failure *result.Error) {
	if failure != nil {
		end.Failed = failure.Code == result.UpstreamFailed
		end.Cut = failure.Code == result.AnswerCut
		if !end.Failed && !end.Cut {
			return
		}
	}
	e.fleet.RecordAttempt(end, e.now())
}

// HeldReporter adds the versions held back to each heartbeat.
type HeldReporter struct {
	Entry *Entry
}

// Report implements membership.Reporter.
func (h HeldReporter) Report(ctx context.Context, address string, req *linkv1.ReportRequest) (*linkv1.ReportResponse, error) {
	for _, v := range h.Entry.heldVersions() {
		req.Held = append(req.Held, string(v))
	}
	return h.Entry.link.Report(ctx, address, req)
}
