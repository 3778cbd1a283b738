package link

import (
	"github.com/cespare/xxhash/v2"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// verdict says what to do with a frame.
type verdict uint8

const (
	// deliver: the frame is the next one of the answer.
	deliver verdict = iota
	// beat: a heartbeat, and nothing is missing.
	beat
	// late: the frame was delivered before.
	late
	// crossed: the frame belongs to another attempt or incarnation.
	crossed
	// gap: frames are missing before this one.
	gap
	// damaged: the frame cannot be part of this answer, or the answer does
	// not match its length and digest.
	damaged
)

// sequencer judges the frames of one attempt over all its connections. It
// does no I/O and belongs to one goroutine.
type sequencer struct {
	attempt     string
	incarnation uint64
	next        uint64
	head        bool
	ended       bool
	length      uint64
	digest      xxhash.Digest
}

func newSequencer(attempt string, incarnation uint64) *sequencer {
	s := &sequencer{attempt: attempt, incarnation: incarnation, next: 1}
	s.digest.Reset()
	return s
}

// accept judges a frame and, when it is to be delivered, counts it in.
func (s *sequencer) accept(f *linkv1.Frame) verdict {
	if f.GetAttemptId() != s.attempt || f.GetIncarnation() == 0 {
		return crossed
	}
	if s.incarnation == 0 {
		s.incarnation = f.GetIncarnation()
	}
	if s.wrongIncarnation(f) {
		s.incarnation = f.GetIncarnation()
	}
	if f.GetIncarnation() != s.incarnation {
		return crossed
	}
	if b := f.GetHeartbeat(); b != nil {
		if b.GetLastSeq() >= s.next {
			return gap
		}
		return beat
	}
	switch {
	case f.GetSeq() < s.next:
		return late
	case f.GetSeq() > s.next:
		return gap
	case s.ended || !s.fits(f):
		return damaged
	}
	s.next++
	return deliver
}

// wrongIncarnation reports whether an agent refuses the attempt because it
// names another incarnation: the one frame that may come from there, and by
// which the sender learns the present one.
func (s *sequencer) wrongIncarnation(f *linkv1.Frame) bool {
	return s.next == 1 && f.GetRefusal().GetCode() == uint32(result.WrongIncarnation)
}

// fits checks the order of the kinds of frame and counts data.
func (s *sequencer) fits(f *linkv1.Frame) bool {
	first := s.next == 1
	switch body := f.GetBody().(type) {
	case *linkv1.Frame_Head:
		s.head = first
		return first
	case *linkv1.Frame_Refusal:
		s.ended = first
		return first
	case *linkv1.Frame_Data:
		if !s.head {
			return false
		}
		s.length += uint64(len(body.Data))
		_, _ = s.digest.Write(body.Data)
		return true
	case *linkv1.Frame_Final:
		s.ended = s.finalFits(body.Final)
		return s.ended
	}
	return false
}

func (s *sequencer) finalFits(f *linkv1.Final) bool {
	if f.GetCode() != 0 {
		return true
	}
	return s.head && f.GetLength() == s.length && f.GetDigest() == s.digest.Sum64()
}
