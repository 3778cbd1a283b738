package peers

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/quarantine"
)

// Everyone is the number of receivers that stands for all listed gateways.
const Everyone = 0

// SendCrashes sends a report on crashes of upstreams to the given number of listed gateways, drawn
// at random, in as many datagrams as it needs. Gateways whose program does not know such reports
// take it for an addition without requests; those that do not know holds read the rest.
func (t *Gossip) SendCrashes(r quarantine.Report, receivers int, now time.Time) {
	to := t.addresses()
	if receivers != Everyone && receivers < len(to) {
		rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		to = to[:receivers]
	}
	if len(to) == 0 {
		return
	}
	for _, m := range splitCrashes(encodeCrashes(r, now)) {
		t.send(&gossipv1.News{Gateway: t.opts.Name, Incarnation: t.opts.Incarnation, Addition: true, Crashes: m}, to)
	}
}

// maxCrashBytes bounds a part of a report; the rest of a datagram is for the gateway's name.
const maxCrashBytes = maxDatagramBytes - 1024

// splitCrashes divides a report that does not fit a datagram.
func splitCrashes(m *gossipv1.CrashReport) []*gossipv1.CrashReport {
	if proto.Size(m) <= maxCrashBytes {
		return []*gossipv1.CrashReport{m}
	}
	rest := &gossipv1.CrashReport{
		Cleared: m.GetCleared(), ClearedMsAgo: m.GetClearedMsAgo(), ClearedAnswers: m.GetClearedAnswers(),
		Boots: m.GetBoots(), CrashedMsAgo: m.GetCrashedMsAgo(), Lifted: m.GetLifted(), LiftedMsAgo: m.GetLiftedMsAgo(),
	}
	out := []*gossipv1.CrashReport{rest} // its bounds fit a datagram
	part := &gossipv1.CrashReport{}
	size := 0
	room := func(n int) *gossipv1.CrashReport {
		if size += n + fieldOverhead; size > maxCrashBytes || len(out) == 1 {
			part, size = &gossipv1.CrashReport{}, n+fieldOverhead
			out = append(out, part)
		}
		return part
	}
	for _, a := range m.GetAttempts() {
		p := room(proto.Size(a))
		p.Attempts = append(p.Attempts, a)
	}
	for _, h := range m.GetHolds() {
		p := room(proto.Size(h))
		p.Holds = append(p.Holds, h)
	}
	return out
}

// fieldOverhead is the most that the tag and the length of a submessage take, in bytes.
const fieldOverhead = 4

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
		m.ClearedAnswers = append(m.ClearedAnswers, c.Answers)
	}
	for _, h := range r.Holds {
		told := &gossipv1.ToldHold{
			Name: uint64(h.Name), SinceMsAgo: ageMS(h.Since, now), PlacedMsAgo: ageMS(h.Placed, now),
			LeftMs: ageMS(now, h.Until), Crashes: uint32(max(0, h.Crashes)), Answers: uint32(max(0, h.Answers)),
		}
		for _, f := range h.Features {
			told.Features = append(told.Features, uint64(f))
		}
		m.Holds = append(m.Holds, told)
	}
	for _, l := range r.Lifted {
		m.Lifted, m.LiftedMsAgo = append(m.Lifted, uint64(l.Name)), append(m.LiftedMsAgo, ageMS(l.At, now))
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
			c := quarantine.Clearance{Feature: quarantine.Feature(f), SentAt: timeOf(m.GetClearedMsAgo()[i], now)}
			if len(m.GetClearedAnswers()) == len(m.GetCleared()) {
				c.Answers = m.GetClearedAnswers()[i]
			}
			r.Clearances = append(r.Clearances, c)
		}
	}
	for _, told := range m.GetHolds() {
		if len(told.GetFeatures()) > quarantine.MaxFeatures {
			continue // without some of its features, it would apply to more requests
		}
		h := quarantine.Hold{
			Name: quarantine.Feature(told.GetName()), Since: timeOf(told.GetSinceMsAgo(), now), Placed: timeOf(told.GetPlacedMsAgo(), now),
			Until: now.Add(min(time.Duration(told.GetLeftMs())*time.Millisecond, quarantine.HoldTime)), Crashes: int(told.GetCrashes()), Answers: int(told.GetAnswers()),
		}
		for _, f := range told.GetFeatures() {
			h.Features = append(h.Features, quarantine.Feature(f))
		}
		r.Holds = append(r.Holds, h)
	}
	if len(m.GetLifted()) == len(m.GetLiftedMsAgo()) {
		for i, f := range m.GetLifted() {
			r.Lifted = append(r.Lifted, quarantine.Lifting{Name: quarantine.Feature(f), At: timeOf(m.GetLiftedMsAgo()[i], now)})
		}
	}
	if len(m.GetBoots()) == len(m.GetCrashedMsAgo()) {
		for i, b := range m.GetBoots() {
			r.Crashes = append(r.Crashes, quarantine.Crash{Boot: quarantine.Boot(b), At: timeOf(m.GetCrashedMsAgo()[i], now)})
		}
	}
	return r
}
