package gctune

import (
	"runtime/debug"
	"testing"
)

const mb = 1 << 20

func TestPercentReachesTheFloor(t *testing.T) {
	tests := []struct {
		name  string
		usage usage
		floor uint64
		want  int
	}{
		{"before the first collection", usage{}, 80 * mb, 100},
		{"nearly empty", usage{live: mb}, 80 * mb, 2000},
		{"small", usage{live: 16 * mb}, 80 * mb, 400},
		{"small with stacks", usage{live: 8 * mb, roots: 4 * mb}, 80 * mb, 600},
		{"over half of the floor", usage{live: 50 * mb}, 80 * mb, 100},
		{"over the floor", usage{live: 500 * mb}, 80 * mb, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := percent(tt.usage, tt.floor); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

func TestSmallChangesAreLeftAlone(t *testing.T) {
	before := debug.SetGCPercent(minPercent)
	defer debug.SetGCPercent(before)
	tuner := New(80 * mb)
	for _, tt := range []struct{ next, want int }{
		{400, 400}, {450, 400}, {600, 600}, {500, 600}, {minPercent, minPercent},
	} {
		tuner.adjust(tt.next)
		got := debug.SetGCPercent(tt.want)
		if got != tt.want {
			t.Errorf("after %d the process has %d, want %d", tt.next, got, tt.want)
		}
	}
}
