package entry

import (
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// holdFor is how long an entry leaves a version alone after an agent said
// that it is quarantined. Agents say so again while it lasts.
const holdFor = 10 * time.Second

// heldVersions are the versions that some agent holds back on suspicion.
type heldVersions struct {
	mu    sync.Mutex
	until map[catalog.VersionName]time.Time
}

func (h *heldVersions) hold(v catalog.VersionName, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.until == nil {
		h.until = map[catalog.VersionName]time.Time{}
	}
	h.until[v] = now.Add(holdFor)
}

// list returns the held versions; nil when there are none.
func (h *heldVersions) list(now time.Time) []catalog.VersionName {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []catalog.VersionName
	for v, until := range h.until {
		if now.After(until) {
			delete(h.until, v)
			continue
		}
		out = append(out, v)
	}
	return out
}
