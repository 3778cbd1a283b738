package publish

import (
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"

	"tarragonbay.example/tarragonbay/internal/answers"
	"tarragonbay.example/tarragonbay/internal/answers/answerstest"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
)

// TestEndlessAnswersOfAPeerAreNotKept: a daemon asks another one for the configuration, which
// ends by the client's time.
func TestEndlessAnswersOfAPeerAreNotKept(t *testing.T) {
	peers := ConnectPeers{Dial: func(address string) (connect.HTTPClient, string) {
		return &http.Client{Transport: answers.NewTransport(&http.Transport{DisableKeepAlives: true}), Timeout: time.Second}, "http://" + address
	}}
	for name, script := range answerstest.Endless {
		srv := answerstest.Start(t, script, "application/proto")
		n := answerstest.Allocated(func() {
			if _, err := peers.Pull(t.Context(), srv.Address, &linkv1.PullRequest{}); err == nil {
				t.Errorf("%s: taken", name)
			}
		})
		if n > 4*maxPulledBytes+1<<20 { // a buffer that doubles, and what runs beside it
			t.Errorf("%s: %d MiB were kept", name, n>>20)
		}
	}
}
