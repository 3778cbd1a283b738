package intake

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"tarragonbay.example/tarragonbay/internal/holding"
)

// BenchmarkAdmission reports what admission adds to a small request on a kept connection.
func BenchmarkAdmission(b *testing.B) {
	for _, c := range []struct {
		name   string
		limits *holding.Limits
	}{{"without", nil}, {"with", &holding.Limits{Bytes: 16 << 20, Connections: 100}}} {
		b.Run(c.name, func(b *testing.B) {
			s := serve(b, c.limits, nil)
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for b.Loop() {
				resp, err := client.Post("http://"+s.address, "text/plain", strings.NewReader("order"))
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil { // the connection is used again
					b.Fatal(err)
				}
				_ = resp.Body.Close()
			}
		})
	}
}
