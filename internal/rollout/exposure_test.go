package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The bounds of the target on the requests that a faulty version answers over
// the whole deployment before it gets no more work.
const (
	maxExposedFifth = 60
	maxExposedAll   = 10
)

// deployment runs one version on a few agents. Each agent learns of ratings
// with a lag of its own and meters by what it knows.
type deployment struct {
	rnd     *rand.Rand
	now     time.Time
	agents  []*agent
	badRate float64
	lag     time.Duration
	pending []verdictDue
	exposed int
}

type agent struct {
	monitor *Monitor
	meter   *Meter
}

// verdictDue is a rating on its way to one agent.
type verdictDue struct {
	at     time.Time
	agent  int
	good   bool
	shadow bool
}

const trialBaseline = 0.02

func newDeployment(seed uint64, agents int, isNew bool, badRate float64, lag time.Duration) *deployment {
	d := &deployment{rnd: rand.New(rand.NewPCG(seed, 7)), now: epoch, badRate: badRate, lag: lag}
	for i := range agents {
		m := NewMonitor(DetectorSettings{}, NewBudget(50), isNew, epoch)
		limit := Unlimited
		if isNew {
			limit = Share(m.Granted(), i, agents)
		}
		d.agents = append(d.agents, &agent{monitor: m, meter: NewMeter(limit, false)})
	}
	return d
}

// run offers a request a second, each to an agent at random, until every agent has
// withdrawn the version or the requests are spent.
func (d *deployment) run(requests int) {
	for range requests {
		d.now = d.now.Add(time.Second)
		d.deliver()
		if d.withdrawn() {
			return
		}
		i := d.rnd.IntN(len(d.agents))
		a := d.agents[i]
		switch a.monitor.Verdict() {
		case Withdraw:
			continue
		case Hold:
			d.answer(true)
		case Trusted:
			if a.meter.Take() {
				d.exposed++
				d.answer(false)
			}
		}
	}
}

// answer sends the rating of an answer on its way to all agents.
func (d *deployment) answer(shadow bool) {
	good := d.rnd.Float64() >= d.badRate
	for i := range d.agents {
		lag := d.lag + time.Duration(d.rnd.Int64N(int64(d.lag)+1))
		d.pending = append(d.pending, verdictDue{at: d.now.Add(lag), agent: i, good: good, shadow: shadow})
	}
}

func (d *deployment) deliver() {
	left := d.pending[:0]
	for _, p := range d.pending {
		if p.at.After(d.now) {
			left = append(left, p)
			continue
		}
		a := d.agents[p.agent]
		if p.shadow {
			a.monitor.ShadowRating(p.good, trialBaseline, d.now)
		} else {
			a.monitor.Rating(p.good, trialBaseline, d.now)
		}
		a.meter.Raise(Share(a.monitor.Granted(), p.agent, len(d.agents)))
	}
	d.pending = left
}

func (d *deployment) withdrawn() bool {
	for _, a := range d.agents {
		if a.monitor.Verdict() != Withdraw {
			return false
		}
	}
	return true
}

// TestBoundsExposureOfNewVersion runs faulty new versions at today's sizes,
// with a rating service that answers soon and one that lags by minutes.
func TestBoundsExposureOfNewVersion(t *testing.T) {
	tests := []struct {
		name    string
		badRate float64
		agents  int
		lag     time.Duration
		most    int
	}{
		{"20% wrong", 0.2, 10, 2 * time.Second, maxExposedFifth},
		{"20% wrong, ratings lag", 0.2, 5, 5 * time.Minute, maxExposedFifth},
		{"100% wrong", 1, 10, 2 * time.Second, maxExposedAll},
		{"100% wrong, ratings lag", 1, 20, 5 * time.Minute, maxExposedAll},
	}
	const seeds = 100
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			worst, sum := 0, 0
			for seed := range uint64(seeds) {
				d := newDeployment(seed, tt.agents, true, tt.badRate, tt.lag)
				d.run(5000)
				if d.exposed > tt.most {
					t.Errorf("seed %d: %d exposed, want at most %d", seed, d.exposed, tt.most)
				}
				if !d.withdrawn() {
					t.Errorf("seed %d: not withdrawn", seed)
				}
				worst, sum = max(worst, d.exposed), sum+d.exposed
			}
			t.Logf("exposed: mean %.1f, worst %d of %d seeds", float64(sum)/seeds, worst, seeds)
		})
	}
}

// TestBoundsExposureOfEstablishedVersion lets a version turn bad long after
// its roll-out, at one request a second and ratings after about 3 s.
func TestBoundsExposureOfEstablishedVersion(t *testing.T) {
	tests := []struct {
		name    string
		badRate float64
		most    int
	}{
		{"20% wrong", 0.2, maxExposedFifth},
		{"100% wrong", 1, maxExposedAll},
	}
	const seeds = 100
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			worst, sum := 0, 0
			for seed := range uint64(seeds) {
				d := newDeployment(seed, 5, false, 0.015, 2*time.Second)
				d.run(2000)
				d.exposed = 0
				d.badRate = tt.badRate
				d.run(3000)
				if d.exposed > tt.most {
					t.Errorf("seed %d: %d exposed, want at most %d", seed, d.exposed, tt.most)
				}
				worst, sum = max(worst, d.exposed), sum+d.exposed
			}
			t.Logf("exposed: mean %.1f, worst %d of %d seeds", float64(sum)/seeds, worst, seeds)
		})
	}
}

// TestGoodVersionIsCleared shows that the budget lets a good version through.
func TestGoodVersionIsCleared(t *testing.T) {
	const seeds = 50
	cleared := 0
	for seed := range uint64(seeds) {
		d := newDeployment(seed, 10, true, 0.01, 2*time.Second)
		d.run(2000)
		if d.agents[0].monitor.Tally().Cleared && d.exposed > 1000 {
			cleared++
		}
	}
	if cleared < seeds*9/10 {
		t.Errorf("%d of %d good versions were cleared and serve", cleared, seeds)
	}
}

func TestSharesNeverExceedTheGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := rapid.IntRange(1, 40).Draw(t, "agents")
		b := NewBudget(rapid.IntRange(0, 100).Draw(t, "exposure"))
		truth := Tally{Good: rapid.IntRange(0, 500).Draw(t, "good"), Bad: rapid.IntRange(0, 500).Draw(t, "bad")}
		sum := 0
		for i := range agents {
			known := truth
			known.Good = rapid.IntRange(0, truth.Good).Draw(t, "known")
			share := Share(b.Granted(known), i, agents)
			if full := Share(b.Granted(truth), i, agents); share > full {
				t.Fatalf("agent %d takes %d with less knowledge, %d with more", i, share, full)
			}
			sum += share
		}
		if sum > b.Granted(truth) {
			t.Fatalf("shares add up to %d of %d", sum, b.Granted(truth))
		}
	})
}

func TestRestartedMeterCountsItsShareAsUsed(t *testing.T) {
	m := NewMeter(3, true)
	if m.Take() {
		t.Fatal("a restarted agent answered from a share it may have used")
	}
	m.Raise(4)
	m.Raise(2)
	if !m.Take() || m.Take() {
		t.Error("one more was granted and late news took nothing back")
	}
	m.Return()
	if m.Left() != 1 {
		t.Errorf("left is %d after a return", m.Left())
	}
}
