package membership

import (
	"slices"
	"strings"
	"time"
)

// Probe is one heartbeat to send.
type Probe struct {
	Host Host
}

// Next returns a heartbeat to send now. When none is due it returns false and
// the time to call again.
func (v *View) Next(now time.Time) (Probe, time.Time, bool) {
	v.resetAfterPause(now)
	m := v.nextDue(now)
	at := now.Add(v.settings.MinHeartbeatInterval)
	if m != nil {
		at = m.nextAt
	}
	if ready := v.limiter.ready(now); ready.After(at) {
		at = ready
	}
	if m == nil || at.After(now) {
		v.wakeAt = at
		return Probe{}, at, false
	}
	v.limiter.spend()
	m.inFlight = true
	m.nextAt = now.Add(responseTimeout)
	v.wakeAt = now
	return Probe{Host: m.host}, now, true
}

// resetAfterPause restarts the silence period of every host when this process
// itself was paused, so that the pause does not count as silence.
func (v *View) resetAfterPause(now time.Time) {
	if v.wakeAt.IsZero() || now.Sub(v.wakeAt) <= maxWakeDelay {
		return
	}
	for _, m := range v.members {
		m.inFlight = false
		m.silentSince = now
	}
}

// nextDue returns the watched member whose heartbeat is due first; a due suspect
// goes before all others.
func (v *View) nextDue(now time.Time) *member {
	postponed := v.suppressed(now)
	var best *member
	for _, m := range v.watched {
		if m.state == Removed || postponed[m] || (m.inFlight && m.nextAt.After(now)) {
			continue
		}
		if best == nil || dueBefore(m, best, now) {
			best = m
		}
	}
	return best
}

func dueBefore(a, b *member, now time.Time) bool {
	aUrgent := a.state == Suspect && !a.nextAt.After(now)
	bUrgent := b.state == Suspect && !b.nextAt.After(now)
	if aUrgent != bUrgent {
		return aUrgent
	}
	return a.nextAt.Before(b.nextAt)
}

// suppressed returns the silent hosts that are not probed for now. In a failure
// domain that is silent as a whole only a few canaries are probed, which is
// enough to detect that a cut link is back. The canaries rotate, so that a dead
// one does not hide the return of its domain.
func (v *View) suppressed(now time.Time) map[*member]bool {
	silent := map[string][]*member{}
	reached := map[string]bool{}
	for _, m := range v.watched {
		if m.state == Silent {
			silent[m.host.Domain] = append(silent[m.host.Domain], m)
		} else if m.state != Removed {
			reached[m.host.Domain] = true
		}
	}
	postponed := map[*member]bool{}
	turn := int(now.Unix() / int64(canaryRotation/time.Second))
	for domain, members := range silent {
		if reached[domain] {
			continue
		}
		for i, m := range members {
			postponed[m] = (i+turn)%len(members) >= canariesPerDomain
		}
	}
	return postponed
}

// HostStatus is the state of one host in a state dump.
type HostStatus struct {
	Host        string `json:"host"`
	Domain      string `json:"domain"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving,omitempty"`
	Watched     bool   `json:"watched,omitempty"`
}

// Dump returns every host, sorted by name.
func (v *View) Dump() []HostStatus {
	out := make([]HostStatus, 0, len(v.members))
	for _, m := range v.members {
		out = append(out, HostStatus{
			Host:        m.host.Name,
			Domain:      m.host.Domain,
			State:       m.state.String(),
			Incarnation: m.incarnation,
			Leaving:     m.leaving(),
			Watched:     m.watched,
		})
	}
	slices.SortFunc(out, func(a, b HostStatus) int { return strings.Compare(a.Host, b.Host) })
	return out
}

// Host returns a host that the configuration names.
func (v *View) Host(name string) (Host, bool) {
	m := v.members[name]
	if m == nil {
		return Host{}, false
	}
	return m.host, true
}

// State returns the state of a host, and false for one that the
// configuration does not name.
func (v *View) State(host string) (State, bool) {
	m := v.members[host]
	if m == nil {
		return Unknown, false
	}
	return m.state, true
}

// UnreachableDomains returns the failure domains whose watched hosts are all silent.
func (v *View) UnreachableDomains() (unreachable []string) {
	silent := map[string]bool{}
	for _, m := range v.watched {
		isSilent, seen := silent[m.host.Domain]
		silent[m.host.Domain] = m.state == Silent && (isSilent || !seen)
	}
	for d, isSilent := range silent {
		if isSilent {
			unreachable = append(unreachable, d)
		}
	}
	slices.Sort(unreachable)
	return unreachable
}
