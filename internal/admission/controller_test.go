package admission

import (
	"fmt"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

var start = time.Unix(1_700_000_000, 0)

// exactController returns a Controller with a fixed limit.
func exactController(limit, queue int) *Controller {
	return NewController(Settings{Limit: limit, MinLimit: limit, MaxLimit: limit, Queue: queue})
}

// saturate keeps the organisation of each request in reqs backlogged, releases one
// request each millisecond and returns the cost admitted for each organisation.
func saturate(c *Controller, reqs []Request, releases int) map[string]float64 {
	got := map[string]float64{}
	byTicket := map[Ticket]*Request{}
	var running []Ticket
	record := func(events []Event) {
		for _, e := range events {
			if e.Refused == nil {
				running = append(running, e.Ticket)
				got[byTicket[e.Ticket].Organisation] += byTicket[e.Ticket].cost()
			}
		}
	}
	for i := range releases {
		now := start.Add(time.Duration(i) * time.Millisecond)
		for j := range reqs {
			f := c.targetQueue("").fair.flow(reqs[j].Organisation, reqs[j].Priority)
			for f.waiting < 3 {
				byTicket[c.next+1] = &reqs[j]
				_, events := c.Submit(&reqs[j], now)
				record(events)
			}
		}
		first := running[0]
		running = running[1:]
		record(c.Release(first, Feedback{}, now))
	}
	return got
}

func TestBackloggedOrganisationsGetTheirShare(t *testing.T) {
	tests := []struct {
		name string
		reqs []Request
		want map[string]float64 // share of all tokens
	}{
		{
			"large requests win nothing",
			[]Request{{Organisation: "a", OutputTokens: 1000}, {Organisation: "b", OutputTokens: 10}},
			map[string]float64{"a": 0.5, "b": 0.5},
		},
		{
			"classes are shares, and batch is not starved",
			[]Request{
				{Organisation: "a", Priority: 0, OutputTokens: 10},
				{Organisation: "b", Priority: 1, OutputTokens: 10},
				{Organisation: "c", Priority: 2, OutputTokens: 10},
			},
			map[string]float64{"a": 16.0 / 21, "b": 4.0 / 21, "c": 1.0 / 21},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := saturate(exactController(8, 100), tt.reqs, 20_000)
			total := 0.0
			for _, v := range got {
				total += v
			}
			for org, want := range tt.want {
				if share := got[org] / total; share < 0.95*want {
					t.Errorf("%s got %.3f of the tokens, want %.3f", org, share, want)
				}
			}
		})
	}
}

func TestFullQueueRefusesTheOrganisationOverItsShare(t *testing.T) {
	c := exactController(1, 10)
	for range 11 {
		c.Submit(&Request{Organisation: "large"}, start)
	}
	small, events := c.Submit(&Request{Organisation: "small"}, start)
	if len(events) != 1 || events[0].Ticket == small || !result.Is(events[0].Refused, result.QueueFull) {
		t.Fatalf("events are %+v, want a refusal of the large organisation", events)
	}
	if events[0].Refused.RetryAfter <= 0 {
		t.Fatal("the refusal has no retry time")
	}
}

func TestRequestThatCannotMeetItsDeadlineIsNotStarted(t *testing.T) {
	c := exactController(1, 100)
	c.Configure(limited(t, catalog.Limits{}), 1, start)
	// Requests with 10 s each run for 5 s.
	now := start
	for range 100 {
		ticket, _ := c.Submit(&Request{Organisation: "a", Deadline: now.Add(10 * time.Second)}, now)
		now = now.Add(5 * time.Second)
		c.Release(ticket, Feedback{RunTime: 5 * time.Second}, now)
	}
	refused := 0
	for range 2 * probeOneIn {
		ticket, events := c.Submit(&Request{Organisation: "a", Deadline: now.Add(4 * time.Second)}, now)
		if r := events[0].Refused; r != nil && r.Code == result.DeadlineTooClose {
			refused++
		}
		c.Release(ticket, Feedback{}, now)
	}
	if refused != 2*probeOneIn-2 {
		t.Fatalf("%d of %d refused at once, want all but 2 probes", refused, 2*probeOneIn)
	}
	c.Submit(&Request{Organisation: "a"}, now)
	waiting, events := c.Submit(&Request{Organisation: "a", Deadline: now.Add(25 * time.Second)}, now)
	if len(events) != 0 || len(c.Tick(now.Add(24*time.Second))) != 0 {
		t.Fatalf("events are %+v, want a wait", events)
	}
	events = c.Tick(now.Add(25*time.Second + 1))
	if len(events) != 1 || events[0].Ticket != waiting || !result.Is(events[0].Refused, result.DeadlineTooClose) {
		t.Fatalf("events are %+v, want a refusal as soon as the deadline cannot be met", events)
	}
}

// TestMixedRequestsAreNotRefusedForTheirMean guards against refusing short requests
// because of the mean run time of short and long ones. It runs both in one lane with
// unknown sizes, as on an agent.
func TestMixedRequestsAreNotRefusedForTheirMean(t *testing.T) {
	c := exactController(1, 10)
	c.Configure(limited(t, catalog.Limits{}), 1, start)
	for i := range 400 {
		now := start.Add(time.Duration(i) * 10 * time.Second)
		ticket, events := c.Submit(&Request{Organisation: "a", Deadline: now.Add(6 * time.Second)}, now)
		if events[0].Refused != nil {
			t.Fatalf("request %d was refused: %v", i, events[0].Refused)
		}
		run := 100 * time.Millisecond
		if i%3 == 0 {
			run = 8 * time.Second
		}
		c.Release(ticket, Feedback{RunTime: run}, now.Add(run))
	}
}

// limited returns a catalogue in which organisation a has the limits.
func limited(t *testing.T, l catalog.Limits) *catalog.Set {
	t.Helper()
	spec := fmt.Sprintf(`{"keys":[],"allow":[],"limits":{"requestsPerSecond":%v,"tokensPerSecond":%v,"inFlight":%d}}`,
		l.RequestsPerSecond, l.TokensPerSecond, l.InFlight)
	set, err := catalog.NewSet([]catalog.Object{{
		Key: catalog.Key{Kind: catalog.KindOrganisation, Name: "a"}, Spec: []byte(spec),
	}})
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func TestOrganisationLimits(t *testing.T) {
	tests := []struct {
		name   string
		limits catalog.Limits
		share  float64
		code   result.Code
		want   int
	}{
		{"requests", catalog.Limits{RequestsPerSecond: 10}, 1, result.RateLimited, 120},
		{"requests, half the entries", catalog.Limits{RequestsPerSecond: 10}, 0.5, result.RateLimited, 60},
		{"tokens", catalog.Limits{TokensPerSecond: 100}, 1, result.RateLimited, 120},
		{"in flight", catalog.Limits{InFlight: 7}, 1, result.TooManyInFlight, 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := exactController(1000, 10)
			c.Configure(limited(t, tt.limits), tt.share, start)
			admitted := 0
			for i := range 10_000 {
				now := start.Add(time.Duration(i) * time.Millisecond)
				ticket, events := c.Submit(&Request{Organisation: "a", OutputTokens: 10}, now)
				e := events[0]
				if e.Refused == nil {
					admitted++
					if tt.limits.InFlight == 0 {
						c.Release(ticket, Feedback{}, now)
					}
				} else if e.Refused.Code != tt.code || e.Refused.RetryAfter <= 0 {
					t.Fatalf("refused with %v, retry after %v", e.Refused, e.Refused.RetryAfter)
				}
			}
			if admitted > tt.want || admitted < tt.want*9/10 {
				t.Fatalf("%d admitted in 10 s, want %d", admitted, tt.want)
			}
		})
	}
}

// TestACongestedTargetSlowsNoOther guards against a shared limit or queue: while the
// upstreams of one version are busy, requests for another version must run at once.
func TestACongestedTargetSlowsNoOther(t *testing.T) {
	c := NewController(Settings{Limit: 20, Queue: 50})
	c.SetTargetCapacity("idle@1", 100)
	now := start
	for range 2000 {
		now = now.Add(5 * time.Millisecond)
		ticket, events := c.Submit(&Request{Organisation: "a", Target: "full@1"}, now)
		if len(events) > 0 && events[0].Refused == nil {
			c.Release(ticket, Feedback{Busy: true}, now)
		}
	}
	for range 60 {
		c.Submit(&Request{Organisation: "a", Target: "full@1"}, now)
	}
	for range 20 {
		_, events := c.Submit(&Request{Organisation: "b", Target: "idle@1"}, now)
		if len(events) != 1 || events[0].Refused != nil {
			t.Fatalf("events are %+v, want the request to run at once", events)
		}
	}
	for _, s := range c.State().Targets {
		if s.Target == "full@1" && (s.Limit >= 20 || float64(s.Running) >= s.Limit+1) {
			t.Fatalf("the congested version runs %d requests, its limit is %v", s.Running, s.Limit)
		}
	}
}

func TestAdaptiveLimitFollowsCongestion(t *testing.T) {
	run := func(l *adaptiveLimit, at time.Time, congested bool) time.Time {
		for range 2000 {
			at = at.Add(5 * time.Millisecond)
			l.observeRelease(int(l.bound()), congested, at)
		}
		return at
	}
	l := newAdaptiveLimit(Settings{Limit: 50, MinLimit: 4, MaxLimit: 400})
	l.setCapacity(100)
	at := run(&l, start, false)
	if l.bound() != 100 {
		t.Fatalf("without congestion the limit is %v, want the capacity of 100", l.bound())
	}
	at = run(&l, at, true)
	if l.bound() > 30 {
		t.Fatalf("under congestion the limit is %v", l.bound())
	}
	run(&l, at, false)
	if l.bound() < 60 {
		t.Fatalf("after congestion the limit is %v", l.bound())
	}
}
