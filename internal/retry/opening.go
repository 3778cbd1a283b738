package retry

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

// Opening predicts when a version that has exhausted its exposure budget gets more.
type Opening struct {
	// Usual is the expected time until more budget is granted, Run the expected
	// time of one answer of the version.
	Usual, Run time.Duration
	// Coming is true if the version is expected to get more budget at all.
	Coming bool
}

// Await decides whether a request that no other version can serve waits for more
// exposure budget. If the budget is not expected in time for the deadline, the decision
// is final, with the expected time as its RetryAfter.
func (p *Plan) Await(failure *result.Error, o Opening, now time.Time) Decision {
	p.outcome = combineOutcomes(p.outcome, failure.Outcome)
	required := o.Usual + max(o.Run, p.policy.settings.MinAttemptTime)
	if !o.Coming || now.Add(required).After(p.deadline) {
		return p.final(failure.WithRetryAfter(o.Usual))
	}
	return Decision{Wait: o.Usual}
}
