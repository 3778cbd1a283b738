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

func (b *speedTracker) speed(service, model string) *placement.Speed {
	k := speedKey{service, model}
	s := b.speeds[k]
	if s == nil {
		s = &placement.Speed{}
		b.speeds[k] = s
	}
	return s
}

func (b *speedTracker) factor(service, model string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.speed(service, model).Factor()
}

func (b *speedTracker) observe(service, model string, work, expected, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.speed(service, model).Learn(work, expected, took)
}
