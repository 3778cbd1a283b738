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

// referenceAge is the interval between updates of the reference estimates. They
// lag so that a version that degrades does not shift its own baseline.
const referenceAge = 10 * time.Minute

// Fleet monitors every version across all hosts. It is safe for concurrent use.
type Fleet struct {
	mu       sync.Mutex
	set      *catalog.Set
	versions map[catalog.VersionName]*trackedVersion
	// currentView holds the newest estimates, referenceView those taken at
	// referenceAt.
	currentView, referenceView *quality.View
	referenceAt                time.Time
}

// trackedVersion is the monitoring state of one version.
type trackedVersion struct {
	monitor *rollout.Monitor
	// replaces is the version whose estimates serve as the reference of a new
	// version. It is empty for a version that is its own reference.
	replaces catalog.VersionName
	hosts    map[string]*hostCounts
	// unratedSince is the time of the first answer since the last rating; zero
	// when there is none.
	unratedSince time.Time
	// ratingDelay is the smoothed time from an answer to the next rating; 0
	// before the first rating.
	ratingDelay time.Duration
	// ratingsStalled is set while a new version receives no ratings although
	// other versions do. The rating service rates only a sample of the answers.
	ratingsStalled bool
}

// ratingsStalledAfter is how long an answer of a new version waits for a rating
// before the version is held. Shadow requests then produce more ratings.
const ratingsStalledAfter = 3 * time.Minute

// NewFleet returns a Fleet that monitors no versions until SetCatalog is called.
func NewFleet() *Fleet {
	return &Fleet{
		versions:      map[catalog.VersionName]*trackedVersion{},
		currentView:   quality.EmptyView,
		referenceView: quality.EmptyView,
	}
}

// SetCatalog applies a new revision of the catalogue. Versions that stay keep
// their evidence. The new version of a rollout starts its probation.
func (f *Fleet) SetCatalog(set *catalog.Set, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set = set
	replacedBy := newVersions(set)
	for name, v := range set.Versions {
		replaces, isNew := replacedBy[name]
		old, known := f.versions[name]
		level := holdLevel(set, name)
		if known && (old.replaces == replaces || !isNew) {
			old.replaces = replaces
			old.monitor.SetHoldLevel(level)
			continue
		}
		f.versions[name] = &trackedVersion{
			monitor:  rollout.NewMonitor(rollout.DetectorSettings{HoldLevel: level}, rollout.NewBudget(v.Exposure), isNew, now),
			replaces: replaces,
			hosts:    map[string]*hostCounts{},
		}
	}
	for name := range f.versions {
		if set.Versions[name] == nil {
			delete(f.versions, name)
		}
	}
}

// holdLevel returns the hold level configured for the version's model, or 0.
func holdLevel(set *catalog.Set, name catalog.VersionName) float64 {
	if m := set.Models[name.Model()]; m != nil {
		return m.HoldLevel
	}
	return 0
}

// newVersions maps the new version of each rollout that has not ended to the
// version it replaces.
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

// SetView sets the current estimates. They become the reference for baselines
// when the reference is referenceAge old.
func (f *Fleet) SetView(view *quality.View, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.currentView = view
	if f.referenceAt.IsZero() || now.Sub(f.referenceAt) >= referenceAge {
		f.referenceView = view
		f.referenceAt = now
	}
}

// RecordRating records one rating. shadow is set for the answer to a shadow request,
// which is not sent to a caller.
func (f *Fleet) RecordRating(key quality.Key, good, shadow bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.versions[catalog.VersionName(key.Version)]
	if !ok {
		return
	}
	v.recordRating(now)
	baseline, ok := f.baseline(key, v)
	switch {
	case !ok:
		v.monitor.RecordWithoutBaseline(good, shadow)
	case shadow:
		v.monitor.ShadowRating(good, baseline, now)
	default:
		v.monitor.RecordRating(good, baseline, now)
	}
}

// baseline returns the tolerated bad rate of a version in a class, and whether
// one is known. A new version is compared with the version it replaces.
func (f *Fleet) baseline(key quality.Key, v *trackedVersion) (float64, bool) {
	target := f.target(key)
	if v.replaces == "" {
		reference, _ := f.referenceView.Get(key)
		return rollout.RatingBaseline(reference, target)
	}
	key.Version = string(v.replaces)
	reference, _ := f.referenceView.Get(key)
	return rollout.NewVersionBaseline(reference, target)
}

// target returns the quality target for the key's class or, without one, for its
// model.
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

// Resume adds the ratings of callers' answers that a version received before this
// process started to read ratings. They raise the version's granted budget as
// they did then, but are not tested as evidence against it.
func (f *Fleet) Resume(version catalog.VersionName, good, bad int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v, ok := f.versions[version]; ok {
		v.monitor.Resume(good, bad)
	}
}

// Lost counts n answers of a version that will not be rated.
func (f *Fleet) Lost(version string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v, ok := f.versions[catalog.VersionName(version)]; ok {
		v.monitor.AddLost(n)
	}
}

// Unserved counts an answer of a version that reached no caller: the draft of a
// cascade that was passed to another version. The answer is returned to a new
// version's budget.
func (f *Fleet) Unserved(version catalog.VersionName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v, ok := f.versions[version]; ok {
		v.monitor.AddUnserved(1)
	}
}

// RatingCounts returns the rating counts of a version that are sent to agents, or nil for
// a version whose answers agents do not count.
func (f *Fleet) RatingCounts(version catalog.VersionName) *linkv1.VersionNews {
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

// Held returns the versions that must not serve callers now, sorted.
func (f *Fleet) Held() []catalog.VersionName {
	return f.versionsWhere(func(v *trackedVersion) bool { return v.verdict() != rollout.Trusted })
}

// ToWithdraw returns the versions that must be withdrawn, sorted.
func (f *Fleet) ToWithdraw() []catalog.VersionName {
	return f.versionsWhere(func(v *trackedVersion) bool { return v.monitor.Verdict() == rollout.Withdraw })
}

// verdict returns the monitor's verdict, but also holds a new version whose
// budget is spent or whose ratings are stalled. Only shadow answers, which reach
// no caller, can then add evidence.
func (v *trackedVersion) verdict() rollout.Verdict {
	fromMonitor := v.monitor.Verdict()
	t := v.monitor.Tally()
	spent := !t.Cleared && t.Good+t.Bad+t.Lost >= v.monitor.Granted()
	if fromMonitor == rollout.Trusted && (spent || v.ratingsStalled) {
		return rollout.Hold
	}
	return fromMonitor
}

// versionsWhere returns the versions for which match is true, sorted.
func (f *Fleet) versionsWhere(match func(*trackedVersion) bool) []catalog.VersionName {
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

// Observation returns the evidence on which the next step of a rollout depends.
func (f *Fleet) Observation(version catalog.VersionName, now time.Time) rollout.Observation {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := rollout.Observation{Now: now, RatingsFresh: f.currentView.Fresh()}
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
