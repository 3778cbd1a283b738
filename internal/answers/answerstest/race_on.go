//go:build race

package answerstest

// growthFactor is how much more a growing bytes.Buffer allocates than it holds: the race detector
// keeps the compiler from growing it in one allocation.
const growthFactor = 2
