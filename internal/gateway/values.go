package gateway

import (
	"sync"

	"tarragonbay.example/tarragonbay/internal/placement"
)

// valueTracker estimates the value of requests by their size, for each route.
type valueTracker struct {
	mu     sync.Mutex
	routes map[string]*placement.RequestValue
}

func newValueTracker() *valueTracker {
	return &valueTracker{routes: map[string]*placement.RequestValue{}}
}

// of returns the value of a request relative to the mean of its route.
func (tr *valueTracker) of(q *request) float64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	v := tr.routes[q.route.Name]
	if v == nil {
		v = &placement.RequestValue{}
		tr.routes[q.route.Name] = v
	}
	return v.Of(q.tokens())
}
