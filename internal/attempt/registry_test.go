package attempt

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonbay.example/tarragonbay/internal/result"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func codeOf(err error) result.Code {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return result.OK
}

func arrival(id string, inc uint64, sent time.Time) Arrival {
	return Arrival{AttemptID: id, Incarnation: inc, SentAt: sent, Budget: time.Minute}
}

// run takes an attempt as far as the state.
func run(t *testing.T, r *Registry, now time.Time, id string, to State) {
	t.Helper()
	if _, err := r.Receive(now, arrival(id, 7, now)); err != nil {
		t.Fatal(err)
	}
	steps := []func() error{
		func() error { return r.Admit(now, id) },
		func() error { return r.Dispatch(now, id) },
		func() error { return r.Finish(now, id, result.Ran) },
	}
	for _, step := range steps[:int(to)-int(Received)] {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
}

func TestSettleAnswersByState(t *testing.T) {
	tests := []struct {
		name  string
		state State
		inc   uint64
		age   time.Duration
		want  Settlement
	}{
		{"received is stopped", Received, 7, time.Second, Settlement{result.NotRun, Tombstoned}},
		{"admitted is stopped", Admitted, 7, time.Second, Settlement{result.NotRun, Tombstoned}},
		{"dispatched runs", Dispatched, 7, time.Second, Settlement{result.Unknown, Dispatched}},
		{"finished ran", Finished, 7, time.Second, Settlement{result.Ran, Finished}},
		{"never seen is stopped", Forgotten, 7, time.Second, Settlement{result.NotRun, Tombstoned}},
		{"other incarnation", Forgotten, 6, time.Second, Settlement{result.Unknown, Forgotten}},
		{"any incarnation, received", Received, 0, time.Second, Settlement{result.NotRun, Tombstoned}},
		{"any incarnation, may reach the next one", Forgotten, 0, time.Second, Settlement{result.Unknown, Forgotten}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRegistry(7, DefaultLimits())
			now := epoch.Add(30 * time.Second)
			if tt.state != Forgotten {
				run(t, r, now, "a", tt.state)
			}
			got := r.Settle(now, Question{AttemptID: "a", Incarnation: tt.inc, Age: tt.age})
			if got != tt.want {
				t.Fatalf("got %v, want %v", got, tt.want)
			}
			if got.Outcome == result.NotRun {
				_, err := r.Receive(now, arrival("a", 7, now))
				if codeOf(err) != result.Tombstoned || r.Dispatch(now, "a") == nil {
					t.Fatal("a late original was taken in")
				}
			}
		})
	}
}

func TestFullTombstonesAnswerUnknown(t *testing.T) {
	limits := DefaultLimits()
	limits.Tombstones = 1
	r := NewRegistry(7, limits)
	now := epoch.Add(time.Minute)
	r.Settle(now, Question{AttemptID: "a", Incarnation: 7, Age: time.Second})
	run(t, r, now, "b", Admitted)
	for _, id := range []string{"b", "c"} {
		if got := r.Settle(now, Question{AttemptID: id, Incarnation: 7, Age: time.Second}); got.Outcome != result.Unknown {
			t.Errorf("%s: got %v with a full table", id, got)
		}
	}
	if err := r.Dispatch(now, "b"); err != nil {
		t.Errorf("an attempt told unknown may run: %v", err)
	}
}

func TestForgottenAttemptsAreNotSettledNotRun(t *testing.T) {
	limits := DefaultLimits()
	limits.Finished = 1
	r := NewRegistry(7, limits)
	now := epoch.Add(time.Minute)
	run(t, r, now, "a", Finished)
	run(t, r, now, "b", Finished)
	if got := r.Settle(now, Question{AttemptID: "a", Incarnation: 7, Age: time.Second}); got.Outcome != result.Unknown {
		t.Errorf("a forgotten attempt was settled as %v", got)
	}
	later := now.Add(time.Minute)
	if got := r.Settle(later, Question{AttemptID: "c", Incarnation: 7, Age: time.Second}); got.Outcome != result.NotRun {
		t.Errorf("an attempt sent after all that was forgotten was settled as %v", got)
	}
}

func TestLateAttemptsAreRefused(t *testing.T) {
	r := NewRegistry(7, DefaultLimits())
	now := epoch.Add(time.Hour)
	tests := []struct {
		name string
		sent time.Time
		want result.Code
	}{
		{"fresh", now, result.OK},
		{"past budget and skew", now.Add(-time.Minute - MaxClockSkew - time.Second), result.DeadlineTooClose},
		{"no send time", time.Time{}, result.BadField},
		{"from the future", now.Add(MaxClockSkew + time.Second), result.BadField},
	}
	for _, tt := range tests {
		_, err := r.Receive(now, arrival(tt.name, 7, tt.sent))
		if codeOf(err) != tt.want {
			t.Errorf("%s: got %v, want code %d", tt.name, err, tt.want)
		}
	}
}

// world is the model of the property test: one agent address that restarts,
// messages that arrive late, doubled and in any order.
type world struct {
	now      time.Time
	inc      uint64
	reg      *Registry
	sent     []sentAttempt
	ran      map[string]int
	notRun   map[string]bool
	admitted []string
	running  []string
}

type sentAttempt struct {
	Arrival
	copies int
}

func (w *world) restart() {
	w.inc++
	w.reg = NewRegistry(w.inc, Limits{Live: 4, Finished: 3, FinishedFor: 3 * time.Minute, Tombstones: 3})
	w.admitted, w.running = nil, nil
}

func (w *world) told(t *rapid.T, id string, o result.Outcome, by string) {
	if o != result.NotRun {
		return
	}
	if w.ran[id] > 0 {
		t.Fatalf("%s said that %s did not run, but it ran", by, id)
	}
	w.notRun[id] = true
}

func (w *world) send(t *rapid.T) {
	inc := uint64(0)
	copies := 1
	if rapid.Bool().Draw(t, "named") {
		inc = rapid.Uint64Range(max(w.inc, 2)-1, w.inc).Draw(t, "inc")
		copies = 2
	}
	a := Arrival{AttemptID: fmt.Sprint("a", len(w.sent)), Incarnation: inc, SentAt: w.now,
		Budget: time.Duration(rapid.IntRange(1, 600).Draw(t, "budget")) * time.Second}
	w.sent = append(w.sent, sentAttempt{a, copies})
}

func (w *world) deliver(t *rapid.T) {
	if len(w.sent) == 0 {
		return
	}
	s := &w.sent[rapid.IntRange(0, len(w.sent)-1).Draw(t, "which")]
	if s.copies == 0 {
		return
	}
	s.copies--
	before, err := w.reg.Receive(w.now, s.Arrival)
	if err != nil {
		// Only a sender's single copy makes a refusal a proof.
		if s.copies == 0 && s.Incarnation == 0 {
			w.told(t, s.AttemptID, result.From(err).Outcome, "Receive")
		}
		return
	}
	if before == Forgotten && w.reg.Admit(w.now, s.AttemptID) == nil {
		w.admitted = append(w.admitted, s.AttemptID)
	}
}

func (w *world) dispatch(t *rapid.T) {
	if len(w.admitted) == 0 {
		return
	}
	id := w.admitted[0]
	w.admitted = w.admitted[1:]
	if w.reg.Dispatch(w.now, id) != nil {
		return
	}
	if w.reg.Dispatch(w.now, id) == nil || w.reg.Admit(w.now, id) == nil {
		t.Fatalf("%s was let through twice", id)
	}
	w.ran[id]++
	w.running = append(w.running, id)
	if w.notRun[id] {
		t.Fatalf("%s was told not run and was dispatched", id)
	}
	if w.ran[id] > 1 {
		t.Fatalf("%s was dispatched twice", id)
	}
}

func (w *world) refuse(t *rapid.T) {
	if len(w.admitted) == 0 {
		return
	}
	id := w.admitted[0]
	w.admitted = w.admitted[1:]
	if w.reg.Refuse(w.now, id) == nil {
		w.told(t, id, result.NotRun, "Refuse")
	}
}

func (w *world) finish(t *rapid.T) {
	if len(w.running) == 0 {
		return
	}
	id := w.running[0]
	w.running = w.running[1:]
	if err := w.reg.Finish(w.now, id, result.Ran); err != nil {
		t.Fatal(err)
	}
}

func (w *world) settle(t *rapid.T) {
	if len(w.sent) == 0 {
		return
	}
	s := w.sent[rapid.IntRange(0, len(w.sent)-1).Draw(t, "which")]
	q := Question{AttemptID: s.AttemptID, Incarnation: s.Incarnation, Age: w.now.Sub(s.SentAt)}
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, int(MaxSettleTransit/time.Millisecond)-1).Draw(t, "transit")) * time.Millisecond)
	w.told(t, s.AttemptID, w.reg.Settle(w.now, q).Outcome, "Settle")
}

func (w *world) wait(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "seconds")) * time.Second)
}

func TestNotRunIsTrueInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: epoch, ran: map[string]int{}, notRun: map[string]bool{}}
		w.restart()
		t.Repeat(map[string]func(*rapid.T){
			"send":     w.send,
			"deliver":  w.deliver,
			"deliver2": w.deliver,
			"dispatch": w.dispatch,
			"refuse":   w.refuse,
			"finish":   w.finish,
			"settle":   w.settle,
			"wait":     w.wait,
			"restart":  func(*rapid.T) { w.restart() },
			"": func(t *rapid.T) {
				c := w.reg.Counts()
				if c.Live > 4 || c.Ended > 3 || c.Tombstones > 3 || len(w.reg.records) != c.Live+c.Ended+c.Tombstones {
					t.Fatalf("memory is not bounded: %+v, %d records", c, len(w.reg.records))
				}
			},
		})
	})
}
