package link

import "time"

// Sizes of an answer's frames and buffers, in bytes of data.
const (
	// MaxFrame is the most data in one frame.
	MaxFrame = 32 << 10
	// AckEvery is how much a reader takes before it acknowledges.
	AckEvery = 32 << 10
	// LogLimit is the most unacknowledged data a log holds.
	LogLimit = 256 << 10
	// SqueezedLimit is LogLimit while all logs together hold more than
	// TotalLimit. It is more than AckEvery and MaxFrame together, so that an
	// acknowledgement always comes.
	SqueezedLimit = AckEvery + MaxFrame + 1
	// TotalLimit is how much data all logs of an agent hold before finished
	// ones are dropped and running ones are squeezed.
	TotalLimit = 32 << 20
)

// Timing holds the waits of both ends.
type Timing struct {
	// FirstBeat is how long a new reader waits for a frame before it gets a
	// heartbeat.
	FirstBeat time.Duration
	// BeatEvery is the pause between heartbeats on an idle stream.
	BeatEvery time.Duration
	// FirstFrame is how long a client waits for the first frame.
	FirstFrame time.Duration
	// SilentAfter is how long a client waits for any later frame.
	SilentAfter time.Duration
	// AwayFor is how long a producer with a full log waits for a reader.
	AwayFor time.Duration
	// SlowFor is how long it waits for a reader that takes nothing.
	SlowFor time.Duration
	// Linger is how long a finished answer can be resumed.
	Linger time.Duration
	// Call is the timeout of one try of a unary call. It is less than
	// attempt.MaxSettleTransit.
	Call time.Duration
	// Write is how long one write to a connection may block.
	Write time.Duration
	// ResumePause is the first pause between tries to resume.
	ResumePause time.Duration
	// MaxResumes is how often a stream resumes without taking a frame.
	MaxResumes int
}

// DefaultTiming returns the waits used in service.
func DefaultTiming() Timing {
	return Timing{
		FirstBeat:   100 * time.Millisecond,
		BeatEvery:   time.Second,
		FirstFrame:  500 * time.Millisecond,
		SilentAfter: 2500 * time.Millisecond,
		AwayFor:     10 * time.Second,
		SlowFor:     time.Minute,
		Linger:      10 * time.Second,
		Call:        time.Second,
		Write:       30 * time.Second,
		ResumePause: 50 * time.Millisecond,
		MaxResumes:  6,
	}
}
