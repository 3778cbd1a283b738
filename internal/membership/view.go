package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/ports"
)

// View holds the state of all hosts as one daemon sees it. It is not safe for
// concurrent use; the Runner guards it.
type View struct {
	settings Settings
	members  map[string]*member
	// watched is the subset that gets heartbeats.
	watched []*member
	limiter byteLimiter
	// wakeAt is when Next is expected to be called; a later call means that this
	// process was paused.
	wakeAt time.Time
}

// NewView returns a view of no hosts.
func NewView(s Settings) *View {
	s.setDefaults()
	return &View{settings: s, members: map[string]*member{}, limiter: newByteLimiter(s.BytesPerSecond)}
}

// SetHosts applies the hosts of a new revision. The state of a host that
// stays is kept; a host whose agent has another address starts anew.
func (v *View) SetHosts(hosts []Host, now time.Time) {
	next := make(map[string]*member, len(hosts))
	for _, h := range hosts {
		m := v.members[h.Name]
		if m == nil || m.host.Agent != h.Agent {
			m = &member{nextAt: now, interval: v.settings.MinHeartbeatInterval}
		}
		m.host = h
		next[h.Name] = m
	}
	v.members = next
	v.selectWatched(now)
}

// selectWatched selects the subset: the lowest ranks of each failure domain in
// turn, so that every domain is covered.
func (v *View) selectWatched(now time.Time) {
	byDomain := map[string][]*member{}
	for _, m := range v.members {
		byDomain[m.host.Domain] = append(byDomain[m.host.Domain], m)
	}
	domains := slices.Sorted(maps.Keys(byDomain))
	for _, d := range domains {
		slices.SortFunc(byDomain[d], func(a, b *member) int {
			return cmp.Compare(rank(v.settings.Entry, a.host.Name), rank(v.settings.Entry, b.host.Name))
		})
	}
	before := v.watched
	v.watched = nil
	for place := 0; len(v.watched) < min(v.settings.SubsetSize, len(v.members)); place++ {
		for _, d := range domains {
			if place < len(byDomain[d]) && len(v.watched) < v.settings.SubsetSize {
				v.watched = append(v.watched, byDomain[d][place])
			}
		}
	}
	for _, m := range before {
		m.watched = false
	}
	for _, m := range v.watched {
		if !m.watched && m.nextAt.Before(now) {
			m.nextAt = now
		}
		m.watched = true
	}
}

// RecordResponse records a response. A response to an older request from
// another incarnation than the latest is dropped.
func (v *View) RecordResponse(host string, b Observation, now time.Time) []Event {
	m := v.members[host]
	if m == nil {
		return nil
	}
	v.completeHeartbeat(m, b.Bytes)
	if b.Incarnation != m.incarnation && b.SentAt.Before(m.lastSentAt) {
		return nil
	}
	var events []Event
	restarted := m.incarnation != 0 && b.Incarnation != m.incarnation
	m.incarnation = b.Incarnation
	if b.SentAt.After(m.lastSentAt) {
		m.lastSentAt = b.SentAt
	}
	if restarted {
		events = append(events, m.event(HostRestarted))
	}
	events = append(events, v.markAlive(m, now)...)
	if !b.SentAt.Before(m.lastSentAt) {
		events = append(events, m.setLeaving(b.leaving(m), m.listedLeaving)...)
	}
	v.scheduleHeartbeat(m, b, now)
	return events
}

// completeHeartbeat ends a heartbeat in flight; responses to requests have no bytes.
func (v *View) completeHeartbeat(m *member, bytes int) {
	if bytes > 0 {
		m.inFlight = false
		v.limiter.recordSize(bytes)
	}
}

// markAlive records that a host responded.
func (v *View) markAlive(m *member, now time.Time) []Event {
	before := m.state
	m.state = Alive
	m.absences = 0
	if before == Alive || before == Suspect {
		return nil
	}
	if before == Silent || before == Removed {
		v.spreadProbes(m.host.Domain, now)
		m.interval = v.settings.MinHeartbeatInterval
	}
	return []Event{m.event(HostReachable)}
}

// spreadProbes spreads the probes of a failure domain that comes back.
func (v *View) spreadProbes(domain string, now time.Time) {
	for _, m := range v.watched {
		if m.host.Domain != domain || m.state != Silent {
			continue
		}
		share := float64(rank(v.settings.Entry, m.host.Agent)>>11) / (1 << 53)
		m.interval = v.settings.MinSilentBackoff
		m.nextAt = now.Add(time.Duration(share * float64(recoverySpread)))
	}
}

// setLeaving sets both leaving flags and returns the resulting change.
func (m *member) setLeaving(reported, listed bool) []Event {
	before := m.leaving()
	m.reportedLeaving, m.listedLeaving = reported, listed
	switch {
	case !before && m.leaving():
		return []Event{m.event(HostLeaving)}
	case before && !m.leaving():
		return []Event{m.event(HostLeaveCancelled)}
	}
	return nil
}

// scheduleHeartbeat sets the time of the next heartbeat. The interval doubles
// while nothing changes. Each response to a request postpones the heartbeat.
func (v *View) scheduleHeartbeat(m *member, b Observation, now time.Time) {
	switch {
	case b.Changed, m.interval < v.settings.MinHeartbeatInterval, b.Bytes == 0:
		m.interval = v.settings.MinHeartbeatInterval
	default:
		m.interval = min(2*m.interval, v.settings.MaxHeartbeatInterval)
	}
	m.nextAt = now.Add(m.interval)
}

// RecordRequestFailure records a failed request. It only brings the next
// probe forward: many requests may fail together on one broken connection.
func (v *View) RecordRequestFailure(host string, now time.Time) {
	if m := v.members[host]; m != nil && m.state == Alive {
		v.markSuspect(m, now)
	}
}

func (v *View) markSuspect(m *member, now time.Time) {
	m.state = Suspect
	m.nextAt = now.Add(v.settings.SuspectProbeDelay)
	m.interval = v.settings.MinSilentBackoff
}

// RecordHeartbeatFailure records a heartbeat that failed over a pooled and over
// a new connection. The first one makes the host suspect, the second one silent.
func (v *View) RecordHeartbeatFailure(host string, now time.Time) []Event {
	m := v.members[host]
	if m == nil {
		return nil
	}
	m.inFlight = false
	switch m.state {
	case Alive:
		v.markSuspect(m, now)
	case Unknown, Suspect:
		m.state = Silent
		m.silentSince = now
		m.interval = v.settings.MinSilentBackoff
		m.nextAt = now.Add(m.interval)
		return []Event{m.event(HostSilent)}
	case Silent:
		m.interval = min(max(v.settings.MinSilentBackoff, 2*m.interval), v.settings.MaxSilentBackoff)
		m.nextAt = now.Add(m.interval)
		return m.removeIfDead(v.settings.RemoveAfter, now)
	case Removed:
	}
	return nil
}

// removeIfDead removes a host that has been silent for long enough and that
// the host list lacks as well.
func (m *member) removeIfDead(after time.Duration, now time.Time) []Event {
	if m.state != Silent || m.absences < minAbsences || now.Sub(m.silentSince) < after {
		return nil
	}
	m.state = Removed
	return []Event{m.event(HostRemoved)}
}

// ApplyHostList applies one read of the host list. The list lags, so a host that
// responds is alive even if the list lacks it. A host that the list has never named
// is not removed for missing from it.
func (v *View) ApplyHostList(list []ports.HostState, now time.Time) []Event {
	byName := make(map[string]ports.HostState, len(list))
	for _, s := range list {
		byName[s.Name] = s
	}
	var events []Event
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[name]
		s, listed := byName[name]
		if !listed && !m.listed {
			continue
		}
		m.listed = true
		if !listed {
			m.absences++
			events = append(events, m.removeIfDead(v.settings.RemoveAfter, now)...)
			continue
		}
		m.absences = 0
		if m.state == Removed {
			m.state = Unknown
			m.nextAt = now
			m.interval = v.settings.MinSilentBackoff
		}
		events = append(events, m.setLeaving(m.reportedLeaving, s.Leaving)...)
	}
	return events
}
