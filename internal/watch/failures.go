package watch

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/rollout"
)

// hostTally counts one signal of a version on one host: what is new since the
// last weighing, and what is recent.
type hostTally struct {
	newGood, newBad       int
	recentGood, recentBad float64
}

// fade is the part of a recent count that stays after each weighing. With one
// weighing a second, half of it is gone after 14 s.
const fade = 0.95

// Failed and Answered tell the end of one attempt of a version on a host.
func (f *Fleet) Failed(version catalog.VersionName, host string) { f.ended(version, host, true) }

// Answered tells of an attempt that brought a whole answer.
func (f *Fleet) Answered(version catalog.VersionName, host string) { f.ended(version, host, false) }

func (f *Fleet) ended(version catalog.VersionName, host string, bad bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.versions[version]
	if !ok {
		return
	}
	t := v.hosts[host]
	if t == nil {
		t = &hostTally{}
		v.hosts[host] = t
	}
	if bad {
		t.newBad++
		return
	}
	t.newGood++
}

// Weigh adds what ended since the last call to the evidence. Failures that lie
// with one host are left out: that host is ejected by the choice of host. It
// is called about once a second.
func (f *Fleet) Weigh(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.versions {
		for _, t := range v.hosts {
			t.recentGood += float64(t.newGood)
			t.recentBad += float64(t.newBad)
		}
	}
	for name, v := range f.versions {
		f.weigh(name, v, now)
	}
	for _, v := range f.versions {
		v.forget()
	}
}

func (f *Fleet) weigh(name catalog.VersionName, v *followed, now time.Time) {
	baseline := f.controlBaseline(name)
	fault, ill := rollout.Attribute(f.tallies(name, v), baseline)
	good, bad := 0, 0
	for host, t := range v.hosts {
		if host == ill && fault != rollout.NoFault {
			continue
		}
		good += t.newGood
		bad += t.newBad
	}
	if good+bad > 0 {
		v.monitor.Signal(rollout.SignalFailure, good, bad, baseline, now)
	}
}

// controlBaseline is the failure rate of all other versions.
func (f *Fleet) controlBaseline(name catalog.VersionName) float64 {
	good, bad := 0.0, 0.0
	for other, v := range f.versions {
		if other == name {
			continue
		}
		for _, t := range v.hosts {
			good += t.recentGood
			bad += t.recentBad
		}
	}
	return rollout.ControlBaseline(int(good), int(bad))
}

// tallies returns the version's counts on each host beside those of all other
// versions there.
func (f *Fleet) tallies(name catalog.VersionName, v *followed) []rollout.HostTally {
	var out []rollout.HostTally
	for host, t := range v.hosts {
		line := rollout.HostTally{Host: host, Good: int(t.recentGood), Bad: int(t.recentBad)}
		for other, x := range f.versions {
			if o := x.hosts[host]; o != nil && other != name {
				line.OtherGood += int(o.recentGood)
				line.OtherBad += int(o.recentBad)
			}
		}
		out = append(out, line)
	}
	return out
}

// forgetBelow is the recent count under which a host is dropped.
const forgetBelow = 0.5

// forget lets recent counts fade.
func (v *followed) forget() {
	for host, t := range v.hosts {
		t.newGood, t.newBad = 0, 0
		t.recentGood *= fade
		t.recentBad *= fade
		if t.recentGood+t.recentBad < forgetBelow {
			delete(v.hosts, host)
		}
	}
}
