package answers

import (
	"net"
	"net/http"
)

// maxHeadBytes bounds the head of an answer where a transport sets no bound; net/http's own is
// ten megabytes.
const maxHeadBytes = 64 << 10

// Transport is an http.Transport that passes on checked answers only.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that checks answers. It changes the dialer of t.
func NewTransport(t *http.Transport) Transport {
	if t.DialContext == nil {
		t.DialContext = (&net.Dialer{}).DialContext
	}
	t.DialContext = Dial(t.DialContext)
	if t.MaxResponseHeaderBytes == 0 {
		t.MaxResponseHeaderBytes = maxHeadBytes
	}
	return Transport{t}
}

// RoundTrip implements http.RoundTripper. The connection of a malformed answer is closed.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close() // it was not read to its end
		return nil, err
	}
	return resp, nil
}
