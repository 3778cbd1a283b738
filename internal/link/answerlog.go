package link

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// AnswerLog is the bounded buffer of one attempt's answer. One producer
// appends; readers follow one another, and the newest takes over. Data stays
// until it is acknowledged. It is safe for concurrent use.
type AnswerLog struct {
	id   string
	logs *Logs

	mu sync.Mutex
	// frames holds the unacknowledged frames; the first has number first.
	frames []*linkv1.Frame
	first  uint64
	last   uint64
	held   int
	length uint64
	digest *xxhash.Digest
	ended  bool
	// taken is set once the last frame was sent to a reader.
	taken bool
	// idleAt is when the log ended or its last reader left after that.
	idleAt time.Time
	// wake belongs to the present reader; nil without one.
	wake chan struct{}
	// room wakes the producer.
	room chan struct{}
}

func newAnswerLog(id string, logs *Logs) *AnswerLog {
	return &AnswerLog{id: id, logs: logs, first: 1, digest: xxhash.New(), room: make(chan struct{}, 1)}
}

// Head appends the head. It waits for no one, and the reader gets it with the
// next frame.
func (l *AnswerLog) Head(h *linkv1.Head) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.append(&linkv1.Frame{Body: &linkv1.Frame_Head{Head: h}}, 0)
}

// Data appends a copy of one event or part of the answer. While the log is
// full it blocks: for Timing.AwayFor without a reader and for Timing.SlowFor
// with one, and then fails with BufferSpent. The producer then cancels the
// upstream and calls Fail.
func (l *AnswerLog) Data(ctx context.Context, p []byte) error {
	for len(p) > MaxFrame {
		if err := l.data(ctx, p[:MaxFrame], true); err != nil {
			return err
		}
		p = p[MaxFrame:]
	}
	return l.data(ctx, p, false)
}

func (l *AnswerLog) data(ctx context.Context, p []byte, partial bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.held > 0 && l.held+len(p) > l.logs.limit() {
		if err := l.waitForRoom(ctx); err != nil {
			return err
		}
	}
	f := &linkv1.Frame{Body: &linkv1.Frame_Data{Data: bytes.Clone(p)}, Partial: partial}
	if err := l.append(f, len(p)); err != nil {
		return err
	}
	l.length += uint64(len(p))
	_, _ = l.digest.Write(p)
	l.wakeReader()
	return nil
}

// waitForRoom is called with the lock held and gives it up while it waits.
func (l *AnswerLog) waitForRoom(ctx context.Context) error {
	patience := l.logs.timing.AwayFor
	if l.wake != nil {
		patience = l.logs.timing.SlowFor
	}
	l.mu.Unlock()
	defer l.mu.Lock()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-l.room:
		return nil
	case <-ctx.Done():
		return result.Wrap(ctx.Err(), result.AnswerCut, "answer was ended while its buffer was full")
	case <-timer.C:
		return result.New(result.BufferSpent, "no reader took the answer for %s", patience)
	}
}

// End closes a whole answer. Length and digest are filled in; the final frame
// carries what else is given.
func (l *AnswerLog) End(f *linkv1.Final) error {
	return l.finish(f)
}

// Fail closes an answer that is not whole, or an attempt that never had one.
func (l *AnswerLog) Fail(f *linkv1.Final, err *result.Error) error {
	f.Code = uint32(err.Code)
	f.Outcome = err.Outcome.String()
	f.Message = err.Message
	return l.finish(f)
}

func (l *AnswerLog) finish(f *linkv1.Final) error {
	return l.close(func() (*linkv1.Frame, error) {
		f.Length = l.length
		f.Digest = l.digest.Sum64()
		return &linkv1.Frame{Body: &linkv1.Frame_Final{Final: f}}, nil
	})
}

// Refuse closes an attempt that was not dispatched and never will be.
func (l *AnswerLog) Refuse(r *linkv1.Refusal) error {
	return l.close(func() (*linkv1.Frame, error) {
		if l.last > 0 {
			return nil, result.New(result.Internal, "attempt %s has frames and cannot be refused", l.id)
		}
		return &linkv1.Frame{Body: &linkv1.Frame_Refusal{Refusal: r}}, nil
	})
}

// close appends the last frame, which build makes under the lock. The log is
// filed after the lock is given up: Logs locks itself before a log.
func (l *AnswerLog) close(build func() (*linkv1.Frame, error)) error {
	if err := l.appendLast(build); err != nil {
		return err
	}
	l.logs.retire(l)
	return nil
}

func (l *AnswerLog) appendLast(build func() (*linkv1.Frame, error)) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	f, err := build()
	if err != nil {
		return err
	}
	if err := l.append(f, 0); err != nil {
		return err
	}
	l.ended = true
	l.idleAt = time.Now()
	l.wakeReader()
	return nil
}

func (l *AnswerLog) append(f *linkv1.Frame, size int) error {
	if l.ended {
		return result.New(result.Internal, "attempt %s is already answered", l.id)
	}
	l.last++
	f.AttemptId, f.Incarnation, f.Seq = l.id, l.logs.incarnation, l.last
	l.frames = append(l.frames, f)
	l.held += size
	l.logs.held.Add(int64(size))
	return nil
}

// Ack drops the frames up to the number.
func (l *AnswerLog) Ack(seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ack(seq)
}

func (l *AnswerLog) ack(seq uint64) {
	seq = min(seq, l.last)
	freed := 0
	n := 0
	for l.first+uint64(n) <= seq {
		freed += len(l.frames[n].GetData())
		n++
	}
	if n == 0 {
		return
	}
	clear(l.frames[:n])
	l.frames = l.frames[n:]
	l.first += uint64(n)
	l.held -= freed
	l.logs.held.Add(int64(-freed))
	signal(l.room)
}

func (l *AnswerLog) wakeReader() {
	if l.wake != nil {
		signal(l.wake)
	}
}

// Held returns the bytes of data that are not acknowledged.
func (l *AnswerLog) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Abandon tells that no reader will come for the rest: the caller is gone.
func (l *AnswerLog) Abandon() { l.markTaken() }

func (l *AnswerLog) markTaken() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.taken = true
}

func (l *AnswerLog) wasTaken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.taken
}

// idleFor is how long a finished log has had no reader; 0 while it has one.
func (l *AnswerLog) idleFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wake != nil {
		return 0
	}
	return now.Sub(l.idleAt)
}

// signal wakes the one waiter of a channel of capacity 1.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// drop empties a finished log that no one may resume any more, and returns
// the bytes it held.
func (l *AnswerLog) drop() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.held
	l.held = 0
	l.frames = nil
	l.first = l.last + 1
	l.wakeReader()
	return held
}
