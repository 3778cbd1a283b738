package h1

import (
	"io"

	"github.com/juju/errors"
)

// maxHeadBytes bounds the response heads that are read before one response body, those
// of interim (1xx) responses included. Upstreams send less than a hundredth of it; a
// faulty upstream may send a head that never ends.
const maxHeadBytes = 64 << 10

// errHeadTooLong means that no final response head ended within maxHeadBytes.
var errHeadTooLong = errors.Errorf("response head exceeds %d bytes", maxHeadBytes)

// limitedReader reads from a connection and limits the number of bytes while a limit
// is set.
type limitedReader struct {
	src io.Reader
	// remaining is how many bytes may still be read; negative means no limit.
	remaining int64
	// exceeded is true once a read was attempted past the limit.
	exceeded bool
}

func (l *limitedReader) setLimit(n int64) { l.remaining = n }

func (l *limitedReader) clearLimit() { l.remaining = -1 }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining < 0 {
		return l.src.Read(p)
	}
	if l.remaining == 0 {
		l.exceeded = true
		return 0, errHeadTooLong
	}
	n, err := l.src.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}
