package claim

import (
	"context"
	"time"

	"tarragonbay.example/tarragonbay/internal/attempt"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// SettleFunc asks the agent of a binding what became of its attempt, sent at
// most age ago. An error means that the agent did not answer.
type SettleFunc func(ctx context.Context, b Binding, age time.Duration) (attempt.Settlement, error)

// Options configure a Book.
type Options struct {
	Table  ports.Table
	Settle SettleFunc
	Fetch  FetchFunc
	// Now is the wall clock.
	Now func() time.Time
	// NewID returns a new operation ID.
	NewID func() string
}

// Book takes and settles claims for one entry. It is safe for concurrent use.
type Book struct {
	opts    Options
	pending chan change
}

// takeTimeout bounds the time in which a claim is taken, the resolution of a
// lost reply included.
const takeTimeout = 2 * time.Second

// pendingLimit bounds the changes that wait for the table service.
const pendingLimit = 1024

// NewBook returns a book. Run must run beside it.
func NewBook(opts Options) *Book {
	return &Book{opts: opts, pending: make(chan change, pendingLimit)}
}

// Call is a call that may run once.
type Call struct {
	Key Key
	// Digest of the call; see Digest.
	Digest string
	// Deadline of the caller.
	Deadline time.Time
}

// Claim is the right to dispatch the bound attempt. It ends with one of
// Complete, Fail or Release.
type Claim struct {
	book    *Book
	key     string
	version uint64
	rec     record
}

// Take claims the key for the attempt of the binding, with one write. It
// returns a claim, or the answer of the first run. Otherwise the error is a
// *result.Error, and this request has not run:
//
//   - KeyReused: the key stands for another call.
//   - InProgress: the first run has not ended, as far as is known.
//   - OutcomeUnknown: whether the first run ran cannot be known now.
//   - AnswerCut: the first run ran and its answer is not stored.
//   - a code of the table service, with outcome NotRun.
func (b *Book) Take(ctx context.Context, call Call, bind Binding) (*Claim, *Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	now := b.opts.Now()
	c := &Claim{book: b, key: call.Key.row(), rec: record{
		State: Claimed, Call: call.Digest, Binding: bind,
		ClaimedAt: now, Deadline: call.Deadline, Expires: now.Add(Memory),
	}}
	err := c.write(ctx, 0)
	if err == nil {
		return c, nil, nil
	}
	if !result.Is(err, result.TableConflict) {
		return nil, nil, c.notTaken(err)
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
	return b.meet(ctx, c, first, row.Version)
}

// notTaken ends a Take whose write failed. Nothing was dispatched, so this
// request has not run; a row that may have been written is released later.
func (c *Claim) notTaken(err error) error {
	if result.Is(err, result.TableUnknown) {
		c.rec.State = Released
		c.book.later(change{claim: *c, from: 1})
	}
	return result.From(err).WithOutcome(result.NotRun)
}

// write commits the claim's record over the row's version and moves the
// claim's version on.
func (c *Claim) write(ctx context.Context, over uint64) error {
	err := ports.CommitResolved(ctx, c.book.opts.Table, ports.Txn{
		OperationID: c.book.opts.NewID(),
		Conditions:  []ports.Condition{{Key: c.key, Version: over}},
		Writes:      []ports.Write{{Key: c.key, Value: c.rec.encode()}},
	})
	if err == nil {
		c.version = over + 1
	}
	return err
}

// Rebind moves the claim to another attempt, with one write, after the bound
// one is proven not run. On an error the new attempt must not be sent.
func (c *Claim) Rebind(ctx context.Context, bind Binding) error {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	before := c.rec
	c.rec.Binding, c.rec.ClaimedAt = bind, c.book.opts.Now()
	err := c.write(ctx, c.version)
	switch {
	case err == nil:
		return nil
	case result.Is(err, result.TableConflict):
		return result.New(result.InProgress, "another request took the key over").WithOutcome(result.NotRun)
	case result.Is(err, result.TableUnknown):
		c.rec.State = Released
		c.book.later(change{claim: *c, from: c.version + 1})
	}
	c.rec = before
	return result.From(err).WithOutcome(result.NotRun)
}

// Binding returns the attempt that may run.
func (c *Claim) Binding() Binding { return c.rec.Binding }
