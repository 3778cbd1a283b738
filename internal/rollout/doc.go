// Package rollout decides how a version of a model gains and loses work: the
// stages of a roll-out, the test that finds versions which turned bad, the
// budget of unrated answers of a new version, and whether a fault lies with a
// version or with a host.
//
// It does no I/O and reads no clock. Agents and the daemon that holds the
// roll-out duty use the same code: an agent on what it sees itself, so that it
// can quarantine a version at once, the others on what all agents saw.
package rollout
