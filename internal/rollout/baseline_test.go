package rollout

import (
	"math"
	"testing"

	"tarragonbay.example/tarragonbay/internal/quality"
)

func TestRatingBaselines(t *testing.T) {
	tests := []struct {
		name      string
		reference quality.Estimate
		own, next float64 // 0 for no baseline
	}{
		{"few ratings", quality.Estimate{Ratings: 99, Mean: 1}, 0, 0.07},
		{"good", quality.Estimate{Ratings: 400, Mean: 0.96}, 0.0498, 0.0498},
		{"perfect", quality.Estimate{Ratings: 400, Mean: 1}, 0.01, 0.01},
		{"just at the target", quality.Estimate{Ratings: 400, Mean: 0.93}, 0.07, 0.07},
		{"misses the target", quality.Estimate{Ratings: 400, Mean: 0.8}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			own, ok := RatingBaseline(tt.reference, 0.93)
			if math.Abs(own-tt.own) > 1e-4 || ok != (tt.own > 0) {
				t.Errorf("RatingBaseline = %v, %v, want %v", own, ok, tt.own)
			}
			next, ok := NewVersionBaseline(tt.reference, 0.93)
			if math.Abs(next-tt.next) > 1e-4 || ok != (tt.next > 0) {
				t.Errorf("NewVersionBaseline = %v, %v, want %v", next, ok, tt.next)
			}
		})
	}
}

func TestControlBaselineFollowsTheOtherVersions(t *testing.T) {
	healthy, failing := ControlBaseline(1000, 2), ControlBaseline(700, 300)
	if healthy > 0.02 || failing < 0.3 || ControlBaseline(0, 1000) > maxBaseline {
		t.Errorf("baseline = %v while healthy and %v while 30%% of the observations are bad", healthy, failing)
	}
}
