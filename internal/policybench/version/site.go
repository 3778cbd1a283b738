package version

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// model is a version as the runs know it. Its true quality is hidden from the
// policies.
type model struct {
	name catalog.VersionName
	// price is the cost of a token in millionths of the accounting unit.
	price uint64
	// prior is the quality that the operators assume.
	prior float64
	// first is the time to the first token, and perToken to each further.
	first    time.Duration
	perToken time.Duration
	// good is the true share of good answers for each class of the site.
	good []float64
}

// class is one kind of request of a site.
type class struct {
	name     string
	share    float64
	target   float64
	deadline time.Duration
	prompt   int
	output   int
}

// site is one of the two early users: its versions, its mix of requests and
// its sizes of today.
type site struct {
	name      string
	objective string
	// holdLevel is the suspicion from which the site holds a version back.
	holdLevel float64
	classes   []class
	// models are the versions from cheap to dear, then the new version of
	// the roll-outs, which replaces the first.
	models   []model
	replicas int // of each version
	slots    int // of each replica
	rate     float64
}

const (
	// cheap and dear are the first and last version in use; fresh is the new
	// version that a roll-out brings.
	cheap  = 0
	middle = 1
	dear   = 2
	fresh  = 3

	domains = 3
)

// How a draft's confidence goes with its quality.
const (
	confidentWhenGood = 0.92
	confidentWhenBad  = 0.25
)

func kusinang() *site {
	return &site{
		name:      "kusinang",
		objective: catalog.ObjectiveLatency,
		holdLevel: 4.5,
		classes: []class{
			{"plan", 0.12, 0.94, 60 * time.Second, 1500, 1200},
			{"note", 0.33, 0.93, 10 * time.Second, 300, 150},
			{"tag", 0.55, 0.95, 3 * time.Second, 100, 20},
		},
		models: []model{
			{"small@1", 1, 0.8, 100 * time.Millisecond, 4 * time.Millisecond, []float64{0.60, 0.85, 0.98}},
			{"medium@1", 4, 0.9, 200 * time.Millisecond, 8 * time.Millisecond, []float64{0.90, 0.965, 0.985}},
			{"large@1", 20, 0.97, 400 * time.Millisecond, 16 * time.Millisecond, []float64{0.985, 0.985, 0.99}},
			{"small@2", 1, 0.8, 100 * time.Millisecond, 4 * time.Millisecond, []float64{0.60, 0.85, 0.98}},
		},
		replicas: 6,
		slots:    6,
		rate:     1,
	}
}

func lemnotrat() *site {
	return &site{
		name:      "lemnotrat",
		objective: catalog.ObjectiveExposure,
		holdLevel: 5.5,
		classes: []class{
			{"dossier", 0.10, 0.94, 120 * time.Second, 4000, 1000},
			{"kiln", 0.30, 0.93, 30 * time.Second, 800, 200},
			{"stamp", 0.60, 0.95, 5 * time.Second, 150, 60},
		},
		models: []model{
			{"small@1", 1, 0.8, 100 * time.Millisecond, 4 * time.Millisecond, []float64{0.55, 0.88, 0.985}},
			{"medium@1", 4, 0.9, 200 * time.Millisecond, 8 * time.Millisecond, []float64{0.91, 0.97, 0.985}},
			{"large@1", 20, 0.97, 400 * time.Millisecond, 16 * time.Millisecond, []float64{0.985, 0.985, 0.99}},
			{"small@2", 1, 0.8, 100 * time.Millisecond, 4 * time.Millisecond, []float64{0.55, 0.88, 0.985}},
		},
		replicas: 3,
		slots:    8,
		rate:     0.5,
	}
}

// cost returns the cost of one answer of the version.
func (m *model) cost(c *class) float64 {
	return float64(m.price) * float64(c.prompt+c.output)
}

// service returns the time the version takes for an answer of some length.
func (m *model) service(output int) time.Duration {
	return m.first + time.Duration(output)*m.perToken
}
