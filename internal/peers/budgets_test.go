package peers

import (
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/retrywindow"
)

func TestBudgetsAreTold(t *testing.T) {
	told := retrywindow.Totals{
		At: 1500 * time.Millisecond, Requests: 70, Extra: 12, WindowRequests: 40, WindowExtra: 9, Left: -3, LeftKnown: true,
	}
	n := &gossipv1.News{}
	AddBudgets(n, map[uint32]retrywindow.Totals{7: told}, map[string]bool{"a": true})
	if got := decodeBudgets(n, "a")[7]; got != told {
		t.Errorf("decoded %+v, want %+v", got, told)
	}
	if got := decodeBudgets(n, "b")[7]; !got.Deaf {
		t.Error("a gateway that the sender does not hear is not told so")
	}
	n.BudgetLeft = nil // as from a process that has not counted for a whole window, or an earlier build
	if got := decodeBudgets(n, "a")[7]; got.LeftKnown || got.Requests != told.Requests {
		t.Errorf("without what is left: %+v", got)
	}
	n.BudgetAtMs = 1 << 63
	if got := decodeBudgets(n, "a")[7]; got.At < 0 {
		t.Errorf("a time out of range is decoded as %v", got.At)
	}
	n.BudgetAtMs, n.BudgetHeard = 0, nil
	if got := decodeBudgets(n, "a")[7]; got.Deaf {
		t.Error("a sender of an earlier build counts as one that hears nobody")
	}
	n.BudgetExtra = nil
	if got := decodeBudgets(n, "a"); got != nil {
		t.Errorf("columns of different lengths are decoded as %v", got)
	}
}
