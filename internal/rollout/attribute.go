package rollout

// HostTally is what was seen of one signal on one host.
type HostTally struct {
	Host string
	// Good and Bad count the version in question.
	Good, Bad int
	// OtherGood and OtherBad count all other versions on the host.
	OtherGood, OtherBad int
}

// Fault tells where a fault lies.
type Fault uint8

// The faults.
const (
	// NoFault means the evidence is weak.
	NoFault Fault = iota
	// VersionFault means the version is bad on more than one host.
	VersionFault
	// HostFault means one host is ill; the version goes on elsewhere.
	HostFault
	// PairFault means the version is bad on one host, and nothing is known
	// of others: it is held there only.
	PairFault
)

// String returns the fault's name.
func (f Fault) String() string { return [...]string{"none", "version", "host", "pair"}[f] }

const (
	// faultEvidence is the log likelihood ratio from which a fault counts.
	faultEvidence = 4.0
	// restEvidence is the same for the hosts other than the worst.
	restEvidence = 2.0
)

// Attribute tells a fault of the version from a fault of a host. It returns
// the host for HostFault and PairFault.
//
// The version is at fault when the evidence outlives the removal of the host
// that speaks most against it, or when only that host's answers of this
// version are bad while its other versions are well and no other host runs
// the version well.
func Attribute(tallies []HostTally, baseline float64) (Fault, string) {
	p0 := min(max(baseline, minBaseline), maxBaseline)
	worst, worstRatio := -1, 0.0
	var good, bad int
	for i, t := range tallies {
		good += t.Good
		bad += t.Bad
		if r := faultRatio(t.Good, t.Bad, p0); r > worstRatio {
			worst, worstRatio = i, r
		}
	}
	if worst < 0 {
		return NoFault, ""
	}
	w := tallies[worst]
	rest := faultRatio(good-w.Good, bad-w.Bad, p0)
	if max(worstRatio, faultRatio(good, bad, p0)) < faultEvidence {
		return NoFault, ""
	}
	if rest >= restEvidence {
		return VersionFault, ""
	}
	if faultRatio(w.OtherGood, w.OtherBad, p0) >= restEvidence || rest <= -restEvidence {
		return HostFault, w.Host
	}
	return PairFault, w.Host
}

// faultRatio is the greater log likelihood ratio of a small and of a gross
// fault against the baseline.
func faultRatio(good, bad int, p0 float64) float64 {
	return max(logRatio(good, bad, p0, p0+shift), logRatio(good, bad, p0, gross))
}
