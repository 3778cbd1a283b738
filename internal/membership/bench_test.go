package membership

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/link/linkv1/linkv1connect"
)

// reportServer answers heartbeats over HTTP.
type reportServer struct {
	linkv1connect.UnimplementedAgentServiceHandler
	agents *fakeAgents
}

func (s reportServer) Report(ctx context.Context, req *connect.Request[linkv1.ReportRequest]) (*connect.Response[linkv1.ReportResponse], error) {
	resp, err := s.agents.Report(ctx, "a/h000", req.Msg)
	return connect.NewResponse(resp), err
}

// BenchmarkHeartbeat measures the processor time of one heartbeat of a host with 14
// upstreams over connect-go, both ends together.
func BenchmarkHeartbeat(b *testing.B) {
	mux := http.NewServeMux()
	mux.Handle(linkv1connect.NewAgentServiceHandler(reportServer{agents: newFakeAgents()}))
	srv := httptest.NewServer(mux)
	defer srv.Close()
	client := linkv1connect.NewAgentServiceClient(srv.Client(), srv.URL)
	v := newTestView(hosts(targetHosts, "a", "b", "c"))
	before := cpuTime(b)
	for b.Loop() {
		sentAt := time.Now()
		resp, err := client.Report(b.Context(), connect.NewRequest(&linkv1.ReportRequest{}))
		if err != nil {
			b.Fatal(err)
		}
		now := time.Now()
		v.RecordResponse("h000", Observation{SentAt: sentAt, Incarnation: resp.Msg.GetEnvelope().GetIncarnation(), Bytes: 900}, now)
		v.Next(now)
	}
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
}

// cpuTime returns the processor time of this process so far.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSetCatalog measures the processor time of applying one revision at an entry.
func BenchmarkSetCatalog(b *testing.B) {
	set := setOf(b, targetHosts)
	for i := range 13 * targetHosts {
		host := i % targetHosts
		first := set.Upstreams[fmt.Sprintf("h%03d", host)]
		set.Upstreams[fmt.Sprintf("u%05d", i)] = first
	}
	r := NewRunner(Options{Settings: Settings{Entry: "e1"}, Reporter: newFakeAgents()})
	for b.Loop() {
		r.SetCatalog(set)
	}
}
