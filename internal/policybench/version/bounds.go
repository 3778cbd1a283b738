package version

import "time"

// The bounds of the policy runs. They come from the stated targets and are
// not moved to fit a measurement.
const (
	// maxCostOfClairvoyant is the greatest cost per answer as a share of the
	// clairvoyant choice's. Reason: what learning, tries, shadows and caution
	// cost together is to stay under a tenth.
	maxCostOfClairvoyant = 1.10
	// maxCostOfBest is the greatest cost per answer as a share of
	// always-best's. Reason: the target is 40% under on the brief's mix.
	maxCostOfBest = 0.60
	// maxExposedFifth is the greatest number of requests that a version 20%
	// wrong answers before it gets no more work. Reason: the target.
	maxExposedFifth = 60
	// maxExposedAll is the same for a version that is always wrong.
	maxExposedAll = 10
	// maxFalseWithdrawals bounds the withdrawals of good versions per
	// version-day. Reason: the target is 1 in 1,000.
	maxFalseWithdrawals = 1.0 / 1000
	// minOnTime is the least share of Kusinang's answers within the deadline
	// as a share of the best baseline's that meets the quality target.
	// Reason: a late plan is worthless, so cost is not saved by lateness.
	minOnTime = 0.99
)

// The quality target has no constant here: each class of the workload carries
// its own, and each class is checked against it in every load.

// ratingLagLeast and ratingLagMost are how long the rating of an answer takes.
const (
	ratingLagLeast = 2 * time.Second
	ratingLagMost  = 4 * time.Second
)
