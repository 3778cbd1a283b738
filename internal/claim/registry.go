package claim

import (
	"context"
	"time"

	"tarragonbay.example/tarragonbay/internal/attempt"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// SettleFunc asks the agent of a binding for the outcome of its attempt, which was
// sent at most age ago. An error means that the agent did not answer.
type SettleFunc func(ctx context.Context, b Binding, age time.Duration) (attempt.Settlement, error)

// Options configure a Registry. All fields are required.
type Options struct {
	Table  ports.Table
	Settle SettleFunc
	Fetch  FetchFunc
	// Now returns the wall-clock time.
	Now func() time.Time
	// NewID returns a new operation ID.
	NewID func() string
}

// Registry claims idempotency keys and settles claims for one entry. It is
// safe for concurrent use.
type Registry struct {
	opts    Options
	pending chan pendingWrite
}

// acquireTimeout bounds the write of a claim, including the resolution of a lost
// reply.
const acquireTimeout = 2 * time.Second

// maxPending is the maximum number of writes queued for the table service.
const maxPending = 1024

// NewRegistry returns a Registry. The caller must call Run concurrently.
func NewRegistry(opts Options) *Registry {
	return &Registry{opts: opts, pending: make(chan pendingWrite, maxPending)}
}

// Call describes a call that may run at most once.
type Call struct {
	Key Key
	// Digest of the call, as the function Digest returns it.
	Digest string
	// Deadline is the caller's deadline.
	Deadline time.Time
}

// Claim is the right to dispatch the bound attempt. The holder ends it
// with Complete, Fail or Release.
type Claim struct {
	registry *Registry
	key      string
	version  uint64
	rec      record
}

// Acquire claims the key for the attempt of the binding, with one write. It
// returns a claim, or the recorded answer of the first run. Otherwise the error
// is a *result.Error, and this request has not run:
//
//   - KeyReused: the key was used for another call.
//   - InProgress: the first run may still be running.
//   - OutcomeUnknown: it cannot be determined now whether the first call ran.
//   - AnswerCut: the first call ran and its answer is not stored.
//   - a code of the table service, with outcome NotRun.
func (b *Registry) Acquire(ctx context.Context, call Call, bind Binding) (*Claim, *Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	now := b.opts.Now()
	c := &Claim{registry: b, key: call.Key.row(), rec: record{
		State: Claimed, Call: call.Digest, Binding: bind,
		ClaimedAt: now, Deadline: call.Deadline, Expires: now.Add(KeyRetention),
	}}
	err := c.write(ctx, 0)
	if err == nil {
		return c, nil, nil
	}
	if !result.Is(err, result.TableConflict) {
		return nil, nil, c.acquireFailed(err)
	}
	row, ok, err := b.opts.Table.Get(ctx, c.key)
	if err != nil {
		return nil, nil, result.From(err).WithOutcome(result.NotRun)
	}
	if !ok {
		return nil, nil, result.New(result.InProgress, "the claim of the key just ended").WithOutcome(result.NotRun)
	}
	first, err := decode(row.Value)
	if err != nil {
		return nil, nil, result.Wrap(err, result.Internal, "claim cannot be read").WithOutcome(result.Unknown)
	}
	return b.handleExisting(ctx, c, first, row.Version)
}

// acquireFailed returns the error of an Acquire whose write failed. Nothing was
// dispatched, so this request has not run; a row that may have been written is
// released later.
func (c *Claim) acquireFailed(err error) error {
	if result.Is(err, result.TableUnknown) {
		c.rec.State = Released
		c.registry.enqueue(pendingWrite{claim: *c, expectedVersion: 1})
	}
	return result.From(err).WithOutcome(result.NotRun)
}

// write commits the claim's record if the row has the expected version, and then
// increments the claim's version.
func (c *Claim) write(ctx context.Context, expectedVersion uint64) error {
	err := ports.CommitResolved(ctx, c.registry.opts.Table, ports.Txn{
		OperationID: c.registry.opts.NewID(),
		Conditions:  []ports.Condition{{Key: c.key, Version: expectedVersion}},
		Writes:      []ports.Write{{Key: c.key, Value: c.rec.encode()}},
	})
	if err == nil {
		c.version = expectedVersion + 1
	}
	return err
}

// Rebind moves the claim to another attempt, with one write, after the bound
// one is proven not to have run. On an error the new attempt must not be sent.
func (c *Claim) Rebind(ctx context.Context, bind Binding) error {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	before := c.rec
	c.rec.Binding, c.rec.ClaimedAt = bind, c.registry.opts.Now()
	err := c.write(ctx, c.version)
	switch {
	case err == nil:
		return nil
	case result.Is(err, result.TableConflict):
		return result.New(result.InProgress, "another request took the key over").WithOutcome(result.NotRun)
	case result.Is(err, result.TableUnknown):
		c.rec.State = Released
		c.registry.enqueue(pendingWrite{claim: *c, expectedVersion: c.version + 1})
	}
	c.rec = before
	return result.From(err).WithOutcome(result.NotRun)
}

// Binding returns the one attempt that may run.
func (c *Claim) Binding() Binding { return c.rec.Binding }
