package gateway

import (
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// TestLimitsOfANewVersionRefuseNobody checks requests while the upstreams of a trial are
// at their announced limits: the trial's share goes to the old version, and sessions that
// have run on the new version go to its other upstreams.
func TestLimitsOfANewVersionRefuseNobody(t *testing.T) {
	now := processStart.Add(time.Minute)
	tr := trackerWithOrder(now)
	tr.applyState(versionshift.State{Service: "s", To: "v2", Order: 5, Phase: versionshift.Trial, Within: time.Minute}, 9)
	tr.statesRead(time.Minute, now)
	ups := []fleet.Upstream{{ID: "o1", Version: "v1"}, {ID: "n1", Version: "v2"}, {ID: "n2", Version: "v2"}, {ID: "n3", Version: "v2"}}
	peerState := peerShiftState{sessions: func(session string) (bool, bool) { return false, session == "stays" }}
	for _, c := range []struct {
		name, session string
		limited       []fleet.Upstream
		want          string
	}{
		{"no limits", "", nil, "v2"},
		{"all are at their limits", "", ups[1:], "v1"},
		{"a session of the new version", "stays", ups[1:], "v2"},
	} {
		limited := limitedBoots{}
		for _, u := range c.limited {
			limited[bootID(u)] = true
		}
		allowed, _ := tr.allowedUpstreams(shiftQuery{service: "s", session: c.session, sessionPoint: 0, limited: limited}, ups, now, peerState)
		if len(allowed) == 0 || allowed[0].Version != c.want {
			t.Errorf("%s: %v, want %s", c.name, allowed, c.want)
		}
		if c.session == "stays" && len(allowed) != 3 {
			t.Errorf("%s: %v, want all of the version's upstreams", c.name, allowed)
		}
	}
}
