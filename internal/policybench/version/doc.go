// Package version runs the choice of version, the roll-outs and the finding of
// bad versions on small seeded models of engines and of the rating service,
// under a virtual clock, and beside plain baselines. The policy is the code
// that the daemons run. The same seed gives the same figures.
package version
