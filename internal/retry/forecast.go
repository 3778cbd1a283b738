package retry

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

// BudgetForecast predicts when a version that has exhausted its exposure budget
// gets more.
type BudgetForecast struct {
	// ExpectedWait is the expected time until more budget is granted,
	// ExpectedLatency the expected time of one answer of the version.
	ExpectedWait, ExpectedLatency time.Duration
	// Expected is true if the version is expected to get more budget at all.
	Expected bool
}

// NextGrant decides whether a request that no other version can serve waits for more
// exposure budget. If the budget is not expected in time for the deadline, the decision
// is final, with the expected time as its RetryAfter.
func (p *Plan) NextGrant(failure *result.Error, o BudgetForecast, now time.Time) Decision {
	p.outcome = combineOutcomes(p.outcome, failure.Outcome)
	required := o.ExpectedWait + max(o.ExpectedLatency, p.policy.settings.MinAttemptTime)
	if !o.Expected || now.Add(required).After(p.deadline) {
		return p.final(failure.WithRetryAfter(o.ExpectedWait))
	}
	return Decision{Wait: o.ExpectedWait}
}
