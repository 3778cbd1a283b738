package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonbay.example/tarragonbay/internal/result"
)

// controllerMachine drives a Controller with random calls. After each call it checks
// that a ticket gets at most one event, that no ticket is lost, that the limit and
// the queue bound hold, and that every refusal has the outcome "not run".
type controllerMachine struct {
	c       *Controller
	limit   int
	queue   int
	now     time.Time
	open    map[Ticket]bool
	running []Ticket
}

func (m *controllerMachine) record(t *rapid.T, events []Event) {
	for _, e := range events {
		if !m.open[e.Ticket] {
			t.Fatalf("second event for ticket %d", e.Ticket)
		}
		delete(m.open, e.Ticket)
		if e.Refused == nil {
			m.running = append(m.running, e.Ticket)
		} else if e.Refused.Outcome != result.NotRun {
			t.Fatalf("refused with outcome %v", e.Refused.Outcome)
		}
	}
}

func (m *controllerMachine) Submit(t *rapid.T) {
	ms := rapid.IntRange(0, 3000).Draw(t, "deadline")
	req := Request{
		Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org"),
		Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
		OutputTokens: rapid.IntRange(0, 500).Draw(t, "tokens"),
		Deadline:     m.now.Add(time.Duration(ms) * time.Millisecond),
	}
	m.open[m.c.next+1] = true
	_, events := m.c.Submit(&req, m.now)
	m.record(t, events)
}

func (m *controllerMachine) Release(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	ticket := m.running[0]
	m.running = m.running[1:]
	m.record(t, m.c.Release(ticket, Feedback{RunTime: time.Second}, m.now))
	m.record(t, m.c.Release(ticket, Feedback{RunTime: time.Second}, m.now))
}

func (m *controllerMachine) Cancel(t *rapid.T) {
	for ticket := range m.open {
		if !m.c.Cancel(ticket) {
			t.Fatalf("Cancel: ticket %d is not waiting", ticket)
		}
		delete(m.open, ticket)
		return
	}
}

func (m *controllerMachine) Tick(t *rapid.T) {
	ms := rapid.IntRange(0, 2000).Draw(t, "ms")
	m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
	m.record(t, m.c.Tick(m.now))
}

func (m *controllerMachine) Check(t *rapid.T) {
	if len(m.c.running) != len(m.running) || len(m.running) > m.limit {
		t.Fatalf("%d requests running, want %d; limit %d", len(m.c.running), len(m.running), m.limit)
	}
	if len(m.c.waiting) != len(m.open) || len(m.open) > m.queue {
		t.Fatalf("%d requests waiting, want %d; queue bound %d", len(m.c.waiting), len(m.open), m.queue)
	}
	if len(m.open) > 0 && len(m.running) < m.limit {
		t.Fatal("a request waits although a slot is free")
	}
}

func TestControllerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &controllerMachine{
			limit: rapid.IntRange(1, 4).Draw(t, "limit"),
			queue: rapid.IntRange(1, 5).Draw(t, "queue"),
			now:   start,
			open:  map[Ticket]bool{},
		}
		m.c = exactController(m.limit, m.queue)
		t.Repeat(rapid.StateMachineActions(m))
	})
}
