package intake

import "bytes"

// headScanner follows the head of a request as its bytes come. It counts and finds the end;
// what the lines mean is up to the HTTP server.
type headScanner struct {
	// bytes and lines count what has come since the first line began.
	bytes, lines int
	// lineBytes is the length of the line that has not ended yet, without a carriage return
	// at its start.
	lineBytes int
	// returned is true when the line so far is a single carriage return.
	returned bool
}

// feed takes the next bytes. It returns how many of them belong to the head, and whether
// the head has ended with them. Blank lines before the first line are counted as bytes.
func (h *headScanner) feed(b []byte) (n int, ended bool) {
	for n < len(b) {
		end := bytes.IndexByte(b[n:], '\n')
		if end < 0 {
			h.extend(b[n:])
			h.bytes += len(b) - n
			return len(b), false
		}
		h.extend(b[n : n+end])
		blank := h.lineBytes == 0
		h.bytes += end + 1
		n += end + 1
		h.lineBytes, h.returned = 0, false
		if blank && h.lines > 0 {
			return n, true
		}
		if !blank {
			h.lines++
		}
	}
	return n, false
}

// extend adds to the line that has not ended yet.
func (h *headScanner) extend(b []byte) {
	if len(b) == 0 {
		return
	}
	if h.lineBytes == 0 && !h.returned && len(b) == 1 && b[0] == '\r' {
		h.returned = true
		return
	}
	h.lineBytes += len(b)
}
