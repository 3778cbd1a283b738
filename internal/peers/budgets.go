package peers

import (
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/retrywindow"
)

// maxClockMS bounds a time that a gateway tells, in milliseconds; about 70 years.
const maxClockMS = 1 << 41

// AddBudgets adds to a gossip message what this gateway has counted for its retry budgets,
// by the hash of the service, and the names of the gateways whose counts it hears.
func AddBudgets(n *gossipv1.News, totals map[uint32]retrywindow.Totals, heard map[string]bool) {
	for name := range heard {
		n.BudgetHeard = append(n.BudgetHeard, Hash(name))
	}
	leftKnown := true
	for _, t := range totals {
		leftKnown = leftKnown && t.LeftKnown
	}
	for service, t := range totals {
		n.BudgetAtMs = uint64(t.At / time.Millisecond)
		if leftKnown {
			n.BudgetLeft = append(n.BudgetLeft, t.Left)
		}
		n.BudgetServices = append(n.BudgetServices, service)
		n.BudgetRequests, n.BudgetExtra = append(n.BudgetRequests, t.Requests), append(n.BudgetExtra, t.Extra)
		n.BudgetWindowRequests = append(n.BudgetWindowRequests, t.WindowRequests)
		n.BudgetWindowExtra = append(n.BudgetWindowExtra, t.WindowExtra)
	}
}

// decodeBudgets returns the counts in a gossip message to the gateway of the given name, by
// the hash of the service, or nil if its columns differ in length. Messages of earlier builds
// do not tell whom their sender hears.
func decodeBudgets(n *gossipv1.News, to string) map[uint32]retrywindow.Totals {
	deaf := n.GetBudgetAtMs() > 0 && !slices.Contains(n.GetBudgetHeard(), Hash(to))
	all := len(n.GetBudgetServices())
	if len(n.GetBudgetRequests()) != all || len(n.GetBudgetExtra()) != all ||
		len(n.GetBudgetWindowRequests()) != all || len(n.GetBudgetWindowExtra()) != all {
		return nil
	}
	out := make(map[uint32]retrywindow.Totals, all)
	for i, service := range n.GetBudgetServices() {
		t := retrywindow.Totals{
			At:       time.Duration(min(n.GetBudgetAtMs(), maxClockMS)) * time.Millisecond,
			Requests: n.GetBudgetRequests()[i], Extra: n.GetBudgetExtra()[i],
			WindowRequests: n.GetBudgetWindowRequests()[i], WindowExtra: n.GetBudgetWindowExtra()[i],
			Deaf: deaf,
		}
		if len(n.GetBudgetLeft()) == all {
			t.Left, t.LeftKnown = n.GetBudgetLeft()[i], true
		}
		out[service] = t
	}
	return out
}
