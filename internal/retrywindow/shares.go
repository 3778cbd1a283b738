package retrywindow

import "time"

// Shares of the bound over all gateways.
const (
	// ratioShare leaves a margin for requests that a gateway counts shortly before or after
	// the window in which they are evaluated, and for the oldest bucket, a tenth of a
	// window, which counts as a whole.
	ratioShare = 0.8
	// slackShare is the share of the slack that is divided among the gateways. The rest is
	// for those that join within a window, or restart and lose their counts.
	slackShare = 0.5
)

// GatewayBound returns the bound of each gateway such that all together keep the bound all. While
// the number of gateways is unknown (zero), none may use the slack.
func GatewayBound(all Bound, gateways int) Bound {
	out := Bound{Ratio: ratioShare * all.Ratio}
	if gateways > 0 {
		out.Slack = slackShare * all.Slack / float64(gateways)
	}
	return out
}

// GatewayCount tracks the maximum number of gateways within a window: when some leave, their
// extra sends still count for a window. The zero value is empty. It is not safe for
// concurrent use.
type GatewayCount struct {
	since             time.Duration
	previous, current int
}

// Max records the current number of gateways, zero while it is unknown, and returns the
// maximum over at least the last span.
func (s *GatewayCount) Max(gateways int, at, span time.Duration) int {
	if at-s.since >= span {
		s.previous, s.current = s.current, 0
		if at-s.since >= 2*span {
			s.previous = 0
		}
		s.since = at
	}
	s.current = max(s.current, gateways)
	return max(s.previous, s.current)
}
