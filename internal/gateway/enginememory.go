package gateway

import (
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/capacity"
	"tarragonbay.example/tarragonbay/internal/placement"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/routetable"
)

// runTimes learns how long generations run, by service.
type runTimes struct {
	mu       sync.Mutex
	services map[string]*capacity.RunTime
}

func newRunTimes() *runTimes { return &runTimes{services: map[string]*capacity.RunTime{}} }

// service returns the run time of a service. The caller holds r.mu.
func (r *runTimes) service(name string) *capacity.RunTime {
	s := r.services[name]
	if s == nil {
		s = &capacity.RunTime{}
		r.services[name] = s
	}
	return s
}

func (r *runTimes) mean(service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(service).Mean()
}

func (r *runTimes) learn(service string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).Learn(took)
}

// addMemory adds what a generation needs of an engine's memory to the job, where the
// settings ask for it. It refuses one that no engine can hold.
func (g *Gateway) addMemory(q *request, job *placement.Job) *result.Error {
	service := q.routeTable.Service(q.service)
	if q.route.Kind != routetable.Stream || service == nil {
		return nil
	}
	memory := capacity.Memory{CapacityTokens: service.MemoryTokens}
	if need := q.promptTokens + q.call.MaxTokens; !memory.Holds(need) {
		return result.New(result.EngineTooSmall, "the request takes %d tokens, an engine of %s holds %d", need, q.service, service.MemoryTokens)
	}
	if !g.settings().EngineMemory {
		return nil
	}
	job.MemoryTokens, job.RunTime = service.MemoryTokens, g.runTimes.mean(q.service)
	job.OutputTokens = q.call.ExpectedTokens
	if job.OutputTokens <= 0 {
		job.OutputTokens = q.call.MaxTokens
	}
	if q.call.MaxTokens > 0 {
		job.OutputTokens = min(job.OutputTokens, q.call.MaxTokens)
	}
	return nil
}
