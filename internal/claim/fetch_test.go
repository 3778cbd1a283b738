package claim

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

// runWithoutFinalState claims the key at the first entry, runs the call at the agent
// and leaves the claim without a final state, as an entry that died does.
func runWithoutFinalState(t *testing.T, body []byte) *fixture {
	t.Helper()
	b := newFixture()
	c, _, err := b.registries[0].Acquire(t.Context(), call("k", "body"), b.bind("a1"))
	if err != nil {
		t.Fatal(err)
	}
	b.runToCompletion(t, c.Binding(), body)
	return b
}

func (b *fixture) repeat(t *testing.T, entry int) (*Answer, error) {
	t.Helper()
	_, answer, err := b.registries[entry].Acquire(t.Context(), call("k", "body"), b.bind("again"))
	return answer, err
}

// TestRepeatFetchesTheAnswerOfADeadEntry guards against an answer that is lost when the
// entry dies after the call ran: the agent still buffers it.
func TestRepeatFetchesTheAnswerOfADeadEntry(t *testing.T) {
	for _, wait := range []time.Duration{0, callTime} {
		synctest.Test(t, func(t *testing.T) {
			b := runWithoutFinalState(t, []byte("booked"))
			time.Sleep(wait)
			for i, held := range []bool{true, false} {
				answer, err := b.repeat(t, i)
				if err != nil || answer.Status != 201 || string(answer.Body) != "booked" {
					t.Errorf("after %v, held %v: got %+v, %v", wait, held, answer, err)
				}
				b.restartAgent()
			}
		})
	}
}

func TestRepeatWithoutABufferedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := runWithoutFinalState(t, nil)
		clear(b.buffered)
		_, err := b.repeat(t, 1)
		wantCode(t, err, result.InProgress)
		time.Sleep(callTime)
		_, err = b.repeat(t, 1)
		wantCode(t, err, result.AnswerCut)
	})
}

func TestLargeAnswerIsRepeatedWhileTheAgentHoldsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		large := bytes.Repeat([]byte("x"), MaxStoredAnswer+1)
		b := runWithoutFinalState(t, large)
		for i := range 2 {
			answer, err := b.repeat(t, i)
			if err != nil || !bytes.Equal(answer.Body, large) {
				t.Fatalf("repeat %d: %v", i, err)
			}
		}
		clear(b.buffered)
		_, err := b.repeat(t, 0)
		wantCode(t, err, result.AnswerCut)
	})
}

// TestTwoRepeatsAtOnceFetchTheSameAnswer guards against concurrent repeats that record
// the fetched answer more than once.
func TestTwoRepeatsAtOnceFetchTheSameAnswer(t *testing.T) {
	b := runWithoutFinalState(t, []byte("booked"))
	var repeats sync.WaitGroup
	for i := range 10 {
		repeats.Go(func() {
			answer, err := b.repeat(t, i%2)
			if err != nil || string(answer.Body) != "booked" {
				t.Errorf("got %+v, %v", answer, err)
			}
		})
	}
	repeats.Wait()
	if n := b.table.Usage().Writes; n != 2 {
		t.Errorf("%d writes, want the claim and one end", n)
	}
}

func TestBufferedAnswerIsOnlyForItsOwnCall(t *testing.T) {
	b := runWithoutFinalState(t, []byte("booked"))
	_, _, err := b.registries[1].Acquire(context.Background(), call("k", "other body"), b.bind("a2"))
	wantCode(t, err, result.KeyReused)
	other := call("k", "body")
	other.Key.Organisation = "another"
	c, answer, err := b.registries[1].Acquire(context.Background(), other, b.bind("a3"))
	if c == nil || answer != nil || err != nil {
		t.Errorf("another organisation got %v, %v", answer, err)
	}
}
