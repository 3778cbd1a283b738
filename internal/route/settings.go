package route

// Settings bound what a Planner may try. The zero value of a field takes its
// default; a negative rate is none.
type Settings struct {
	// PriorWeight is the number of ratings that a version's prior quality
	// stands for.
	PriorWeight float64
	// ExploreLikely is the share of requests that try an unproven choice
	// whose mean, with its prior, meets the target.
	ExploreLikely float64
	// ExploreCold is the share that tries an unproven choice whose mean
	// misses the target, while its upper bound does not.
	ExploreCold float64
	// ExploreKnown is the share that tries a choice again of which the
	// ratings say that it misses the target.
	ExploreKnown float64
	// Shadow lets plans have a shadow. The exposure objective tries unproven
	// choices only there, and held versions are rated only there.
	Shadow bool
	// ShadowHeld is the share of requests beside which a held version that
	// could have answered them is tried.
	ShadowHeld float64
}

// Defaults of Settings.
const (
	DefaultPriorWeight   = 4
	DefaultExploreLikely = 0.3
	DefaultExploreCold   = 0.05
	DefaultExploreKnown  = 0.002
	DefaultShadowHeld    = 0.5
)

func (s Settings) withDefaults() Settings {
	if s.PriorWeight <= 0 {
		s.PriorWeight = DefaultPriorWeight
	}
	if s.ExploreLikely == 0 {
		s.ExploreLikely = DefaultExploreLikely
	}
	if s.ExploreCold == 0 {
		s.ExploreCold = DefaultExploreCold
	}
	if s.ExploreKnown == 0 {
		s.ExploreKnown = DefaultExploreKnown
	}
	if s.ShadowHeld == 0 {
		s.ShadowHeld = DefaultShadowHeld
	}
	return s
}
