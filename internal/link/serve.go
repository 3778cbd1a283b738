package link

import (
	"context"
	"time"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// sink is the connection to a reader. Flush is called when nothing more is
// ready, but not at the end, which flushes what is left.
type sink interface {
	Send(f *linkv1.Frame) error
	Flush()
}

// serve sends the frames from a number on, with heartbeats while there are
// none, until the last frame is sent, the context ends, or a newer reader
// takes over. Asking for a number acknowledges all before it.
func (l *AnswerLog) serve(ctx context.Context, from uint64, to sink) error {
	wake, err := l.attach(from)
	if err != nil {
		return err
	}
	defer l.detach(wake)
	timing := l.logs.timing
	timer := time.NewTimer(timing.FirstBeat)
	defer timer.Stop()
	next := from
	for {
		batch, ended, current := l.from(wake, next)
		if !current {
			return nil
		}
		for _, f := range batch {
			if err := to.Send(f); err != nil {
				return err
			}
		}
		next += uint64(len(batch))
		if ended {
			// What is left goes out with the end of the call.
			l.markTaken()
			return nil
		}
		if len(batch) > 0 {
			to.Flush()
			timer.Reset(timing.BeatEvery)
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			if err := to.Send(l.heartbeat(next - 1)); err != nil {
				return err
			}
			to.Flush()
			timer.Reset(timing.BeatEvery)
		}
	}
}

func (l *AnswerLog) attach(from uint64) (chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.first || from > l.last+1 {
		return nil, result.New(result.BufferSpent, "frame %d is not held, frames %d to %d are", from, l.first, l.last)
	}
	l.ack(from - 1)
	l.wakeReader()
	l.wake = make(chan struct{}, 1)
	signal(l.room)
	return l.wake, nil
}

func (l *AnswerLog) detach(wake chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wake == wake {
		l.wake = nil
		l.idleAt = time.Now()
		signal(l.room)
	}
}

// from returns the frames held from a number on, whether the last of them
// closes the answer, and whether the reader is still the present one.
func (l *AnswerLog) from(wake chan struct{}, next uint64) (batch []*linkv1.Frame, ended, current bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wake != wake || next < l.first {
		return nil, false, false
	}
	batch = append(batch, l.frames[next-l.first:]...)
	return batch, l.ended, true
}

func (l *AnswerLog) heartbeat(last uint64) *linkv1.Frame {
	return &linkv1.Frame{
		AttemptId:   l.id,
		Incarnation: l.logs.incarnation,
		Body: &linkv1.Frame_Heartbeat{Heartbeat: &linkv1.Heartbeat{
			LastSeq: last, Revision: l.logs.revision(),
		}},
	}
}
