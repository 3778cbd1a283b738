package rollout

import (
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const day = 24 * time.Hour

// TestBoundsFalseWithdrawals guards against withdrawals of good versions. It runs
// versions whose bad rate equals their baseline for thousands of version-days and
// allows one withdrawal per 1,000 version-days.
func TestBoundsFalseWithdrawals(t *testing.T) {
	tests := []struct {
		name     string
		ratings  int // a day
		versions int
		baseline float64
	}{
		{"few ratings", 100, 2000, 0.03},
		{"many ratings", 2000, 200, 0.01},
		{"high baseline", 500, 400, 0.1},
	}
	const days = 10
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			rnd := rand.New(rand.NewPCG(1, uint64(tt.ratings)))
			withdrawn := 0
			for range tt.versions {
				if runHealthyVersion(rnd, tt.ratings, days, tt.baseline) == Withdraw {
					withdrawn++
				}
			}
			t.Logf("%d withdrawn in %d version-days", withdrawn, tt.versions*days)
			if withdrawn > tt.versions*days/1000 {
				t.Errorf("%d false withdrawals in %d version-days", withdrawn, tt.versions*days)
			}
		})
	}
}

// runHealthyVersion observes a version whose bad rate equals the baseline rate.
func runHealthyVersion(rnd *rand.Rand, ratings, days int, rate float64) Verdict {
	now := epoch
	d := NewDetector(DetectorSettings{}, now)
	for range ratings * days {
		now = now.Add(day / time.Duration(ratings))
		s := SignalRating
		if rnd.IntN(4) == 0 {
			s = SignalFailure
		}
		if d.Observe(s, rnd.Float64() < rate, rate, now) == Withdraw {
			return Withdraw
		}
	}
	return d.Verdict()
}

// TestDetectorWithdrawsVersionThatDegradesLate raises the bad rate after 20,000
// good observations; a long good history must not delay the withdrawal.
func TestDetectorWithdrawsVersionThatDegradesLate(t *testing.T) {
	for s := range signalCount {
		t.Run(s.String(), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(2, uint64(s)))
			now := epoch
			d := NewDetector(DetectorSettings{}, now)
			for range 20000 {
				now = now.Add(10 * time.Second)
				d.Observe(s, rnd.Float64() < 0.01, 0.02, now)
			}
			if d.Verdict() == Withdraw {
				t.Fatal("withdrawn while good")
			}
			observations := 0
			for d.Verdict() != Withdraw && observations < 1000 {
				now = now.Add(10 * time.Second)
				d.Observe(s, rnd.Float64() < 0.2, 0.02, now)
				observations++
			}
			t.Logf("withdrawn after %d observations", observations)
			if observations > 200 {
				t.Errorf("withdrawn only after %d observations at 20%% bad", observations)
			}
		})
	}
}

func TestHoldEndsWhenSuspicionFalls(t *testing.T) {
	d := NewDetector(DetectorSettings{}, epoch)
	for range 40 {
		d.Observe(SignalRating, false, 0.02, epoch)
	}
	for range 3 {
		d.Observe(SignalRating, true, 0.02, epoch)
	}
	if d.Verdict() != Hold {
		t.Fatalf("verdict after three bad ratings in a row = %v, want hold", d.Verdict())
	}
	for range 60 {
		d.Observe(SignalRating, false, 0.02, epoch)
	}
	if d.Verdict() != Trusted {
		t.Errorf("verdict after sixty good ratings = %v, want trusted", d.Verdict())
	}
}

func TestAttributeDistinguishesHostAndVersionFaults(t *testing.T) {
	healthy := func(host string) HostTally {
		return HostTally{Host: host, Good: 60, Bad: 1, OtherGood: 60, OtherBad: 1}
	}
	tests := []struct {
		name    string
		tallies []HostTally
		want    Fault
		host    string
	}{
		{"all well", []HostTally{healthy("a"), healthy("b")}, NoFault, ""},
		{"nothing seen", nil, NoFault, ""},
		{"bad everywhere", []HostTally{{Host: "a", Good: 20, Bad: 6}, {Host: "b", Good: 18, Bad: 5}}, VersionFault, ""},
		{"bad on one host, well elsewhere", []HostTally{{Host: "a", Good: 2, Bad: 10}, healthy("b"), healthy("c")}, HostFault, "a"},
		{"whole host bad", []HostTally{{Host: "a", Good: 2, Bad: 10, OtherGood: 3, OtherBad: 9}, {Host: "b", Good: 2}}, HostFault, "a"},
		{"only host, other versions well", []HostTally{{Host: "a", Good: 2, Bad: 10, OtherGood: 80}}, PairFault, "a"},
		{"two hosts, totally bad", []HostTally{{Host: "a", Bad: 2}, {Host: "b", Bad: 2}}, VersionFault, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if f, host := Attribute(tt.tallies, 0.02); f != tt.want || host != tt.host {
				t.Errorf("got %v %q, want %v %q", f, host, tt.want, tt.host)
			}
		})
	}
}
