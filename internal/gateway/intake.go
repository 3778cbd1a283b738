package gateway

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/exchange"
	"tarragonbay.example/tarragonbay/internal/gctune"
	"tarragonbay.example/tarragonbay/internal/holding"
	"tarragonbay.example/tarragonbay/internal/intake"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/settings"
)

// Names of the listeners in logs and metrics.
const (
	callersListener = "callers"
	readyListener   = "ready"
	adminListener   = "admin"
)

// intakes are the shares of the process's memory and descriptors, by listener.
type intakes struct{ shares map[string]*holding.Share }

func newIntakes() *intakes {
	n := &intakes{shares: map[string]*holding.Share{}}
	for _, name := range []string{callersListener, readyListener, adminListener} {
		n.shares[name] = holding.NewShare(holding.Limits{})
	}
	return n
}

// Plan returns what a gateway with the settings may hold for others.
func Plan(s settings.Gateway) holding.Plan {
	p := holding.NewPlan(int64(s.MemoryMB)*settings.Megabyte, intake.Descriptors(s.MaxDescriptors))
	if s.HeldMB > 0 {
		p.Callers.Bytes = int64(s.HeldMB) * settings.Megabyte
	}
	if s.CallerConnections > 0 {
		p.Callers.Connections = s.CallerConnections
	}
	return p
}

// applyPlan sets the limits that follow from the settings.
func (g *Gateway) applyPlan(s settings.Gateway) {
	p := Plan(s)
	g.intake.shares[callersListener].SetLimits(p.Callers)
	g.intake.shares[readyListener].SetLimits(p.Operators)
	g.intake.shares[adminListener].SetLimits(p.Operators)
	g.pool.SetMaxOpen(p.Upstreams)
	if g.runtimeLimited {
		gctune.SetLimit(p.Runtime)
	}
}

// admitFrom returns the listener with the bounds of its share.
func (g *Gateway) admitFrom(name string, ln net.Listener) net.Listener {
	share := g.intake.shares[name]
	headBytes := func() int { return operatorHeaderBytes }
	if name == callersListener {
		headBytes = g.maxHeadBytes
	}
	l := intake.New(ln, intake.Options{
		Name: name, Share: share, HeadBytes: headBytes, BodyCopies: 1, Answer: g.unreadRefusal,
		Event: func(event string, fields ...zap.Field) { g.log.Event(component, event, fields...) },
	})
	m := g.counters.registry
	m.GaugeFunc(component, "held_bytes_"+name, func() int64 { return share.Usage().Bytes })
	m.GaugeFunc(component, "connections_"+name, func() int64 { return int64(share.Usage().Connections) })
	m.GaugeFunc(component, "closed_for_room_"+name, share.Closed)
	m.GaugeFunc(component, "no_room_"+name, func() int64 { return l.Refused(intake.NoRoom) })
	m.GaugeFunc(component, "head_too_large_"+name, func() int64 { return l.Refused(intake.HeadTooLarge) })
	return l
}

// maxHeadBytes is the largest head of a caller's request.
func (g *Gateway) maxHeadBytes() int {
	if t := g.routeTable.Load(); t != nil && t.Limits().HeaderBytes > 0 {
		return min(t.Limits().HeaderBytes, maxHeaderBytes)
	}
	return maxHeaderBytes
}

// unreadRefusal returns the answer to a request that is refused before it has been parsed.
func (g *Gateway) unreadRefusal(code result.Code) []byte {
	e := result.New(code, "the request was not read")
	body, err := json.Marshal(refusal{Code: e.Code.String(), Message: e.Message, Outcome: e.Outcome.String()})
	if err != nil {
		return nil // strings always encode
	}
	h := http.Header{"Content-Type": {"application/json"}, "Content-Length": {strconv.Itoa(len(body))}}
	if code == result.NoRoom {
		g.proto.Refusal(h, exchange.Call{}, jitterUp(intake.RetryAfter))
	}
	return intake.Answer(code, h, body)
}
