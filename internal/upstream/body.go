package upstream

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// body is the body of one streamed call. net/http keeps the request for as long
// as the answer is read; a body lets go of its bytes before that, once they
// cannot be sent again. net/http sends the headers in a write of their own
// before it, so calls with short answers go without.
type body struct {
	data atomic.Pointer[[]byte]
}

func newBody(data []byte) *body {
	b := &body{}
	b.data.Store(&data)
	return b
}

// open returns a reader from the start.
func (b *body) open() (io.ReadCloser, error) {
	data := b.data.Load()
	if data == nil {
		return nil, http.ErrBodyReadAfterClose
	}
	return &bodyReader{from: bytes.NewReader(*data)}, nil
}

// forget lets go of the bytes; readers that are open go on.
func (b *body) forget() { b.data.Store(nil) }

// bodyReader is one reading of a body. The transport may close it while
// another goroutine reads.
type bodyReader struct {
	mu   sync.Mutex
	from *bytes.Reader
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.from == nil {
		return 0, http.ErrBodyReadAfterClose
	}
	return r.from.Read(p)
}

// Close lets go of the bytes.
func (r *bodyReader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.from = nil
	return nil
}
