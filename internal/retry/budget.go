package retry

import (
	"sync"
	"time"
)

// budgets keeps the retry budgets of one entry: its own and one for each
// organisation. A retry must be paid from both, so that neither a failing
// pool nor one organisation can turn failures into a storm.
type budgets struct {
	settings Settings
	// entryRules are the settings of the entry's own budget.
	entryRules Settings

	mu    sync.Mutex
	entry bucket
	orgs  map[string]*bucket
}

// bucket holds retries that may be spent.
type bucket struct {
	tokens float64
	at     time.Time
}

// entryShare is how many organisations' budgets the entry's own one holds, so
// that a single organisation cannot spend it.
const entryShare = 5

// maxOrganisations bounds the budgets kept; past it, full ones are dropped.
const maxOrganisations = 10_000

func newBudgets(s Settings, now time.Time) *budgets {
	rules := s
	rules.Burst *= entryShare
	rules.PerSecond *= entryShare
	return &budgets{
		settings:   s,
		entryRules: rules,
		entry:      bucket{tokens: rules.Burst, at: now},
		orgs:       map[string]*bucket{},
	}
}

func (b *budgets) deposit(organisation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry.add(b.settings.Ratio, b.entryRules.Burst)
	if o, ok := b.orgs[organisation]; ok {
		o.add(b.settings.Ratio, b.settings.Burst)
	}
}

// withdraw takes one retry from both budgets, or from neither.
func (b *budgets) withdraw(organisation string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.organisation(organisation, now)
	b.entry.refill(b.entryRules, now)
	o.refill(b.settings, now)
	if b.entry.tokens < 1 || o.tokens < 1 {
		return false
	}
	b.entry.tokens--
	o.tokens--
	return true
}

// organisation returns the organisation's budget. One that has not retried
// before starts full and is kept from then on.
func (b *budgets) organisation(name string, now time.Time) *bucket {
	if o, ok := b.orgs[name]; ok {
		return o
	}
	if len(b.orgs) >= maxOrganisations {
		b.dropFull(now)
	}
	o := &bucket{tokens: b.settings.Burst, at: now}
	b.orgs[name] = o
	return o
}

func (b *budgets) dropFull(now time.Time) {
	for name, o := range b.orgs {
		o.refill(b.settings, now)
		if o.tokens >= b.settings.Burst {
			delete(b.orgs, name)
		}
	}
}

func (k *bucket) refill(s Settings, now time.Time) {
	if d := now.Sub(k.at); d > 0 {
		k.at = now
		k.add(d.Seconds()*s.PerSecond, s.Burst)
	}
}

func (k *bucket) add(n, most float64) { k.tokens = min(most, k.tokens+n) }
