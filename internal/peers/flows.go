package peers

import (
	"cmp"
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/fairshare"
	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
)

const (
	// maxFlowsSent bounds the flows in one gossip message; the largest come first. The
	// others' demand is too small to change a division.
	maxFlowsSent = 48
	// flowDemandUnit is the unit of demands in gossip messages, in requests a second.
	flowDemandUnit = 0.1
	// silentDemandTime is how long the demand of a silent gateway counts once its message
	// is no longer fresh: it may be cut off from this one and still send.
	silentDemandTime = 5 * time.Second
)

// AddFlows adds the demand for services whose capacity is divided to a gossip message.
func AddFlows(n *gossipv1.News, demands map[string]fairshare.Demands) {
	type flow struct {
		service uint32
		fairshare.Flow
		demand float64
	}
	var all []flow
	for service, d := range demands {
		for f, v := range d {
			all = append(all, flow{Hash(service), f, v})
		}
	}
	slices.SortFunc(all, func(a, b flow) int { return cmp.Compare(b.demand, a.demand) })
	for _, f := range all[:min(len(all), maxFlowsSent)] {
		n.FlowServices = append(n.FlowServices, f.service)
		n.FlowOrganisations = append(n.FlowOrganisations, f.Organisation)
		n.FlowRanks = append(n.FlowRanks, uint32(f.Rank))
		n.FlowDemands = append(n.FlowDemands, uint32(f.demand/flowDemandUnit+0.5))
	}
}

// flows returns the peer's demand for a service by flow; nil if it has sent none.
func (h *peerState) flows(service uint32) fairshare.Demands {
	n := h.message
	all := len(n.GetFlowServices())
	if len(n.GetFlowOrganisations()) != all || len(n.GetFlowRanks()) != all || len(n.GetFlowDemands()) != all {
		return nil
	}
	var out fairshare.Demands
	for i, s := range n.GetFlowServices() {
		if s != service {
			continue
		}
		if out == nil {
			out = fairshare.Demands{}
		}
		f := fairshare.Flow{Organisation: n.GetFlowOrganisations()[i], Rank: uint8(min(n.GetFlowRanks()[i], 255))}
		out[f] += flowDemandUnit * float64(n.GetFlowDemands()[i])
	}
	return out
}

// FlowDemands returns the demand of the other gateways for a service: by flow where they
// tell it, and the rest in requests a second.
func (b *PeerTable) FlowDemands(service string, now time.Time) (flows []fairshare.Demands, unspecified float64) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	maxAge := b.freshFor() + silentDemandTime
	hash := Hash(service)
	for _, h := range b.peers {
		if now.Sub(h.at) > maxAge {
			continue
		}
		if d := h.flows(hash); d != nil {
			flows = append(flows, d)
		} else if level, ok := h.demand(service); ok && level > 0 {
			unspecified += level.PerSecond()
		}
	}
	return flows, unspecified
}
