package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/ports"
)

// View is what one daemon believes of all hosts. It is not safe for
// concurrent use; the Runner guards it.
type View struct {
	settings Settings
	members  map[string]*member
	// watched is the subset that gets heartbeats.
	watched []*member
	pace    pace
	// wake is when Next is expected to be called, to see a pause of this
	// process.
	wake time.Time
}

// NewView returns a view of no hosts.
func NewView(s Settings) *View {
	s.setDefaults()
	return &View{settings: s, members: map[string]*member{}, pace: newPace(s.BytesPerSecond)}
}

// SetHosts takes the hosts of a new revision. What is known of a host that
// stays is kept; a host whose agent has another address starts anew.
func (v *View) SetHosts(hosts []Host, now time.Time) {
	next := make(map[string]*member, len(hosts))
	for _, h := range hosts {
		m := v.members[h.Name]
		if m == nil || m.host.Agent != h.Agent {
			m = &member{due: now, interval: v.settings.QuietFirst}
		}
		m.host = h
		next[h.Name] = m
	}
	v.members = next
	v.chooseWatched(now)
}

// chooseWatched picks the subset: the lowest ranks of each failure domain in
// turn, so that every domain is seen.
func (v *View) chooseWatched(now time.Time) {
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
		if !m.watched && m.due.Before(now) {
			m.due = now
		}
		m.watched = true
	}
}

// Heard takes a sign of life. An answer that crossed with a newer one from
// another incarnation is dropped.
func (v *View) Heard(host string, b Beat, now time.Time) []Event {
	m := v.members[host]
	if m == nil {
		return nil
	}
	v.finished(m, b.Bytes)
	if b.Incarnation != m.incarnation && b.Asked.Before(m.asked) {
		return nil
	}
	var events []Event
	restarted := m.incarnation != 0 && b.Incarnation != m.incarnation
	m.incarnation = b.Incarnation
	if b.Asked.After(m.asked) {
		m.asked = b.Asked
	}
	if restarted {
		events = append(events, m.event(HostRestarted))
	}
	events = append(events, v.alive(m, now)...)
	if !b.Asked.Before(m.asked) {
		events = append(events, m.setLeaving(b.leaving(m), m.listedLeaving)...)
	}
	v.pauseAfterBeat(m, b, now)
	return events
}

// finished closes a heartbeat that is under way.
func (v *View) finished(m *member, bytes int) {
	if bytes > 0 {
		m.inFlight = false
		v.pace.measured(bytes)
	}
}

// alive notes that a host answered.
func (v *View) alive(m *member, now time.Time) []Event {
	before := m.state
	m.state = Alive
	m.absences = 0
	if before == Alive || before == Suspect {
		return nil
	}
	if before == Silent || before == Removed {
		v.spreadDomain(m.host.Domain, now)
		m.interval = v.settings.QuietFirst
	}
	return []Event{m.event(HostBack)}
}

// spreadDomain spreads the probes of a failure domain that comes back.
func (v *View) spreadDomain(domain string, now time.Time) {
	for _, m := range v.watched {
		if m.host.Domain != domain || m.state != Silent {
			continue
		}
		share := float64(rank(v.settings.Entry, m.host.Agent)>>11) / (1 << 53)
		m.interval = v.settings.SilentFirst
		m.due = now.Add(time.Duration(share * float64(returnSpread)))
	}
}

// setLeaving takes both sources of leaving and returns what changed.
func (m *member) setLeaving(said, listed bool) []Event {
	before := m.leaving()
	m.saidLeaving, m.listedLeaving = said, listed
	switch {
	case !before && m.leaving():
		return []Event{m.event(HostLeaving)}
	case before && !m.leaving():
		return []Event{m.event(HostStaying)}
	}
	return nil
}

// pauseAfterBeat plans the next heartbeat: later and later while nothing
// changes, and not at all while answers to work keep coming.
func (v *View) pauseAfterBeat(m *member, b Beat, now time.Time) {
	switch {
	case b.Changed, m.interval < v.settings.QuietFirst, b.Bytes == 0:
		m.interval = v.settings.QuietFirst
	default:
		m.interval = min(2*m.interval, v.settings.QuietMax)
	}
	m.due = now.Add(m.interval)
}

// Suspected takes a failure of work sent to a host. It only brings the next
// probe forward: many requests may fail together on one broken connection.
func (v *View) Suspected(host string, now time.Time) {
	if m := v.members[host]; m != nil && m.state == Alive {
		v.suspect(m, now)
	}
}

func (v *View) suspect(m *member, now time.Time) {
	m.state = Suspect
	m.due = now.Add(v.settings.SuspectPause)
	m.interval = v.settings.SilentFirst
}

// Failed takes a heartbeat that failed over a pooled and over a new
// connection. The first one makes the host suspect, the second one silent.
func (v *View) Failed(host string, now time.Time) []Event {
	m := v.members[host]
	if m == nil {
		return nil
	}
	m.inFlight = false
	switch m.state {
	case Alive:
		v.suspect(m, now)
	case Unheard, Suspect:
		m.state = Silent
		m.silentSince = now
		m.interval = v.settings.SilentFirst
		m.due = now.Add(m.interval)
		return []Event{m.event(HostSilent)}
	case Silent:
		m.interval = min(max(v.settings.SilentFirst, 2*m.interval), v.settings.SilentMax)
		m.due = now.Add(m.interval)
		return m.removeIfDead(v.settings.RemoveAfter, now)
	case Removed:
	}
	return nil
}

// removeIfDead removes a host that has been silent for long enough and that
// the host list lacks as well.
func (m *member) removeIfDead(after time.Duration, now time.Time) []Event {
	if m.state != Silent || m.absences < removeAbsences || now.Sub(m.silentSince) < after {
		return nil
	}
	m.state = Removed
	return []Event{m.event(HostRemoved)}
}

// Listed takes one read of the host list. The list lags, so a host that
// answers is alive whatever the list says. A host that the list has never named
// is not removed for missing from it.
func (v *View) Listed(list []ports.HostState, now time.Time) []Event {
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
			m.state = Unheard
			m.due = now
			m.interval = v.settings.SilentFirst
		}
		events = append(events, m.setLeaving(m.saidLeaving, s.Leaving)...)
	}
	return events
}
