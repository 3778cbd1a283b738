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

// factor returns what has been learned of a model. The name may be a caller's own, so nothing
// is kept for it.
func (tr *speedTracker) factor(service, model string) float64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if s := tr.speeds[speedKey{service, model}]; s != nil {
		return s.Factor()
	}
	return (&placement.Speed{}).Factor()
}

func (tr *speedTracker) observe(service, model string, work, expected, took time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	k := speedKey{service, model}
	s := tr.speeds[k]
	if s == nil {
		s = &placement.Speed{}
		tr.speeds[k] = s
	}
	s.Learn(work, expected, took)
}
