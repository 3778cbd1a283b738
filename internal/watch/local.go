package watch

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/rollout"
)

// localFailures detects failures of one version on this host.
type localFailures struct {
	detector  *rollout.Detector
	good, bad float64
	// quarantinedUntil is the end of the latest quarantine.
	quarantinedUntil time.Time
}

// maxLocalAnswers bounds the weight of answers kept per version for the comparison
// with the other versions on the host. Older answers are scaled down.
const maxLocalAnswers = 200

// RecordAnswer records the end of an answer on this host. A version that fails clearly
// more than the others here is quarantined at once, before any entry detects it.
func (h *Host) RecordAnswer(version string, failed bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := catalog.VersionName(version)
	l := h.local[name]
	if l == nil {
		l = &localFailures{detector: rollout.NewDetector(rollout.DetectorSettings{}, now)}
		h.local[name] = l
	}
	l.add(failed)
	verdict := l.detector.Observe(rollout.SignalFailure, failed, localBaseline, now)
	if verdict == rollout.Trusted || h.isHostFault(name, l) {
		return
	}
	l.quarantinedUntil = now.Add(quarantineDuration)
	l.detector = rollout.NewDetector(rollout.DetectorSettings{}, now)
}

// localBaseline is the tolerated failure rate of a version on a host.
const localBaseline = 0.02

// isHostFault reports whether the other versions here fail as well. In that case no
// version is quarantined, and host selection ejects the host.
func (h *Host) isHostFault(name catalog.VersionName, l *localFailures) bool {
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

func (l *localFailures) add(failed bool) {
	if failed {
		l.bad++
	} else {
		l.good++
	}
	if n := l.good + l.bad; n > maxLocalAnswers {
		l.good *= maxLocalAnswers / n
		l.bad *= maxLocalAnswers / n
	}
}
