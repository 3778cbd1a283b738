package watch

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/retry"
	"tarragonbay.example/tarragonbay/internal/rollout"
)

// firstRatingTime is taken as the usual time of a rating before the first.
const firstRatingTime = 2 * time.Second

// ratingTimeWeight is the weight of the time before in the usual one.
const ratingTimeWeight = 7.0 / 8

// Opening returns how many answers the version of a key is granted so far, over
// the whole deployment, and when it is likely to be granted more.
func (f *Fleet) Opening(key quality.Key) (granted int, o retry.Opening) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.versions[catalog.VersionName(key.Version)]
	if !ok {
		return 0, retry.Opening{}
	}
	estimate, _ := f.now.Get(key)
	o = retry.Opening{
		Usual:  v.ratingTime,
		Run:    estimate.Latency,
		Coming: f.now.Fresh() && v.verdict() == rollout.Trusted,
	}
	if o.Usual == 0 {
		o.Usual = firstRatingTime
	}
	return v.monitor.Granted(), o
}

// rated notes that a rating came, and how long an answer waited for one.
func (v *followed) rated(now time.Time) {
	if v.waitsSince.IsZero() {
		return
	}
	waited := now.Sub(v.waitsSince)
	v.waitsSince = time.Time{}
	if v.ratingTime == 0 {
		v.ratingTime = waited
		return
	}
	v.ratingTime += time.Duration((1 - ratingTimeWeight) * float64(waited-v.ratingTime))
}
