package route

import (
	"math"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/quality"
)

// Values assumed of an answer before any was seen. The escalation is on the
// low side, so that a chain is tried.
const (
	assumedOutputTokens = 256
	assumedEscalation   = 0.2
	// minAnswers is the weight of answers from which a version's own means
	// replace those of its class.
	minAnswers = 10
	// minDrafts is the same for its escalation.
	minDrafts = 10
	// minJudged is the weight of ratings from which a version is known to
	// meet or miss a target.
	minJudged = 100
)

// score is what is expected of an option for one request.
type score struct {
	// mean is the share of good answers; low and strict bound it.
	mean, low, strict float64
	// below and rigid are the squared distances of the bounds, and variance
	// that of the mean, while they add up: the errors of the steps are
	// independent.
	below, rigid, variance float64
	cost                   float64
	// latency is the mean; slow is what all steps take when slow.
	latency, slow time.Duration
}

// scoring holds what does not change while the options of a request are
// scored.
type scoring struct {
	planner *Planner
	row     []quality.Estimate
	prompt  float64
	// tokens is the length assumed of the answers of a version not seen yet.
	tokens float64
}

func (p *Planner) newScoring(req *Request, class int) scoring {
	s := scoring{
		planner: p,
		row:     p.estimates.rows[class],
		prompt:  float64(req.PromptTokens),
		tokens:  assumedOutputTokens,
	}
	c := p.estimates.classes[class]
	if c.Answers >= minAnswers {
		s.tokens = c.OutputTokens
	} else if req.MaxTokens > 0 {
		s.tokens = min(s.tokens, float64(req.MaxTokens))
	}
	return s
}

// score works out an option whose stages are filled with the candidates.
func (s *scoring) score(o *option, filled *[MaxSteps]*candidate) score {
	var total score
	reach := 1.0
	last := len(o.stages) - 1
	for i := range o.stages {
		cd := filled[i]
		e := &s.row[cd.slot]
		keep := 1.0
		if i < last {
			keep = 1 - escalation(e)
		}
		s.addQuality(&total, s.prior(cd.version, i < last), e, reach*keep)
		s.addRun(&total, cd, reach)
		reach *= 1 - keep
	}
	total.low = total.mean - math.Sqrt(total.below)
	total.strict = total.mean - math.Sqrt(total.rigid)
	return total
}

// chance returns the probability that the true quality meets the target, by
// the logistic approximation of the normal distribution. The deviation is
// taken wide, because a look at each rating would give up options that had an
// unlucky start.
func (sc *score) chance(target float64) float64 {
	deviation := math.Sqrt(sc.variance)
	if deviation == 0 {
		return 0
	}
	return 1 / (1 + math.Exp(-logisticSlope*(sc.mean-target)/(wideDeviation*deviation)))
}

const (
	// logisticSlope fits the logistic curve to the normal distribution.
	logisticSlope = 1.702
	wideDeviation = 1.5
)

func square(x float64) float64 { return x * x }

// prior returns the quality assumed of a version. Of a draft that is kept
// because it is sure of itself, half the faults are assumed.
func (s *scoring) prior(version int, draft bool) float64 {
	prior := s.planner.versions[version].prior
	if draft {
		return 1 - (1-prior)/2
	}
	return prior
}

// addQuality adds the quality of a step that answers a share of the requests.
func (s *scoring) addQuality(total *score, prior float64, e *quality.Estimate, answers float64) {
	weight := s.planner.settings.PriorWeight
	mean := (e.Mean*e.Ratings + prior*weight) / (e.Ratings + weight)
	total.mean += answers * mean
	total.below += square(answers * (mean - e.Low))
	total.variance += square(answers) * mean * (1 - mean) / (e.Ratings + weight + 1)
	total.rigid += square(answers * (mean - e.Strict))
}

// addRun adds the cost and latency of a step that runs for the share reach of
// the requests. A version of which no answer was seen counts as fast, so that
// it is tried.
func (s *scoring) addRun(total *score, cd *candidate, reach float64) {
	e := &s.row[cd.slot]
	if e.Answers < minAnswers {
		e = &s.row[cd.alone]
	}
	tokens := s.tokens
	if e.Answers >= minAnswers {
		tokens = e.OutputTokens
		total.latency += time.Duration(reach * float64(e.Wait+e.Latency))
		total.slow += e.Wait + e.LatencyHigh
	}
	v := &s.planner.versions[cd.version]
	total.cost += reach * (v.input*s.prompt + v.output*tokens)
}

func escalation(e *quality.Estimate) float64 {
	if e.Drafts < minDrafts {
		return assumedEscalation
	}
	return e.Escalation
}

// bound returns the lower bound that the objective asks for.
func (sc *score) bound(objective string) float64 {
	if objective == catalog.ObjectiveExposure {
		return sc.strict
	}
	return sc.low
}

// latencyGrains is the number of steps of latency that are told apart within
// the time to the deadline. Within a step the cheaper choice wins.
const latencyGrains = 10

// better reports whether a beats b when both meet the target.
func (c *chooser) better(a, b *score) bool {
	if c.objective == catalog.ObjectiveLatency {
		grain := max(1, c.left/latencyGrains)
		if c.left == noDeadline {
			grain = 1
		}
		if x, y := a.latency/grain, b.latency/grain; x != y {
			return x < y
		}
	}
	return a.cost < b.cost
}

// likelier reports whether a is the likelier of two that do not meet the
// target to give a good answer.
func likelier(a, b *score) bool {
	if a.mean != b.mean {
		return a.mean > b.mean
	}
	return a.cost < b.cost
}
