package catalog

import (
	"fmt"
	"slices"
	"strings"
)

// Position is where an object or field stands in a file. Line and Col start
// at 1; zero means unknown.
type Position struct {
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	Col  int    `json:"col,omitempty"`
}

// String returns "file:line:col".
func (p Position) String() string {
	if p.File == "" {
		return "-"
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col)
}

// Fault is one thing wrong with a configuration.
type Fault struct {
	Position Position `json:"position"`
	// Object is "kind/name", or empty for a fault of a whole file.
	Object string `json:"object,omitempty"`
	// Field is the path inside the object, such as "steps[1]".
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
	// Suggestion is a name that may have been meant.
	Suggestion string `json:"suggestion,omitempty"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: ", f.Position)
	if f.Object != "" {
		fmt.Fprintf(&b, "%s: ", f.Object)
	}
	if f.Field != "" {
		fmt.Fprintf(&b, "%s: ", f.Field)
	}
	b.WriteString(f.Reason)
	if f.Suggestion != "" {
		fmt.Fprintf(&b, " (did you mean %q?)", f.Suggestion)
	}
	return b.String()
}

// SortFaults orders faults by file, line and column.
func SortFaults(fs []Fault) {
	slices.SortStableFunc(fs, func(a, b Fault) int {
		if c := strings.Compare(a.Position.File, b.Position.File); c != 0 {
			return c
		}
		if a.Position.Line != b.Position.Line {
			return a.Position.Line - b.Position.Line
		}
		return a.Position.Col - b.Position.Col
	})
}

// maxSuggestDistance is the greatest edit distance of a suggested name.
const maxSuggestDistance = 3

// nearest returns the candidate closest to name, or "" when none is near.
func nearest(name string, candidates []string) string {
	best, bestDist := "", maxSuggestDistance+1
	slices.Sort(candidates)
	for _, c := range candidates {
		if d := editDistance(name, c); d < bestDist {
			best, bestDist = c, d
		}
	}
	if bestDist*2 > len(name) {
		return ""
	}
	return best
}

// editDistance is the Levenshtein distance.
func editDistance(a, b string) int {
	prev := make([]int, len(b)+1)
	for j := range prev {
		prev[j] = j
	}
	for i := range len(a) {
		cur := make([]int, len(b)+1)
		cur[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			cur[j+1] = min(prev[j+1]+1, cur[j]+1, prev[j]+cost)
		}
		prev = cur
	}
	return prev[len(b)]
}
