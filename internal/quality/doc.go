// Package quality estimates, for each class of request and each version, the
// share of answers rated good, with confidence bounds, and the escalation
// rate, cost and latency of an answer.
//
// Daemons add deltas to an Estimator and read immutable Views of it. Deltas are
// sums, so they can be merged in any order and exchanged between daemons. The
// package does no I/O and reads no clock.
package quality
