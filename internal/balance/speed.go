package balance

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// slowFactor is the multiple of the typical time between tokens above which
	// an upstream is slow.
	// An engine with a full batch takes about twice as long as an idle one.
	slowFactor = 3
	// minSlowTokenTime is the time between tokens up to which no upstream is
	// slow: below it callers notice nothing and scheduling delays dominate.
	minSlowTokenTime = 20 * time.Millisecond
	// minSpeedReports is how many upstreams of a pool must report their speed
	// before any of them counts as slow.
	minSpeedReports = 2
	// typicalSpeedInterval is how long a typical speed is used before it is
	// computed again.
	typicalSpeedInterval = 500 * time.Millisecond
)

// typicalSpeed is the median time between tokens in a pool.
type typicalSpeed struct {
	tokenTime atomic.Int64
	// until is when it is computed again, in Unix nanoseconds.
	until atomic.Int64
}

// typicalTokenTime returns the median of what the entry's subset of the pool
// reports, 0 while fewer than minSpeedReports report.
func (pl *pool) typicalTokenTime(now int64) int64 {
	until := pl.typical.until.Load()
	if now >= until && pl.typical.until.CompareAndSwap(until, now+int64(typicalSpeedInterval)) {
		pl.typical.tokenTime.Store(pl.medianTokenTime())
	}
	return pl.typical.tokenTime.Load()
}

func (pl *pool) medianTokenTime() int64 {
	var times []int64
	for _, m := range pl.subset {
		if t := m.tokenTime.Load(); t > 0 {
			times = append(times, t)
		}
	}
	if len(times) < minSpeedReports {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// classifySpeed ejects an upstream whose tokens take much longer than those of the
// others, so that a degraded host is found like one that fails. An upstream
// that serves several targets is slow only when it is slow in the pool of each.
// Only a normal speed brings it back, since it answers all the time.
func (p *Picker) classifySpeed(r *replica, now int64) {
	tokenTime := r.tokenTime.Load()
	if tokenTime == 0 {
		return
	}
	slow := p.slowAmongPeers(r, tokenTime, now)
	was := r.slow.Swap(slow)
	switch {
	case slow:
		r.health.recordFailure(now)
		p.eject(r, now)
	case was:
		// Its cache is warm, so it needs no slow start.
		r.health.recordSuccess()
	}
}

// slowAmongPeers reports whether the time between tokens is slow for each pool
// that the upstream belongs to.
func (p *Picker) slowAmongPeers(r *replica, tokenTime, now int64) bool {
	pools := p.view.Load().poolsOf[r]
	for _, pl := range pools {
		if !isSlow(tokenTime, pl.typicalTokenTime(now)) {
			return false
		}
	}
	for _, pl := range pools {
		// The cached typical time may be out of date.
		if !isSlow(tokenTime, pl.medianTokenTime()) {
			return false
		}
	}
	return len(pools) > 0
}

func isSlow(tokenTime, typical int64) bool {
	return typical > 0 && tokenTime > max(slowFactor*typical, int64(minSlowTokenTime))
}
