package peers

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/quarantine"
)

// TestCrashReportsFitDatagrams: a report with as many features as a prompt may have was not sent at all.
func TestCrashReportsFitDatagrams(t *testing.T) {
	now := time.Now()
	features := make([]quarantine.Feature, quarantine.MaxFeatures)
	for i := range features {
		features[i] = quarantine.Feature(1<<63 + uint64(i))
	}
	r := quarantine.Report{Clearances: make([]quarantine.Clearance, 60), Crashes: make([]quarantine.Crash, 40), Lifted: make([]quarantine.Lifting, 40)}
	for i := range 40 {
		r.Strikes = append(r.Strikes, quarantine.Attempt{Boot: quarantine.Boot(i), Request: 1 << 63, Features: features, SentAt: now.Add(-time.Hour), EndedAt: now, Began: true, GivenUp: true})
		r.Holds = append(r.Holds, quarantine.Hold{Name: quarantine.Feature(i), Features: features, Since: now.Add(-time.Hour), Until: now.Add(time.Hour), Placed: now, Crashes: 6, Answers: 2})
	}
	var got quarantine.Report
	for _, m := range splitCrashes(encodeCrashes(r, now)) {
		b, err := proto.Marshal(&gossipv1.News{Gateway: "edge-with-a-long-name", Incarnation: 1 << 62, Addition: true, Crashes: m})
		if err != nil || len(b) > maxDatagramBytes {
			t.Fatalf("%d bytes: %v", len(b), err)
		}
		part := decodeCrashes(m, now)
		got.Strikes, got.Holds = append(got.Strikes, part.Strikes...), append(got.Holds, part.Holds...)
		got.Clearances, got.Crashes, got.Lifted = append(got.Clearances, part.Clearances...), append(got.Crashes, part.Crashes...), append(got.Lifted, part.Lifted...)
	}
	if len(got.Strikes) != 40 || len(got.Holds) != 40 || len(got.Clearances) != 60 || len(got.Crashes) != 40 || len(got.Lifted) != 40 {
		t.Fatalf("%d strikes, %d holds, %d clearances, %d crashes, %d liftings", len(got.Strikes), len(got.Holds), len(got.Clearances), len(got.Crashes), len(got.Lifted))
	}
	if h := got.Holds[39]; h.Name != 39 || len(h.Features) != len(features) || h.Crashes != 6 || h.Answers != 2 || h.Until.Before(now.Add(59*time.Minute)) {
		t.Errorf("hold %+v", h)
	}
}

// TestOlderGatewaysReadCrashReports: what earlier builds read of a report is unchanged by the fields
// that they do not know.
func TestOlderGatewaysReadCrashReports(t *testing.T) {
	now := time.Now()
	r := quarantine.Report{
		Strikes:    []quarantine.Attempt{{Boot: 3, Request: 4, Features: []quarantine.Feature{5}, SentAt: now, EndedAt: now, Began: true}},
		Clearances: []quarantine.Clearance{{Feature: 5, SentAt: now, Answers: 7}}, Crashes: []quarantine.Crash{{Boot: 3, At: now}},
		Holds: []quarantine.Hold{{Name: 5, Features: []quarantine.Feature{5}, Until: now.Add(time.Minute)}},
	}
	m := encodeCrashes(r, now)
	earlier := &gossipv1.CrashReport{Attempts: m.GetAttempts(), Cleared: m.GetCleared(), ClearedMsAgo: m.GetClearedMsAgo(), Boots: m.GetBoots(), CrashedMsAgo: m.GetCrashedMsAgo()}
	got := decodeCrashes(earlier, now)
	if len(got.Strikes) != 1 || len(got.Clearances) != 1 || got.Clearances[0].Answers != 0 || len(got.Crashes) != 1 || len(got.Holds) != 0 {
		t.Errorf("read %+v", got)
	}
}

// TestHoldWithTooManyFeaturesIsDropped: cut to the bound, it would apply to more requests.
func TestHoldWithTooManyFeaturesIsDropped(t *testing.T) {
	told := &gossipv1.ToldHold{Name: 0, LeftMs: 1000, Features: make([]uint64, quarantine.MaxFeatures+1)}
	if r := decodeCrashes(&gossipv1.CrashReport{Holds: []*gossipv1.ToldHold{told}}, time.Now()); len(r.Holds) != 0 {
		t.Errorf("%+v", r.Holds)
	}
}
