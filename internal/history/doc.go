// Package history checks the product's promises from what callers, stand-ins,
// the ledger and the publisher recorded, never from the product's own
// counters. Processes write events as JSON lines with a Recorder; a test reads
// them all with Read and judges them with Check.
//
// All recorders of one history run on one machine and share its wall clock.
package history
