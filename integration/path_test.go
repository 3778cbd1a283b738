package integration

import (
	"net/http"
	"strings"
	"testing"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/standin/engine"
)

func TestMain(m *testing.M) { harness.Main(m) }

func TestWholePathThroughSeparateProcesses(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Engine: engine.Behaviour{Tokens: 12}})
	caller := c.Caller()
	for _, entry := range c.Entries {
		for _, stream := range []bool{false, true} {
			r := caller.Do(entry, harness.Ask{Stream: stream, MaxTokens: 6})
			if !r.Whole || !strings.HasPrefix(r.Text, "answer "+r.RequestID) || !strings.HasSuffix(r.Text, " end") {
				t.Errorf("stream %v: answer is not whole: %+v", stream, r)
			}
			if r.Version != "small@1" {
				t.Errorf("answered by %q", r.Version)
			}
		}
		r := caller.Do(entry, harness.Ask{Path: "/stock", Method: http.MethodGet})
		if r.Status != http.StatusOK || !strings.Contains(r.Body, r.RequestID) {
			t.Errorf("service answered %+v", r)
		}
	}
}
