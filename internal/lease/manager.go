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

// Options configure a Manager. Zero fields take the defaults.
type Options struct {
	Table ports.Table
	// Name of this daemon.
	Name string
	// Duration is how long a holder may go without a renewal.
	Duration time.Duration
	// Candidates lists the daemons that may take items. A few of them watch
	// each item closely and the others seldom, so that reads do not grow with
	// the number of daemons. Nil is for a few dozen daemons that do not know
	// one another: all watch at the same middling pace.
	Candidates func() []string
	Log        *zap.Logger
}

// The pace of the challengers of an item.
const (
	// closeWatchers is how many candidates watch an item closely.
	closeWatchers = 3
	// closePause, equalPause and farPause are the mean pauses between two
	// looks of a close watcher, of one among equals, and of the others.
	closePause = 2 * time.Second
	equalPause = 4 * time.Second
	farPause   = time.Minute
	// spread is the share by which each pause is longer or shorter.
	spread = 0.25
	// releaseTimeout bounds the release at the end.
	releaseTimeout = 2 * time.Second
)

// Manager takes leases for one daemon. It is safe for concurrent use.
type Manager struct {
	options Options

	mu      sync.Mutex
	watches map[string]*Watch
	held    map[string]*Held
}

// NewManager returns a manager that holds nothing.
func NewManager(o Options) *Manager {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Manager{options: o, watches: map[string]*Watch{}, held: map[string]*Held{}}
}

// Work does an item while the lease lasts. The context ends when the lease is
// lost. Returning nil gives the lease back and leaves the item alone for a
// pause; an error is logged and does the same.
type Work func(ctx context.Context, held *Held) error

// Run watches one item and does its work whenever this daemon holds the lease,
// until the context ends.
func (m *Manager) Run(ctx context.Context, item string, work Work) error {
	for wait.For(ctx, m.pause(item)) {
		held, err := m.Try(ctx, item)
		if err != nil {
			continue
		}
		m.do(ctx, held, work)
	}
	return nil
}

// pause returns the time until the next look at an item.
func (m *Manager) pause(item string) time.Duration {
	switch {
	case m.options.Candidates == nil:
		return jitter(equalPause)
	case m.watchesClosely(item):
		return jitter(closePause)
	}
	return jitter(farPause)
}

// watchesClosely ranks the candidates by rendezvous hashing.
func (m *Manager) watchesClosely(item string) bool {
	names := m.options.Candidates()
	if !slices.Contains(names, m.options.Name) {
		return len(names) == 0
	}
	mine := rank(item, m.options.Name)
	lower := 0
	for _, n := range names {
		if rank(item, n) < mine {
			lower++
		}
	}
	return lower < closeWatchers
}

func rank(item, name string) uint64 { return xxhash.Sum64String(item + "\x00" + name) }

// Try looks at an item once and takes its lease when it is free. It returns
// LeaseHeld while another tenure may last. To see one lapse it must be called
// again after the lease's duration.
func (m *Manager) Try(ctx context.Context, item string) (*Held, error) {
	row, _, err := m.options.Table.Get(ctx, BeatKey(item))
	if err != nil {
		return nil, err
	}
	b, err := decode[beat](row)
	if err != nil {
		return nil, err
	}
	free := row.Version == 0 || b.Released
	if !free && !m.lapsed(item, row.Version, b) {
		return nil, result.New(result.LeaseHeld, "another process holds the lease of %s", item)
	}
	return m.take(ctx, item, row.Version)
}

func (m *Manager) lapsed(item string, version uint64, b beat) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.watches[item]
	if w == nil {
		w = &Watch{}
		m.watches[item] = w
	}
	return w.Seen(version, time.Duration(b.DurationMs)*time.Millisecond, time.Now())
}

// take begins a tenure, unless the beat row has changed since it was read.
func (m *Manager) take(ctx context.Context, item string, beatVersion uint64) (*Held, error) {
	row, _, err := m.options.Table.Get(ctx, OwnerKey(item))
	if err != nil {
		return nil, err
	}
	before, err := decode[Owner](row)
	if err != nil {
		return nil, err
	}
	last, lastKept, err := m.lastFence(ctx, item, before)
	if err != nil {
		return nil, err
	}
	owner := Owner{Holder: m.options.Name, Token: uuid.NewString(), Fence: last + 1}
	writes, err := tenureWrites(item, owner, m.options.Duration)
	if err != nil {
		return nil, err
	}
	if before.Fence > 0 {
		writes = append(writes, ports.Write{Key: TenureKey(item, before.Fence), Delete: true})
	}
	started := time.Now()
	err = ports.CommitResolved(ctx, m.options.Table, ports.Txn{
		OperationID: owner.Token,
		Conditions: []ports.Condition{
			{Key: OwnerKey(item), Version: row.Version},
			{Key: BeatKey(item), Version: beatVersion},
			lastKept,
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
		table:       m.options.Table,
		item:        item,
		owner:       owner,
		duration:    m.options.Duration,
		beatVersion: beatVersion + 1,
		validUntil:  started.Add(m.options.Duration),
	}, nil
}

// lastFence returns the fencing number of the item's last tenure, and the
// condition that it is still the last: its tenure row, or for an item without
// rows the floor.
func (m *Manager) lastFence(ctx context.Context, item string, before Owner) (uint64, ports.Condition, error) {
	if before.Fence > 0 {
		return before.Fence, ports.Condition{Key: TenureKey(item, before.Fence), Version: 1}, nil
	}
	f, version, err := readFloor(ctx, m.options.Table)
	return f.Fence, ports.Condition{Key: FloorKey, Version: version}, err
}

func readFloor(ctx context.Context, t ports.Table) (floor, uint64, error) {
	row, _, err := t.Get(ctx, FloorKey)
	if err != nil {
		return floor{}, 0, err
	}
	f, err := decode[floor](row)
	return f, row.Version, err
}

// tenureWrites returns the rows of a tenure that begins.
func tenureWrites(item string, owner Owner, duration time.Duration) ([]ports.Write, error) {
	ownerWrite, err := write(OwnerKey(item), owner)
	if err != nil {
		return nil, err
	}
	beatWrite, err := write(BeatKey(item), beat{Token: owner.Token, DurationMs: duration.Milliseconds()})
	if err != nil {
		return nil, err
	}
	tenure := ports.Write{Key: TenureKey(item, owner.Fence), Value: []byte(owner.Holder)}
	return []ports.Write{ownerWrite, beatWrite, tenure}, nil
}

// do runs the work and renews the lease beside it.
func (m *Manager) do(ctx context.Context, held *Held, work Work) {
	m.options.Log.Info("lease: taken", zap.String("item", held.item), zap.Uint64("fence", held.Fence()))
	m.note(held, true)
	defer m.note(held, false)
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

// renew keeps the lease until the context ends or the lease is lost. A table
// service that is out does not end it before its time.
func (m *Manager) renew(ctx context.Context, held *Held) {
	for {
		left := held.validFor()
		if left <= 0 {
			held.lose()
			return
		}
		pause := min(left, jitter(time.Duration(float64(held.duration)*renewShare)))
		if !wait.For(ctx, pause) {
			return
		}
		renewCtx, cancel := context.WithTimeout(ctx, max(0, held.validFor()))
		err := held.renew(renewCtx)
		cancel()
		if result.Is(err, result.LeaseLost) {
			m.options.Log.Warn("lease: lost", zap.String("item", held.item), zap.Uint64("fence", held.Fence()))
			return
		}
	}
}

func (m *Manager) note(held *Held, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if on {
		m.held[held.item] = held
		return
	}
	delete(m.held, held.item)
}

// Line is one lease in a state dump.
type Line struct {
	Item  string `json:"item"`
	Fence uint64 `json:"fence"`
	// LeftMs is how long it is held without a renewal, in milliseconds.
	LeftMs int64 `json:"leftMs"`
}

// Dump returns the leases held, sorted by item.
func (m *Manager) Dump() []Line {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Line, 0, len(m.held))
	for _, h := range m.held {
		out = append(out, Line{Item: h.item, Fence: h.Fence(), LeftMs: h.validFor().Milliseconds()})
	}
	slices.SortFunc(out, func(a, b Line) int { return strings.Compare(a.Item, b.Item) })
	return out
}

// HighestFence returns the fencing number of an item's last tenure, or that of
// all items whose rows were deleted. An agent that has restarted reads it before
// it passes any order.
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
	return time.Duration(float64(mean) * (1 + spread*(2*rand.Float64()-1)))
}
