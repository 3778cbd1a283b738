package news

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tarragonbay.example/tarragonbay/internal/enginemodel"
)

// load is an installation and the work that comes to it.
type load struct {
	name     string
	gateways int
	engines  int
	// busy is the share of the engines' time that reading the prompts takes.
	busy float64
	// sizes are the prompts.
	sizes []size
	// domains is the number of failure domains that engines and gateways are spread
	// over; with more than one, prompts are told at once in the engine's domain alone.
	domains int
}

// size is one kind of prompt.
type size struct {
	tokens int
	share  float64
}

// mixed are short prompts among long ones, as on the users' sites: most work is
// in the few long ones.
var mixed = []size{{300, 0.7}, {2000, 0.27}, {16_000, 0.03}}

// short are prompts of one size, where news of single ones matter least.
var short = []size{{500, 1}}

// loads returns the loads that are played; quick leaves out the large ones.
func loads(quick bool) []load {
	out := []load{
		{"few gateways, mixed prompts", 6, 18, 0.5, mixed, 1},
		{"many gateways, mixed prompts", 26, 49, 0.5, mixed, 1},
		{"many gateways, mixed prompts, busy", 26, 49, 0.7, mixed, 1},
		{"many gateways, short prompts", 26, 49, 0.5, short, 1},
		{"gateways of five domains, mixed prompts", 34, 40, 0.5, mixed, 5},
	}
	if quick {
		return out
	}
	return append(out,
		load{"a hundred gateways, mixed prompts", 103, 160, 0.5, mixed, 5},
		load{"three hundred gateways, mixed prompts", 300, 465, 0.5, mixed, 5},
	)
}

// domain is that of the gateway or engine with a number.
func (l load) domain(i int) string { return fmt.Sprint("d", i%l.domains) }

// readMS is the time of one prompt token, in milliseconds: a large model on the
// users' sheets.
const readMS = 0.045

// answerTokens is the length of every answer.
const answerTokens = 60

// engineConfig has the speeds of the users' sheets, without a prefix cache.
func engineConfig() enginemodel.Config {
	return enginemodel.Config{
		Slots: 48, StepBase: 3880 * time.Microsecond, StepPerSequence: 28 * time.Microsecond,
		PromptToken: time.Duration(readMS * float64(time.Millisecond)), Chunk: 1024,
	}
}

// arrival is one request at one gateway.
type arrival struct {
	at      time.Duration
	gateway int
	tokens  int
}

// arrivals are the same for every policy.
func (l load) arrivals(seed uint64, during time.Duration) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	work := 0.0
	for _, s := range l.sizes {
		work += s.share * float64(s.tokens) * readMS / 1000
	}
	every := work / (l.busy * float64(l.engines)) // seconds
	var out []arrival
	for at := 0.0; ; {
		at += r.ExpFloat64() * every
		if at >= during.Seconds() {
			return out
		}
		out = append(out, arrival{time.Duration(at * float64(time.Second)), r.IntN(l.gateways), l.draw(r)})
	}
}

func (l load) draw(r *rand.Rand) int {
	x := r.Float64()
	for _, s := range l.sizes {
		if x -= s.share; x < 0 {
			return s.tokens
		}
	}
	return l.sizes[len(l.sizes)-1].tokens
}
