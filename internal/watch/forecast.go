package watch

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/retry"
	"tarragonbay.example/tarragonbay/internal/rollout"
)

// defaultRatingDelay is the assumed rating delay before the first rating.
const defaultRatingDelay = 2 * time.Second

// oldRatingDelayWeight is the weight of the previous value in the smoothed rating
// delay.
const oldRatingDelayWeight = 7.0 / 8

// GrantForecast returns how many answers the version of a key is granted so far across
// all hosts, and the data to estimate when more will be granted.
func (f *Fleet) GrantForecast(key quality.Key) (granted int, o retry.BudgetForecast) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.versions[catalog.VersionName(key.Version)]
	if !ok {
		return 0, retry.BudgetForecast{}
	}
	estimate, _ := f.currentView.Get(key)
	o = retry.BudgetForecast{
		ExpectedWait:    v.ratingDelay,
		ExpectedLatency: estimate.Latency,
		Expected:        f.currentView.Fresh() && v.verdict() == rollout.Trusted,
	}
	if o.ExpectedWait == 0 {
		o.ExpectedWait = defaultRatingDelay
	}
	return v.monitor.Granted(), o
}

// recordRating updates the smoothed rating delay when a rating arrives.
func (v *trackedVersion) recordRating(now time.Time) {
	if v.unratedSince.IsZero() {
		return
	}
	waited := now.Sub(v.unratedSince)
	v.unratedSince = time.Time{}
	if v.ratingDelay == 0 {
		v.ratingDelay = waited
		return
	}
	v.ratingDelay += time.Duration((1 - oldRatingDelayWeight) * float64(waited-v.ratingDelay))
}
