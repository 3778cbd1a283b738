package gateway

import (
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/placement"
)

// speedTracker estimates how fast the engines of a service run each model.
type speedTracker struct {
	mu     sync.Mutex
	speeds map[speedKey]*placement.Speed
}

type speedKey struct{ service, model string }

func newSpeedTracker() *speedTracker { return &speedTracker{speeds: map[speedKey]*placement.Speed{}} }

func (tr *speedTracker) speed(service, model string) *placement.Speed {
	k := speedKey{service, model}
	s := tr.speeds[k]
	if s == nil {
		s = &placement.Speed{}
		tr.speeds[k] = s
	}
	return s
}

func (tr *speedTracker) factor(service, model string) float64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.speed(service, model).Factor()
}

func (tr *speedTracker) observe(service, model string, work, expected, took time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.speed(service, model).Learn(work, expected, took)
}
