package fake

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// OperationMemory is how long the table service keeps operation IDs.
const OperationMemory = time.Hour

// TableFaults are the switches of the table service.
type TableFaults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// Latency passes before each reply; half of it before the effect.
	Latency time.Duration `json:"latency"`
	// LoseReplies is the number of commits still to come that take effect
	// and whose reply is lost.
	LoseReplies int `json:"loseReplies"`
	// LoseRequests is the number of commits still to come that are lost
	// before they take effect; the caller cannot tell them from lost replies.
	LoseRequests int `json:"loseRequests"`
}

// Table is the transactional table service. All methods are safe for
// concurrent use; a commit holds the lock for its whole effect.
type Table struct {
	now    func() time.Time
	reads  *rate.Limiter
	writes *rate.Limiter

	mu         sync.Mutex
	rows       map[string]ports.Row
	operations map[string]time.Time
	swept      time.Time
	faults     TableFaults
	usage      Usage
}

var _ ports.Table = (*Table)(nil)

func newTable(o Options) *Table {
	return &Table{
		now:        o.Now,
		reads:      limiter(o.TableReadsPerSecond),
		writes:     limiter(o.TableWritesPerSecond),
		rows:       map[string]ports.Row{},
		operations: map[string]time.Time{},
	}
}

// limiter returns a bucket of one second's worth; zero means no bound.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetFaults replaces the switches.
func (t *Table) SetFaults(f TableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the switches as they stand.
func (t *Table) Faults() TableFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Usage returns what was asked for so far.
func (t *Table) Usage() Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usage
}

// Get returns one row.
func (t *Table) Get(ctx context.Context, key string) (ports.Row, bool, error) {
	if err := t.beforeRead(ctx); err != nil {
		return ports.Row{}, false, err
	}
	t.mu.Lock()
	row, ok := t.rows[key]
	err := t.countRead([]ports.Row{row})
	half := t.faults.Latency / 2
	t.mu.Unlock()
	if err == nil && !wait(ctx, half) {
		err = unavailable(ctx)
	}
	if err != nil {
		return ports.Row{}, false, err
	}
	return copyRow(row), ok, nil
}

// Scan returns at most limit rows with from <= key < to, in key order.
func (t *Table) Scan(ctx context.Context, from, to string, limit int) ([]ports.Row, error) {
	if err := t.beforeRead(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	rows := t.between(from, to, limit)
	err := t.countRead(rows)
	half := t.faults.Latency / 2
	t.mu.Unlock()
	if err == nil && !wait(ctx, half) {
		err = unavailable(ctx)
	}
	if err != nil {
		return nil, err
	}
	return rows, nil
}

// between copies the rows of a key range. The caller holds the lock.
func (t *Table) between(from, to string, limit int) []ports.Row {
	var keys []string
	for k := range t.rows {
		if from <= k && k < to {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	rows := make([]ports.Row, 0, len(keys))
	for _, k := range keys {
		rows = append(rows, copyRow(t.rows[k]))
	}
	return rows
}

// Applied reports whether the operation ID took effect in the last hour.
func (t *Table) Applied(ctx context.Context, operationID string) (bool, error) {
	if err := t.beforeRead(ctx); err != nil {
		return false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.countRead(nil); err != nil {
		return false, err
	}
	at, ok := t.operations[operationID]
	return ok && t.now().Sub(at) < OperationMemory, nil
}

// beforeRead lets half the latency pass and refuses in an outage.
func (t *Table) beforeRead(ctx context.Context) error {
	half := t.Faults().Latency / 2
	if !wait(ctx, half) {
		return unavailable(ctx)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Outage {
		t.usage.Refused++
		return result.New(result.TableUnavailable, "the table service does not answer")
	}
	return nil
}

// countRead takes the rows from the read budget. The caller holds the lock.
func (t *Table) countRead(rows []ports.Row) error {
	n := max(1, len(rows))
	if !t.reads.AllowN(t.now(), n) {
		t.usage.Refused++
		return result.New(result.TableLimited, "the table service is over its read rate").WithRetryAfter(time.Second)
	}
	t.usage.Reads += uint64(n)
	for _, r := range rows {
		t.usage.BytesRead += uint64(len(r.Key) + len(r.Value))
	}
	return nil
}

// Commit applies the transaction as a whole, or not at all. An operation ID
// that was used before conflicts, so that no effect is doubled.
func (t *Table) Commit(ctx context.Context, txn ports.Txn) error {
	half := t.Faults().Latency / 2
	if !wait(ctx, half) {
		return lost(ctx)
	}
	t.mu.Lock()
	err := t.commit(txn)
	t.mu.Unlock()
	if err != nil {
		return err
	}
	if !wait(ctx, half) {
		return lost(ctx)
	}
	return nil
}

// commit is Commit without the latency. The caller holds the lock.
func (t *Table) commit(txn ports.Txn) error {
	if t.faults.Outage {
		t.usage.Refused++
		return result.New(result.TableUnavailable, "the table service does not answer")
	}
	if t.faults.LoseRequests > 0 {
		t.faults.LoseRequests--
		return result.New(result.TableUnknown, "the reply was lost")
	}
	if err := t.checkTxn(txn); err != nil {
		return err
	}
	if !t.writes.AllowN(t.now(), len(txn.Writes)) {
		t.usage.Refused++
		return result.New(result.TableLimited, "the table service is over its write rate").WithRetryAfter(time.Second)
	}
	t.apply(txn)
	if t.faults.LoseReplies > 0 {
		t.faults.LoseReplies--
		return result.New(result.TableUnknown, "the reply was lost")
	}
	return nil
}

// checkTxn tells whether every condition holds. The caller holds the lock.
func (t *Table) checkTxn(txn ports.Txn) error {
	if txn.OperationID == "" {
		return result.New(result.TableConflict, "the transaction has no operation ID")
	}
	if at, used := t.operations[txn.OperationID]; used && t.now().Sub(at) < OperationMemory {
		return result.New(result.TableConflict, "operation %s took effect before", txn.OperationID)
	}
	for _, c := range txn.Conditions {
		if have := t.rows[c.Key].Version; have != c.Version {
			return result.New(result.TableConflict, "row %s has version %d, not %d", c.Key, have, c.Version)
		}
	}
	return nil
}

// apply writes the rows and remembers the operation. The caller holds the
// lock.
func (t *Table) apply(txn ports.Txn) {
	for _, w := range txn.Writes {
		t.usage.Writes++
		t.usage.BytesWritten += uint64(len(w.Key) + len(w.Value))
		if w.Delete || w.Value == nil {
			delete(t.rows, w.Key)
			continue
		}
		version := t.rows[w.Key].Version + 1
		t.rows[w.Key] = ports.Row{Key: w.Key, Value: bytes.Clone(w.Value), Version: version}
	}
	now := t.now()
	t.operations[txn.OperationID] = now
	if now.Sub(t.swept) >= OperationMemory {
		t.swept = now
		maps.DeleteFunc(t.operations, func(_ string, at time.Time) bool {
			return now.Sub(at) >= OperationMemory
		})
	}
}

// Backup is a copy of the rows at one time.
type Backup struct {
	rows       map[string]ports.Row
	operations map[string]time.Time
}

// Backup copies the rows and the operation IDs.
func (t *Table) Backup() *Backup {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &Backup{rows: maps.Clone(t.rows), operations: maps.Clone(t.operations)}
}

// Restore puts an old backup in the place of the rows, as an operator of the
// platform may after a loss of data.
func (t *Table) Restore(b *Backup) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows = maps.Clone(b.rows)
	t.operations = maps.Clone(b.operations)
}

func copyRow(r ports.Row) ports.Row {
	r.Value = bytes.Clone(r.Value)
	return r
}

func unavailable(ctx context.Context) error {
	return result.Wrap(ctx.Err(), result.TableUnavailable, "the table service did not answer in time")
}

func lost(ctx context.Context) error {
	return result.Wrap(ctx.Err(), result.TableUnknown, "the reply did not come in time")
}
