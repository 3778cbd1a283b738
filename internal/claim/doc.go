// Package claim makes a call that must not be repeated run at most once for each
// idempotency key. Before the first dispatch, the entry creates a row of the table
// service under the condition that it is absent. The row names the attempt, so
// that another entry can find out its outcome when the claimant is gone.
//
// Every update of the row is conditional on its version; a claimant that was
// replaced finds that out before it dispatches again.
package claim
