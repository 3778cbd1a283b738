package route

// Settings limit how much a Planner explores. A zero field takes its default; a
// negative rate means none.
type Settings struct {
	// PriorWeight is the number of ratings that a version's prior quality counts as.
	PriorWeight float64
	// ExploreMax is the maximum share of requests that are answered by an
	// unproven option instead of the best.
	ExploreMax float64
	// ExploreShadow is the share of requests that run an unproven option as a
	// shadow, which no caller sees, if the option is likely to meet the target
	// and would save at least half the cost. Shadows cost extra, so the share
	// falls with the probability that the option meets the target.
	ExploreShadow float64
	// ExploreSurplus is the share of the quality above the target that
	// exploration may cost the callers.
	ExploreSurplus float64
	// ExploreStandby is the share of requests that explore the option which
	// would be best without the first version of the best option, so that it is
	// proven before that version fails.
	ExploreStandby float64
	// ExploreKnown is the share of requests that explore an option whose
	// ratings show that it misses the target.
	ExploreKnown float64
	// Shadow allows plans to have a shadow. The exposure objective explores
	// unproven options only in shadows, and held versions are rated only there.
	Shadow bool
	// ShadowHeld is the share of the requests a held version could have
	// answered that run it as a shadow.
	ShadowHeld float64
}

// Defaults of Settings.
const (
	DefaultPriorWeight    = 4
	DefaultExploreMax     = 0.5
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
	if s.ExploreMax == 0 {
		s.ExploreMax = DefaultExploreMax
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
