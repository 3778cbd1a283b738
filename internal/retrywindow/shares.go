package retrywindow

import "time"

// Parts of the budget that all gateways share.
const (
	// ratioPart leaves room for requests that are counted at a gateway a moment
	// before or after the window in which they are judged, and for the oldest bucket,
	// a tenth of a window, which counts as a whole.
	ratioPart = 0.8
	// slackPart of the slack is divided among the gateways. The rest is for those
	// that join, or start again and have forgotten what they sent, within a window.
	slackPart = 0.5
)

// Part is the bound of one of so many gateways, which keeps the bound over all. While
// their number is not known, none may use the slack.
func Part(all Bound, gateways int) Bound {
	out := Bound{Ratio: ratioPart * all.Ratio}
	if gateways > 0 {
		out.Slack = slackPart * all.Slack / float64(gateways)
	}
	return out
}

// Sharers remembers the most gateways of late: when some leave, what they sent still
// counts for a window. The zero value knows of none. It is not safe for concurrent
// use.
type Sharers struct {
	since     time.Duration
	last, now int
}

// Most takes in how many gateways there are, zero while that is not known, and
// returns the most of the last span at least.
func (s *Sharers) Most(gateways int, at, span time.Duration) int {
	if at-s.since >= span {
		s.last, s.now = s.now, 0
		if at-s.since >= 2*span {
			s.last = 0
		}
		s.since = at
	}
	s.now = max(s.now, gateways)
	return max(s.last, s.now)
}
