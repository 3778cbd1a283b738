// Package order decides the orders that engines get, to load or unload a
// version or to change role, and guards them on the agent.
//
// The Planner runs where the lease for orders is held. The Gate runs on the
// agent and refuses orders of a holder that has lost its lease, also for
// engines that do not check fencing numbers themselves. The package does no
// I/O; time comes in as an argument.
package order

import (
	"fmt"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// Action is what an order asks of an engine.
type Action string

// The actions.
const (
	// Load makes the engine fetch a version's weights and serve it.
	Load Action = "load"
	// Unload makes the engine drop a version.
	Unload Action = "unload"
	// SetRole changes the engine's role.
	SetRole Action = "role"
)

// Order is one order to one engine. Carrying it out twice has the effect of
// once.
type Order struct {
	// ID identifies the order; a repeated ID is not carried out again.
	ID       string
	Upstream string
	Action   Action
	// Version is set for Load and Unload.
	Version catalog.VersionName
	// Role is set for SetRole: both, prefill or decode.
	Role string
	// Fence is the fencing number of the lease under which it was decided.
	Fence uint64
}

// orderID names an order by the fencing number and a count under it, which no
// other holder of the lease can use.
func orderID(fence, n uint64) string { return fmt.Sprintf("order-%d-%d", fence, n) }
