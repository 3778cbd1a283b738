package host

import (
	"os"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/policybench"
)

// minRolesGain is the least gain of p95 for which a split of roles would be
// worth its orders, transfers and new ways to fail.
const minRolesGain = 0.10

// TestSplitRolesDoNotPay guards the decision of docs/design/engine-orders.md.
// When it fails, the decision is to be weighed again.
func TestSplitRolesDoNotPay(t *testing.T) {
	rows := RunRoles(boundSeed, true)
	if testing.Verbose() {
		if err := policybench.Print(os.Stdout, rows); err != nil {
			t.Fatal(err)
		}
	}
	both := rows[0]
	for _, r := range rows[1:] {
		gain := 1 - float64(r.P95)/float64(both.P95)
		if gain >= minRolesGain && r.Goodput >= both.Goodput {
			t.Errorf("%s has a p95 of %v, all both %v", r.Policy, r.P95.Round(time.Millisecond), both.P95)
		}
	}
}
