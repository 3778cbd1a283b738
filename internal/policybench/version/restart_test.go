package version

import (
	"testing"
	"time"
)

// TestRestartCosts measures the quiet hours after all entries restarted: with
// what the week before taught, as it is handed on, and without.
func TestRestartCosts(t *testing.T) {
	const after = 2 * time.Hour
	for _, s := range []*site{kusinang(), lemnotrat()} {
		week := outcome{site: s, load: coldStart(), policy: policyProduct}
		if err := week.measure(boundsSeed); err != nil {
			t.Fatal(err)
		}
		cost := map[string]float64{}
		for name, o := range map[string]*outcome{
			"kept":        {site: s, load: load{learned: quietWeek, length: after}, policy: policyProduct, learned: week.learned},
			"forgotten":   {site: s, load: load{length: after}, policy: policyProduct},
			"clairvoyant": {site: s, load: load{length: after}, policy: policyClairvoyant},
		} {
			if err := o.measure(boundsSeed); err != nil {
				t.Fatal(err)
			}
			cost[name] = o.costPerAnswer()
			t.Logf("%s, %s: cost %.0f, meets the targets %v", s.name, name, cost[name], o.meetsTargets())
		}
		if cost["kept"] > maxCostOfClairvoyant*cost["clairvoyant"] {
			t.Errorf("%s: what was kept costs %.0f, clairvoyant %.0f", s.name, cost["kept"], cost["clairvoyant"])
		}
	}
}
