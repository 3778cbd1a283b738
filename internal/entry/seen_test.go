package entry

import (
	"fmt"
	"testing"
	"testing/synctest"

	"tarragonbay.example/tarragonbay/internal/ports"
)

func TestAnAnswerHandedInTwiceIsRatedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		e, stop := s.start("a")
		defer stop()
		for range 3 {
			s.requests = 0
			s.rate(100)
			settle()
		}
		s.expect("each answer handed in three times", e, 100)
		s.version, s.requests = newKey.Version, 0
		s.rate(100)
		settle()
		if n := e.fleet.RatingCounts("m@2").GetGood(); n != 100 {
			t.Errorf("%d ratings of the other version's answers to the same requests, want 100", n)
		}
	})
}

func TestSeenRatingsAreBounded(t *testing.T) {
	var seen seenRatings
	for i := range 3 * seenKept {
		r := ports.Rating{RequestID: fmt.Sprint(i), Version: "m@1"}
		if n := len(seen.firsts([]ports.Rating{r, r})); n != 1 {
			t.Fatalf("%d ratings of answer %d are taken, want 1", n, i)
		}
	}
	if len(seen.known) != seenKept || len(seen.order) != seenKept {
		t.Errorf("%d and %d answers are kept, want %d", len(seen.known), len(seen.order), seenKept)
	}
}
