package publish

import (
	"bytes"
	"fmt"
	"strings"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

// CheckError is a set with faults. It carries the code CheckFailed.
type CheckError struct{ Faults []catalog.Fault }

// Error returns every fault on a line of its own.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return fmt.Sprintf("%s the configuration has %d faults\n%s", result.CheckFailed, len(lines), strings.Join(lines, "\n"))
}

// Unwrap returns the numbered error.
func (e *CheckError) Unwrap() error {
	return result.New(result.CheckFailed, "the configuration has %d faults", len(e.Faults))
}

// ConflictError names the objects that two publications changed in different
// ways. It carries the code PublishConflict.
type ConflictError struct{ Keys []catalog.Key }

// Error names the objects.
func (e *ConflictError) Error() string { return e.numbered().Error() }

// Unwrap returns the numbered error.
func (e *ConflictError) Unwrap() error { return e.numbered() }

func (e *ConflictError) numbered() *result.Error {
	names := make([]string, len(e.Keys))
	for i, k := range e.Keys {
		names[i] = k.String()
	}
	return result.New(result.PublishConflict, "another publication changed the same objects first: %s", strings.Join(names, ", "))
}

// merge returns what to change in the current set so that it has the author's
// changes since the base beside those of others.
func merge(base, want, current *catalog.Set) (catalog.Delta, error) {
	mine := catalog.Diff(base, want)
	theirs := map[catalog.Key]bool{}
	for _, k := range catalog.Diff(base, current).Keys() {
		theirs[k] = true
	}
	var out catalog.Delta
	var conflict ConflictError
	for _, k := range mine.Keys() {
		if sameObject(want, current, k) {
			continue
		}
		if theirs[k] {
			conflict.Keys = append(conflict.Keys, k)
			continue
		}
		if o, ok := want.Object(k); ok {
			out.Puts = append(out.Puts, o)
		} else {
			out.Deletes = append(out.Deletes, k)
		}
	}
	if len(conflict.Keys) > 0 {
		return catalog.Delta{}, &conflict
	}
	return out, nil
}

// sameObject reports whether both sets hold the object alike, or both lack it.
func sameObject(a, b *catalog.Set, k catalog.Key) bool {
	x, inA := a.Object(k)
	y, inB := b.Object(k)
	return inA == inB && bytes.Equal(x.Spec, y.Spec)
}
