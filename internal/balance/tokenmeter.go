package balance

import (
	"sync"
	"time"
)

// TokenMeter measures the time between two tokens of the answers that an
// upstream streams: the mean in the best of the last windows. Processing a
// prompt concurrently slows some windows down, a degraded host all of them. It is
// safe for concurrent use; the zero value is ready.
type TokenMeter struct {
	mu sync.Mutex
	// windows is a ring of the current window and those before it, indexed by
	// number.
	windows [tokenWindows + 1]tokenWindow
}

// tokenWindow sums the tokens of one window.
type tokenWindow struct {
	number int64
	sum    time.Duration
	tokens int
}

const (
	// tokenWindowLength is the length of one window; tokenWindows is how many
	// full ones Best considers.
	tokenWindowLength = time.Second
	tokenWindows      = 4
	// minWindows is how many of them must hold minWindowTokens.
	minWindows = 2
	// minWindowTokens is how many tokens a window needs for its mean to count.
	minWindowTokens = 2
)

// Add records tokens that arrived, each a gap after the one before.
func (t *TokenMeter) Add(tokens int, gap time.Duration, now time.Time) {
	number := windowNumber(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	w := &t.windows[number%int64(len(t.windows))]
	if w.number != number {
		*w = tokenWindow{number: number}
	}
	w.sum += time.Duration(tokens) * gap
	w.tokens += tokens
}

// Best returns the mean time between tokens in the best of the last full
// windows, 0 when too few windows are known.
func (t *TokenMeter) Best(now time.Time) time.Duration {
	number := windowNumber(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	var best time.Duration
	known := 0
	for _, w := range t.windows {
		if w.number >= number || w.number < number-tokenWindows || w.tokens < minWindowTokens {
			continue
		}
		known++
		if mean := w.sum / time.Duration(w.tokens); best == 0 || mean < best {
			best = mean
		}
	}
	if known < minWindows {
		return 0
	}
	return best
}

func windowNumber(now time.Time) int64 { return now.UnixNano() / int64(tokenWindowLength) }
