package lease

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/wait"
)

// Options configure a Manager. A zero Duration means DefaultDuration.
type Options struct {
	Table ports.Table
	// Name is the name of this daemon.
	Name string
	// Duration is the time after which a lease expires without a renewal.
	Duration time.Duration
	// Candidates lists the daemons that may acquire leases. A few of them poll
	// each item frequently and the others rarely, so that table reads do not
	// grow with the number of daemons. Nil suits a few dozen daemons that do
	// not know one another: all poll at the same intermediate interval.
	Candidates func() []string
	Log        *zap.Logger
}

// Polling of an item by the daemons that do not hold its lease.
const (
	// frequentPollers is the number of candidates that poll an item
	// frequently.
	frequentPollers = 3
	// frequentPollInterval, defaultPollInterval and rarePollInterval are the
	// mean intervals between two polls of an item: by a frequent poller, by a
	// daemon without a list of candidates, and by the other candidates.
	frequentPollInterval = 2 * time.Second
	defaultPollInterval  = 4 * time.Second
	rarePollInterval     = time.Minute
	// jitterFraction is the fraction by which a pause is lengthened or
	// shortened at most.
	jitterFraction = 0.25
	// releaseTimeout bounds the release of the lease after the work.
	releaseTimeout = 2 * time.Second
)

// Manager acquires leases for one daemon. It is safe for concurrent use.
type Manager struct {
	options Options

	mu        sync.Mutex
	detectors map[string]*expiryDetector
	held      map[string]*Held
}

// NewManager returns a manager that holds no leases.
func NewManager(o Options) *Manager {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Manager{options: o, detectors: map[string]*expiryDetector{}, held: map[string]*Held{}}
}

// Work processes an item while the lease is held. The context is cancelled when
// the lease is lost. When Work returns, the manager releases the lease and waits
// one poll interval before it tries the item again. It logs a returned error.
type Work func(ctx context.Context, held *Held) error

// Run polls one item until the context ends, and calls work whenever this daemon
// has acquired the lease.
func (m *Manager) Run(ctx context.Context, item string, work Work) error {
	for wait.For(ctx, m.pollInterval(item)) {
		held, err := m.TryAcquire(ctx, item)
		if err != nil {
			continue
		}
		m.runWork(ctx, held, work)
	}
	return nil
}

// pollInterval returns the time until the next poll of an item.
func (m *Manager) pollInterval(item string) time.Duration {
	switch {
	case m.options.Candidates == nil:
		return jitter(defaultPollInterval)
	case m.pollsFrequently(item):
		return jitter(frequentPollInterval)
	}
	return jitter(rarePollInterval)
}

// pollsFrequently reports whether this daemon is among the frequentPollers of
// the item. Candidates are ranked by rendezvous hashing.
func (m *Manager) pollsFrequently(item string) bool {
	names := m.options.Candidates()
	if !slices.Contains(names, m.options.Name) {
		return len(names) == 0
	}
	ownRank := rank(item, m.options.Name)
	lower := 0
	for _, n := range names {
		if rank(item, n) < ownRank {
			lower++
		}
	}
	return lower < frequentPollers
}

func rank(item, name string) uint64 { return xxhash.Sum64String(item + "\x00" + name) }

// TryAcquire reads an item's rows once and acquires its lease when it is free. It
// returns LeaseHeld while another tenure may still be valid. A lease is found
// expired only by a later call, after its duration and the clock margin.
func (m *Manager) TryAcquire(ctx context.Context, item string) (*Held, error) {
	row, _, err := m.options.Table.Get(ctx, HeartbeatKey(item))
	if err != nil {
		return nil, err
	}
	b, err := decode[heartbeat](row)
	if err != nil {
		return nil, err
	}
	free := row.Version == 0 || b.Released
	if !free && !m.expired(item, row.Version, b) {
		return nil, result.New(result.LeaseHeld, "another process holds the lease of %s", item)
	}
	return m.acquire(ctx, item, row.Version)
}

func (m *Manager) expired(item string, version uint64, b heartbeat) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.detectors[item]
	if w == nil {
		w = &expiryDetector{}
		m.detectors[item] = w
	}
	return w.observe(version, time.Duration(b.DurationMs)*time.Millisecond, time.Now())
}

// acquire starts a tenure, unless the heartbeat row has changed since it was
// read.
func (m *Manager) acquire(ctx context.Context, item string, heartbeatVersion uint64) (*Held, error) {
	row, _, err := m.options.Table.Get(ctx, OwnerKey(item))
	if err != nil {
		return nil, err
	}
	previous, err := decode[Owner](row)
	if err != nil {
		return nil, err
	}
	last, lastUnchanged, err := m.lastFence(ctx, item, previous)
	if err != nil {
		return nil, err
	}
	owner := Owner{Holder: m.options.Name, Token: uuid.NewString(), Fence: last + 1}
	writes, err := tenureWrites(item, owner, m.options.Duration)
	if err != nil {
		return nil, err
	}
	if previous.Fence > 0 {
		writes = append(writes, ports.Write{Key: TenureKey(item, previous.Fence), Delete: true})
	}
	started := time.Now()
	err = ports.CommitResolved(ctx, m.options.Table, ports.Txn{
		OperationID: owner.Token,
		Conditions: []ports.Condition{
			{Key: OwnerKey(item), Version: row.Version},
			{Key: HeartbeatKey(item), Version: heartbeatVersion},
			lastUnchanged,
		},
		Writes: writes,
	})
	if result.Is(err, result.TableConflict) {
		return nil, result.Wrap(err, result.LeaseHeld, "another process took the lease of %s first", item)
	}
	if err != nil {
		return nil, err
	}
	return &Held{
		table:            m.options.Table,
		item:             item,
		owner:            owner,
		duration:         m.options.Duration,
		heartbeatVersion: heartbeatVersion + 1,
		validUntil:       started.Add(m.options.Duration),
	}, nil
}

// lastFence returns the fencing number of the item's last tenure, and the
// condition that it is still the last: on its tenure row, or for an item without
// rows on the fence floor row.
func (m *Manager) lastFence(ctx context.Context, item string, previous Owner) (uint64, ports.Condition, error) {
	if previous.Fence > 0 {
		return previous.Fence, ports.Condition{Key: TenureKey(item, previous.Fence), Version: 1}, nil
	}
	f, version, err := readFloor(ctx, m.options.Table)
	return f.Fence, ports.Condition{Key: FenceFloorKey, Version: version}, err
}

func readFloor(ctx context.Context, t ports.Table) (fenceFloor, uint64, error) {
	row, _, err := t.Get(ctx, FenceFloorKey)
	if err != nil {
		return fenceFloor{}, 0, err
	}
	f, err := decode[fenceFloor](row)
	return f, row.Version, err
}

// tenureWrites returns the writes that start a tenure.
func tenureWrites(item string, owner Owner, duration time.Duration) ([]ports.Write, error) {
	ownerWrite, err := encodeWrite(OwnerKey(item), owner)
	if err != nil {
		return nil, err
	}
	heartbeatWrite, err := encodeWrite(HeartbeatKey(item), heartbeat{Token: owner.Token, DurationMs: duration.Milliseconds()})
	if err != nil {
		return nil, err
	}
	tenure := ports.Write{Key: TenureKey(item, owner.Fence), Value: []byte(owner.Holder)}
	return []ports.Write{ownerWrite, heartbeatWrite, tenure}, nil
}

// runWork runs the work and renews the lease concurrently.
func (m *Manager) runWork(ctx context.Context, held *Held, work Work) {
	m.options.Log.Info("lease: taken", zap.String("item", held.item), zap.Uint64("fence", held.Fence()))
	m.setHeld(held, true)
	defer m.setHeld(held, false)
	workCtx, stop := context.WithCancel(ctx)
	defer stop()
	var renewing sync.WaitGroup
	renewing.Go(func() {
		defer stop()
		m.renew(workCtx, held)
	})
	err := work(workCtx, held)
	stop()
	renewing.Wait()
	if err != nil {
		m.options.Log.Warn("lease: work ended", zap.String("item", held.item), zap.Error(err))
	}
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if held.Check() == nil {
		_ = held.release(releaseCtx)
	}
}

// renew renews the lease until the context ends or the lease is lost. An outage
// of the table service does not end the lease before it expires.
func (m *Manager) renew(ctx context.Context, held *Held) {
	for {
		left := held.remaining()
		if left <= 0 {
			held.markLost()
			return
		}
		pause := min(left, jitter(time.Duration(float64(held.duration)*renewFraction)))
		if !wait.For(ctx, pause) {
			return
		}
		renewCtx, cancel := context.WithTimeout(ctx, max(0, held.remaining()))
		err := held.renew(renewCtx)
		cancel()
		if result.Is(err, result.LeaseLost) {
			m.options.Log.Warn("lease: lost", zap.String("item", held.item), zap.Uint64("fence", held.Fence()))
			return
		}
	}
}

func (m *Manager) setHeld(held *Held, active bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if active {
		m.held[held.item] = held
		return
	}
	delete(m.held, held.item)
}

// Line describes one held lease in a state dump.
type Line struct {
	Item  string `json:"item"`
	Fence uint64 `json:"fence"`
	// LeftMs is the time until the lease expires without a renewal, in
	// milliseconds.
	LeftMs int64 `json:"leftMs"`
}

// Dump returns the leases held, sorted by item.
func (m *Manager) Dump() []Line {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Line, 0, len(m.held))
	for _, h := range m.held {
		out = append(out, Line{Item: h.item, Fence: h.Fence(), LeftMs: h.remaining().Milliseconds()})
	}
	slices.SortFunc(out, func(a, b Line) int { return strings.Compare(a.Item, b.Item) })
	return out
}

// HighestFence returns the fencing number of an item's last tenure, or for an
// item without rows the highest fencing number of all items whose rows were
// deleted. A restarted agent reads it before it accepts any order.
func HighestFence(ctx context.Context, t ports.Table, item string) (uint64, error) {
	row, found, err := t.Get(ctx, OwnerKey(item))
	if err != nil {
		return 0, err
	}
	if !found {
		f, _, err := readFloor(ctx, t)
		return f.Fence, err
	}
	owner, err := decode[Owner](row)
	return owner.Fence, err
}

func jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 + jitterFraction*(2*rand.Float64()-1)))
}
