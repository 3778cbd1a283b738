package integration

import (
	"encoding/json"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/adminapi"
	"tarragonbay.example/tarragonbay/internal/entry"
)

// TestAnEngineThatLimpsIsEjected slows one of four engines down tenfold while
// answers stream from all of them.
func TestAnEngineThatLimpsIsEjected(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 1, Agents: 4, Engine: streamPace})
	limping := streamPace
	limping.TokenMs *= 10
	c.SetEngine(c.Agents[0], limping)
	load := c.StartLoad(12, c.Entries, func(worker, round int) harness.Ask {
		ask := streamAsk(worker, round)
		ask.Timeout = time.Minute
		return ask
	})
	c.Eventually("the entry ejects the slow engine", func() bool { return slowUpstreams(t, c.Entries[0]) == 1 })
	wholeReplies(t, load.Stop())
	c.Verify()
}

// slowUpstreams counts the upstreams that an entry holds for slow.
func slowUpstreams(t *testing.T, n *harness.Node) int {
	t.Helper()
	d, err := adminapi.NewClient(n.Proc.Ready.Admin, "").Dump(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	slow := 0
	for _, p := range d.Parts {
		var state entry.State
		if p.Part != "entry" || json.Unmarshal(p.State, &state) != nil {
			continue
		}
		for _, u := range state.Upstreams {
			if u.Slow && !u.EjectedUntil.IsZero() {
				slow++
			}
		}
	}
	return slow
}
