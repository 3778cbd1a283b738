// Package claim lets a call that may not be repeated run at most once for
// each idempotency key. A row of the table service, created under the
// condition that it is absent, stands before the first dispatch. It names the
// attempt, so that another entry can settle it when the claimant is gone.
//
// Every change of the row is conditional on its version; a claimant that was
// overtaken learns it before it dispatches again.
package claim
