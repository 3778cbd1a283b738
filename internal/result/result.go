// Package result defines the numbered result codes of the product and the
// typed error that carries one to a caller or an operator.
//
// Codes are stable: a number is never reused. docs/RESULT-CODES.md lists the
// same table and a test keeps both in step.
package result

import (
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Code is a numbered result. The thousands digit names the part: 1 bad input,
// 2 access, 3 capacity and availability, 4 delivery, 5 platform,
// 6 configuration, 7 orders and leases, 8 settings and command line.
type Code int

// Outcome says whether a request ran on an upstream.
type Outcome uint8

// The outcomes a caller may be told.
const (
	// NotRun means the request was not dispatched and never will be.
	NotRun Outcome = iota
	// Unknown means the request may have run.
	Unknown
	// Ran means the request ran, whole or in part.
	Ran
)

// String returns the wire form of the outcome.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Unknown:
		return "unknown"
	case Ran:
		return "ran"
	}
	return "unknown"
}

// ParseOutcome reads the wire form. Anything else is Unknown, the only safe
// reading of an outcome that cannot be understood.
func ParseOutcome(s string) Outcome {
	switch s {
	case "not_run":
		return NotRun
	case "ran":
		return Ran
	}
	return Unknown
}

// Error is a failure with a numbered code. It is returned by every duty whose
// failures reach a caller or an operator.
type Error struct {
	Code    Code
	Outcome Outcome
	// Message is one short sentence for the reader of the error.
	Message string
	// RetryAfter tells the caller when to come back; zero means no advice.
	RetryAfter time.Duration
	cause      error
}

// New returns an error with the code's own outcome.
func New(code Code, format string, args ...any) *Error {
	return &Error{
		Code:    code,
		Outcome: code.Info().Outcome,
		Message: fmt.Sprintf(format, args...),
	}
}

// Wrap returns an error with the code that keeps the cause for logs.
func Wrap(cause error, code Code, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.cause = cause
	return e
}

// WithOutcome returns a copy of the error with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// WithRetryAfter returns a copy of the error that tells when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the message with the code and the cause.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("TB%d %s: %v", e.Code, e.Message, e.cause)
	}
	return fmt.Sprintf("TB%d %s", e.Code, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// From returns the numbered error inside err, or an Internal error around it.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "internal error").WithOutcome(Unknown)
}

// Is reports whether err carries the code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

// HTTPStatus returns the HTTP status that goes with the code.
func (c Code) HTTPStatus() int { return c.Info().Status }

// String returns the code in the form used in logs and answers.
func (c Code) String() string { return fmt.Sprintf("TB%d", int(c)) }

// Info describes one code in the table.
type Info struct {
	Code    Code
	Name    string
	Status  int
	Outcome Outcome
	Meaning string
}

// Info returns the table row of the code; an unlisted code reads as Internal.
func (c Code) Info() Info {
	if i, ok := index[c]; ok {
		return i
	}
	return Info{Code: c, Name: "unlisted", Status: http.StatusInternalServerError, Outcome: Unknown}
}

var index = buildIndex()

func buildIndex() map[Code]Info {
	m := make(map[Code]Info, len(Table))
	for _, i := range Table {
		m[i.Code] = i
	}
	return m
}
