package gateway

import (
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/placement"
)

// speedBook learns how fast the engines of a service run each model.
type speedBook struct {
	mu     sync.Mutex
	speeds map[speedKey]*placement.Speed
}

type speedKey struct{ service, model string }

func newSpeedBook() *speedBook { return &speedBook{speeds: map[speedKey]*placement.Speed{}} }

func (b *speedBook) of(service, model string) *placement.Speed {
	k := speedKey{service, model}
	s := b.speeds[k]
	if s == nil {
		s = &placement.Speed{}
		b.speeds[k] = s
	}
	return s
}

func (b *speedBook) factor(service, model string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service, model).Factor()
}

func (b *speedBook) learn(service, model string, work, expected, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service, model).Learn(work, expected, took)
}
