// Package graceperiod divides the grace period of a process that stops, and decides which
// requests the rest of it holds.
package graceperiod

import "time"

// Times of a stop.
const (
	// unreadyDelay is how long callers may still be sent here after the process reports
	// itself unready: two missed readiness checks one second apart, and a margin.
	unreadyDelay = 2600 * time.Millisecond
	// maxAcceptShare is the maximum share of the grace period in which new connections are
	// accepted. While most processes of a failure domain stop, callers are sent to all of
	// them; the rest of the grace period is for the requests on these connections.
	maxAcceptShare = 0.5
	// answerShare is the share of the grace period after which every request gets an answer,
	// and cutShare that after which connections are closed. The rest is for ending the process.
	answerShare = 0.89
	cutShare    = 0.93
)

// Plan holds the moments of one stop.
type Plan struct {
	// Start is when the process was told to stop.
	Start time.Time
	// Moved is when callers have had the time to move to another process.
	Moved time.Time
	// AcceptUntil is when the last connections are accepted.
	AcceptUntil time.Time
	// AnswerBy is when requests whose answer has not begun are answered with a failure.
	AnswerBy time.Time
	// CutAt is when the connections that are left are closed.
	CutAt time.Time
}

// New returns the plan for a grace period that begins at start.
func New(start time.Time, period time.Duration) Plan {
	after := func(share float64) time.Time { return start.Add(time.Duration(share * float64(period))) }
	p := Plan{Start: start, Moved: start.Add(unreadyDelay), AcceptUntil: after(maxAcceptShare), AnswerBy: after(answerShare), CutAt: after(cutShare)}
	if p.AcceptUntil.Before(p.Moved) {
		p.AcceptUntil = p.Moved
	}
	return p
}

// Holds reports whether a request that is given up at limit may be sent to an upstream now.
// Until Moved, its caller has nowhere else to go; later the request must be over before
// AnswerBy even if it takes all of that time.
func (p Plan) Holds(now, limit time.Time) bool {
	return now.Before(p.Moved) || !limit.After(p.AnswerBy)
}
