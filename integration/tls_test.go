package integration

import (
	"context"
	"crypto/tls"
	"testing"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/standin/engine"
	"tarragonbay.example/tarragonbay/internal/tlsfiles"
)

func TestMutualTLSBetweenDaemons(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 1, Agents: 2, LinkTLS: true, Engine: engine.Behaviour{Tokens: 8}})
	load := c.StartLoad(4, c.Entries, streamAsk)
	load.WaitFor(c, 20)
	wholeReplies(t, load.Stop())
	foreign := harness.NewCerts(t, t.TempDir())
	_, foreignTLS, err := tlsfiles.Mutual(foreign.CertFile, foreign.KeyFile, foreign.CAFile)
	if err != nil {
		t.Fatal(err)
	}
	foreignTLS.InsecureSkipVerify = true
	for name, conf := range map[string]*tls.Config{"plain": nil, "a certificate of another authority": foreignTLS} {
		client := link.NewClient(link.Options{
			Sender: "intruder", Revision: func() uint64 { return 1 }, TLS: conf, Timing: link.DefaultTiming(),
		})
		if _, err := client.Report(context.Background(), c.Agents[0].Link.Address(), &linkv1.ReportRequest{}); err == nil {
			t.Errorf("an agent answered a caller with %s", name)
		}
	}
	c.Verify()
}
