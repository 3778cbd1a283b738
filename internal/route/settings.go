package route

// Settings bound what a Planner may try. The zero value of a field takes its
// default; a negative rate is none.
type Settings struct {
	// PriorWeight is the number of ratings that a version's prior quality
	// stands for.
	PriorWeight float64
	// ExploreMost is the greatest share of requests that try an unproven
	// choice in place of the best.
	ExploreMost float64
	// ExploreShadow is the same for tries beside a request, which no caller
	// sees, for a likely try that would save half the cost or more. They
	// cost extra, so they fade with the chance to meet the target.
	ExploreShadow float64
	// ExploreSurplus is the share of the quality above the target that
	// tries may cost the callers.
	ExploreSurplus float64
	// ExploreStandby is the share of requests that try what would answer
	// without the best choice's first version, so that it is proven before
	// that version is lost.
	ExploreStandby float64
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
	DefaultPriorWeight    = 4
	DefaultExploreMost    = 0.5
	DefaultExploreShadow  = 1.0
	DefaultExploreSurplus = 0.5
	DefaultExploreStandby = 0.02
	DefaultExploreKnown   = 0.005
	DefaultShadowHeld     = 1.0
)

func (s Settings) withDefaults() Settings {
	if s.PriorWeight <= 0 {
		s.PriorWeight = DefaultPriorWeight
	}
	if s.ExploreMost == 0 {
		s.ExploreMost = DefaultExploreMost
	}
	if s.ExploreShadow == 0 {
		s.ExploreShadow = DefaultExploreShadow
	}
	if s.ExploreSurplus == 0 {
		s.ExploreSurplus = DefaultExploreSurplus
	}
	if s.ExploreStandby == 0 {
		s.ExploreStandby = DefaultExploreStandby
	}
	if s.ExploreKnown == 0 {
		s.ExploreKnown = DefaultExploreKnown
	}
	if s.ShadowHeld == 0 {
		s.ShadowHeld = DefaultShadowHeld
	}
	return s
}
