package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Upper bounds on the requests that a faulty version may serve over the whole
// deployment before it is withdrawn, by its bad rate.
const (
	maxExposedAt20Percent  = 60
	maxExposedAt100Percent = 10
)

// deployment runs one version on several agents. Ratings reach each agent after a
// lag of its own, and each agent meters by the ratings that it has received.
type deployment struct {
	rnd     *rand.Rand
	now     time.Time
	agents  []*agent
	badRate float64
	lag     time.Duration
	pending []pendingRating
	exposed int
}

type agent struct {
	monitor *Monitor
	meter   *Meter
}

// pendingRating is a rating in flight to one agent.
type pendingRating struct {
	deliverAt time.Time
	agent     int
	good      bool
	shadow    bool
}

const testBaseline = 0.02

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

// run sends one request per second to a random agent until every agent has
// withdrawn the version or all requests are sent.
func (d *deployment) run(requests int) {
	for range requests {
		d.now = d.now.Add(time.Second)
		d.deliverRatings()
		if d.withdrawn() {
			return
		}
		i := d.rnd.IntN(len(d.agents))
		a := d.agents[i]
		switch a.monitor.Verdict() {
		case Withdraw:
			continue
		case Hold:
			d.sendRatings(true)
		case Trusted:
			if a.meter.Take() {
				d.exposed++
				d.sendRatings(false)
			}
		}
	}
}

// sendRatings draws the rating of one response and queues it for all agents.
func (d *deployment) sendRatings(shadow bool) {
	good := d.rnd.Float64() >= d.badRate
	for i := range d.agents {
		lag := d.lag + time.Duration(d.rnd.Int64N(int64(d.lag)+1))
		d.pending = append(d.pending, pendingRating{deliverAt: d.now.Add(lag), agent: i, good: good, shadow: shadow})
	}
}

func (d *deployment) deliverRatings() {
	undelivered := d.pending[:0]
	for _, p := range d.pending {
		if p.deliverAt.After(d.now) {
			undelivered = append(undelivered, p)
			continue
		}
		a := d.agents[p.agent]
		if p.shadow {
			a.monitor.ShadowRating(p.good, testBaseline, d.now)
		} else {
			a.monitor.RecordRating(p.good, testBaseline, d.now)
		}
		a.meter.Raise(Share(a.monitor.Granted(), p.agent, len(d.agents)))
	}
	d.pending = undelivered
}

func (d *deployment) withdrawn() bool {
	for _, a := range d.agents {
		if a.monitor.Verdict() != Withdraw {
			return false
		}
	}
	return true
}

// TestBoundsExposureOfNewVersion bounds the exposure to faulty new versions, with
// ratings that arrive within seconds and ratings that lag by minutes.
func TestBoundsExposureOfNewVersion(t *testing.T) {
	tests := []struct {
		name       string
		badRate    float64
		agents     int
		lag        time.Duration
		maxExposed int
	}{
		{"20% wrong", 0.2, 10, 2 * time.Second, maxExposedAt20Percent},
		{"20% wrong, ratings lag", 0.2, 5, 5 * time.Minute, maxExposedAt20Percent},
		{"100% wrong", 1, 10, 2 * time.Second, maxExposedAt100Percent},
		{"100% wrong, ratings lag", 1, 20, 5 * time.Minute, maxExposedAt100Percent},
	}
	const seeds = 100
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			worst, sum := 0, 0
			for seed := range uint64(seeds) {
				d := newDeployment(seed, tt.agents, true, tt.badRate, tt.lag)
				d.run(5000)
				if d.exposed > tt.maxExposed {
					t.Errorf("seed %d: %d exposed, want at most %d", seed, d.exposed, tt.maxExposed)
				}
				if !d.withdrawn() {
					t.Errorf("seed %d: not withdrawn", seed)
				}
				worst, sum = max(worst, d.exposed), sum+d.exposed
			}
			t.Logf("exposed: mean %.1f, maximum %d over %d seeds", float64(sum)/seeds, worst, seeds)
		})
	}
}

// TestBoundsExposureOfEstablishedVersion bounds the exposure to a version that
// becomes bad long after its rollout, at one request per second and ratings that
// arrive after about 3 s.
func TestBoundsExposureOfEstablishedVersion(t *testing.T) {
	tests := []struct {
		name       string
		badRate    float64
		maxExposed int
	}{
		{"20% wrong", 0.2, maxExposedAt20Percent},
		{"100% wrong", 1, maxExposedAt100Percent},
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
				if d.exposed > tt.maxExposed {
					t.Errorf("seed %d: %d exposed, want at most %d", seed, d.exposed, tt.maxExposed)
				}
				worst, sum = max(worst, d.exposed), sum+d.exposed
			}
			t.Logf("exposed: mean %.1f, maximum %d over %d seeds", float64(sum)/seeds, worst, seeds)
		})
	}
}

// TestGoodVersionIsCleared guards against a budget that blocks good versions.
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
		t.Errorf("%d of %d good versions were cleared and served over 1000 requests", cleared, seeds)
	}
}

// TestSharesNeverExceedTheGrant guards against overspending when agents know of
// different numbers of ratings.
func TestSharesNeverExceedTheGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := rapid.IntRange(1, 40).Draw(t, "agents")
		b := NewBudget(rapid.IntRange(0, 100).Draw(t, "exposure"))
		complete := Tally{Good: rapid.IntRange(0, 500).Draw(t, "good"), Bad: rapid.IntRange(0, 500).Draw(t, "bad")}
		sum := 0
		for i := range agents {
			known := complete
			known.Good = rapid.IntRange(0, complete.Good).Draw(t, "known")
			share := Share(b.Granted(known), i, agents)
			if full := Share(b.Granted(complete), i, agents); share > full {
				t.Fatalf("share of agent %d is %d with some of the ratings, %d with all", i, share, full)
			}
			sum += share
		}
		if sum > b.Granted(complete) {
			t.Fatalf("shares add up to %d, grant is %d", sum, b.Granted(complete))
		}
	})
}

func TestRestartedMeterCountsItsShareAsUsed(t *testing.T) {
	m := NewMeter(3, true)
	if m.Take() {
		t.Fatal("a restarted agent served from a share that it may have used")
	}
	m.Raise(4)
	m.Raise(2)
	if !m.Take() || m.Take() {
		t.Error("want exactly one more response: Raise(4) grants one, the late Raise(2) is ignored")
	}
	m.Return()
	if m.Left() != 1 {
		t.Errorf("Left = %d after Return, want 1", m.Left())
	}
}
