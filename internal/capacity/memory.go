package capacity

import "time"

// Memory is what is known about the memory of one engine.
type Memory struct {
	// CapacityTokens is its size; zero when unknown.
	CapacityTokens int
	// ResidentTokens is what running generations hold or will hold: their prompts and the
	// answers that are expected of them.
	ResidentTokens float64
	// RunTime is how long a generation holds its memory on average.
	RunTime time.Duration
}

// usableMemoryShare is the share of an engine's memory that is filled. The rest is for
// answers that get longer than expected: an engine out of memory preempts running requests.
const usableMemoryShare = 0.9

// Wait returns the time until the engine has memory for a generation that needs the given
// tokens. It answers long prompts in a burst upon too few engines: slots are free then
// while memory is not, and what is sent there preempts what runs and evicts cached prompts.
func (m Memory) Wait(need float64) time.Duration {
	over := m.ResidentTokens + need - usableMemoryShare*float64(m.CapacityTokens)
	if m.CapacityTokens <= 0 || over <= 0 || m.ResidentTokens <= 0 {
		return 0
	}
	return time.Duration(over / m.ResidentTokens * float64(m.RunTime))
}

// Holds reports whether the engine can ever hold a generation of the given tokens.
func (m Memory) Holds(need int) bool { return m.CapacityTokens <= 0 || need <= m.CapacityTokens }

// RunTime is the learned time that generations of a service run. The zero value has
// learned nothing.
type RunTime struct{ mean time.Duration }

const (
	// runTimeWeight is the weight of one generation in the mean.
	runTimeWeight = 0.05
	// defaultRunTime is assumed until a generation has ended.
	defaultRunTime = 3 * time.Second
)

// Learn adds the time of a generation that has ended.
func (r *RunTime) Learn(took time.Duration) {
	if r.mean == 0 {
		r.mean = took
	}
	r.mean += time.Duration(runTimeWeight * float64(took-r.mean))
}

// Mean returns the mean time.
func (r *RunTime) Mean() time.Duration {
	if r.mean == 0 {
		return defaultRunTime
	}
	return r.mean
}
