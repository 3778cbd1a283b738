package intake

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// pieces cuts a text into parts of random length.
func pieces(r *rand.Rand, text string) (out []string) {
	for len(text) > 0 {
		n := 1 + r.IntN(min(len(text), 1+r.IntN(40)))
		out, text = append(out, text[:n]), text[n:]
	}
	return out
}

func TestHeadScannerFindsTheEnd(t *testing.T) {
	for _, c := range []struct {
		name, head, rest string
		lines            int
		open             bool
	}{
		{"plain", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "body", 2, false},
		{"bare line feeds", "GET / HTTP/1.1\nHost: x\n\n", "", 2, false},
		{"blank lines first", "\r\n\r\n\nGET / HTTP/1.1\r\n\r\n", "\r\n", 1, false},
		{"carriage returns in a line", "GET / HTTP/1.1\r\r\n\r \r\nx\r\n\r\n", "", 3, false},
		{"never ended", "GET / HTTP/1.1\r\nHost: x\r\n", "", 2, true},
		{"only blank lines", strings.Repeat("\r\n", 50), "", 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(50) {
				r := rand.New(rand.NewPCG(seed, 0))
				var h headScanner
				taken, ended := 0, false
				for _, p := range pieces(r, c.head+c.rest) {
					if ended {
						break
					}
					var n int
					n, ended = h.feed([]byte(p))
					taken += n
				}
				if ended == c.open || (ended && taken != len(c.head)) || h.lines != c.lines || h.bytes != taken {
					t.Fatalf("seed %d: ended %v after %d of %d bytes, %d lines, %d counted", seed, ended, taken, len(c.head), h.lines, h.bytes)
				}
			}
		})
	}
}

func TestChunkScannerFindsTheEnd(t *testing.T) {
	chunk := func(n int, extension string) string {
		return fmt.Sprintf("%X%s\r\n%s\r\n", n, extension, strings.Repeat("\n", n))
	}
	for _, c := range []struct {
		name, body string
		content    int64
		open       bool
	}{
		{"empty", "0\r\n\r\n", 0, false},
		{"one", chunk(10, "") + "0\r\n\r\n", 10, false},
		{"extensions", chunk(300, ";a=b") + chunk(1, " ") + "00;x\r\n\r\n", 301, false},
		{"trailer", chunk(3, "") + "0\r\nA: b\r\nC: d\r\n\r\n", 3, false},
		{"no size", "x\r\n", 0, true},
		{"size without end", strings.Repeat("f", 40), 0, true},
		{"never ended", chunk(3, ""), 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(50) {
				r := rand.New(rand.NewPCG(seed, 0))
				var s chunkScanner
				taken, content, ended := 0, int64(0), false
				for _, p := range pieces(r, c.body+"GET ") {
					if ended {
						break
					}
					var n int
					var more int64
					n, more, ended = s.feed([]byte(p))
					taken, content = taken+n, content+more
				}
				if ended == c.open || (ended && (taken != len(c.body) || content != c.content)) {
					t.Fatalf("seed %d: ended %v after %d of %d bytes, %d of %d content", seed, ended, taken, len(c.body), content, c.content)
				}
			}
		})
	}
}
