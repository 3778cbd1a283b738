package gateway

import "sync/atomic"

// memoryBudget is memory that all requests share for buffering large answers. It guards
// against faulty upstreams that send bodies without end to many requests at once, each of
// which may reach the maximum answer size.
type memoryBudget struct{ available atomic.Int64 }

// answerMemoryShare is the share of the process's memory that buffered answers may take:
// copies made while buffers grow and uncollected garbage take several times as much.
const answerMemoryShare = 1.0 / 8

func newMemoryBudget(memoryMB int) *memoryBudget {
	r := &memoryBudget{}
	r.available.Store(int64(answerMemoryShare * float64(memoryMB) * (1 << 20)))
	return r
}

// reserveMemory reserves memory for an answer to the request; it reports whether enough
// was available.
func (q *request) reserveMemory(bytes int64) bool {
	if q.memory.available.Add(-bytes) < 0 {
		q.memory.available.Add(bytes)
		return false
	}
	q.reservedBytes += bytes
	return true
}

// releaseMemory returns all memory that the request has reserved.
func (q *request) releaseMemory() { q.memory.available.Add(q.reservedBytes) }
