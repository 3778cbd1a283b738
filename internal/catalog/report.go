package catalog

// Nearest returns the candidate that may have been meant by name, or "" when
// none is near. It is used wherever an operator's spelling is checked.
func Nearest(name string, candidates []string) string {
	return nearest(name, candidates)
}

// Lines maps offsets in one file to positions.
type Lines struct {
	file   string
	starts []int
}

// NewLines reads the line starts of the file's data.
func NewLines(file string, data []byte) Lines {
	return Lines{file: file, starts: lineStarts(data)}
}

// At returns the position of the byte offset.
func (l Lines) At(offset int) Position {
	return positionAt(l.file, l.starts, offset)
}

// ParseFault turns a syntax error of the hujson parser into a fault.
func ParseFault(file string, err error) Fault {
	line, col, reason := splitParseError(err)
	return Fault{Position: Position{File: file, Line: line, Col: col}, Reason: reason}
}
