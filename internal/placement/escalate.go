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
	// confidentQuiet is used while engines are idle and there is time to make a
	// doubtful answer again.
	confidentQuiet = 60
	// confidentBusy is used when they are not: from here on an answer is more
	// likely right than wrong.
	confidentBusy = 50
	// busyPart is the part of the target that a request waits for others when
	// engines are busy.
	busyPart = 0.15
	// soon is the part of the target's rest that the estimate may use; it is
	// calibrated, so little is left for what it does not see.
	soon = 0.85
	// longQueue is how long, against its own work, a long prompt may wait for
	// others before its small answer is kept after all.
	longQueue = 0.5
)

// Escalate reports whether the answer should be dropped. It answers three
// loads: in quiet hours every doubtful answer is made again by the largest
// model; as engines fill, only those that are more likely wrong; in a rush,
// when the largest model would start late for the work of others, none.
func Escalate(o Opinion) bool {
	if o.Confidence < 0 || o.Larger.Index < 0 {
		return false
	}
	work := ms(o.Larger.WorkMS)
	queue := max(0, o.Larger.Expected-work)
	if o.Larger.Expected <= scale(o.Target, soon) {
		busy := min(1, float64(queue)/(busyPart*float64(o.Target)))
		return float64(o.Confidence) < confidentQuiet-busy*(confidentQuiet-confidentBusy)
	}
	// Late for its own length rather than for others: a good answer that comes
	// late is worth more to the caller than one that is likely wrong.
	return o.Confidence < confidentBusy && queue <= scale(work, longQueue) &&
		o.Larger.Expected <= scale(o.Left, refuseAt)
}
