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
		{"before the first collection, globals known", usage{roots: mb / 2}, 22 * mb, 550},
		{"a small live heap", usage{live: mb}, 22 * mb, 550},
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

// The runtime scales its least heap by the percentage as well, so a percentage
// for a small live heap may let it grow far past the floor.
func TestLeastHeapOfTheRuntimeStaysWithinTheFloor(t *testing.T) {
	for live := uint64(0); live < 30*mb; live += mb / 4 {
		for _, floor := range []uint64{5 * mb, 22 * mb, 47 * mb, 80 * mb} {
			p := percent(usage{live: live, roots: mb / 8}, floor)
			least := runtimeLeast * uint64(p) / 100
			if least > max(floor, runtimeLeast) {
				t.Errorf("live %d, floor %d: %d percent lets the heap grow to %d", live, floor, p, least)
			}
		}
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
