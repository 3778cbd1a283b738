package gateway

import (
	"testing"

	"tarragonbay.example/tarragonbay/internal/settings"
)

// TestLimitsOfTheSettings: what a gateway may hold follows from its host, unless the settings
// name it, and changes with them.
func TestLimitsOfTheSettings(t *testing.T) {
	derived := Plan(settings.Gateway{MemoryMB: 134, MaxDescriptors: 4100})
	if derived.Callers.Bytes <= 0 || derived.Callers.Bytes >= 134*settings.Megabyte/2 || derived.Callers.Connections >= 3900 {
		t.Errorf("%+v", derived)
	}
	named := Plan(settings.Gateway{MemoryMB: 134, MaxDescriptors: 4100, HeldMB: 20, CallerConnections: 50})
	if named.Callers.Bytes != 20*settings.Megabyte || named.Callers.Connections != 50 || named.Operators != derived.Operators {
		t.Errorf("%+v", named)
	}
	g := newTestGateway()
	g.applyPlan(settings.Gateway{MemoryMB: 134, CallerConnections: 1})
	share := g.intake.shares[callersListener]
	connect := func() bool { return share.Connect(g.started, 0, nil) != nil }
	connect()
	g.applyPlan(settings.Gateway{MemoryMB: 134, CallerConnections: 3})
	if !connect() || share.Usage().Connections != 2 {
		t.Errorf("%+v after a change of the settings", share.Usage())
	}
}
