package route

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/quality"
)

// Values assumed of an answer before any was seen.
const (
	assumedOutputTokens = 256
	assumedEscalation   = 0.5
	// minAnswers is the weight of answers from which a version's own means
	// replace those of its class.
	minAnswers = 10
	// minDrafts is the same for its escalation.
	minDrafts = 10
)

// score is what is expected of an option for one request.
type score struct {
	mean, low, high, strict float64
	cost                    float64
	// latency is the mean; slow is what all steps take when slow.
	latency, slow time.Duration
}

// scoring holds what does not change while the options of a request are
// scored.
type scoring struct {
	planner *Planner
	row     []quality.Estimate
	prompt  float64
	tokens  float64
	typical time.Duration
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
		s.typical = c.Latency
	} else if req.MaxTokens > 0 {
		s.tokens = min(s.tokens, float64(req.MaxTokens))
	}
	return s
}

// score works out an option whose stages are filled with the candidates.
func (s *scoring) score(o *option, filled *[MaxSteps]candidate) score {
	var total score
	reach := 1.0
	last := len(o.stages) - 1
	for i := range o.stages {
		e := &s.row[filled[i].slot]
		keep := 1.0
		if i < last {
			keep = 1 - escalation(e)
		}
		s.addStep(&total, &s.planner.versions[filled[i].version], e, reach, reach*keep)
		reach *= 1 - keep
	}
	return total
}

// addStep adds a step that runs for the share reach of the requests and
// answers the share answers of them.
func (s *scoring) addStep(total *score, v *version, e *quality.Estimate, reach, answers float64) {
	weight := s.planner.settings.PriorWeight
	total.mean += answers * (e.Mean*e.Ratings + v.prior*weight) / (e.Ratings + weight)
	total.low += answers * e.Low
	total.high += answers * e.High
	total.strict += answers * e.Strict

	tokens, latency, slow := s.tokens, s.typical, s.typical
	if e.Answers >= minAnswers {
		tokens, latency, slow = e.OutputTokens, e.Latency, e.LatencyHigh
	}
	total.cost += reach * (v.input*s.prompt + v.output*tokens)
	total.latency += time.Duration(reach * float64(latency))
	total.slow += slow
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

// better reports whether a beats b when both meet the target.
func better(a, b *score, objective string) bool {
	if objective == catalog.ObjectiveLatency && a.latency != b.latency {
		return a.latency < b.latency
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
