package versionshift

import (
	"testing"
	"time"
)

// TestGatewaysRestartedInAShiftExceedTheExposure guards against processes that use the
// exposure anew, since they do not know what was sent before. It plays all gateways as one,
// whose requests would all run on the new version, and the worst times of the phases.
func TestGatewaysRestartedInAShiftExceedTheExposure(t *testing.T) {
	const exposure, within, step = 0.15, 20 * time.Second, 10 * time.Millisecond
	for _, every := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, within} {
		s := State{Within: within, Phase: Trial}
		var seen Evidence
		sent, onNew := 0, 0
		for at := time.Duration(0); at < within; at += step {
			if at%every == 0 {
				seen = Evidence{}
			}
			switch {
			case at >= time.Duration(lightLoadTestEnd*float64(within)):
				s.Phase = Withdrawn
			case at >= time.Duration(earliestTrialEnd*float64(within)):
				s.Phase = LoadTest
			}
			takes := s.Takes(float64(sent%1000*617%1000)/1000, true, exposure, 8) && !s.ExposureExhausted(seen, exposure, at)
			sent, seen.Sent = sent+1, seen.Sent+1
			if takes {
				onNew, seen.SentNew = onNew+1, seen.SentNew+1
			}
		}
		if used := float64(onNew) / float64(sent); used > exposure {
			t.Errorf("restarts every %v: %.3f of the requests ran on the new version", every, used)
		} else {
			t.Logf("restarts every %v: %.3f of the requests ran on the new version", every, used)
		}
	}
}
