// Package watch monitors versions while they serve, with the statistical tests
// and exposure budgets of package rollout.
//
// Fleet runs on each entry. It receives every rating and the failures of the
// entry's own attempts on all hosts. It holds back suspect versions and reports
// which versions must be withdrawn. Host runs on each agent. It counts the
// answers of a new version against the agent's share of the exposure budget and
// quarantines a version that fails on this host alone. Sampler submits answers
// to the rating service.
//
// Entries send the rating counts of a version to agents with attempts, and held
// versions with heartbeats, so neither side queries the other before a request.
package watch
