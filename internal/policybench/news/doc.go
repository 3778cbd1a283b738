// Package news runs the placement of generations at several gateways on a small
// seeded model of engines under a virtual clock. What differs between the
// policies is how much the gateways know of one another's work: nothing, rounds
// of news, rounds and each long prompt at once, or all. Placement and the book of
// news are the code that the daemons run. The same seed gives the same figures.
package news
