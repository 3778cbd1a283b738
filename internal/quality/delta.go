package quality

import (
	"strings"
	"time"
)

// Key names what an estimate is about. Classes must come from the
// configuration, so that callers cannot make the state grow.
type Key struct {
	// Class of the request, "" for requests of no configured class.
	Class string
	// Via names the steps of a cascade before this one, or "" for an answer
	// by the version alone. Drafts that a cascade keeps, and answers to what
	// earlier steps handed on, are not like the version's other answers, so
	// they count apart.
	Via string
	// Version is "model@version".
	Version string
}

// viaSeparator stands between class and chain in a sample's class.
const viaSeparator = "|"

// SampleClass returns the class under which an answer is handed to the rating
// service, so that its rating finds the way back to the key.
func (k Key) SampleClass() string {
	if k.Via == "" {
		return k.Class
	}
	return k.Class + viaSeparator + k.Via
}

// ParseKey is the reverse of SampleClass.
func ParseKey(sampleClass, version string) Key {
	class, via, _ := strings.Cut(sampleClass, viaSeparator)
	return Key{Class: class, Via: via, Version: version}
}

// Delta is what was seen of one key since the last delta. The zero value is
// nothing seen.
type Delta struct {
	// Good and Bad count ratings.
	Good, Bad uint32
	// Kept and Escalated count drafts of a step that was not the last.
	Kept, Escalated uint32
	// Answers counts the answers behind the sums below.
	Answers uint32
	// OutputTokens is a sum.
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

// Rated returns the delta of one rating.
func Rated(good bool) Delta {
	if good {
		return Delta{Good: 1}
	}
	return Delta{Bad: 1}
}

// Answered returns the delta of one answer. backlog is the number of requests
// queued for each slot of the upstream at its end.
func Answered(latency time.Duration, outputTokens uint64, backlog float64) Delta {
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

// Drafted returns the delta of one draft of a step that was not the last.
func Drafted(escalated bool) Delta {
	if escalated {
		return Delta{Escalated: 1}
	}
	return Delta{Kept: 1}
}
