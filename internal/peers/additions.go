package peers

import (
	"context"
	"net/netip"
	"time"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
)

// SentRequest is a request that this gateway has just sent to an upstream.
type SentRequest struct {
	// Upstream is the ID of the upstream and Domain its failure domain. WorkMS is the
	// prompt work in milliseconds of the upstream's time.
	Upstream, Domain string
	WorkMS           float64
}

// ReportRequest queues a request to be reported before the next round. Without the report, peers
// would send their requests to the same upstream until then. It never blocks.
func (t *Gossip) ReportRequest(b SentRequest) {
	if b.WorkMS < MinReportedWorkMS {
		return
	}
	select {
	case t.pending <- b:
	default: // the next round reports the request
	}
}

// sendBetweenRounds sends additional messages until the next round.
func (t *Gossip) sendBetweenRounds(ctx context.Context, number uint32, to []netip.AddrPort) {
	round := time.NewTimer(RoundInterval(len(to)))
	defer round.Stop()
	queue := t.pending // nil until the interval since the last additional message has passed
	var next <-chan time.Time
	for {
		select {
		case <-round.C:
			return
		case <-ctx.Done():
			return
		case <-next:
			queue = t.pending
		case first := <-queue:
			sent := t.sendAdditions(number, append(t.drainPending(), first))
			queue, next = nil, time.After(additionInterval(sent))
		}
	}
}

// sendAdditions reports requests in additional messages and returns the number of datagrams.
func (t *Gossip) sendAdditions(number uint32, all []SentRequest) (sent int) {
	for domain, some := range t.groupByRecipients(all) {
		n := &gossipv1.News{Gateway: t.opts.Name, Incarnation: t.opts.Incarnation, Number: number, Addition: true}
		for _, b := range some {
			n.Upstreams, n.UnreadMs = append(n.Upstreams, Hash(b.Upstream)), append(n.UnreadMs, uint32(b.WorkMS))
		}
		to := t.addressesIn(domain)
		t.send(n, to)
		sent += len(to)
	}
	return sent
}

// groupByRecipients groups requests by the failure domain whose gateways receive them;
// the empty domain stands for all gateways.
func (t *Gossip) groupByRecipients(all []SentRequest) map[string][]SentRequest {
	if !t.LimitsAdditionsToDomain() {
		return map[string][]SentRequest{"": all}
	}
	out := map[string][]SentRequest{}
	for _, b := range all {
		out[b.Domain] = append(out[b.Domain], b)
	}
	return out
}

// drainPending removes and returns the pending requests.
func (t *Gossip) drainPending() []SentRequest {
	out := make([]SentRequest, 0, len(t.pending)+1)
	for range len(t.pending) {
		out = append(out, <-t.pending) // no other goroutine receives from pending
	}
	return out
}
