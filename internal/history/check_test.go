package history

import (
	"bytes"
	"io"
	"slices"
	"strings"
	"testing"
	"time"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var answerA = Digest([]byte("answer of a"))

// good is a history in which every promise holds: a model request of a
// session, a booking with a repeated key, a refusal, a publication that
// withdraws a version, an upstream that leaves and a planned stop.
func good() []Event {
	first := &Config{Allowed: map[string][]string{"org": {"m@1", "m@2", "desk"}}, Hash: "h1"}
	second := &Config{Allowed: first.Allowed, Withdrawn: []string{"m@2"}, Hash: "h2"}
	booked := Digest([]byte("booked"))
	return []Event{
		{Kind: Published, At: at(0), Revision: 1, Config: first},
		{Kind: InForce, At: at(10), Source: "entry-1", Revision: 1},
		{Kind: Asked, At: at(5000), Request: "a", Organisation: "org", Session: "s"},
		{Kind: Ran, At: at(5010), Request: "a", Attempt: "a1", Version: "m@1", Upstream: "e1"},
		{Kind: Served, At: at(5100), Request: "a", Attempt: "a1", Version: "m@1", Upstream: "e1", Digest: answerA},
		{Kind: Answered, At: at(5110), Request: "a", Whole: true, Version: "m@1", Digest: answerA, Revision: 1, Session: "s"},
		{Kind: Asked, At: at(5200), Request: "b", Organisation: "org", Service: "desk", Key: "k", Once: true},
		{Kind: Ran, At: at(5210), Request: "b", Attempt: "b1", Service: "desk", Key: "k", Upstream: "d1"},
		{Kind: Served, At: at(5220), Request: "b", Attempt: "b1", Service: "desk", Key: "k", Upstream: "d1", Digest: booked},
		{Kind: Answered, At: at(5230), Request: "b", Whole: true, Digest: booked},
		{Kind: Asked, At: at(5300), Request: "b2", Organisation: "org", Service: "desk", Key: "k", Once: true},
		{Kind: Answered, At: at(5310), Request: "b2", Whole: true, Replayed: true, Digest: booked},
		{Kind: Asked, At: at(5400), Request: "c", Organisation: "org"},
		{Kind: Answered, At: at(5410), Request: "c", Outcome: "not_run", Code: 3002},
		{Kind: Published, At: at(6000), Revision: 2, Config: second},
		{Kind: InForce, At: at(6100), Source: "entry-1", Revision: 2},
		{Kind: Leaving, At: at(6200), Upstream: "e2"},
		{Kind: Stopping, At: at(7000), Source: "entry-1"},
		{Kind: Stopped, At: at(7500), Source: "entry-1"},
		{Kind: Asked, At: at(10000), Request: "d", Organisation: "org", Session: "s"},
		{Kind: Ran, At: at(10010), Request: "d", Attempt: "d1", Version: "m@1", Upstream: "e1"},
		{Kind: Served, At: at(10020), Request: "d", Attempt: "d1", Version: "m@1", Upstream: "e1", Digest: "d"},
		{Kind: Answered, At: at(10030), Request: "d", Whole: true, Version: "m@1", Digest: "d", Revision: 2, Session: "s"},
		{Kind: Charged, At: at(20000), Request: "a", Organisation: "org", Version: "m@1"},
		{Kind: Charged, At: at(20000), Request: "b", Organisation: "org", Service: "desk"},
		{Kind: Charged, At: at(20000), Request: "d", Organisation: "org", Version: "m@1"},
	}
}

func TestGoodHistoryHasNoViolation(t *testing.T) {
	r := Check(good())
	if len(r.Violations) != 0 {
		t.Fatalf("violations %v", r.Violations)
	}
	if r.Requests != 5 || r.Whole != 4 || r.Refused != 1 || r.Runs != 3 {
		t.Errorf("counts %v", r)
	}
}

// edit changes the first event of a kind and request.
func edit(events []Event, k Kind, request string, f func(*Event)) []Event {
	i := slices.IndexFunc(events, func(e Event) bool { return e.Kind == k && e.Request == request })
	f(&events[i])
	return events
}

func without(events []Event, k Kind, request string) []Event {
	return slices.DeleteFunc(events, func(e Event) bool { return e.Kind == k && e.Request == request })
}

func TestEveryPromiseCanBeSeenBroken(t *testing.T) {
	tests := []struct {
		name string
		bad  func(h []Event) []Event
		want Invariant
	}{
		{"version of another organisation", func(h []Event) []Event {
			return append(h, Event{Kind: Ran, At: at(5020), Request: "a", Version: "x@1", Upstream: "e1"})
		}, Allowed},
		{"service not allowed", func(h []Event) []Event {
			return append(h, Event{Kind: Ran, At: at(5020), Request: "a", Service: "bank", Upstream: "d1"})
		}, Allowed},
		{"run before any revision", func(h []Event) []Event {
			return append(h, Event{Kind: Ran, At: at(-5000), Request: "a", Version: "m@1", Upstream: "e1"})
		}, Allowed},
		{"withdrawn version runs", func(h []Event) []Event {
			return append(h, Event{Kind: Ran, At: at(9500), Request: "d", Version: "m@2", Upstream: "e1"})
		}, Withdrawn},
		{"session moves", func(h []Event) []Event {
			for _, k := range []Kind{Ran, Served, Answered, Charged} {
				h = edit(h, k, "d", func(e *Event) { e.Version = "m@2" })
			}
			return h
		}, SessionPinned},
		{"billed twice", func(h []Event) []Event {
			return append(h, Event{Kind: Charged, Request: "a", Organisation: "org", Version: "m@1", At: at(20000)})
		}, BilledOnce},
		{"billed for a step that did not run", func(h []Event) []Event {
			return append(h, Event{Kind: Charged, Request: "a", Step: 1, Organisation: "org", Version: "m@1", At: at(20000)})
		}, BilledOnce},
		{"not billed", func(h []Event) []Event { return without(h, Charged, "a") }, BilledOnce},
		{"billed to another", func(h []Event) []Event {
			return edit(h, Charged, "a", func(e *Event) { e.Organisation = "other" })
		}, BilledOnce},
		{"billed without a run", func(h []Event) []Event {
			return append(h, Event{Kind: Charged, Request: "c", Organisation: "org", Version: "m@1", At: at(20000)})
		}, BilledOnce},
		{"billed for another version", func(h []Event) []Event {
			return edit(h, Charged, "a", func(e *Event) { e.Version = "m@2" })
		}, BilledOnce},
		{"dropped tail", func(h []Event) []Event {
			return edit(h, Answered, "a", func(e *Event) { e.Digest = Digest([]byte("answer of")) })
		}, WholeAnswer},
		{"crossed answers", func(h []Event) []Event {
			return edit(h, Answered, "a", func(e *Event) { e.Digest = "d" })
		}, WholeAnswer},
		{"answer from nowhere", func(h []Event) []Event { return without(h, Served, "a") }, WholeAnswer},
		{"told another version", func(h []Event) []Event {
			return edit(h, Answered, "a", func(e *Event) { e.Version = "m@2" })
		}, WholeAnswer},
		{"run that no one asked for", func(h []Event) []Event {
			return append(h, Event{Kind: Ran, At: at(5000), Request: "ghost", Version: "m@1", Upstream: "e1"})
		}, WholeAnswer},
		{"wrong not run", func(h []Event) []Event {
			return append(h, Event{Kind: Ran, At: at(5405), Request: "c", Version: "m@1", Upstream: "e1"})
		}, NotRunIsTrue},
		{"not run, and run later", func(h []Event) []Event {
			return append(h, Event{Kind: Ran, At: at(30000), Request: "c", Version: "m@1", Upstream: "e1"})
		}, NotRunIsTrue},
		{"dispatched twice", func(h []Event) []Event {
			return append(h, Event{Kind: Ran, At: at(5215), Request: "b", Attempt: "b9", Service: "desk", Key: "k", Upstream: "d2"})
		}, AtMostOnce},
		{"attempt dispatched twice", func(h []Event) []Event {
			return append(h, Event{Kind: Ran, At: at(5020), Request: "a", Attempt: "a1", Version: "m@1", Upstream: "e1"})
		}, AtMostOnce},
		{"repeated key runs again", func(h []Event) []Event {
			return append(h, Event{Kind: Ran, At: at(5305), Request: "b2", Service: "desk", Key: "k", Upstream: "d2"})
		}, AtMostOnce},
		{"told not run, run, and run again for the repeat", func(h []Event) []Event {
			return append(h,
				Event{Kind: Asked, At: at(5240), Request: "e", Organisation: "org", Service: "desk", Key: "k2", Once: true},
				Event{Kind: Ran, At: at(5241), Request: "e", Attempt: "e1", Service: "desk", Key: "k2", Upstream: "d1"},
				Event{Kind: Answered, At: at(5250), Request: "e", Outcome: "not_run", Code: 3001},
				Event{Kind: Asked, At: at(5260), Request: "e2", Organisation: "org", Service: "desk", Key: "k2", Once: true},
				Event{Kind: Ran, At: at(5261), Request: "e2", Attempt: "e3", Service: "desk", Key: "k2", Upstream: "d2"},
				Event{Kind: Answered, At: at(5270), Request: "e2", Outcome: "ran", Code: 4002})
		}, AtMostOnce},
		{"another key at the upstream", func(h []Event) []Event {
			return edit(h, Ran, "b", func(e *Event) { e.Key = "other" })
		}, AtMostOnce},
		{"replayed but not billed", func(h []Event) []Event {
			return without(edit(h, Answered, "b", func(e *Event) { e.Whole, e.GaveUp = false, true }), Charged, "b")
		}, BilledOnce},
		{"work for a leaving upstream", func(h []Event) []Event {
			return append(h, Event{Kind: Ran, At: at(9300), Request: "d", Version: "m@1", Upstream: "e2"})
		}, NoWorkLeaving},
		{"cut by a planned stop", func(h []Event) []Event {
			return append(h,
				Event{Kind: Asked, At: at(6900), Request: "x", Organisation: "org"},
				Event{Kind: Answered, At: at(7100), Request: "x", Outcome: "ran", Code: 4002})
		}, GracefulStop},
		{"planned stop fails", func(h []Event) []Event {
			return append(h, Event{Kind: Stopping, At: at(8000), Source: "agent-1"}, Event{Kind: Stopped, At: at(8001), Source: "agent-1", Code: 1})
		}, GracefulStop},
		{"planned stop hangs", func(h []Event) []Event {
			return append(h, Event{Kind: Stopping, At: at(8000), Source: "agent-1"})
		}, GracefulStop},
		{"daemon reverts", func(h []Event) []Event {
			return append(h, Event{Kind: InForce, At: at(6200), Source: "entry-1", Revision: 1})
		}, NoRevert},
		{"publication reverts", func(h []Event) []Event {
			return append(h, Event{Kind: Published, At: at(7000), Revision: 1, Config: &Config{Allowed: map[string][]string{"org": {"m@1"}}}})
		}, NoRevert},
		{"one number, two sets", func(h []Event) []Event {
			return append(h, Event{Kind: Published, At: at(6001), Revision: 2, Config: &Config{Hash: "h3", Allowed: map[string][]string{"org": {"m@1", "m@2"}}}})
		}, NoRevert},
		{"answer on an old revision", func(h []Event) []Event {
			return edit(h, Answered, "d", func(e *Event) { e.Revision = 1 })
		}, NoRevert},
		{"answer without a question", func(h []Event) []Event {
			return append(h, Event{Kind: Answered, At: at(1), Request: "y"})
		}, BadHistory},
		{"one ID asked twice", func(h []Event) []Event {
			return append(h, Event{Kind: Asked, At: at(5001), Request: "a", Organisation: "org"})
		}, BadHistory},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := Check(tt.bad(good())).Broken(); !slices.Contains(got, tt.want) {
				t.Errorf("broken %v, want %q", got, tt.want)
			}
		})
	}
}

func TestWhatIsNoViolation(t *testing.T) {
	tests := []struct {
		name string
		add  []Event
		opts Options
	}{
		{"withdrawn version within its time", []Event{{Kind: Ran, At: at(8900), Request: "d", Version: "m@2", Upstream: "e1"}}, Options{}},
		{"leaving upstream within its time", []Event{{Kind: Ran, At: at(9100), Request: "d", Version: "m@1", Upstream: "e2"}}, Options{}},
		{"returned upstream", []Event{{Kind: Returned, At: at(9200), Upstream: "e2"}, {Kind: Ran, At: at(9900), Request: "d", Version: "m@1", Upstream: "e2"}}, Options{}},
		{"cut after a fault", []Event{
			{Kind: Fault, At: at(6950), Note: "kill agent-1"},
			{Kind: Asked, At: at(6900), Request: "x", Organisation: "org"},
			{Kind: Answered, At: at(7100), Request: "x", Outcome: "unknown", Code: 4003}}, Options{}},
		{"refused during a stop", []Event{
			{Kind: Asked, At: at(6900), Request: "x", Organisation: "org"},
			{Kind: Answered, At: at(7100), Request: "x", Outcome: "not_run", Code: 3007}}, Options{}},
		{"lost charge that is permitted", []Event{
			{Kind: Asked, At: at(6000), Request: "x", Organisation: "org"},
			{Kind: Ran, At: at(6010), Request: "x", Version: "m@1", Upstream: "e1"},
			{Kind: Served, At: at(6020), Request: "x", Version: "m@1", Upstream: "e1", Digest: "x"},
			{Kind: Answered, At: at(6030), Request: "x", Whole: true, Digest: "x"}}, Options{LostCharges: 1}},
	}
	for _, tt := range tests {
		if r := Check(append(good(), tt.add...), tt.opts); len(r.Violations) != 0 {
			t.Errorf("%s: %v", tt.name, r.Violations)
		}
	}
}

func TestEventsSurviveAStreamWithOtherOutput(t *testing.T) {
	var out bytes.Buffer
	rec := NewRecorder(&out, "engine-1")
	for _, e := range good() {
		_, _ = io.WriteString(&out, "ready 127.0.0.1:1\n")
		if err := rec.Record(e); err != nil {
			t.Fatal(err)
		}
	}
	_, _ = io.WriteString(&out, `{"event":"ran","at":"20`)
	got, err := Read(&out)
	if err != nil || len(got) != len(good()) {
		t.Fatalf("read %d events, %v", len(got), err)
	}
	if got[3].Source != "engine-1" || !got[3].At.Equal(at(5010)) || len(Check(got).Violations) != 0 {
		t.Errorf("event %+v", got[3])
	}
	if _, err := Read(strings.NewReader(`{"event":7}` + "\n")); err == nil {
		t.Error("a damaged event was read")
	}
}
