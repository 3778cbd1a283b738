package link

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

// sweepAtOnce is the most finished logs that opening one looks at.
const sweepAtOnce = 16

// Logs holds the answer logs of one agent. It is safe for concurrent use.
type Logs struct {
	incarnation uint64
	revision    func() uint64
	timing      Timing
	// held counts the data bytes of all logs.
	held atomic.Int64

	mu   sync.Mutex
	byID map[string]*AnswerLog
	// ended lists the finished logs, oldest first.
	ended *list.List
}

// NewLogs returns the empty logs of an agent's incarnation. Heartbeats carry
// what revision returns.
func NewLogs(incarnation uint64, revision func() uint64, timing Timing) *Logs {
	return &Logs{
		incarnation: incarnation, revision: revision, timing: timing,
		byID: map[string]*AnswerLog{}, ended: list.New(),
	}
}

// Open returns the log of a new attempt. It fails when the attempt has one.
func (s *Logs) Open(attemptID string) (*AnswerLog, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(time.Now())
	if _, ok := s.byID[attemptID]; ok {
		return nil, result.New(result.Internal, "attempt %s has a log already", attemptID)
	}
	l := newAnswerLog(attemptID, s)
	s.byID[attemptID] = l
	return l, nil
}

// Find returns the log of an attempt, or nil.
func (s *Logs) Find(attemptID string) *AnswerLog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[attemptID]
}

// Held returns the number of logs and their data bytes.
func (s *Logs) Held() (logs int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID), s.held.Load()
}

// Unread returns the number of answers whose last frame no reader has been
// sent. An agent that stops waits until it is zero.
func (s *Logs) Unread() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.byID {
		if !l.wasTaken() {
			n++
		}
	}
	return n
}

// limit is the most unacknowledged data one log may hold now.
func (s *Logs) limit() int {
	if s.held.Load() > TotalLimit {
		return SqueezedLimit
	}
	return LogLimit
}

func (s *Logs) retire(l *AnswerLog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended.PushBack(l)
}

// sweep drops finished logs that are past their time, and the oldest ones
// while all logs hold too much. One that is being read goes to the end of the
// list instead.
func (s *Logs) sweep(now time.Time) {
	for range min(s.ended.Len(), sweepAtOnce) {
		e := s.ended.Front()
		l := e.Value.(*AnswerLog)
		idle := l.idleFor(now)
		if idle <= 0 {
			s.ended.MoveToBack(e)
			continue
		}
		if idle < s.timing.Linger && s.held.Load() <= TotalLimit {
			return
		}
		s.ended.Remove(e)
		delete(s.byID, l.id)
		s.held.Add(-int64(l.drop()))
	}
}
