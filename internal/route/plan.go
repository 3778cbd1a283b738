package route

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/quality"
)

// MaxSteps is the greatest number of steps of a plan. A longer cascade keeps
// its first steps and its last.
const MaxSteps = 4

// Request is what the choice of version depends on.
type Request struct {
	Organisation string
	// Target is the name in the request: a model, version or cascade.
	Target string
	// Class is the request class that the caller sent, or empty.
	Class string
	// Session is the version to which the session is bound, or empty.
	Session catalog.VersionName
	// Sticky decides on which side of a roll-out the request falls: a hash
	// of the session's ID, or of the request's for one without a session.
	Sticky uint64
	// NewSession is set when the answer starts a session. It is then made by
	// a single version, on which the session stays.
	NewSession bool
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// PromptTokens is an estimate; MaxTokens is 0 when the caller set none.
	PromptTokens int
	MaxTokens    int
	// Without lists versions that cannot take the request now: quarantined,
	// out of capacity or with a spent budget. The entry plans again with
	// a version added after each such refusal.
	Without []catalog.VersionName
	// Held lists versions that are held back on suspicion. They answer no
	// caller, and are tried beside requests so that ratings can clear or
	// convict them.
	Held []catalog.VersionName
}

// Step is one attempt of a plan.
type Step struct {
	Version catalog.VersionName
	// Escalate is the self-reported confidence under which the draft is
	// thrown away and the next step runs. Zero at the last step.
	Escalate float64
	// Via names the steps before, "" for a single version; see quality.Key.
	Via string
	// RollingOut is set when the version is the new one of a roll-out. Its
	// answers are all handed in for rating.
	RollingOut bool
}

// Chain is the steps that answer one request, in order. It is a plain value.
type Chain struct {
	steps [MaxSteps]Step
	count int
}

// Len returns the number of steps.
func (c *Chain) Len() int { return c.count }

// Step returns step i, from 0.
func (c *Chain) Step(i int) Step { return c.steps[i] }

// Streams reports whether the answer of step i may reach the caller while it
// is made. A draft that a later step may replace may not.
func (c *Chain) Streams(i int) bool { return i == c.count-1 }

// Plan is the choice for one request. It is a plain value with at least one
// step.
type Plan struct {
	Chain
	// Class is the configured class, or "" for any other.
	Class string
	// Target is the share of answers that must be good.
	Target float64
	// Deadline is the earlier of the caller's and the rule's; zero is none.
	Deadline time.Time
	// Objective is one of the catalog's objectives.
	Objective string
	// Exploring is set when the choice was made to learn.
	Exploring bool
	// Shadow, unless empty, runs besides, only to be rated: its answer never
	// reaches the caller and is not charged to the organisation.
	Shadow Chain
	// Cost is the expected cost in millionths of the accounting unit, and
	// Latency the expected latency; 0 when not known.
	Cost    float64
	Latency time.Duration
}

// Key returns the key under which the answer of step i is counted.
func (p *Plan) Key(i int) quality.Key { return p.key(&p.Chain, i) }

// ShadowKey returns the key under which the answer of step i of the shadow is
// counted.
func (p *Plan) ShadowKey(i int) quality.Key { return p.key(&p.Shadow, i) }

func (p *Plan) key(c *Chain, i int) quality.Key {
	return quality.Key{Class: p.Class, Via: c.steps[i].Via, Version: string(c.steps[i].Version)}
}
