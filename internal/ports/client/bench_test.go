package client

import (
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/ports/fake"
	standin "tarragonbay.example/tarragonbay/internal/standin/platform"
)

// BenchmarkGet is the processor time of one read of a small row over HTTP,
// both ends together.
func BenchmarkGet(b *testing.B) {
	p := fake.New(fake.Options{})
	srv := httptest.NewServer(standin.New(p).Handler())
	defer srv.Close()
	c := New(Options{BaseURL: srv.URL})
	if err := c.Table.Commit(b.Context(), txn("1", "config/head", string(make([]byte, 300)), 0)); err != nil {
		b.Fatal(err)
	}
	before := cpuTime(b)
	for b.Loop() {
		if _, _, err := c.Table.Get(b.Context(), "config/head"); err != nil {
			b.Fatal(err)
		}
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
