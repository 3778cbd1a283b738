package route

import (
	"math"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/quality"
)

// Values assumed until there are enough answers. The assumed escalation is low,
// so that chains get explored.
const (
	assumedOutputTokens = 256
	assumedEscalation   = 0.2
	// minAnswers is the weight of answers from which a mean is used: a version's
	// own instead of its class's, and its class's instead of an assumed value.
	minAnswers = 10
	// minDrafts is the weight of drafts from which a version's own escalation is used.
	minDrafts = 10
	// minRatings is the weight of ratings from which a version is known to
	// meet or miss a target.
	minRatings = 100
)

// score holds the values expected of an option for one request.
type score struct {
	// mean is the expected share of good answers; low and strict are its lower
	// bounds, strict the one with more confidence.
	mean, low, strict float64
	// lowSquared and strictSquared are the squared distances of the bounds from
	// the mean, and variance is the variance of the mean. The errors of the
	// steps are independent, so all three add up over the steps.
	lowSquared, strictSquared, variance float64
	cost                                float64
	// latency is the mean; slow is the sum of the steps' high latencies
	// (quality.Estimate.LatencyHigh).
	latency, slow time.Duration
}

// scorer scores the options of one request.
type scorer struct {
	planner      *Planner
	estimates    []quality.Estimate
	promptTokens float64
	// assumedTokens is the assumed answer length of a version with too few
	// answers.
	assumedTokens float64
}

func (p *Planner) newScorer(req *Request, class int) scorer {
	s := scorer{
		planner:       p,
		estimates:     p.estimates.rows[class],
		promptTokens:  float64(req.PromptTokens),
		assumedTokens: assumedOutputTokens,
	}
	c := p.estimates.classes[class]
	if c.Answers >= minAnswers {
		s.assumedTokens = c.OutputTokens
	} else if req.MaxTokens > 0 {
		s.assumedTokens = min(s.assumedTokens, float64(req.MaxTokens))
	}
	return s
}

// score returns the score of an option whose stages run the candidates.
func (s *scorer) score(o *option, candidates *[MaxSteps]*candidate) score {
	var total score
	reach := 1.0
	last := len(o.stages) - 1
	for i := range o.stages {
		cd := candidates[i]
		e := &s.estimates[cd.slot]
		keep := 1.0
		if i < last {
			keep = 1 - escalation(e)
		}
		s.addQuality(&total, s.prior(cd.version, i < last), e, reach*keep)
		s.addCostAndLatency(&total, cd, reach)
		reach *= 1 - keep
	}
	total.low = total.mean - math.Sqrt(total.lowSquared)
	total.strict = total.mean - math.Sqrt(total.strictSquared)
	return total
}

// probabilityOfMeeting returns the probability that the true quality meets the
// target, by the logistic approximation of the normal distribution. It widens the
// deviation, because evaluating after each rating would otherwise give up options
// whose first ratings happened to be bad.
func (sc *score) probabilityOfMeeting(target float64) float64 {
	deviation := math.Sqrt(sc.variance)
	if deviation == 0 {
		return 0
	}
	return 1 / (1 + math.Exp(-logisticSlope*(sc.mean-target)/(deviationFactor*deviation)))
}

const (
	// logisticSlope fits the logistic curve to the normal distribution.
	logisticSlope   = 1.702
	deviationFactor = 1.5
)

func square(x float64) float64 { return x * x }

// prior returns the quality assumed of a version. A draft is kept only if its
// confidence is high enough, so half the share of bad answers is assumed for it.
func (s *scorer) prior(version int, draft bool) float64 {
	prior := s.planner.versions[version].prior
	if draft {
		return 1 - (1-prior)/2
	}
	return prior
}

// addQuality adds the quality of a step whose answer is final for share of the requests.
func (s *scorer) addQuality(total *score, prior float64, e *quality.Estimate, share float64) {
	weight := s.planner.settings.PriorWeight
	mean := (e.Mean*e.Ratings + prior*weight) / (e.Ratings + weight)
	total.mean += share * mean
	total.lowSquared += square(share * (mean - e.Low))
	total.variance += square(share) * mean * (1 - mean) / (e.Ratings + weight + 1)
	total.strictSquared += square(share * (mean - e.Strict))
}

// addCostAndLatency adds the cost and latency of a step that runs for the share
// reach of the requests. A version with too few answers adds no latency, so that
// it gets explored.
func (s *scorer) addCostAndLatency(total *score, cd *candidate, reach float64) {
	e := &s.estimates[cd.slot]
	if e.Answers < minAnswers {
		e = &s.estimates[cd.singleSlot]
	}
	tokens := s.assumedTokens
	if e.Answers >= minAnswers {
		tokens = e.OutputTokens
		total.latency += time.Duration(reach * float64(e.Wait+e.Latency))
		total.slow += e.Wait + e.LatencyHigh
	}
	v := &s.planner.versions[cd.version]
	total.cost += reach * (v.inputMicros*s.promptTokens + v.outputMicros*tokens)
}

// escalation returns the share of drafts that are escalated to the next step.
func escalation(e *quality.Estimate) float64 {
	if e.Drafts < minDrafts {
		return assumedEscalation
	}
	return e.Escalation
}

// bound returns the lower bound of quality that the objective uses.
func (sc *score) bound(objective string) float64 {
	if objective == catalog.ObjectiveExposure {
		return sc.strict
	}
	return sc.low
}

// latencySteps is the number of steps into which the time to the deadline is
// divided to compare latencies. Within a step the cheaper option is better.
const latencySteps = 10

// better reports whether a is better than b when both meet the target.
func (c *selector) better(a, b *score) bool {
	if c.objective == catalog.ObjectiveLatency {
		step := max(1, c.remaining/latencySteps)
		if c.remaining == noDeadline {
			step = 1
		}
		if x, y := a.latency/step, b.latency/step; x != y {
			return x < y
		}
	}
	return a.cost < b.cost
}

// higherQuality reports whether a is better than b when neither meets the target:
// it has the higher mean, or the same mean and the lower cost.
func higherQuality(a, b *score) bool {
	if a.mean != b.mean {
		return a.mean > b.mean
	}
	return a.cost < b.cost
}
