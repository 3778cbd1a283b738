package callerapi

import (
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/intake"
	"tarragonbay.example/tarragonbay/internal/result"
)

// boundReading gives the body its time. The bound stays on a request that is
// refused, because the server then reads the rest of its body; it is taken off
// once the body has been read, because the server goes on reading to see
// whether the caller has left.
func (h *handler) boundReading(w *writer) {
	// A recorder in a test has no deadline, and then needs none.
	_ = w.ctl.SetReadDeadline(h.Now().Add(h.Timeouts.ReadBody))
}

// readBody reads the body under its size and time limits.
func (h *handler) readBody(req *request) ([]byte, *fieldError) {
	limit := h.Limits.BodyBytes
	if req.ContentLength > limit {
		return nil, plain(result.BodyTooLarge, "the body is larger than %d bytes", limit)
	}
	if !h.reserveBody(req) {
		e := result.New(result.QueueFull, "too many bodies are held now").WithRetryAfter(fullRetry)
		return nil, &fieldError{err: e}
	}
	body := http.MaxBytesReader(req.w.ResponseWriter, req.Body, limit)
	data, err := readSized(body, req.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, plain(result.BodyTooLarge, "the body is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, plain(result.BadJSON, "the body could not be read to its end")
	}
	_ = req.w.ctl.SetReadDeadline(time.Time{}) // as in boundReading
	return data, nil
}

// reserveBody takes memory for the body, the most it may have when its size is
// not told. It reports whether there was enough.
func (h *handler) reserveBody(req *request) bool {
	size := req.ContentLength
	if size < 0 {
		size = h.Limits.BodyBytes
	}
	if h.bodyBytes.Add(size) > h.Limits.BodyMemory {
		h.bodyBytes.Add(-size)
		if c := intake.FromContext(req.Context()); c != nil {
			c.CloseStalled() // a client that has stalled within its body makes room for the next
		}
		return false
	}
	req.reserved = size
	return true
}

func (h *handler) releaseBody(req *request) { h.bodyBytes.Add(-req.reserved) }

// readSized reads to the end, in one piece of memory when the size is known.
func readSized(r io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(r)
	}
	data := make([]byte, size)
	_, err := io.ReadFull(r, data)
	return data, err
}

func checkContentType(req *request) *fieldError {
	if enc := req.Header.Get("Content-Encoding"); enc != "" && enc != "identity" {
		return plain(result.BadContentType, "the content encoding %.32q is not taken", enc)
	}
	ct := req.Header.Get("Content-Type")
	if ct == contentJSON {
		return nil
	}
	media, params, err := mime.ParseMediaType(ct)
	charset := params["charset"]
	if err != nil || media != contentJSON || (charset != "" && !strings.EqualFold(charset, "utf-8")) {
		return plain(result.BadContentType, "the content type must be application/json, not %.64q", ct)
	}
	return nil
}
