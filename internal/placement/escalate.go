package placement

import (
	"math"
	"time"
)

// EscalationInput is the input of Escalate: a small model's confidence in its answer and the
// placement at the largest model that would replace it. The caller has received no part
// of the answer yet.
type EscalationInput struct {
	// Confidence is the small model's confidence in its answer, 0 to 100; negative when
	// the model reported none.
	Confidence int
	// Value is what a correct answer is worth, relative to the mean (see RequestValue);
	// zero counts as one.
	Value float64
	// Larger is the placement of the request at the largest model.
	Larger Choice
	// Target is the time left until the first event is due, TimeLeft the time left until
	// the caller's deadline.
	Target   time.Duration
	TimeLeft time.Duration
}

// Values of answers and costs of generating one again, as fractions of the value of a
// correct answer on time. Delays of others cost parts of an answer of mean value.
const (
	// wrongAnswerValue is low but not zero, since the users' rules give a wrong answer a
	// small part of the value.
	wrongAnswerValue = 0.05
	// lateAnswerValue applies to a correct answer after the target. The users' tables give
	// between a tenth and a half.
	lateAnswerValue = 0.4
	// regenerationCost covers the larger model's work and the discarded work of the small one.
	regenerationCost = 0.3
	// streamDelayPerAnswerMS is the delay, summed over the streams running on an engine,
	// that costs as much as one answer: the longer streams run, the more of them are late
	// or cut.
	streamDelayPerAnswerMS = 30_000.0
	// promptDelayPerAnswerMS is the same for prompts queued at the engine. It is lower
	// because these requests are closer to their targets.
	promptDelayPerAnswerMS = 3_000.0
)

// Odds of a correct answer by the model's confidence (docs/design/further-customer.md).
const (
	// evenOddsConfidence is the confidence at which half of the answers are correct.
	evenOddsConfidence = 50.0
	// confidenceScale is the difference in confidence that changes the odds by a factor of e.
	confidenceScale = 6.0
)

// maxEscalationTargetShare is the share of the remaining target that the estimated time
// to first event may use. The margin is small because the estimate is corrected by
// observed times (see AverageSlowdown).
const maxEscalationTargetShare = 0.85

// Escalate reports whether the small model's answer should be discarded and generated
// again by the largest model. It compares the expected value of the answer with that of
// a correct one, less the delay that the work causes to other streams and prompts at the
// engine. At low load most answers of low confidence are generated again; as engines
// fill, only those that are probably wrong; under overload, when the delay to other
// requests outweighs any single answer, none.
func Escalate(o EscalationInput) bool {
	if o.Confidence < 0 || o.Larger.Index < 0 {
		return false
	}
	value := o.Value
	if value == 0 {
		value = 1
	}
	kept := wrongAnswerValue + (1-wrongAnswerValue)*correctProbability(o.Confidence)
	if o.Larger.Expected <= scale(o.Target, maxEscalationTargetShare) {
		return value*(1-kept-regenerationCost) > o.Larger.delayCost()
	}
	// A correct answer after the target is worth more to the caller than a wrong one.
	return value*(lateAnswerValue-kept) > o.Larger.delayCost() && o.Larger.Expected <= scale(o.TimeLeft, maxTimeLeftShare)
}

// correctProbability returns the probability that an answer is correct, given the model's
// confidence in it.
func correctProbability(confidence int) float64 {
	return 1 / (1 + math.Exp((evenOddsConfidence-float64(confidence))/confidenceScale))
}

// delayCost returns the cost of the request's work to other requests at the engine:
// running streams pause while the prompt is read, and queued prompts wait longer.
func (c Choice) delayCost() float64 {
	wait := float64(c.Expected)/float64(time.Millisecond) - c.WorkMS
	unread := max(0, wait-runningDelayMS*float64(c.Running))
	return c.WorkMS*float64(c.Running)/streamDelayPerAnswerMS + unread/promptDelayPerAnswerMS
}
