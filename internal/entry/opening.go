package entry

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/balance"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/wait"
)

// Bounds of sessions whose version has spent its budget of unrated answers.
const (
	// maxSpentHosts is how many hosts are asked for a share before a wait.
	maxSpentHosts = 8
	// maxSessionWaits is how many sessions wait at a time on this entry.
	maxSessionWaits = 32
	// grantPoll is the pause between two looks at what is granted.
	grantPoll = 100 * time.Millisecond
	// askAgain is how long a session waits at least before it asks again
	// although nothing more was granted.
	askAgain = 500 * time.Millisecond
)

// sessionWaits bounds the sessions that wait for their version.
type sessionWaits chan struct{}

// take reports whether there was a place; it is given back with leave.
func (w sessionWaits) take() bool {
	select {
	case w <- struct{}{}:
		return true
	default:
		return false
	}
}

func (w sessionWaits) leave() { <-w }

// sayWhen tells a session whose version is held back when to come back.
func (r *chatRun) sayWhen(failure *result.Error) *result.Error {
	if r.pin == "" || failure.Code != result.Quarantined {
		return failure
	}
	_, opening := r.entry.fleet.GrantForecast(quality.Key{Version: string(r.pin)})
	return failure.WithRetryAfter(opening.ExpectedWait)
}

// spentHere reports whether the failure is a host's refusal of a session whose
// version has spent its budget there. No other version may take the session.
func (s *stepRun) spentHere(failure *result.Error) bool {
	return s.pin != "" && failure.Code == result.ExposureSpent
}

// againElsewhere goes on to another host's share of the budget or, when they
// are all spent, waits for more. It returns the final error.
func (s *stepRun) againElsewhere(failure *result.Error) *result.Error {
	s.spentHosts++
	if s.spentHosts < maxSpentHosts && s.entry.picker.HasUntriedUpstream(s.choose(), s.entry.now()) {
		return nil
	}
	s.spentHosts = 0
	s.tried = balance.TriedUpstreams{}
	return s.awaitOpening(failure)
}

// awaitOpening waits until more answers are granted, or as long as that usually
// takes, since a host may get room in another way. It returns the final error
// when the deadline comes before.
func (s *stepRun) awaitOpening(failure *result.Error) *result.Error {
	e := s.entry
	began := e.now()
	_, opening := e.fleet.GrantForecast(s.key)
	opening.ExpectedWait = max(opening.ExpectedWait, askAgain)
	d := s.retries.NextGrant(failure, opening, began)
	if d.Final != nil {
		return d.Final
	}
	final := failure.WithRetryAfter(opening.ExpectedWait)
	if !e.sessionWaits.take() {
		return final
	}
	defer e.sessionWaits.leave()
	defer func() { s.waited += e.now().Sub(began) }()
	for end := began.Add(d.Wait); e.now().Before(end); {
		if !wait.For(s.ctx, grantPoll) {
			return final
		}
		granted, opening := e.fleet.GrantForecast(s.key)
		if !opening.Expected {
			return final
		}
		if granted > s.granted {
			s.granted = granted
			return nil
		}
	}
	return nil
}
