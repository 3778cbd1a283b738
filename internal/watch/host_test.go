package watch

import (
	"testing"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// TestBudgetEndsWithTheRollout has a version with an exposure go on after its
// roll-out, when not all its answers are rated.
func TestBudgetEndsWithTheRollout(t *testing.T) {
	for state, bounded := range map[string]bool{catalog.RolloutDone: false, catalog.RolloutAborted: true} {
		open := rollingOut(t, 1)
		open.Versions["m@2"].Exposure = 5
		h := startHosts(open, 1, false)[0]
		h.News("m@2", &linkv1.VersionNews{Good: 60, Cleared: true})
		ended := rollingOut(t, 1)
		ended.Versions["m@2"].Exposure = 5
		ended.Rollouts["r"].State = state
		h.SetCatalog(ended)
		refused := 0
		for range 1000 {
			if err := h.Take("m@2", false, start); result.Is(err, result.ExposureSpent) {
				refused++
			}
		}
		if (refused > 0) != bounded {
			t.Errorf("%s: %d of 1000 answers without ratings are refused", state, refused)
		}
	}
}
