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
	// Target is what is left until the first event is due.
	Target time.Duration
}

// confident is the confidence from which an answer is more likely right than
// wrong.
const confident = 50

// Escalate reports whether the answer should be dropped. It answers two loads:
// in quiet hours every doubtful answer is made again by the largest model; in
// a rush, when that would start late, the caller gets the answer that is there.
func Escalate(o Opinion) bool {
	if o.Confidence < 0 || o.Confidence >= confident || o.Larger.Index < 0 {
		return false
	}
	return o.Larger.Expected <= scale(o.Target, onTime)
}
