// Package route chooses the version, or the chain of versions of a cascade,
// that answers a request: the cheapest, fastest or best known one whose lower
// confidence bound on quality meets the target of the request's class.
//
// A Planner is compiled from a catalog.Set and is immutable; the entry makes a
// new one for each revision and shares it without locks. Planning does no I/O,
// reads no clock and allocates nothing: the time, a random number and the
// quality estimates come in as arguments.
package route
