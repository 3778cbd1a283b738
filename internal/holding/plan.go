// Package holding decides what a process takes in for others: connections, heads and bodies
// of requests, and answers that wait for their readers. All of it is admitted against one
// budget before it is held. When the budget is spent, a Share names the client to close, or
// refuses the newcomer. The package does no I/O and reads no clock.
package holding

// Estimates of what a process holds for one client, in bytes.
const (
	// ReceiveBuffer is the size to set for the receive buffers of sockets. What waits in
	// them unread counts as memory of the process.
	ReceiveBuffer = 16 << 10
	// TLSBytes is what TLS takes for a connection.
	TLSBytes = 48 << 10
	// connectionBytes is a connection without a request: a goroutine, two buffers of
	// net/http and the receive buffer.
	connectionBytes = 20<<10 + ReceiveBuffer
	// RequestBytes is a request in progress, less its head and body: its state, the
	// connection to an upstream and the receive buffer of that.
	RequestBytes = 24<<10 + ReceiveBuffer
	// headLineBytes is one line of a head: an entry in the map of headers, and in the one
	// that is forwarded.
	headLineBytes = 256
	// headByteCopies is how often the bytes of a head are held.
	headByteCopies = 2
)

// HeadCost returns what the given bytes and lines of a head take once they are parsed.
func HeadCost(bytes, lines int) int64 {
	return int64(bytes)*headByteCopies + int64(lines)*headLineBytes
}

// Parts of the memory of a process.
const (
	// ownBytes is what the process needs for itself: the program and the runtime, the
	// configuration and the tables of upstreams and peers.
	ownBytes = 36_000_000
	// outsideRuntime is the part of ownBytes that the runtime does not count: the pages of
	// the program itself.
	outsideRuntime = 20_000_000
	// slackShare is the share of the memory that stays free.
	slackShare = 0.1
	// heldShare is the share of the memory beyond ownBytes that may be held for others. The
	// rest is for garbage that has not been collected yet.
	heldShare = 0.5
	// leastHeld is held even where the memory is less than MinMemory.
	leastHeld = 8_000_000
	// operatorsShare is the share of what is held that each listener for the platform and
	// for operators has for itself.
	operatorsShare = 1.0 / 24
)

// Parts of the descriptors of a process.
const (
	// reservedFiles are for files.
	reservedFiles = 200
	// operatorConnections bounds the connections of each listener for the platform and for
	// operators.
	operatorConnections = 32
	// ownSockets are for listeners, the store and peers.
	ownSockets = 32
	// callersShare is the share of the other sockets that is for callers; the rest is for
	// upstreams.
	callersShare = 0.6
)

// MinMemory is the least memory of a process in bytes: it holds one body of several
// megabytes beside ordinary requests.
const MinMemory = 56_000_000

// MinDescriptors is the least number of descriptors of a process.
const MinDescriptors = reservedFiles + ownSockets + 2*operatorConnections + 64

// Limits bound what is held for the clients of one listener.
type Limits struct {
	// Bytes bounds all that is held.
	Bytes int64
	// Connections bounds the open connections.
	Connections int
}

// Part returns a part of the limits.
func (l Limits) Part(share float64) Limits {
	return Limits{Bytes: int64(share * float64(l.Bytes)), Connections: int(share * float64(l.Connections))}
}

// Plan divides the memory and the descriptors of a process.
type Plan struct {
	// Callers is for the listener for callers, Operators for each of the other listeners.
	Callers, Operators Limits
	// Upstreams bounds the connections to upstreams.
	Upstreams int
	// Runtime is the memory limit to set for the runtime, in bytes.
	Runtime int64
}

// NewPlan returns the plan for a process that may use the given memory in bytes and
// descriptors.
func NewPlan(memory int64, descriptors int) Plan {
	held := max(leastHeld, int64(heldShare*float64(memory-ownBytes)))
	operators := int64(operatorsShare * float64(held))
	sockets := max(MinDescriptors, descriptors) - reservedFiles - ownSockets - 2*operatorConnections
	callers := int(callersShare * float64(sockets))
	return Plan{
		Callers:   Limits{Bytes: held - 2*operators, Connections: callers},
		Operators: Limits{Bytes: operators, Connections: operatorConnections},
		Upstreams: sockets - callers,
		Runtime:   max(leastHeld, int64((1-slackShare)*float64(memory))-outsideRuntime),
	}
}
