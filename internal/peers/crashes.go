package peers

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/quarantine"
)

// SendCrashes sends a report on crashes of upstreams to all listed gateways. Gateways whose
// program does not know such reports take it for an addition without requests.
func (t *Gossip) SendCrashes(r quarantine.Report, now time.Time) {
	to := t.addresses()
	if len(to) == 0 {
		return
	}
	t.send(&gossipv1.News{
		Gateway: t.opts.Name, Incarnation: t.opts.Incarnation, Addition: true, Crashes: encodeCrashes(r, now),
	}, to)
}

// ageMS returns the age of a time in a gossip message, in milliseconds.
func ageMS(at, now time.Time) uint32 {
	return uint32(max(0, min(now.Sub(at), maxAge)) / time.Millisecond)
}

// timeOf is the inverse of ageMS.
func timeOf(ms uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

func encodeCrashes(r quarantine.Report, now time.Time) *gossipv1.CrashReport {
	m := &gossipv1.CrashReport{}
	for _, a := range r.Strikes {
		s := &gossipv1.StruckAttempt{
			Boot: uint32(a.Boot), Request: a.Request, SentMsAgo: ageMS(a.SentAt, now), EndedMsAgo: ageMS(a.EndedAt, now),
			Began: a.Began, GivenUp: a.GivenUp,
		}
		for _, f := range a.Features {
			s.Features = append(s.Features, uint64(f))
		}
		m.Attempts = append(m.Attempts, s)
	}
	for _, c := range r.Clearances {
		m.Cleared, m.ClearedMsAgo = append(m.Cleared, uint64(c.Feature)), append(m.ClearedMsAgo, ageMS(c.SentAt, now))
	}
	for _, c := range r.Crashes {
		m.Boots, m.CrashedMsAgo = append(m.Boots, uint32(c.Boot)), append(m.CrashedMsAgo, ageMS(c.At, now))
	}
	return m
}

// decodeCrashes returns the report in a gossip message. It leaves out columns that differ in
// length.
func decodeCrashes(m *gossipv1.CrashReport, now time.Time) (r quarantine.Report) {
	for _, s := range m.GetAttempts() {
		a := quarantine.Attempt{
			Boot: quarantine.Boot(s.GetBoot()), Request: s.GetRequest(),
			SentAt: timeOf(s.GetSentMsAgo(), now), EndedAt: timeOf(s.GetEndedMsAgo(), now), Began: s.GetBegan(), GivenUp: s.GetGivenUp(),
		}
		for _, f := range s.GetFeatures() {
			if len(a.Features) < quarantine.MaxFeatures {
				a.Features = append(a.Features, quarantine.Feature(f))
			}
		}
		r.Strikes = append(r.Strikes, a)
	}
	if len(m.GetCleared()) == len(m.GetClearedMsAgo()) {
		for i, f := range m.GetCleared() {
			r.Clearances = append(r.Clearances, quarantine.Clearance{Feature: quarantine.Feature(f), SentAt: timeOf(m.GetClearedMsAgo()[i], now)})
		}
	}
	if len(m.GetBoots()) == len(m.GetCrashedMsAgo()) {
		for i, b := range m.GetBoots() {
			r.Crashes = append(r.Crashes, quarantine.Crash{Boot: quarantine.Boot(b), At: timeOf(m.GetCrashedMsAgo()[i], now)})
		}
	}
	return r
}
