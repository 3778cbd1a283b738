// Package route chooses the version, or the chain of versions of a cascade,
// that answers a request: the cheapest or the fastest, by the objective of the
// request's class, whose lower confidence bound on quality meets the target.
// Where none does, the one with the highest expected quality is chosen.
//
// A Planner is compiled from a catalog.Set and is immutable; the entry compiles
// a new one for each revision and shares it without locks. Planning does no I/O,
// reads no clock and allocates nothing: the caller passes the time, a random
// number and the quality estimates.
package route
