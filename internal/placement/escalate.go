package placement

import "time"

// Opinion is what decides whether a small model's answer is dropped for that
// of the largest one, before the caller has received any of it.
type Opinion struct {
	// Confidence is the small model's own opinion of its answer, 0 to 100;
	// negative when it gave none.
	Confidence int
	// Larger is the placement of the request at the largest model.
	Larger Choice
	// Target is what is left until the first event is due, Left until the
	// caller gives up.
	Target time.Duration
	Left   time.Duration
}

// Bounds on the confidence of an answer that is kept.
const (
	// confidentQuiet is used while engines are idle: a fifth of the answers at
	// this confidence are still wrong, and there is time to make them again.
	confidentQuiet = 60
	// confidentBusy is used when they are not: from here on an answer is more
	// likely right than wrong.
	confidentBusy = 50
	// busyPart is the part of the target that a request waits for others when
	// engines are busy.
	busyPart = 0.15
)

// Escalate reports whether the answer should be dropped. It answers three
// loads: in quiet hours every doubtful answer is made again by the largest
// model; as engines fill, only those that are more likely wrong; in a rush,
// when the largest model would start late for the work of others, none.
func Escalate(o Opinion) bool {
	if o.Confidence < 0 || o.Larger.Index < 0 || o.Target <= 0 {
		return false
	}
	queue := max(0, o.Larger.Expected-ms(o.Larger.WorkMS))
	busy := min(1, float64(queue)/(busyPart*float64(o.Target)))
	if o.Larger.Expected <= scale(o.Target, onTime) {
		return float64(o.Confidence) < confidentQuiet-busy*(confidentQuiet-confidentBusy)
	}
	// A prompt so long that it is late at any time: a good answer that comes
	// late is worth more to the caller than one that is likely wrong.
	return busy < 1 && o.Confidence < confidentBusy && o.Larger.Expected <= scale(o.Left, refuseAt)
}
