package bench

// Bounds that CI checks. They are counts, and each is written from a target,
// not from a measurement.
const (
	// The target of 2,000 unary requests/s per core leaves 500 us of
	// processor time for a request in entry and agent together. A fifth of it
	// may go into memory, 100 us. At 200 ns for an allocation with its share
	// of the collection that is 500 allocations.
	maxAllocations = 500
	// A core collects and clears about 1 GB/s, so 100 us are 100 KB.
	maxAllocatedBytes = 100 << 10
	// The target of 0.1 ms between tokens leaves 100 us for an event in both
	// daemons. A tenth of it may go into memory: 50 allocations.
	maxEventAllocations = 50
	// A unary answer is one call on the link: a second one would cost a round
	// trip of the 1 ms that the product may add.
	maxLinkCalls = 1
	// At 16,000 requests/s before one agent host with a link of 1 Gbit/s,
	// a quarter of the link may go into what is neither body nor answer:
	// 31 MB/s, 1,950 bytes for a request.
	maxLinkOverhead = 1950
	// A token of a stream is one small frame. At 16,000 requests/s of 100
	// tokens, spread over 293 agents, each sends 5,500 events/s; a hundredth
	// of 1 Gbit/s may go into what is not the event, 227 bytes for each.
	maxEventOverhead = 227
	// The target is 32 KB for an idle stream in entry and agent together, the
	// agent's connection to the engine included. What is live can't be more
	// than that, whatever the collector lets stand beside it.
	maxLiveIdleBytes = 32 << 10
	// Once the answer of a stream has begun, no part of the path can send the
	// request again. One copy may stay at the agent, for an answer that will
	// be rated, and one in the buffer from which connect-go sent it, which the
	// library reuses for what it receives.
	maxPromptCopies = 2
)

// longPromptBytes is the prompt of a document that is asked about.
const longPromptBytes = 64 << 10
