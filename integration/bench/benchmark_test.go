package bench

import (
	"os"
	"testing"

	"tarragonbay.example/tarragonbay/internal/standin/engine"
)

// BenchmarkUnary sends unary chats through an entry and an agent in this
// process, for profiles with -cpuprofile and -memprofile.
func BenchmarkUnary(b *testing.B) { benchmark(b, false) }

// BenchmarkStream is the same with streams.
func BenchmarkStream(b *testing.B) { benchmark(b, true) }

func benchmark(b *testing.B, stream bool) {
	c := compose(b, engine.Behaviour{}, 1, false)
	address := c.entry.Addresses().Caller
	b.ReportAllocs()
	before := writeCalls(b, os.Getpid())
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		caller := newRawCaller(b, address, "small", stream, tokens)
		for pb.Next() {
			if err := caller.ask(); err != nil {
				b.Error(err)
				return
			}
		}
	})
	// The callers' own writes are among them, one for each request.
	b.ReportMetric(float64(writeCalls(b, os.Getpid())-before)/float64(b.N), "writes/op")
}
