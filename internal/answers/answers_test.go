package answers_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"tarragonbay.example/tarragonbay/internal/answers"
	"tarragonbay.example/tarragonbay/internal/answers/answerstest"
)

func get(t *testing.T, address string, body []byte) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := answers.NewTransport(&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

func TestMalformedHeads(t *testing.T) {
	for name, head := range answerstest.Malformed {
		if body, err := get(t, answerstest.Start(t, answerstest.Script{Head: head}, "").Address, nil); err == nil {
			t.Errorf("%s: %q", name, body)
		}
	}
	sound := "HTTP/1.1 200 OK\r\nNote-1: a\tb ü\r\nContent-Length: 2\r\n\r\n{}"
	if body, err := get(t, answerstest.Start(t, answerstest.Script{Head: sound}, "").Address, nil); err != nil || body != "{}" {
		t.Errorf("a sound answer: %q, %v", body, err)
	}
}

// TestResetIsNoEnd: the write of a long request takes the error of the reset, and the read
// sees an end.
func TestResetIsNoEnd(t *testing.T) {
	part := "HTTP/1.1 200 OK\r\n\r\n{\"part\":1}"
	whole := 0
	srv := answerstest.Start(t, answerstest.Script{Head: part, Reset: true}, "")
	for range 100 {
		if body, err := get(t, srv.Address, make([]byte, 3<<20)); err == nil {
			whole++
			t.Logf("%q", body)
		}
	}
	if whole > 0 {
		t.Errorf("%d of 100 parts of an answer are whole ones", whole)
	}
	if body, err := get(t, answerstest.Start(t, answerstest.Script{Head: part}, "").Address, nil); err != nil || body != "{\"part\":1}" {
		t.Errorf("an answer that ends with its connection: %q, %v", body, err)
	}
}
