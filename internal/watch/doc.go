// Package watch follows versions while they serve, with the tests and budgets
// of package rollout.
//
// Fleet runs on each entry. It sees every rating and the failures of its own
// attempts on all hosts, holds a suspect version back and says when one must
// be withdrawn. Host runs on each agent. It counts the answers of a new
// version against the agent's share of the budget, holds back a version that
// fails on this host alone, and hands answers in for rating.
//
// News of a version's ratings rides from entries to agents on attempts and
// heartbeats, so neither asks the other before a request.
package watch
