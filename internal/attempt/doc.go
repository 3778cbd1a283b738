// Package attempt holds the rules for running a request at most as often as
// it may run. Registry is the agent's side: it knows every attempt that came
// to this process and proves what became of it. Request is the entry's side:
// it decides whether another attempt may be made and which outcome the caller
// may be told.
//
// The package does no I/O. Time comes in as an argument.
package attempt
