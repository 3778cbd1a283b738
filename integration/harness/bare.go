package harness

import (
	"testing"

	"tarragonbay.example/tarragonbay/internal/standin/engine"
)

// StartEngine runs an engine stand-in as a process of its own.
func StartEngine(t testing.TB, o engine.Options) *Proc {
	t.Helper()
	return startStandin(t, o.Name, standinSpec{Kind: "engine", Engine: o})
}

// StartPlatform runs the platform stand-in as a process of its own, without
// limits.
func StartPlatform(t testing.TB) *Proc {
	t.Helper()
	return startStandin(t, "platform", standinSpec{Kind: "platform"})
}
