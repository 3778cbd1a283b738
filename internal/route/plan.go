package route

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/quality"
)

// MaxSteps is the maximum number of steps in a plan. A longer cascade keeps its
// first steps and its last.
const MaxSteps = 4

// Request holds the properties of a request that decide which version answers it.
type Request struct {
	Organisation string
	// Target is the name in the request: a model, version or cascade.
	Target string
	// Class is the request class that the caller sent, or empty.
	Class string
	// Session is the version to which the session is bound, or empty.
	Session catalog.VersionName
	// Sticky decides whether a rollout applies to the request. It is a hash of the
	// session ID, or of the request ID for a request without a session.
	Sticky uint64
	// NewSession is set when the answer starts a session. A single version then
	// answers, and the session stays on it.
	NewSession bool
	// Deadline is the time at which the caller stops waiting; zero means never.
	Deadline time.Time
	// PromptTokens is an estimate. MaxTokens is 0 if the caller set no limit.
	PromptTokens int
	MaxTokens    int
	// Unavailable lists versions that cannot take the request now: quarantined,
	// out of capacity or with their budget spent. The entry adds a version and
	// plans again after each such refusal.
	Unavailable []catalog.VersionName
	// Held lists versions suspected of a drop in quality. They answer no
	// caller, but run as shadows so that ratings can confirm or clear the
	// suspicion.
	Held []catalog.VersionName
}

// Step is one attempt of a plan.
type Step struct {
	Version catalog.VersionName
	// Escalate is the confidence threshold: a draft that reports a lower
	// confidence is discarded and the next step runs. Zero in the last step.
	Escalate float64
	// Via encodes the position in the chain, "" for a single version; see quality.Key.
	Via string
	// RollingOut is set for the new version of a rollout. All its answers are
	// submitted for rating.
	RollingOut bool
}

// Chain is the sequence of steps that answers a request. It is a plain value.
type Chain struct {
	steps [MaxSteps]Step
	count int
}

// Len returns the number of steps.
func (c *Chain) Len() int { return c.count }

// Step returns step i, from 0.
func (c *Chain) Step(i int) Step { return c.steps[i] }

// Streams reports whether the answer of step i may be streamed to the caller. A
// draft that a later step may replace must not be.
func (c *Chain) Streams(i int) bool { return i == c.count-1 }

// Plan is the choice for one request. It is a plain value with at least one
// step.
type Plan struct {
	Chain
	// Class is the class of the request, or "" if no rule configures it.
	Class string
	// Target is the quality target: the share of answers that must be good.
	Target float64
	// Deadline is the earlier of the caller's and the rule's; zero means none.
	Deadline time.Time
	// Objective is one of the catalog's objectives.
	Objective string
	// Exploring is set when the plan explores an option other than the best to
	// obtain ratings for it.
	Exploring bool
	// Shadow, unless empty, runs in parallel, only to be rated. Its answer never
	// reaches the caller and is not charged to the organisation.
	Shadow Chain
	// Cost is the expected cost in millionths of the accounting unit, and
	// Latency the expected latency; 0 if unknown.
	Cost    float64
	Latency time.Duration
}

// Key returns the quality key of step i.
func (p *Plan) Key(i int) quality.Key { return p.key(&p.Chain, i) }

// ShadowKey returns the quality key of step i of the shadow.
func (p *Plan) ShadowKey(i int) quality.Key { return p.key(&p.Shadow, i) }

func (p *Plan) key(c *Chain, i int) quality.Key {
	return quality.Key{Class: p.Class, Via: c.steps[i].Via, Version: string(c.steps[i].Version)}
}
