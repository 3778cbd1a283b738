package host

import (
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/policybench"
)

// ending is how a request ended for its caller.
type ending uint8

const (
	answered ending = iota
	refused
	missed
)

// stats collects the endings of one run.
type stats struct {
	scenario *scenario
	// asked and got count requests that came after the warm-up, and those of
	// them answered in time, by organisation.
	asked [organisations]int
	got   [organisations]int

	refused   int
	missed    int
	latencies []time.Duration
	// inWindow counts the answers given between the warm-up and the end.
	// tokens counts their output tokens.
	inWindow int
	tokens   int
}

func (s *stats) began(r *request) {
	if r.at >= s.scenario.warm {
		s.asked[r.org]++
	}
}

func (s *stats) ended(r *request, how ending, at time.Duration) {
	if how == answered && at >= s.scenario.warm && at < s.scenario.duration {
		s.inWindow++
		s.tokens += r.output
	}
	if r.at < s.scenario.warm {
		return
	}
	switch how {
	case answered:
		s.got[r.org]++
		s.latencies = append(s.latencies, at-r.at+client)
	case refused:
		s.refused++
	case missed:
		s.missed++
	}
}

func (s *stats) row(policy string, seed uint64, capacity float64) policybench.Row {
	slices.Sort(s.latencies)
	window := (s.scenario.duration - s.scenario.warm).Seconds()
	row := policybench.Row{
		Bench: "host", Load: s.scenario.name, Policy: policy, Seed: seed,
		Answered: len(s.latencies), Refused: s.refused, DeadlineMisses: s.missed,
		P50: s.percentile(50), P95: s.percentile(95), P99: s.percentile(99),
		Goodput:    float64(s.inWindow) / window,
		GoodTokens: float64(s.tokens) / window,
		AtQuality:  1,
		Fairness:   s.fairness(capacity * window),
	}
	for _, n := range s.asked {
		row.Requests += n
	}
	return row
}

func (s *stats) percentile(p int) time.Duration {
	if len(s.latencies) == 0 {
		return 0
	}
	return s.latencies[min(len(s.latencies)-1, len(s.latencies)*p/100)]
}

// fairness is the least part of its fair share that a small organisation got.
// The fair share is the max-min one of the requests that the fleet can answer
// in the window, every organisation weighing the same.
func (s *stats) fairness(capacity float64) float64 {
	level := s.waterLevel(capacity)
	least := 1.0
	for org := range organisations {
		if large(org) || s.asked[org] == 0 {
			continue
		}
		fair := min(float64(s.asked[org]), level)
		least = min(least, float64(s.got[org])/fair)
	}
	return least
}

// waterLevel is the most requests that an organisation gets when capacity is
// shared max-min.
func (s *stats) waterLevel(capacity float64) float64 {
	asked := s.asked
	slices.Sort(asked[:])
	left := capacity
	for i, n := range asked {
		level := left / float64(organisations-i)
		if float64(n) >= level {
			return level
		}
		left -= float64(n)
	}
	return float64(asked[organisations-1])
}
