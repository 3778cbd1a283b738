package upstream

import (
	"testing"

	"tarragonbay.example/tarragonbay/internal/answers/answerstest"
)

// sentAtMost bounds what an upstream can send in vain: the largest answer and what sockets hold.
const sentAtMost = 3 * maxUnaryAnswerBytes

// readers are the ways in which answers of upstreams are read.
func readers(t *testing.T) map[string]func(*Client) error {
	call := func(stream, engine bool) func(*Client) error {
		return func(c *Client) error {
			k := chatCall(stream)
			k.Engine = engine
			_, err := c.Do(t.Context(), k, &collector{})
			return err
		}
	}
	return map[string]func(*Client) error{
		"answer": call(false, true), "stream": call(true, true), "plain answer": call(false, false),
		"state": func(c *Client) error {
			_, err := c.State(t.Context())
			return err
		},
	}
}

func TestMalformedAnswersAreFailures(t *testing.T) {
	for name, head := range answerstest.Malformed {
		for reader, read := range readers(t) {
			c := NewClient(answerstest.Start(t, answerstest.Script{Head: head}, "").Address)
			if err := read(c); err == nil {
				t.Errorf("%s: the %s is taken", name, reader)
			}
			c.Close()
		}
	}
}

func TestEndlessAnswersEnd(t *testing.T) {
	for name, script := range answerstest.Endless {
		for reader, read := range readers(t) {
			srv := answerstest.Start(t, script, "application/json")
			c := NewClient(srv.Address)
			if err := read(c); err == nil {
				t.Errorf("%s: the %s is taken", name, reader)
			}
			if n := srv.Sent(); n > sentAtMost {
				t.Errorf("%s: %d MiB were sent as %s", name, n>>20, reader)
			}
			c.Close()
		}
	}
}

// TestAnswerThatIsResetIsNotWhole: a long request is still written when its connection is reset
// after a part of an answer without a length.
func TestAnswerThatIsResetIsNotWhole(t *testing.T) {
	srv := answerstest.Start(t, answerstest.Script{Head: "HTTP/1.1 200 OK\r\n\r\n{\"part\":1}", Reset: true}, "")
	for range 100 {
		c := NewClient(srv.Address)
		k := chatCall(false)
		k.Body = make([]byte, 3<<20)
		var got collector
		if _, err := c.Do(t.Context(), k, &got); err == nil {
			t.Errorf("a part of an answer is taken for %q", got.data)
		}
		c.Close()
	}
}
