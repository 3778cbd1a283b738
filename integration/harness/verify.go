package harness

import (
	"context"
	"strings"
	"time"

	"github.com/google/uuid"

	"tarragonbay.example/tarragonbay/internal/history"
	"tarragonbay.example/tarragonbay/internal/ledger"
)

// foldTimeout bounds folding the ledger of one test.
const foldTimeout = 20 * time.Second

// Events returns everything recorded so far: by callers and the test, by the
// stand-ins, and by the folded ledger.
func (c *Cluster) Events() []history.Event {
	c.T.Helper()
	events := c.History.Events()
	for _, a := range c.Agents {
		for _, r := range c.EngineRuns(a) {
			ran := history.Event{
				Kind: history.Ran, At: r.At, Source: a.name, Upstream: a.name + "-engine",
				Request: callersID(r.RequestID), Attempt: r.AttemptID, Version: r.Version,
			}
			events = append(events, ran)
			if r.Whole {
				ran.Kind, ran.At, ran.Digest = history.Served, r.ServedAt, r.Digest
				events = append(events, ran)
			}
		}
		for _, r := range c.ServiceRuns(a) {
			ran := history.Event{
				Kind: history.Ran, At: r.At, Source: a.name, Upstream: a.name + "-desk",
				Request: callersID(r.RequestID), Attempt: r.AttemptID, Service: Desk, Key: r.IdempotencyKey,
			}
			events = append(events, ran)
			ran.Kind, ran.Digest = history.Served, r.Digest
			events = append(events, ran)
		}
	}
	return events
}

// callersID returns the part of a request ID that the caller chose.
func callersID(id string) string {
	own, _, _ := strings.Cut(id, "~")
	return own
}

// StopAll stops every daemon gracefully: entries first, agents after them, so
// that the charges are written. It reports exit codes other than 0.
func (c *Cluster) StopAll() {
	c.T.Helper()
	for _, nodes := range [][]*Node{c.Entries, c.Agents} {
		for _, n := range nodes {
			if n.Proc.Ended() {
				continue
			}
			if code := c.Stop(n); code != 0 {
				c.T.Errorf("%s stopped with exit code %d", n.name, code)
			}
		}
	}
}

// Charged folds the ledger and returns an event for each charge. The daemons
// must have stopped.
func (c *Cluster) Charged() []history.Event {
	c.T.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), foldTimeout)
	defer cancel()
	folder := ledger.NewFolder(ledger.FolderOptions{
		Table: c.Direct.Table, Objects: c.Direct.Objects, Now: inAnHour, NewID: uuid.NewString, MinAge: time.Minute,
	})
	if _, err := folder.FoldDue(ctx, func() error { return nil }); err != nil {
		c.T.Fatalf("folding the ledger: %v", err)
	}
	asked := c.mintedIDs()
	var events []history.Event
	now := time.Now()
	err := folder.EachCharge(ctx, now.Add(-time.Hour), now.Add(time.Hour), func(b ledger.Billed) error {
		events = append(events, history.Event{
			Kind: history.Charged, At: now, Source: "ledger", Request: asked[b.RequestID], Step: b.Step,
			Organisation: b.Organisation, Version: b.Version, Service: b.Service,
		})
		return nil
	})
	if err != nil {
		c.T.Fatalf("reading the ledger: %v", err)
	}
	return events
}

// inAnHour makes every minute of the test old enough to be folded.
func inAnHour() time.Time { return time.Now().Add(time.Hour) }

// mintedIDs maps the minted part of each request's ID that reached an upstream
// to the caller's own.
func (c *Cluster) mintedIDs() map[string]string {
	out := map[string]string{}
	for _, a := range c.Agents {
		for _, r := range c.EngineRuns(a) {
			out[ledger.GeneratedID(r.RequestID)] = callersID(r.RequestID)
		}
		for _, r := range c.ServiceRuns(a) {
			out[ledger.GeneratedID(r.RequestID)] = callersID(r.RequestID)
		}
	}
	return out
}

// checkFailed judges the history of a test that failed before Verify, so that
// a wait that ran out does not hide the promise that was broken. The ledger is
// left out, since the daemons were not stopped.
func (c *Cluster) checkFailed() {
	if !c.T.Failed() || c.verified {
		return
	}
	for _, v := range history.Check(c.Events(), history.Options{NoLedger: true}).Violations {
		c.T.Errorf("promise broken before the test failed: %v", v)
	}
}

// Verify stops the product, collects the history and checks every promise.
func (c *Cluster) Verify() history.Report {
	c.T.Helper()
	c.verified = true
	c.StopAll()
	report := history.Check(append(c.Events(), c.Charged()...))
	for _, v := range report.Violations {
		c.T.Errorf("promise broken: %v", v)
	}
	c.T.Logf("%v; %d faults injected", report, c.Faults.Load())
	return report
}
