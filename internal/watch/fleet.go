package watch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/rollout"
)

// referenceAge is how far the reference estimates of versions lag, so that a
// version that turns bad does not move its own baseline.
const referenceAge = 10 * time.Minute

// Fleet follows every version over all hosts. It is safe for concurrent use.
type Fleet struct {
	mu       sync.Mutex
	set      *catalog.Set
	versions map[catalog.VersionName]*followed
	// now and before are the newest estimates and those of some time ago.
	now, before *quality.View
	beforeAt    time.Time
}

// followed is one version under watch.
type followed struct {
	monitor *rollout.Monitor
	// replaces is the version whose estimates are the reference of a new
	// one; empty for a version that is its own reference.
	replaces catalog.VersionName
	hosts    map[string]*hostTally
	// waitsSince is the first answer after the last rating; zero when there
	// is none.
	waitsSince time.Time
	// ratingTime is the usual time until the next rating; 0 before one.
	ratingTime time.Duration
	// stalled is set while a new version waits for ratings that do not come
	// although others do: the rating service takes samples only.
	stalled bool
}

// stalledAfter is how long an answer of a new version waits for a rating before
// the version is held, so that shadows bring more of them.
const stalledAfter = 3 * time.Minute

// NewFleet returns a fleet that follows nothing until SetCatalog.
func NewFleet() *Fleet {
	return &Fleet{
		versions: map[catalog.VersionName]*followed{},
		now:      quality.EmptyView,
		before:   quality.EmptyView,
	}
}

// SetCatalog takes a new revision. Versions that stay keep their evidence; a
// version that becomes the new one of a roll-out starts its probation.
func (f *Fleet) SetCatalog(set *catalog.Set, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set = set
	fresh := newVersions(set)
	for name, v := range set.Versions {
		replaces, isNew := fresh[name]
		old, known := f.versions[name]
		level := holdLevel(set, name)
		if known && (old.replaces == replaces || !isNew) {
			old.replaces = replaces
			old.monitor.SetHoldLevel(level)
			continue
		}
		f.versions[name] = &followed{
			monitor:  rollout.NewMonitor(rollout.DetectorSettings{HoldLevel: level}, rollout.NewBudget(v.Exposure), isNew, now),
			replaces: replaces,
			hosts:    map[string]*hostTally{},
		}
	}
	for name := range f.versions {
		if set.Versions[name] == nil {
			delete(f.versions, name)
		}
	}
}

// holdLevel returns the level that the version's model sets, or 0.
func holdLevel(set *catalog.Set, name catalog.VersionName) float64 {
	if m := set.Models[name.Model()]; m != nil {
		return m.HoldLevel
	}
	return 0
}

// newVersions maps the new version of each roll-out that has not ended to the
// one it replaces.
func newVersions(set *catalog.Set) map[catalog.VersionName]catalog.VersionName {
	out := map[catalog.VersionName]catalog.VersionName{}
	for _, r := range set.Rollouts {
		if r.State == catalog.RolloutDone || r.State == catalog.RolloutAborted {
			continue
		}
		out[catalog.VersionName(r.To)] = catalog.VersionName(r.From)
	}
	return out
}

// SetView takes new estimates, from which baselines are read.
func (f *Fleet) SetView(view *quality.View, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = view
	if f.beforeAt.IsZero() || now.Sub(f.beforeAt) >= referenceAge {
		f.before = view
		f.beforeAt = now
	}
}

// Rated takes one rating. A shadow's answer reached no caller.
func (f *Fleet) Rated(key quality.Key, good, shadow bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.versions[catalog.VersionName(key.Version)]
	if !ok {
		return
	}
	v.rated(now)
	baseline, ok := f.baseline(key, v)
	switch {
	case !ok:
		v.monitor.Unjudged(good, shadow)
	case shadow:
		v.monitor.ShadowRating(good, baseline, now)
	default:
		v.monitor.Rating(good, baseline, now)
	}
}

// baseline returns the bad rate that is tolerated of a version in a class. The
// reference of a new version is the one it replaces.
func (f *Fleet) baseline(key quality.Key, v *followed) (float64, bool) {
	target := f.target(key)
	if v.replaces == "" {
		reference, _ := f.before.Get(key)
		return rollout.RatingBaseline(reference, target)
	}
	key.Version = string(v.replaces)
	reference, _ := f.before.Get(key)
	return rollout.NewVersionBaseline(reference, target)
}

// target returns the quality target of the key's class and model.
func (f *Fleet) target(key quality.Key) float64 {
	for _, r := range f.set.Rules {
		if r.Class == key.Class && r.QualityTarget > 0 {
			return r.QualityTarget
		}
	}
	model := f.set.Models[catalog.VersionName(key.Version).Model()]
	if model == nil || model.QualityTarget == 0 {
		return catalog.DefaultQualityTarget
	}
	return model.QualityTarget
}

// Resume tells how many ratings of callers' answers a version had before this
// process began to read them. They raise what it may answer as they did then,
// and judge nothing.
func (f *Fleet) Resume(version catalog.VersionName, good, bad int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v, ok := f.versions[version]; ok {
		v.monitor.Resume(good, bad)
	}
}

// Lost counts answers of a version whose rating will not come.
func (f *Fleet) Lost(version string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v, ok := f.versions[catalog.VersionName(version)]; ok {
		v.monitor.Lost(n)
	}
}

// Unserved counts an answer of a version that reached no caller: a draft that
// was handed on. It gives a new version's budget back.
func (f *Fleet) Unserved(version catalog.VersionName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v, ok := f.versions[version]; ok {
		v.monitor.Unserved(1)
	}
}

// News returns what agents must know of a version, or nil for one whose
// answers they do not count.
func (f *Fleet) News(version catalog.VersionName) *linkv1.VersionNews {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.versions[version]
	if !ok || (v.replaces == "" && v.monitor.Granted() >= rollout.Unlimited) {
		return nil
	}
	t := v.monitor.Tally()
	return &linkv1.VersionNews{
		Good: uint32(t.Good), Bad: uint32(t.Bad), Lost: uint32(t.Lost),
		Unserved: uint32(t.Unserved), Cleared: t.Cleared,
	}
}

// Held lists the versions that must get no work from callers now, sorted.
func (f *Fleet) Held() []catalog.VersionName {
	return f.with(func(v *followed) bool { return v.verdict() != rollout.Trusted })
}

// Convicted lists the versions that must be withdrawn, sorted.
func (f *Fleet) Convicted() []catalog.VersionName {
	return f.with(func(v *followed) bool { return v.monitor.Verdict() == rollout.Withdraw })
}

// verdict is the monitor's, but holds a new version too that has used up what
// its ratings grant: only answers that reach no caller can tell more about it.
func (v *followed) verdict() rollout.Verdict {
	judged := v.monitor.Verdict()
	t := v.monitor.Tally()
	spent := !t.Cleared && t.Good+t.Bad+t.Lost >= v.monitor.Granted()
	if judged == rollout.Trusted && (spent || v.stalled) {
		return rollout.Hold
	}
	return judged
}

func (f *Fleet) with(match func(*followed) bool) []catalog.VersionName {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []catalog.VersionName
	for name, v := range f.versions {
		if match(v) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Observation returns what a roll-out's step depends on.
func (f *Fleet) Observation(version catalog.VersionName, now time.Time) rollout.Observation {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := rollout.Observation{Now: now, RatingsFresh: f.now.Fresh()}
	if v, ok := f.versions[version]; ok {
		o.Verdict = v.monitor.Verdict()
		o.Tally = v.monitor.Tally()
	}
	return o
}

// VersionLine is one version in the state dump.
type VersionLine struct {
	Version   catalog.VersionName `json:"version"`
	Verdict   string              `json:"verdict"`
	Tally     rollout.Tally       `json:"tally"`
	Granted   int                 `json:"granted"`
	Evidence  float64             `json:"evidence"`
	Suspicion float64             `json:"suspicion"`
}

// Dump implements telemetry.Dumper.
func (f *Fleet) Dump() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []VersionLine
	for _, name := range slices.Sorted(maps.Keys(f.versions)) {
		v := f.versions[name]
		m := v.monitor
		out = append(out, VersionLine{
			Version:   name,
			Verdict:   v.verdict().String(),
			Tally:     m.Tally(),
			Granted:   m.Granted(),
			Evidence:  m.Evidence(),
			Suspicion: m.Suspicion(),
		})
	}
	return out
}
