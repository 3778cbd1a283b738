package rollout

// HostTally counts the observations of one signal on one host.
type HostTally struct {
	Host string
	// Good and Bad count observations of the version under test.
	Good, Bad int
	// OtherGood and OtherBad count observations of all other versions on the host.
	OtherGood, OtherBad int
}

// Fault is the component to which bad observations are attributed.
type Fault uint8

// The possible attributions.
const (
	// NoFault means that the evidence is too weak to attribute a fault.
	NoFault Fault = iota
	// VersionFault means that the version is bad on more than one host.
	VersionFault
	// HostFault means that one host is faulty. The version keeps serving on
	// the other hosts.
	HostFault
	// PairFault means that the version is bad on one host and that there is
	// no evidence from other hosts. The version is held on that host only.
	PairFault
)

// String returns the fault's name.
func (f Fault) String() string { return [...]string{"none", "version", "host", "pair"}[f] }

const (
	// minFaultLogRatio is the log likelihood ratio, in nats, from which a
	// fault is attributed.
	minFaultLogRatio = 4.0
	// minOtherLogRatio is the corresponding threshold for the evidence that
	// remains when the worst host is left out, or for other versions on it.
	minOtherLogRatio = 2.0
)

// Attribute distinguishes a fault of the version from a fault of a host. It
// returns the host's name for HostFault and PairFault.
//
// The version is at fault if the evidence remains after the host with the
// strongest evidence against the version is left out. Otherwise that host is at
// fault if its other versions are bad too or if the version is good on other
// hosts. If neither holds, the fault is limited to the pair of version and host.
func Attribute(tallies []HostTally, baseline float64) (Fault, string) {
	p0 := min(max(baseline, minBaseline), maxBaseline)
	worst, worstRatio := -1, 0.0
	var good, bad int
	for i, t := range tallies {
		good += t.Good
		bad += t.Bad
		if r := faultLogRatio(t.Good, t.Bad, p0); r > worstRatio {
			worst, worstRatio = i, r
		}
	}
	if worst < 0 {
		return NoFault, ""
	}
	worstTally := tallies[worst]
	otherHostsRatio := faultLogRatio(good-worstTally.Good, bad-worstTally.Bad, p0)
	if max(worstRatio, faultLogRatio(good, bad, p0)) < minFaultLogRatio {
		return NoFault, ""
	}
	if otherHostsRatio >= minOtherLogRatio {
		return VersionFault, ""
	}
	if faultLogRatio(worstTally.OtherGood, worstTally.OtherBad, p0) >= minOtherLogRatio || otherHostsRatio <= -minOtherLogRatio {
		return HostFault, worstTally.Host
	}
	return PairFault, worstTally.Host
}

// faultLogRatio returns the larger of the log likelihood ratios of a small rise
// of the bad rate and of grossRate against the baseline p0.
func faultLogRatio(good, bad int, p0 float64) float64 {
	return max(logLikelihoodRatio(good, bad, p0, p0+smallRise), logLikelihoodRatio(good, bad, p0, grossRate))
}
