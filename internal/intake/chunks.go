package intake

// chunkScanner follows a chunked body as its bytes come, to find its end. The HTTP server
// decodes and checks the body; where it finds a fault, it closes the connection.
type chunkScanner struct {
	state chunkState
	// size is what is left of the current chunk, in bytes.
	size int64
	// trailer follows the lines after the last chunk.
	trailer headScanner
}

type chunkState uint8

const (
	inSize chunkState = iota
	inExtension
	inData
	inDataEnd
	inTrailer
	// broken bodies are not followed any further.
	broken
)

// maxChunkBytes is the size above which a chunk is not followed: no body is as large.
const maxChunkBytes = 1 << 40

// feed takes the next bytes. It returns how many of them belong to the body, how many of
// those are its content, and whether the body has ended with them.
func (s *chunkScanner) feed(b []byte) (n int, content int64, ended bool) {
	for n < len(b) {
		switch s.state {
		case inSize, inExtension:
			s.sizeByte(b[n])
			n++
		case inData:
			take := min(s.size, int64(len(b)-n))
			s.size -= take
			content += take
			n += int(take)
			if s.size == 0 {
				s.state = inDataEnd
			}
		case inDataEnd:
			switch b[n] {
			case '\r':
			case '\n':
				s.state = inSize
			default:
				s.state = broken
			}
			n++
		case inTrailer:
			if s.trailerEnds(b[n]) {
				return n + 1, content, true
			}
			n++
		default:
			return len(b), content + int64(len(b)-n), false
		}
	}
	return n, content, false
}

// sizeByte takes one byte of the line that begins a chunk.
func (s *chunkScanner) sizeByte(b byte) {
	switch {
	case b == '\n' && s.size == 0:
		s.state = inTrailer
	case b == '\n':
		s.state = inData
	case s.state == inExtension || b == '\r':
	case b == ';' || b == ' ' || b == '\t':
		s.state = inExtension
	default:
		digit, ok := hexDigit(b)
		if s.size = s.size<<4 | digit; !ok || s.size > maxChunkBytes {
			s.state = broken
		}
	}
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case b >= '0' && b <= '9':
		return int64(b - '0'), true
	case b >= 'a' && b <= 'f':
		return int64(b-'a') + 10, true
	case b >= 'A' && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}

// trailerEnds takes one byte of the trailer, and reports whether its blank line has ended.
func (s *chunkScanner) trailerEnds(b byte) bool {
	t := &s.trailer
	t.bytes++
	if b != '\n' {
		t.extend([]byte{b})
		return false
	}
	blank := t.lineBytes == 0
	t.lineBytes, t.returned = 0, false
	if !blank {
		t.lines++
	}
	return blank
}
