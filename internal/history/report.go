package history

import (
	"fmt"
	"slices"
	"strings"
)

// Invariant names a promise of the product.
type Invariant string

// The promises, and what is wrong with a history that cannot be judged.
const (
	Allowed       Invariant = "allowed version only"
	Withdrawn     Invariant = "no new work for a withdrawn version"
	SessionPinned Invariant = "a session keeps its version"
	BilledOnce    Invariant = "billed exactly once"
	WholeAnswer   Invariant = "whole answer to the caller's own request"
	NotRunIsTrue  Invariant = "not run is true"
	AtMostOnce    Invariant = "a call that may not be repeated runs at most once"
	NoWorkLeaving Invariant = "no new work for a leaving upstream"
	GracefulStop  Invariant = "a planned stop cuts nothing"
	NoRevert      Invariant = "no revision reverts"
	BadHistory    Invariant = "the history itself"
)

// Violation is one broken promise.
type Violation struct {
	Invariant Invariant `json:"invariant"`
	// Request is the request it was seen at, or empty.
	Request string `json:"request,omitempty"`
	Detail  string `json:"detail"`
}

// String returns the violation on one line.
func (v Violation) String() string {
	if v.Request == "" {
		return fmt.Sprintf("%s: %s", v.Invariant, v.Detail)
	}
	return fmt.Sprintf("%s: request %s: %s", v.Invariant, v.Request, v.Detail)
}

// Report is what a history says.
type Report struct {
	// Requests is how many were asked. Of these Whole were answered, Refused
	// were told "not run", Unknown were told "unknown", GaveUp were left by
	// their caller, and Open have no recorded end. The rest failed.
	Requests int `json:"requests"`
	Whole    int `json:"whole"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	GaveUp   int `json:"gaveUp"`
	Open     int `json:"open"`
	// Runs is how many calls reached an upstream.
	Runs int `json:"runs"`
	// Faults is how many were injected.
	Faults     int         `json:"faults"`
	Violations []Violation `json:"violations,omitempty"`
}

// String returns the counts on one line.
func (r Report) String() string {
	return fmt.Sprintf("%d requests (%d whole, %d refused, %d unknown, %d given up, %d open), %d runs, %d faults, %d violations",
		r.Requests, r.Whole, r.Refused, r.Unknown, r.GaveUp, r.Open, r.Runs, r.Faults, len(r.Violations))
}

// Broken returns the promises that are broken, each once, in order.
func (r Report) Broken() []Invariant {
	var out []Invariant
	for _, v := range r.Violations {
		out = append(out, v.Invariant)
	}
	slices.SortFunc(out, func(a, b Invariant) int { return strings.Compare(string(a), string(b)) })
	return slices.Compact(out)
}
