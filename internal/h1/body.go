package h1

import (
	"io"

	"github.com/juju/errors"
)

// Buffer sizes for response bodies, in bytes.
const (
	// maxUnreservedBytes is how much a response may buffer without a reservation.
	maxUnreservedBytes = 8 << 10
	// maxSingleBytes is the largest body of known length that is read into one segment.
	maxSingleBytes = 64 << 10
	// firstSegmentBytes is the size of the first segment of a response of unknown
	// length. Each further segment is as large as all before it together, up to
	// maxSegmentBytes.
	firstSegmentBytes = 1 << 10
	maxSegmentBytes   = 256 << 10
)

// Body is a complete response body, held in segments so that it grows without copying.
type Body struct {
	segments [][]byte
	size     int
}

// Len returns the length of the body in bytes.
func (b Body) Len() int { return b.size }

// WriteTo implements io.WriterTo.
func (b Body) WriteTo(w io.Writer) (written int64, err error) {
	for _, s := range b.segments {
		n, err := w.Write(s)
		written += int64(n)
		if err != nil {
			return written, errors.Trace(err)
		}
	}
	return written, nil
}

// AppendTo appends the body to out.
func (b Body) AppendTo(out []byte) []byte {
	for _, s := range b.segments {
		out = append(out, s...)
	}
	return out
}

// String returns a copy of the body; it is meant for small bodies.
func (b Body) String() string { return string(b.AppendTo(nil)) }

// BodyOf returns a body of one segment, which it does not copy.
func BodyOf(segment []byte) Body { return Body{segments: [][]byte{segment}, size: len(segment)} }

// ReadAll reads the whole body, at most limit bytes. Beyond maxUnreservedBytes it calls
// reserve before each allocation and fails if reserve returns false; a nil reserve allows
// every allocation. After an error the response is incomplete.
func (e *Exchange) ReadAll(limit int64, reserve func(bytes int64) bool) (Body, error) {
	body, err := ReadBody(e, e.resp.ContentLength, limit, reserve)
	return body, errors.Annotate(err, "read a response body")
}

// ReadBody reads a body to its end, at most limit bytes. A negative length is not known.
// Memory is reserved as by Exchange.ReadAll.
func ReadBody(src io.Reader, length, limit int64, reserve func(bytes int64) bool) (Body, error) {
	var body Body
	if length > limit {
		return body, errors.Errorf("a body of %d bytes exceeds the limit of %d", length, limit)
	}
	size := int(min(length+1, maxSingleBytes+1)) // one byte more lets the last read return io.EOF
	if size <= 0 || size > maxSingleBytes {
		size = firstSegmentBytes
	}
	if size > maxUnreservedBytes && reserve != nil && !reserve(int64(size)) {
		return body, errors.Errorf("no memory reserved for a body of %d bytes", length)
	}
	segment, allocated := make([]byte, 0, size), size
	for {
		if len(segment) == cap(segment) {
			next := min(allocated, maxSegmentBytes)
			if allocated+next > maxUnreservedBytes && reserve != nil && !reserve(int64(next)) {
				return Body{}, errors.Errorf("no memory reserved for a body of over %d bytes", body.size)
			}
			body.segments = append(body.segments, segment)
			segment, allocated = make([]byte, 0, next), allocated+next
		}
		n, err := src.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
		body.size += n
		switch {
		case int64(body.size) > limit:
			return Body{}, errors.Errorf("a body exceeds the limit of %d bytes", limit)
		case errors.Is(err, io.EOF):
			body.segments = append(body.segments, segment)
			return body, nil
		case err != nil:
			return Body{}, err
		}
	}
}
