// Package admission decides which requests run now, which wait and which are
// refused before anything is dispatched, so that a refusal is a true "not
// run".
//
// The Controller is plain logic: time comes in with each call and decisions
// come back as events. The entry uses one with limits per organisation and an
// adaptive concurrency limit, the agent one with exact slots for each
// upstream. Limiter wraps a Controller for goroutines that wait.
package admission

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Ticket identifies one submitted request.
type Ticket uint64

// Request is what a decision depends on.
type Request struct {
	Organisation string
	// Target names the version or service that is to run the request. Each
	// target has its own queue and limit, so that one whose upstreams are
	// full slows no other. Empty is a target of its own.
	Target string
	// Priority is the class, 0 the most urgent; see catalog.Priority.Level.
	Priority int
	// PromptTokens and OutputTokens are what the request asks for. With a
	// prompt and no output a usual answer is assumed; both zero counts as one
	// token, as for a plain service.
	PromptTokens int
	OutputTokens int
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
}

// promptTokensPerOutputToken is how many prompt tokens an engine reads in the
// time it makes one token of an answer.
const promptTokensPerOutputToken = 16

// usualOutputTokens stands for the answer of a request that does not say.
const usualOutputTokens = 128

// cost is the request's demand in output tokens.
func (r *Request) cost() float64 {
	out := r.OutputTokens
	if out == 0 && r.PromptTokens > 0 {
		out = usualOutputTokens
	}
	return max(1, float64(out)+float64(r.PromptTokens)/promptTokensPerOutputToken)
}

// lane sorts a request by the time its caller gives it, so that short requests
// do not queue behind long ones of the same organisation.
func (r *Request) lane(now time.Time) int {
	if r.Deadline.IsZero() {
		return len(laneBudgets)
	}
	budget := r.Deadline.Sub(now)
	for i, most := range laneBudgets {
		if budget <= most {
			return i
		}
	}
	return len(laneBudgets)
}

// laneBudgets are the greatest budgets of the lanes but the last.
var laneBudgets = [...]time.Duration{time.Second, 3 * time.Second, 10 * time.Second, 30 * time.Second}

const lanes = len(laneBudgets) + 1

// Event is the decision about one ticket. Each ticket gets exactly one, unless
// it is cancelled first.
type Event struct {
	Ticket Ticket
	// Refused is nil when the request may run now.
	Refused *result.Error
}

// Feedback is what a request that ran told about the load.
type Feedback struct {
	// RunTime is the time from admission to the end of the answer, or to the
	// deadline when that came first; 0 when the request ended otherwise.
	RunTime time.Duration
	// Busy is set when an agent refused the request for want of a slot.
	Busy bool
	// Queued and Slots are the queue length and the slots that the load
	// report with the answer showed. Slots of 0 read as the default.
	Queued int
	Slots  int
	// Late is set when the answer missed its deadline.
	Late bool
}

// congestedQueue is the queue length, as a share of the slots, from which an
// upstream counts as congested. A shorter queue keeps its batch full.
const congestedQueue = 0.25

func (f Feedback) congested() bool {
	slots := f.Slots
	if slots == 0 {
		slots = catalog.DefaultSlots
	}
	return f.Busy || f.Late || float64(f.Queued) > congestedQueue*float64(slots)
}

// Settings of a Controller. Zero fields take the defaults.
type Settings struct {
	// Limit is the number of requests of a target that may run at a time at
	// first.
	Limit int
	// MinLimit and MaxLimit bound the adaptive limit of a target, MaxLimit
	// also the requests that run over all targets. When they are equal, the
	// limit is exact and only SetLimit changes it.
	MinLimit int
	MaxLimit int
	// Queue bounds the requests that wait, over all organisations.
	Queue int
	// MaxWait bounds the wait of a request, whatever its deadline.
	MaxWait time.Duration
	// FullCode is the code of a refusal when the queue is full.
	FullCode result.Code
	// Random returns fresh random numbers from 0 to 1, to spread the advice
	// when to come back.
	Random func() float64
	// WeightsOnly leaves rates and limits in flight to others: the entries
	// have applied them before a request reaches an agent.
	WeightsOnly bool
}

// Defaults of the settings.
const (
	DefaultLimit    = 64
	DefaultMinLimit = 4
	DefaultMaxLimit = 4096
	DefaultQueue    = 2048
	DefaultMaxWait  = 30 * time.Second
)

func (s *Settings) setDefaults() {
	if s.Limit == 0 {
		s.Limit = DefaultLimit
	}
	if s.MinLimit == 0 {
		s.MinLimit = DefaultMinLimit
	}
	if s.MaxLimit == 0 {
		s.MaxLimit = DefaultMaxLimit
	}
	if s.Queue == 0 {
		s.Queue = DefaultQueue
	}
	if s.MaxWait == 0 {
		s.MaxWait = DefaultMaxWait
	}
	if s.FullCode == result.OK {
		s.FullCode = result.QueueFull
	}
	if s.Random == nil {
		s.Random = func() float64 { return 0 }
	}
}

// maxWaitShare is the part of a request's budget that it may spend waiting. A
// longer wait is refused early, so that its caller can go elsewhere.
const maxWaitShare = 0.25

// The agent's queue is short: a request that waits long is better refused, so
// that the entry sends it elsewhere.
const (
	// gateQueuePerSlot is the number of requests that wait for each slot.
	gateQueuePerSlot = 0.5
	// gateMaxWait bounds the wait for a slot.
	gateMaxWait = 2 * time.Second
)

// NewGate returns the Controller an agent uses for one upstream: exact slots
// and a short queue. Refusals are UpstreamBusy.
func NewGate(slots int, random func() float64) *Controller {
	return NewController(Settings{
		Limit: slots, MinLimit: slots, MaxLimit: slots,
		Queue:    max(1, int(gateQueuePerSlot*float64(slots))),
		MaxWait:  gateMaxWait,
		FullCode: result.UpstreamBusy,
		Random:   random,

		WeightsOnly: true,
	})
}

// classWeights multiply an organisation's weight by its priority class. They
// are shares, so a lower class is slowed and never starved.
var classWeights = [...]float64{16, 4, 1}

func classWeight(level int) float64 {
	return classWeights[min(max(level, 0), len(classWeights)-1)]
}

func weightOf(o *catalog.Organisation) float64 {
	if o.Weight > 0 {
		return o.Weight
	}
	return catalog.DefaultWeight
}
