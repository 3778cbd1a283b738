package bench

import (
	"testing"

	"tarragonbay.example/tarragonbay/internal/standin/engine"
)

// Sizes of the counted runs: enough requests that the duties in the background
// weigh little, after enough to fill the pools.
const (
	warmUpRequests  = 200
	countedRequests = 1000
	countedStreams  = 20
	shortStream     = 16
	longStream      = 216
)

// TestAllocationsOfARequest counts entry and agent together, engine and
// platform being other processes.
func TestAllocationsOfARequest(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector allocates; .ci/run runs this test without it")
	}
	c := compose(t, engine.Behaviour{}, 1, false)
	caller := newRawCaller(t, c.entry.Addresses().Caller, "small", false, tokens)
	caller.asks(t, warmUpRequests)
	objects, bytes := allocated(func() { caller.asks(t, countedRequests) })
	objects, bytes = objects/countedRequests, bytes/countedRequests
	t.Logf("a unary request: %.0f allocations of %.0f bytes", objects, bytes)
	if objects > maxAllocations {
		t.Errorf("%.0f allocations for a request, want at most %d", objects, maxAllocations)
	}
	if bytes > maxAllocatedBytes {
		t.Errorf("%.0f bytes allocated for a request, want at most %d", bytes, maxAllocatedBytes)
	}
}

// TestAllocationsOfAnEvent counts what a further event of a stream costs.
func TestAllocationsOfAnEvent(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector allocates; .ci/run runs this test without it")
	}
	c := compose(t, engine.Behaviour{}, 1, false)
	perStream := func(tokens int) float64 {
		caller := newRawCaller(t, c.entry.Addresses().Caller, "small", true, tokens)
		caller.asks(t, countedStreams)
		objects, _ := allocated(func() { caller.asks(t, countedStreams) })
		return objects / countedStreams
	}
	short, long := perStream(shortStream), perStream(longStream)
	perEvent := (long - short) / (longStream - shortStream)
	t.Logf("an event of a stream: %.1f allocations", perEvent)
	if perEvent > maxEventAllocations {
		t.Errorf("%.1f allocations for an event, want at most %d", perEvent, maxEventAllocations)
	}
}

// perRequest is what one request costs on the link, in calls and bytes.
type perRequest struct{ calls, bytes, payload float64 }

// onTheLink asks n times and returns what passed for each.
func onTheLink(t *testing.T, c *composition, stream bool, tokens, n int) perRequest {
	t.Helper()
	caller := newRawCaller(t, c.entry.Addresses().Caller, "small", stream, tokens)
	caller.asks(t, n)
	before, payload := c.link.traffic(), caller.payload
	caller.asks(t, n)
	after := c.link.traffic()
	each := func(sum int64) float64 { return float64(sum) / float64(n) }
	body := int64(len(chatBody("small", stream, tokens)))
	return perRequest{
		calls:   each(after.calls - before.calls),
		bytes:   each(after.up + after.down - before.up - before.down),
		payload: each(int64(caller.payload-payload)) + float64(body),
	}
}

// TestMessagesOnTheLink counts calls and bytes between entry and agent.
func TestMessagesOnTheLink(t *testing.T) {
	c := compose(t, engine.Behaviour{}, 1, true)
	unary := onTheLink(t, c, false, tokens, countedRequests)
	overhead := unary.bytes - unary.payload
	t.Logf("a unary request: %.2f calls, %.0f B beside body and answer of %.0f B", unary.calls, overhead, unary.payload)
	if unary.calls > maxLinkCalls*heartbeatSlack {
		t.Errorf("%.2f calls for a request, want at most %d", unary.calls, maxLinkCalls)
	}
	if overhead > maxLinkOverhead {
		t.Errorf("%.0f bytes beside body and answer, want at most %d", overhead, maxLinkOverhead)
	}
	short := onTheLink(t, c, true, shortStream, countedStreams)
	long := onTheLink(t, c, true, longStream, countedStreams)
	perEvent := (long.bytes - short.bytes - long.payload + short.payload) / (longStream - shortStream)
	t.Logf("an event of a stream: %.0f B beside the engine's", perEvent)
	if perEvent > maxEventOverhead {
		t.Errorf("%.0f bytes beside those of an event, want at most %d", perEvent, maxEventOverhead)
	}
}

// heartbeatSlack leaves room for the heartbeats that pass over the link during
// the counted requests.
const heartbeatSlack = 1.05
