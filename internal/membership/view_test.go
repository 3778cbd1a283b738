package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonbay.example/tarragonbay/internal/ports"
)

var start = time.Unix(1_800_000_000, 0)

// hosts makes n hosts in the domains in turn.
func hosts(n int, domains ...string) []Host {
	out := make([]Host, n)
	for i := range out {
		out[i] = Host{
			Name:   fmt.Sprintf("h%03d", i),
			Domain: domains[i%len(domains)],
			Agent:  fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		}
	}
	return out
}

func hostListOf(hs []Host) []ports.HostState {
	var out []ports.HostState
	for _, h := range hs {
		out = append(out, ports.HostState{Name: h.Name, Domain: h.Domain})
	}
	return out
}

func newTestView(hs []Host) *View {
	v := NewView(Settings{Entry: "e1"})
	v.SetHosts(hs, start)
	return v
}

func kinds(events []Event) []EventKind {
	var out []EventKind
	for _, e := range events {
		out = append(out, e.Kind)
	}
	return out
}

func wantKinds(t *testing.T, what string, got []Event, want ...EventKind) {
	t.Helper()
	if !slices.Equal(kinds(got), want) {
		t.Errorf("%s: got %v, want %v", what, kinds(got), want)
	}
}

func heartbeatResponse(at time.Time, incarnation uint64) Observation {
	return Observation{SentAt: at, Incarnation: incarnation, Bytes: 900}
}

// TestDeadHostAndCutLink checks that a silent host is removed only if the
// host list named it before and then lacks it.
func TestDeadHostAndCutLink(t *testing.T) {
	hs := hosts(1, "a")
	tests := []struct {
		name  string
		first []Host
		list  func(v *View, now time.Time) []Event
		want  State
	}{
		{"off the list: dead", hs, func(v *View, now time.Time) []Event { return v.ApplyHostList(nil, now) }, Removed},
		{"on the list: the link is cut", hs, func(v *View, now time.Time) []Event { return v.ApplyHostList(hostListOf(hs), now) }, Silent},
		{"no list: nothing is removed", hs, func(*View, time.Time) []Event { return nil }, Silent},
		{"never on the list: it says nothing", nil, func(v *View, now time.Time) []Event { return v.ApplyHostList(nil, now) }, Silent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := newTestView(hs)
			v.ApplyHostList(hostListOf(tt.first), start)
			wantKinds(t, "first answer", v.RecordResponse("h000", heartbeatResponse(start, 1), start), HostReachable)
			now := start.Add(time.Second)
			wantKinds(t, "first failure", v.RecordHeartbeatFailure("h000", now))
			wantKinds(t, "second failure", v.RecordHeartbeatFailure("h000", now), HostSilent)
			var events []Event
			for range 60 {
				now = now.Add(time.Minute)
				events = append(events, tt.list(v, now)...)
				events = append(events, v.RecordHeartbeatFailure("h000", now)...)
			}
			if got, _ := v.State("h000"); got != tt.want {
				t.Errorf("state %v, want %v", got, tt.want)
			}
			if tt.want == Removed {
				wantKinds(t, "removal", events, HostRemoved)
			}
			wantKinds(t, "return", v.RecordResponse("h000", heartbeatResponse(now, 1), now), HostReachable)
		})
	}
}

func TestResponseOverridesLaggingHostList(t *testing.T) {
	v := newTestView(hosts(1, "a"))
	v.ApplyHostList(hostListOf(hosts(1, "a")), start)
	now := start
	for range 10 {
		now = now.Add(10 * time.Second)
		v.RecordResponse("h000", heartbeatResponse(now, 1), now)
		wantKinds(t, "list without the host", v.ApplyHostList(nil, now))
	}
	if got, _ := v.State("h000"); got != Alive {
		t.Errorf("state %v", got)
	}
}

func TestRestartIsSeenAndLateAnswersAreDropped(t *testing.T) {
	v := newTestView(hosts(1, "a"))
	v.RecordResponse("h000", heartbeatResponse(start.Add(2*time.Second), 9), start.Add(3*time.Second))
	wantKinds(t, "late response of the previous incarnation", v.RecordResponse("h000", heartbeatResponse(start.Add(time.Second), 5), start.Add(4*time.Second)))
	if d := v.Dump(); d[0].Incarnation != 9 {
		t.Errorf("incarnation %d", d[0].Incarnation)
	}
	wantKinds(t, "restart with a lower number", v.RecordResponse("h000", heartbeatResponse(start.Add(5*time.Second), 4), start.Add(5*time.Second)), HostRestarted)
	wantKinds(t, "return after a pause", v.RecordHeartbeatFailure("h000", start.Add(6*time.Second)))
	wantKinds(t, "same incarnation", v.RecordResponse("h000", heartbeatResponse(start.Add(7*time.Second), 4), start.Add(7*time.Second)))
}

func TestLeavingFromBothSources(t *testing.T) {
	hs := hosts(1, "a")
	v := newTestView(hs)
	b := heartbeatResponse(start, 1)
	v.RecordResponse("h000", b, start)
	list := hostListOf(hs)
	list[0].Leaving = true
	wantKinds(t, "listed", v.ApplyHostList(list, start), HostLeaving)
	b.Leaving = true
	wantKinds(t, "reported as well", v.RecordResponse("h000", b, start))
	list[0].Leaving = false
	wantKinds(t, "listed as staying, still reported", v.ApplyHostList(list, start))
	b.Leaving = false
	wantKinds(t, "response to a request", v.RecordResponse("h000", Observation{SentAt: start, Incarnation: 1}, start))
	wantKinds(t, "revoked by a heartbeat", v.RecordResponse("h000", b, start), HostLeaveCancelled)
}

func TestFailedRequestsAloneMakeNoHostSilent(t *testing.T) {
	v := newTestView(hosts(1, "a"))
	v.RecordResponse("h000", heartbeatResponse(start, 1), start)
	for range 100 {
		v.RecordRequestFailure("h000", start)
	}
	probe, _, ok := v.Next(start.Add(DefaultSuspectProbeDelay))
	if got, _ := v.State("h000"); got != Suspect || !ok || probe.Host.Name != "h000" {
		t.Errorf("state %v, probe %v %v", got, probe, ok)
	}
}

func TestOwnPauseDoesNotCountAsSilence(t *testing.T) {
	v := newTestView(hosts(1, "a"))
	v.ApplyHostList(hostListOf(hosts(1, "a")), start)
	v.RecordResponse("h000", heartbeatResponse(start, 1), start)
	v.Next(start)
	v.RecordHeartbeatFailure("h000", start)
	v.RecordHeartbeatFailure("h000", start)
	v.ApplyHostList(nil, start)
	v.ApplyHostList(nil, start)
	now := start.Add(time.Hour)
	v.Next(now)
	wantKinds(t, "failure right after the pause", v.RecordHeartbeatFailure("h000", now))
	now = now.Add(DefaultRemoveAfter)
	wantKinds(t, "failure long after it", v.RecordHeartbeatFailure("h000", now), HostRemoved)
}

func TestSubsetIsBoundedStableAndSeesEveryDomain(t *testing.T) {
	hs := hosts(300, "a", "b", "c")
	watchers := map[string]int{}
	for e := range 40 {
		v := NewView(Settings{Entry: fmt.Sprintf("e%d", e)})
		v.SetHosts(hs, start)
		before := watchedOf(v)
		if len(before) != DefaultSubsetSize {
			t.Fatalf("%d hosts are watched", len(before))
		}
		for name, domain := range before {
			watchers[name]++
			watchers["domain "+domain]++
		}
		v.SetHosts(hs[1:], start)
		changed := 0
		for name := range watchedOf(v) {
			if _, ok := before[name]; !ok {
				changed++
			}
		}
		if changed > 1 {
			t.Errorf("one host went and %d others came into the subset", changed)
		}
	}
	for _, d := range []string{"a", "b", "c"} {
		if watchers["domain "+d] < 40*DefaultSubsetSize/4 {
			t.Errorf("domain %s is watched %d times", d, watchers["domain "+d])
		}
	}
}

func watchedOf(v *View) map[string]string {
	out := map[string]string{}
	for _, l := range v.Dump() {
		if l.Watched {
			out[l.Host] = l.Domain
		}
	}
	return out
}

// randomRun applies random events to one view.
type randomRun struct {
	t      *rapid.T
	view   *View
	now    time.Time
	hosts  []Host
	listed map[string]bool
}

func (w *randomRun) answer(host string) {
	w.view.RecordResponse(host, heartbeatResponse(w.now, uint64(rapid.IntRange(1, 2).Draw(w.t, "incarnation"))), w.now)
	if got, _ := w.view.State(host); got != Alive {
		w.t.Fatalf("%v after an answer", got)
	}
}

func (w *randomRun) fail(host string) {
	before, _ := w.view.State(host)
	w.view.RecordHeartbeatFailure(host, w.now)
	if got, _ := w.view.State(host); before == Alive && got != Suspect {
		w.t.Fatalf("one failure made an alive host %v", got)
	}
}

func (w *randomRun) list() {
	on := rapid.SliceOfDistinct(rapid.SampledFrom(w.hosts), func(h Host) string { return h.Name }).Draw(w.t, "list")
	w.view.ApplyHostList(hostListOf(on), w.now)
	clear(w.listed)
	for _, h := range on {
		w.listed[h.Name] = true
	}
}

func (w *randomRun) next() {
	if _, at, ok := w.view.Next(w.now); !ok && !at.After(w.now) {
		w.t.Fatal("nothing to send, and no later time to call again")
	}
}

func (w *randomRun) checkRemoved() {
	for _, h := range w.hosts {
		if got, _ := w.view.State(h.Name); got == Removed && w.listed[h.Name] {
			w.t.Fatalf("%s is removed and on the list", h.Name)
		}
	}
}

// TestViewInvariants checks the invariants of the view under random events.
func TestViewInvariants(t *testing.T) {
	hs := hosts(6, "a", "b")
	rapid.Check(t, func(t *rapid.T) {
		w := &randomRun{t: t, view: newTestView(hs), now: start, hosts: hs, listed: map[string]bool{}}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			host := hs[rapid.IntRange(0, 5).Draw(t, "host")].Name
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				w.answer(host)
			case 1:
				w.fail(host)
			case 2:
				w.list()
			case 3:
				w.next()
			}
			w.checkRemoved()
		}
	})
}
