// Package admission decides which requests run now, which wait and which are
// refused. It decides before anything is dispatched, so a refused request has
// the outcome "not run".
//
// Controller has no clock and no goroutines: the time is passed to each call and
// decisions are returned as events. An entry uses one Controller with limits per
// organisation and adaptive concurrency limits. An agent uses one per upstream
// with a fixed number of slots. Limiter wraps a Controller and blocks callers
// until they are admitted or refused.
package admission

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Ticket identifies one submitted request.
type Ticket uint64

// Request describes a request for admission.
type Request struct {
	Organisation string
	// Target names the version or service that will run the request. Each
	// target has its own queue and limit, so that a target with busy upstreams
	// does not slow the others. The empty name is a target as well.
	Target string
	// Priority is the priority class; 0 is the most urgent. See
	// catalog.Priority.Level.
	Priority int
	// PromptTokens and OutputTokens are the size of the request.
	// defaultOutputTokens is assumed for a prompt without OutputTokens. A
	// request with neither, as for a plain service, costs one token.
	PromptTokens int
	OutputTokens int
	// Deadline is when the caller stops waiting; zero means no deadline.
	Deadline time.Time
	// MaxWait bounds the wait of this request below Settings.MaxWait; zero sets no bound
	// of its own.
	MaxWait time.Duration
}

// promptTokensPerOutputToken is how many prompt tokens an engine processes in the
// time that it takes to generate one output token.
const promptTokensPerOutputToken = 16

// defaultOutputTokens is the assumed answer length of a request that gives none.
const defaultOutputTokens = 128

// cost returns the estimated work of the request, in output tokens.
func (r *Request) cost() float64 {
	out := r.OutputTokens
	if out == 0 && r.PromptTokens > 0 {
		out = defaultOutputTokens
	}
	return max(1, float64(out)+float64(r.PromptTokens)/promptTokensPerOutputToken)
}

// lane returns the index of the request's lane, by the time left to its deadline.
// Lanes keep short requests from queueing behind long ones of the same
// organisation.
func (r *Request) lane(now time.Time) int {
	if r.Deadline.IsZero() {
		return len(laneBudgets)
	}
	budget := r.Deadline.Sub(now)
	for i, maxBudget := range laneBudgets {
		if budget <= maxBudget {
			return i
		}
	}
	return len(laneBudgets)
}

// laneBudgets are the maximum times to the deadline of all lanes but the last, which
// has no maximum.
var laneBudgets = [...]time.Duration{time.Second, 3 * time.Second, 10 * time.Second, 30 * time.Second}

const lanes = len(laneBudgets) + 1

// Event is the decision on one ticket. Each ticket gets exactly one event, unless
// it is cancelled first.
type Event struct {
	Ticket Ticket
	// Refused is nil when the request may run now.
	Refused *result.Error
}

// Feedback is what the end of a request showed about the load.
type Feedback struct {
	// RunTime is the time from admission to the end of the answer or to the
	// deadline, whichever is earlier; 0 if the request ended in another way.
	RunTime time.Duration
	// Busy is set when an agent refused the request because no slot was free.
	Busy bool
	// Queued and Slots are the queue length and the number of slots in the
	// load report that came with the answer. Zero Slots means
	// catalog.DefaultSlots.
	Queued int
	Slots  int
	// Late is set when the answer missed its deadline.
	Late bool
}

// congestedQueue is the queue length, as a share of the slots, above which an
// upstream counts as congested. A shorter queue is needed to keep its batch full.
const congestedQueue = 0.25

// congested reports whether the feedback shows congestion of the upstream.
func (f Feedback) congested() bool {
	slots := f.Slots
	if slots == 0 {
		slots = catalog.DefaultSlots
	}
	return f.Busy || f.Late || float64(f.Queued) > congestedQueue*float64(slots)
}

// Settings configures a Controller. Zero fields take the defaults.
type Settings struct {
	// Limit is the initial number of requests of a target that may run at a
	// time.
	Limit int
	// MinLimit and MaxLimit bound the adaptive limit of a target. MaxLimit also
	// bounds the running requests across all targets. If they are equal, the
	// limit is fixed and only SetLimit changes it.
	MinLimit int
	MaxLimit int
	// Queue bounds the waiting requests across all organisations and targets.
	Queue int
	// MaxWait bounds the wait of a request, whatever its deadline.
	MaxWait time.Duration
	// FullCode is the error code of a refusal because the queue is full.
	FullCode result.Code
	// Random returns random numbers from 0 to 1, which spread the retry times
	// of refused requests.
	Random func() float64
	// WeightsOnly disables the rate and in-flight limits of organisations.
	// Agents set it, since entries have applied these limits already.
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

// maxWaitShare is the share of the time to its deadline that a request may spend
// waiting. A request that would wait longer is refused early, so that its caller
// can try elsewhere.
const maxWaitShare = 0.25

// The queue of an agent is short: a request that would wait long is refused, so
// that the entry can send it to another host.
const (
	// upstreamQueuePerSlot is the maximum number of waiting requests per slot.
	upstreamQueuePerSlot = 0.5
	// upstreamMaxWait bounds the wait for a slot.
	upstreamMaxWait = 2 * time.Second
)

// NewUpstreamController returns the Controller that an agent uses for one upstream.
// It has a fixed number of slots and a short queue, and refuses with UpstreamBusy
// when the queue is full.
func NewUpstreamController(slots int, random func() float64) *Controller {
	return NewController(Settings{
		Limit: slots, MinLimit: slots, MaxLimit: slots,
		Queue:    max(1, int(upstreamQueuePerSlot*float64(slots))),
		MaxWait:  upstreamMaxWait,
		FullCode: result.UpstreamBusy,
		Random:   random,

		WeightsOnly: true,
	})
}

// classWeights are the factors on an organisation's weight by priority class. Since
// they are weights in fair queueing, a lower class is slowed but never starved.
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
