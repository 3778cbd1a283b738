package entry

import "tarragonbay.example/tarragonbay/internal/ports"

// seenKept is how many ratings are remembered. An answer that is handed in twice,
// since the first reply was lost, is handed in again within seconds.
const seenKept = 4096

// seenRatings drops the second rating of an answer. The zero value is ready.
type seenRatings struct {
	known map[ratedAnswer]bool
	// order is a ring of what is known; next is its oldest place.
	order []ratedAnswer
	next  int
}

// ratedAnswer names one answer: a request may have one of each version.
type ratedAnswer struct{ request, version string }

// firsts returns the ratings of the batch that are the first of their answer.
func (s *seenRatings) firsts(batch []ports.Rating) []ports.Rating {
	out := make([]ports.Rating, 0, len(batch))
	for _, r := range batch {
		if s.add(ratedAnswer{request: r.RequestID, version: r.Version}) {
			out = append(out, r)
		}
	}
	return out
}

// add remembers an answer and reports whether it is new.
func (s *seenRatings) add(a ratedAnswer) bool {
	if s.known[a] {
		return false
	}
	if s.known == nil {
		s.known = make(map[ratedAnswer]bool, seenKept)
	}
	s.known[a] = true
	if len(s.order) < seenKept {
		s.order = append(s.order, a)
		return true
	}
	delete(s.known, s.order[s.next])
	s.order[s.next] = a
	s.next = (s.next + 1) % seenKept
	return true
}
