package admission

import "time"

// adaptiveLimit finds how many requests may run at a time: it grows while it
// is used in full without congestion and shrinks when upstreams show queues
// (additive increase, multiplicative decrease).
type adaptiveLimit struct {
	current  float64
	least    float64
	most     float64
	capacity float64
	exact    bool

	// The window in which congestion is counted.
	from      time.Time
	releases  int
	congested int
	peak      int
}

const (
	// limitWindow is the longest window between two changes.
	limitWindow = 500 * time.Millisecond
	// congestedShare is the share of congested requests in a window from
	// which the limit shrinks. Some are so by chance, on a busy replica.
	congestedShare = 0.2
	// shrink and grow are the steps of the limit.
	shrink = 0.92
	grow   = 0.1
	// usedShare is the share of the limit that counts as used in full.
	usedShare = 0.9
)

func newAdaptiveLimit(s Settings) adaptiveLimit {
	return adaptiveLimit{
		current: float64(s.Limit), least: float64(s.MinLimit), most: float64(s.MaxLimit),
		capacity: float64(s.MaxLimit),
		exact:    s.MinLimit == s.MaxLimit,
	}
}

func (l *adaptiveLimit) room(running int) bool { return float64(running) < l.bound() }

func (l *adaptiveLimit) bound() float64 { return min(l.current, l.capacity) }

// set fixes the limit.
func (l *adaptiveLimit) set(n float64) {
	l.current, l.least, l.most, l.capacity = n, n, n, n
	l.exact = true
}

func (l *adaptiveLimit) setCapacity(n float64) { l.capacity = max(1, n) }

// released notes the end of a request while running requests ran.
func (l *adaptiveLimit) released(running int, congested bool, now time.Time) {
	if l.exact {
		return
	}
	if l.from.IsZero() {
		l.from = now
	}
	l.releases++
	if congested {
		l.congested++
	}
	l.peak = max(l.peak, running)
	if now.Sub(l.from) >= limitWindow {
		l.adjust()
		l.from, l.releases, l.congested, l.peak = now, 0, 0, 0
	}
}

func (l *adaptiveLimit) adjust() {
	switch {
	case float64(l.congested) > congestedShare*float64(l.releases):
		l.current = max(l.least, l.bound()*shrink)
	case float64(l.peak) >= usedShare*l.bound():
		l.current = max(l.current, min(l.most, l.capacity, l.current+max(1, l.current*grow)))
	}
}
