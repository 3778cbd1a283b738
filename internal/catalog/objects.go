// Package catalog holds the named objects of a configuration, their typed
// references and the check of a whole set. It does no network or store I/O.
package catalog

import (
	"strings"
	"time"
)

// Kind names a kind of object. The values are the keys of the configuration
// files.
type Kind string

// The kinds of object, in the order in which they are listed to operators.
const (
	KindOrganisation Kind = "organisations"
	KindModel        Kind = "models"
	KindVersion      Kind = "versions"
	KindCascade      Kind = "cascades"
	KindRule         Kind = "rules"
	KindService      Kind = "services"
	KindUpstream     Kind = "upstreams"
	KindRollout      Kind = "rollouts"
)

// Kinds lists every kind in order.
var Kinds = []Kind{
	KindOrganisation, KindModel, KindVersion, KindCascade,
	KindRule, KindService, KindUpstream, KindRollout,
}

// Key identifies one object in a set.
type Key struct {
	Kind Kind
	Name string
}

// String returns "kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// VersionName is "model@version".
type VersionName string

// Model returns the part before the "@".
func (v VersionName) Model() string {
	m, _, _ := strings.Cut(string(v), "@")
	return m
}

// Valid reports whether the name has both parts.
func (v VersionName) Valid() bool {
	m, r, ok := strings.Cut(string(v), "@")
	return ok && m != "" && r != ""
}

// Priority is the class in which an organisation's requests are queued.
type Priority string

// The priority classes, the most urgent first.
const (
	PriorityInteractive Priority = "interactive"
	PriorityStandard    Priority = "standard"
	PriorityBatch       Priority = "batch"
)

// Level returns the class as a number, 0 the most urgent.
func (p Priority) Level() int {
	switch p {
	case PriorityInteractive:
		return 0
	case PriorityBatch:
		return 2
	}
	return 1
}

// Organisation is a customer whose callers hold keys.
type Organisation struct {
	// Description is free text for operators.
	Description string `json:"description,omitempty"`
	// Keys are the hex SHA-256 hashes of the caller keys, each as
	// "sha256:<64 hex digits>".
	Keys []string `json:"keys"`
	// Allow names the models ("model", all its versions) and versions
	// ("model@version") that the organisation may use.
	Allow []string `json:"allow"`
	// Services names the plain services that the organisation may call.
	Services []string `json:"services,omitempty"`
	// Weight is the organisation's fair share against the others. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// Priority is the queue class: interactive, standard (default) or batch.
	Priority Priority `json:"priority,omitempty"`
	// Limits bound what the organisation may ask for.
	Limits Limits `json:"limits,omitempty"`
}

// Limits bound one organisation over the whole deployment; each entry applies
// its share. Zero means no limit of its own.
type Limits struct {
	// RequestsPerSecond is the sustained request rate.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// TokensPerSecond is the sustained rate of output tokens asked for.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty"`
	// InFlight is the number of requests that may run at a time.
	InFlight int `json:"inFlight,omitempty"`
}

// Model is a family of versions served under one name.
type Model struct {
	Description string `json:"description,omitempty"`
	// QualityTarget is the share of answers that must be rated good, 0 to 1,
	// for requests that name the model and match no rule. Default 0.9.
	QualityTarget float64 `json:"qualityTarget,omitempty"`
	// HoldLevel is the suspicion, in nats, from which a version of the model
	// is held back, 2 to 10. A lower one holds sooner, and more often by
	// mistake. Default 4.5.
	HoldLevel float64 `json:"holdLevel,omitempty"`
}

// VersionState is the life stage of a version.
type VersionState string

// The states of a version.
const (
	// VersionActive takes new work and new sessions.
	VersionActive VersionState = "active"
	// VersionDraining finishes its sessions and takes nothing else.
	VersionDraining VersionState = "draining"
	// VersionWithdrawn takes nothing at all.
	VersionWithdrawn VersionState = "withdrawn"
)

// Version is one version of a model, named "model@version".
type Version struct {
	Description string `json:"description,omitempty"`
	// State is active (default), draining or withdrawn.
	State VersionState `json:"state,omitempty"`
	// InputMicros and OutputMicros are the cost of one token in millionths
	// of the accounting unit.
	InputMicros  uint64 `json:"inputMicros"`
	OutputMicros uint64 `json:"outputMicros"`
	// PriorQuality is the share of good answers assumed before any rating,
	// 0 to 1. Default 0.5.
	PriorQuality float64 `json:"priorQuality,omitempty"`
	// Exposure bounds the answers that may be unrated at a time over all
	// agents while the version is new. Zero means no bound.
	Exposure int `json:"exposure,omitempty"`
}

// Cascade is an ordered list of versions or models, cheap to dear. A step
// answers, or the next is tried.
type Cascade struct {
	Description string `json:"description,omitempty"`
	// Steps names models or versions, in order.
	Steps []string `json:"steps"`
	// QualityTarget is the share of answers that must be rated good, 0 to 1.
	QualityTarget float64 `json:"qualityTarget"`
	// Escalate is the self-reported confidence under which the next step is
	// tried, 0 to 1. Default 0.5.
	Escalate float64 `json:"escalate,omitempty"`
}

// Rule binds a class of requests to a target and a deadline.
type Rule struct {
	Description string `json:"description,omitempty"`
	// Organisation limits the rule to one organisation; empty means all.
	Organisation string `json:"organisation,omitempty"`
	// Class is the request class, as sent in the X-Request-Class header.
	Class string `json:"class"`
	// Use names the models, versions or cascades from which is chosen. Empty
	// leaves the choice to the name in the request.
	Use []string `json:"use,omitempty"`
	// QualityTarget overrides the model's or cascade's target. Zero keeps it.
	QualityTarget float64 `json:"qualityTarget,omitempty"`
	// DeadlineMs is the time a request may take, in milliseconds.
	DeadlineMs int64 `json:"deadlineMs,omitempty"`
	// Objective is "latency", "cost" (default) or "exposure": what is
	// weighed first among the choices that meet the target.
	Objective string `json:"objective,omitempty"`
}

// The objectives of a rule.
const (
	ObjectiveCost     = "cost"
	ObjectiveLatency  = "latency"
	ObjectiveExposure = "exposure"
)

// Service is a plain service routed to beside the models.
type Service struct {
	Description string `json:"description,omitempty"`
	// Once lists the calls that may not be repeated, as "METHOD /path" where
	// a trailing "*" matches any rest. All others may be repeated.
	Once []string `json:"once,omitempty"`
	// DeadlineMs is the time a call may take, in milliseconds. Default 10000.
	DeadlineMs int64 `json:"deadlineMs,omitempty"`
	// MicrosPerCall is the cost of one call in millionths of the unit.
	MicrosPerCall uint64 `json:"microsPerCall,omitempty"`
}

// Upstream is a back end: a replica of a model engine or of a plain service,
// reached only through the agent on its host.
type Upstream struct {
	Description string `json:"description,omitempty"`
	// Host is the name of the host the upstream runs on.
	Host string `json:"host"`
	// Domain is the failure domain of the host.
	Domain string `json:"domain"`
	// Region groups failure domains. Empty means one region.
	Region string `json:"region,omitempty"`
	// Agent is the address of the host's agent, as IP:port.
	Agent string `json:"agent"`
	// Address is the address of the upstream itself, as IP:port.
	Address string `json:"address"`
	// Versions lists the versions a model engine serves.
	Versions []string `json:"versions,omitempty"`
	// Service names the plain service served; exclusive with Versions.
	Service string `json:"service,omitempty"`
	// Slots is the number of requests that may run at a time. Default 8.
	Slots int `json:"slots,omitempty"`
	// ChecksFence is set when the engine itself refuses old fencing numbers.
	ChecksFence bool `json:"checksFence,omitempty"`
	// Role is "both" (default), "prefill" or "decode".
	Role string `json:"role,omitempty"`
	// Leaving is set by an operator to drain the upstream.
	Leaving bool `json:"leaving,omitempty"`
}

// Rollout moves traffic of a model from one version to another in stages.
type Rollout struct {
	Description string `json:"description,omitempty"`
	// From and To are versions of one model.
	From string `json:"from"`
	To   string `json:"to"`
	// Stages are the shares of new work sent to the new version, rising,
	// 0 to 1.
	Stages []float64 `json:"stages"`
	// StageSeconds is the least time spent in a stage.
	StageSeconds int `json:"stageSeconds,omitempty"`
	// Stage is the index of the current stage.
	Stage int `json:"stage,omitempty"`
	// State is "running" (default), "paused", "aborted" or "done".
	State string `json:"state,omitempty"`
}

// The states of a roll-out.
const (
	RolloutRunning = "running"
	RolloutPaused  = "paused"
	RolloutAborted = "aborted"
	RolloutDone    = "done"
)

// Defaults and bounds of the objects' fields.
const (
	DefaultQualityTarget   = 0.9
	DefaultPriorQuality    = 0.5
	DefaultHoldLevel       = 4.5
	MinHoldLevel           = 2.0
	MaxHoldLevel           = 10.0
	DefaultEscalate        = 0.5
	DefaultWeight          = 1.0
	DefaultSlots           = 8
	DefaultServiceDeadline = 10 * time.Second
)
