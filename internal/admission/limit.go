package admission

import "time"

// adaptiveLimit determines how many requests may run at a time. The limit increases
// while it is fully used without congestion, and decreases by a factor when
// upstreams are congested (as in AIMD, with an increase proportional to the limit).
type adaptiveLimit struct {
	current  float64
	lower    float64
	upper    float64
	capacity float64
	exact    bool

	// The current window: its start, the requests that ended in it, how many of
	// them were congested, and the peak of running requests.
	windowStart time.Time
	releases    int
	congested   int
	peak        int
}

const (
	// limitWindow is the minimum time between two changes of the limit.
	limitWindow = 500 * time.Millisecond
	// congestedShare is the share of congested requests in a window above which
	// the limit decreases. Some requests hit a busy replica by chance.
	congestedShare = 0.2
	// decreaseFactor and increaseShare are the relative steps of the limit.
	decreaseFactor = 0.92
	increaseShare  = 0.1
	// saturatedShare is the share of the limit from which it counts as fully used.
	saturatedShare = 0.9
)

func newAdaptiveLimit(s Settings) adaptiveLimit {
	return adaptiveLimit{
		current: float64(s.Limit), lower: float64(s.MinLimit), upper: float64(s.MaxLimit),
		capacity: float64(s.MaxLimit),
		exact:    s.MinLimit == s.MaxLimit,
	}
}

func (l *adaptiveLimit) hasRoom(running int) bool { return float64(running) < l.bound() }

// bound returns the effective limit.
func (l *adaptiveLimit) bound() float64 { return min(l.current, l.capacity) }

// set makes the limit fixed at n.
func (l *adaptiveLimit) set(n float64) {
	l.current, l.lower, l.upper, l.capacity = n, n, n, n
	l.exact = true
}

func (l *adaptiveLimit) setCapacity(n float64) { l.capacity = max(1, n) }

// observeRelease records the end of a request; running is the number of requests that
// ran until then.
func (l *adaptiveLimit) observeRelease(running int, congested bool, now time.Time) {
	if l.exact {
		return
	}
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.releases++
	if congested {
		l.congested++
	}
	l.peak = max(l.peak, running)
	if now.Sub(l.windowStart) >= limitWindow {
		l.adjust()
		l.windowStart, l.releases, l.congested, l.peak = now, 0, 0, 0
	}
}

func (l *adaptiveLimit) adjust() {
	switch {
	case float64(l.congested) > congestedShare*float64(l.releases):
		l.current = max(l.lower, l.bound()*decreaseFactor)
	case float64(l.peak) >= saturatedShare*l.bound():
		l.current = max(l.current, min(l.upper, l.capacity, l.current+max(1, l.current*increaseShare)))
	}
}
