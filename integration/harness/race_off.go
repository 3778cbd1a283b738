//go:build !race

package harness

// RaceEnabled tells that the race detector is in the programs.
const RaceEnabled = false
