package gateway

import "sync/atomic"

// room is memory that all requests share for what is held of large answers. It answers
// upstreams in trouble that send bodies without end to many requests at once, each of
// which may be as long as the longest answer.
type memoryBudget struct{ available atomic.Int64 }

// answersPart of the process's memory may be held by large answers: copies while they
// grow and what is not collected yet take several times as much.
const answerMemoryShare = 1.0 / 8

func newMemoryBudget(memoryMB int) *memoryBudget {
	r := &memoryBudget{}
	r.available.Store(int64(answerMemoryShare * float64(memoryMB) * (1 << 20)))
	return r
}

// room takes so many bytes for an answer to the request, if they are there.
func (q *request) reserveMemory(bytes int64) bool {
	if q.memory.available.Add(-bytes) < 0 {
		q.memory.available.Add(bytes)
		return false
	}
	q.reservedBytes += bytes
	return true
}

// giveBack returns what the request has taken.
func (q *request) releaseMemory() { q.memory.available.Add(q.reservedBytes) }
