package retry

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

// Opening is when a version without budget is expected to get some.
type Opening struct {
	// Usual is the usual time until then, Run that of an answer.
	Usual, Run time.Duration
	// Coming is set when it will get some at all.
	Coming bool
}

// Await decides for a request that no other version can take: whether to wait
// for the opening. The answer is final when the opening usually comes too late
// for the deadline, and tells when to come back.
func (p *Plan) Await(failure *result.Error, o Opening, now time.Time) Decision {
	p.worst = worse(p.worst, failure.Outcome)
	needed := o.Usual + max(o.Run, p.policy.settings.MinRun)
	if !o.Coming || now.Add(needed).After(p.deadline) {
		return p.final(failure.WithRetryAfter(o.Usual))
	}
	return Decision{Wait: o.Usual}
}
