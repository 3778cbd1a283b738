package watch

import (
	"testing"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// TestBudgetEndsWithTheRollout guards against refusing a version for its exposure
// budget after its rollout is done. Not all its answers are rated then, so a
// budget would run out. After an aborted rollout the budget must stay.
func TestBudgetEndsWithTheRollout(t *testing.T) {
	for state, bounded := range map[string]bool{catalog.RolloutDone: false, catalog.RolloutAborted: true} {
		active := newRolloutSet(t, 1)
		active.Versions["m@2"].Exposure = 5
		h := startHosts(active, 1, false)[0]
		h.MergeRatingCounts("m@2", &linkv1.VersionNews{Good: 60, Cleared: true})
		ended := newRolloutSet(t, 1)
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
			t.Errorf("rollout %s: %d of 1000 unrated answers refused", state, refused)
		}
	}
}
