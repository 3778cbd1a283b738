package retry

import (
	"sync"
	"time"
)

// budgets holds the retry budgets of one entry: its own and one for each
// organisation. A retry takes one token from both, so that neither a failing
// set of upstreams nor one organisation can cause a retry storm.
type budgets struct {
	settings Settings
	// entrySettings are the settings of the budget of the entry itself.
	entrySettings Settings

	mu    sync.Mutex
	entry tokenBucket
	orgs  map[string]*tokenBucket
}

// tokenBucket holds tokens; one token allows one retry.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// entryBudgetFactor is the size of the entry's budget in budgets of one organisation. It is
// above 1 so that a single organisation cannot exhaust the entry's budget.
const entryBudgetFactor = 5

// maxOrganisations is the number of organisation budgets at which full ones are evicted
// before another is created.
const maxOrganisations = 10_000

func newBudgets(s Settings, now time.Time) *budgets {
	scaled := s
	scaled.Burst *= entryBudgetFactor
	scaled.RetriesPerSecond *= entryBudgetFactor
	return &budgets{
		settings:      s,
		entrySettings: scaled,
		entry:         tokenBucket{tokens: scaled.Burst, refilledAt: now},
		orgs:          map[string]*tokenBucket{},
	}
}

// deposit credits both budgets for one successful request.
func (b *budgets) deposit(organisation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry.add(b.settings.RetriesPerSuccess, b.entrySettings.Burst)
	if o, ok := b.orgs[organisation]; ok {
		o.add(b.settings.RetriesPerSuccess, b.settings.Burst)
	}
}

// withdraw takes one token from both budgets and returns true, or leaves both unchanged
// and returns false.
func (b *budgets) withdraw(organisation string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.organisation(organisation, now)
	b.entry.refill(b.entrySettings, now)
	o.refill(b.settings, now)
	if b.entry.tokens < 1 || o.tokens < 1 {
		return false
	}
	b.entry.tokens--
	o.tokens--
	return true
}

// organisation returns the budget of an organisation and creates a full one before the
// organisation's first retry. The budget is then kept until evictFull removes it.
func (b *budgets) organisation(name string, now time.Time) *tokenBucket {
	if o, ok := b.orgs[name]; ok {
		return o
	}
	if len(b.orgs) >= maxOrganisations {
		b.evictFull(now)
	}
	o := &tokenBucket{tokens: b.settings.Burst, refilledAt: now}
	b.orgs[name] = o
	return o
}

// evictFull evicts full budgets, which carry no more information than new ones.
func (b *budgets) evictFull(now time.Time) {
	for name, o := range b.orgs {
		o.refill(b.settings, now)
		if o.tokens >= b.settings.Burst {
			delete(b.orgs, name)
		}
	}
}

// refill adds the tokens that accrued since the last refill.
func (b *tokenBucket) refill(s Settings, now time.Time) {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.refilledAt = now
		b.add(d.Seconds()*s.RetriesPerSecond, s.Burst)
	}
}

// add adds n tokens, up to maxTokens.
func (b *tokenBucket) add(n, maxTokens float64) { b.tokens = min(maxTokens, b.tokens+n) }
