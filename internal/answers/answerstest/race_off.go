//go:build !race

package answerstest

// growthFactor is how much more a growing bytes.Buffer allocates than it holds.
const growthFactor = 1
