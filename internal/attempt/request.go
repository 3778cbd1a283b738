package attempt

import (
	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/result"
)

// Ending is how one attempt ended, as the entry knows it.
type Ending struct {
	// Whole is set when the final frame came and length and digest agreed.
	Whole bool
	// Outcome of an attempt that is not whole.
	Outcome result.Outcome
	// Code of an attempt that is not whole.
	Code result.Code
}

// Request is the entry's record of one request: its attempts, what was given
// to the caller, and so what may still be done. It belongs to one goroutine.
type Request struct {
	// idempotent requests may be sent again when it is not known whether
	// they ran.
	idempotent bool
	step       uint32
	attempts   int
	open       string
	released   bool
	whole      bool
	ran        bool
	unknown    bool
	// stepRan and stepUnknown describe the attempts of the present step.
	stepRan     bool
	stepUnknown bool
}

// NewRequest returns a request without attempts.
func NewRequest(idempotent bool) *Request { return &Request{idempotent: idempotent} }

// Idempotent reports whether the request may run more than once.
func (r *Request) Idempotent() bool { return r.idempotent }

// MayTry returns nil when another attempt of the present step is allowed. The
// error carries the outcome to report. Budgets and deadlines are asked of the
// retry package as well.
func (r *Request) MayTry() error {
	switch {
	case r.open != "":
		return result.New(result.InProgress, "an attempt is still open")
	case r.whole:
		return result.New(result.Internal, "the step is already answered").WithOutcome(result.Ran)
	case r.released:
		return result.New(result.AnswerCut, "a part of the answer is with the caller")
	case r.idempotent:
		return nil
	case r.stepRan:
		return result.New(result.UpstreamFailed, "the call ran and may not be repeated")
	case r.stepUnknown:
		return result.New(result.OutcomeUnknown, "the call may have run and may not be repeated")
	}
	return nil
}

// Begin opens an attempt. It fails when MayTry does.
func (r *Request) Begin(attemptID string) error {
	if err := r.MayTry(); err != nil {
		return err
	}
	r.attempts++
	r.open = attemptID
	return nil
}

// Release is called before the first byte of the open attempt's answer goes
// to the caller. From then on the answer comes from this attempt or is cut.
func (r *Request) Release(attemptID string) error {
	if attemptID == "" || r.open != attemptID {
		return errors.Errorf("attempt %q is not open, %q is", attemptID, r.open)
	}
	r.released = true
	return nil
}

// Conclude closes the open attempt. A second conclusion, or one of another
// attempt, is an error and changes nothing.
func (r *Request) Conclude(attemptID string, e Ending) error {
	if attemptID == "" || r.open != attemptID {
		return errors.Errorf("attempt %q is not open, %q is", attemptID, r.open)
	}
	if r.released && !e.Whole && e.Outcome != result.Ran {
		e.Outcome = result.Ran
	}
	r.open = ""
	switch {
	case e.Whole:
		r.whole, r.ran, r.stepRan = true, true, true
	case e.Outcome == result.Ran:
		r.ran, r.stepRan = true, true
	case e.Outcome == result.Unknown:
		r.unknown, r.stepUnknown = true, true
	}
	return nil
}

// Escalate goes on to the next step of a cascade. The present step must have
// a whole answer of which the caller has seen nothing.
func (r *Request) Escalate() error {
	if r.open != "" || !r.whole || r.released {
		return errors.New("only a whole answer that was not released can be replaced")
	}
	r.step++
	r.whole, r.stepRan, r.stepUnknown = false, false, false
	return nil
}

// Step is the present step of the cascade, from 0.
func (r *Request) Step() uint32 { return r.step }

// Attempts is how many attempts were begun.
func (r *Request) Attempts() int { return r.attempts }

// Whole reports whether the present step has a whole answer.
func (r *Request) Whole() bool { return r.whole }

// Released reports whether the caller has a part of the answer.
func (r *Request) Released() bool { return r.released }

// Outcome is what the caller may be told about the request. It is NotRun only
// when every attempt of every step is proven not run.
func (r *Request) Outcome() result.Outcome {
	switch {
	case r.ran:
		return result.Ran
	case r.open != "" || r.unknown:
		return result.Unknown
	}
	return result.NotRun
}

// Report turns the last failure into the error for the caller: its outcome is
// the request's, not that of the last attempt.
func (r *Request) Report(last *result.Error) *result.Error {
	if r.released {
		return result.Wrap(last, result.AnswerCut, "the answer could not be completed")
	}
	return last.WithOutcome(r.Outcome())
}
