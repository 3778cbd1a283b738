package quality

import (
	"strings"
	"time"
)

// Key identifies an estimate. Classes must come from the configuration, so that
// callers cannot make the state grow.
type Key struct {
	// Class of the request, "" for requests of no configured class.
	Class string
	// Via names the steps of a cascade before this one, or "" for an answer
	// by the version alone. Drafts that a cascade keeps, and answers to
	// requests that earlier steps escalated, differ from the version's other
	// answers, so they are counted separately.
	Via string
	// Version is "model@version".
	Version string
}

// viaSeparator separates Class and Via in a sample's class.
const viaSeparator = "|"

// SampleClass returns the class under which an answer is sent to the rating
// service. ParseKey recovers the key from the rating.
func (k Key) SampleClass() string {
	if k.Via == "" {
		return k.Class
	}
	return k.Class + viaSeparator + k.Via
}

// ParseKey returns the key of a sample class and a version.
func ParseKey(sampleClass, version string) Key {
	class, via, _ := strings.Cut(sampleClass, viaSeparator)
	return Key{Class: class, Via: via, Version: version}
}

// Delta holds the observations of one key since the previous delta. The zero
// value holds none.
type Delta struct {
	// Good and Bad count ratings.
	Good, Bad uint32
	// Kept and Escalated count drafts of a step that was not the last.
	Kept, Escalated uint32
	// Answers counts the answers behind the sums below.
	Answers uint32
	// OutputTokens is the sum of the output tokens of the answers.
	OutputTokens uint64
	// LatencyMs and LatencySqMs are the sum of the latencies in
	// milliseconds and the sum of their squares.
	LatencyMs, LatencySqMs float64
	// Backlog sums, over the answers, the requests that were queued for each
	// slot of the upstream when the answer ended.
	Backlog float64
}

// Add merges another delta of the same key.
func (d *Delta) Add(o Delta) {
	d.Good += o.Good
	d.Bad += o.Bad
	d.Kept += o.Kept
	d.Escalated += o.Escalated
	d.Answers += o.Answers
	d.OutputTokens += o.OutputTokens
	d.LatencyMs += o.LatencyMs
	d.LatencySqMs += o.LatencySqMs
	d.Backlog += o.Backlog
}

// RatingDelta returns the delta of one rating.
func RatingDelta(good bool) Delta {
	if good {
		return Delta{Good: 1}
	}
	return Delta{Bad: 1}
}

// AnswerDelta returns the delta of one answer. backlog is the number of requests
// queued for each slot of the upstream at its end.
func AnswerDelta(latency time.Duration, outputTokens uint64, backlog float64) Delta {
	ms := float64(latency) / float64(time.Millisecond)
	return Delta{Answers: 1, OutputTokens: outputTokens, LatencyMs: ms, LatencySqMs: ms * ms, Backlog: backlog}
}

// Backlog returns the requests queued for each slot; zero when the number of
// slots is not known.
func Backlog(queued, slots int) float64 {
	if slots <= 0 {
		return 0
	}
	return float64(queued) / float64(slots)
}

// DraftDelta returns the delta of one draft of a step that was not the last.
func DraftDelta(escalated bool) Delta {
	if escalated {
		return Delta{Escalated: 1}
	}
	return Delta{Kept: 1}
}
