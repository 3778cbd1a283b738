package gateway

import (
	"slices"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// TestWithdrawnVersionGetsRequestsAtTheNextOrder guards against counting a version that was
// withdrawn as one of the old ones once another is ordered (khl-galley, review case 3).
func TestWithdrawnVersionGetsRequestsAtTheNextOrder(t *testing.T) {
	now := processStart.Add(time.Minute)
	withdrawn := versionshift.State{Service: "s", To: "v2", Order: 5, Phase: versionshift.Withdrawn, Within: time.Minute}
	order := func(to string, rev uint64) versionshift.Order {
		return versionshift.Order{Service: "s", To: to, Within: time.Minute, Rev: rev}
	}
	third := versionshift.Start(order("v3", 12), time.Minute, withdrawn)
	again := versionshift.Start(order("v2", 12), time.Minute, withdrawn)
	for _, c := range []struct {
		name  string
		learn func(tr *shiftTracker)
		want  []string
	}{
		{"ordered, state not written yet", func(tr *shiftTracker) {
			tr.applyState(withdrawn, 9)
			tr.applyOrder(order("v3", 12), false)
		}, []string{"v1"}},
		{"state written", func(tr *shiftTracker) {
			tr.applyState(withdrawn, 9)
			tr.applyOrder(order("v3", 12), false)
			tr.applyState(third, 14)
		}, []string{"v1"}},
		{"state written by an earlier build", func(tr *shiftTracker) {
			tr.applyState(withdrawn, 9)
			tr.applyOrder(order("v3", 12), false)
			earlier := third
			earlier.Rejected = nil
			tr.applyState(earlier, 14)
		}, []string{"v1"}},
		{"withdrawal decided, not written", func(tr *shiftTracker) {
			tr.decideWithdrawal(withdrawn)
			tr.applyOrder(order("v3", 12), false)
		}, []string{"v1"}},
		{"process started since", func(tr *shiftTracker) {
			tr.services = map[string]*serviceShift{}
			tr.applyOrder(order("v3", 12), false)
			tr.applyState(third, 14)
		}, []string{"v1"}},
		{"process started since, the state read first", func(tr *shiftTracker) {
			tr.services = map[string]*serviceShift{}
			tr.applyState(third, 14)
			tr.applyOrder(order("v3", 12), false)
		}, []string{"v1"}},
		{"ordered again and in use, then another", func(tr *shiftTracker) {
			tr.decideWithdrawal(withdrawn)
			tr.applyState(withdrawn, 9)
			tr.applyOrder(order("v2", 12), false)
			done := again
			done.Phase = versionshift.Done
			tr.applyState(done, 14)
			tr.applyOrder(order("v3", 16), false)
		}, []string{"v1", "v2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := trackerWithOrder(now)
			tr.statesRead(time.Minute, now)
			c.learn(tr)
			ups := []fleet.Upstream{{ID: "a", Version: "v1"}, {ID: "b", Version: "v2"}, {ID: "c", Version: "v3"}}
			allowed, _ := tr.allowedUpstreams(shiftQuery{service: "s", sessionPoint: 0.99}, ups, now, noPeers)
			var got []string
			for _, u := range allowed {
				got = append(got, u.Version)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("%v may take a request of the old version, want %v", got, c.want)
			}
		})
	}
}
