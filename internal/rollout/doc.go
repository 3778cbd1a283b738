// Package rollout decides how traffic moves to a new version of a model and away
// from a bad one: the stages of a rollout, the detection of versions that become
// bad, the budget of unrated responses of a new version, and the attribution of a
// fault to a version or to a host.
//
// The package does no I/O and reads no clock. Agents and the daemon that holds a
// rollout's lease share the code. An agent applies it to its own observations, so
// that it can quarantine a version at once; the daemon applies it to the
// observations of all agents.
package rollout
