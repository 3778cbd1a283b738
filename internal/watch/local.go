package watch

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/rollout"
)

// localWatch follows the failures of one version on this host.
type localWatch struct {
	detector  *rollout.Detector
	good, bad float64
	// until is the end of the present quarantine.
	until time.Time
}

// localMemory is the weight of answers kept for the comparison with the other
// versions on the host.
const localMemory = 200

// Ended takes the end of an answer on this host. A version whose failures
// stand out among all versions here is quarantined at once, before any entry
// knows.
func (h *Host) Ended(version string, failed bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := catalog.VersionName(version)
	l := h.local[name]
	if l == nil {
		l = &localWatch{detector: rollout.NewDetector(rollout.DetectorSettings{}, now)}
		h.local[name] = l
	}
	l.count(failed)
	verdict := l.detector.Observe(rollout.SignalFailure, failed, localBaseline, now)
	if verdict == rollout.Trusted || h.hostIsIll(name, l) {
		return
	}
	l.until = now.Add(quarantineFor)
	l.detector = rollout.NewDetector(rollout.DetectorSettings{}, now)
}

// localBaseline is the failure rate that is tolerated of a version on a host.
const localBaseline = 0.02

// hostIsIll reports whether the other versions here fail as well: then no
// version is quarantined, and the choice of host ejects the host.
func (h *Host) hostIsIll(name catalog.VersionName, l *localWatch) bool {
	tally := rollout.HostTally{Host: h.name, Good: int(l.good), Bad: int(l.bad)}
	for other, x := range h.local {
		if other != name {
			tally.OtherGood += int(x.good)
			tally.OtherBad += int(x.bad)
		}
	}
	fault, _ := rollout.Attribute([]rollout.HostTally{tally}, localBaseline)
	return fault == rollout.HostFault
}

func (l *localWatch) count(failed bool) {
	if failed {
		l.bad++
	} else {
		l.good++
	}
	if n := l.good + l.bad; n > localMemory {
		l.good *= localMemory / n
		l.bad *= localMemory / n
	}
}
