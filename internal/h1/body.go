package h1

import (
	"io"

	"github.com/juju/errors"
)

// Sizes of the memory for answers, in bytes.
const (
	// smallAnswer is what an answer may take without asking for room.
	smallAnswer = 64 << 10
	// firstPiece is the first piece of an answer of unknown length, mostPiece the largest
	// one; each is as large as all before it.
	firstPiece = 1 << 10
	mostPiece  = 256 << 10
)

// Body is a whole answer in pieces, so that it grows without copies.
type Body struct {
	pieces [][]byte
	size   int
}

// Len returns its length in bytes.
func (b Body) Len() int { return b.size }

// WriteTo writes it out.
func (b Body) WriteTo(w io.Writer) (written int64, err error) {
	for _, p := range b.pieces {
		n, err := w.Write(p)
		written += int64(n)
		if err != nil {
			return written, errors.Trace(err)
		}
	}
	return written, nil
}

// String returns the text of a small body.
func (b Body) String() string {
	var out []byte
	for _, p := range b.pieces {
		out = append(out, p...)
	}
	return string(out)
}

// ReadAll reads the whole body, at most limit bytes. Before an answer takes more than
// smallAnswer it asks room for the further bytes; nil has room for all. An error means
// that the answer is not complete.
func (e *Exchange) ReadAll(limit int64, room func(bytes int64) bool) (Body, error) {
	var body Body
	if e.resp.ContentLength > limit {
		return body, errors.Errorf("an answer of %d bytes is over the limit of %d", e.resp.ContentLength, limit)
	}
	size := int(min(e.resp.ContentLength+1, smallAnswer+1)) // the end shows in the same read
	if size <= 0 || size > smallAnswer {
		size = firstPiece
	}
	piece, taken := make([]byte, 0, size), size
	for {
		if len(piece) == cap(piece) {
			more := min(taken, mostPiece)
			if taken+more > smallAnswer && room != nil && !room(int64(more)) {
				return Body{}, errors.Errorf("no room for an answer of over %d bytes", body.size)
			}
			body.pieces = append(body.pieces, piece)
			piece, taken = make([]byte, 0, more), taken+more
		}
		n, err := e.resp.Body.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		body.size += n
		switch {
		case int64(body.size) > limit:
			return Body{}, errors.Errorf("an answer is over the limit of %d bytes", limit)
		case errors.Is(err, io.EOF):
			body.pieces = append(body.pieces, piece)
			return body, nil
		case err != nil:
			return Body{}, errors.Annotate(err, "read an answer")
		}
	}
}
