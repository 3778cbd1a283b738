package catalog

import (
	"encoding/json"
	"io/fs"
	"path"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// Source is a configuration read from files, with the position of each object
// and field. It may have faults.
type Source struct {
	Objects []Object
	Faults  []Fault

	// positions maps "kind/name" and "kind/name<pointer>" to a position,
	// where the pointer is an RFC 6901 JSON pointer inside the object.
	positions map[string]Position
}

// maxFileBytes bounds one configuration file.
const maxFileBytes = 64 << 20

// Load reads every *.json and *.jsonc file of the folder, in order of name.
// A file is an object whose keys are kinds; each holds objects by name. Faults
// of form are collected in the Source; only a folder that cannot be read is an
// error.
func Load(fsys fs.FS) (*Source, error) {
	names, err := configFiles(fsys)
	if err != nil {
		return nil, errors.Trace(err)
	}
	src := &Source{positions: map[string]Position{}}
	for _, name := range names {
		src.readFile(fsys, name)
	}
	if len(names) == 0 {
		src.Faults = append(src.Faults, Fault{Reason: "the folder holds no .json or .jsonc file"})
	}
	return src, nil
}

func configFiles(fsys fs.FS) ([]string, error) {
	entries, err := fs.ReadDir(fsys, ".")
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		ext := path.Ext(e.Name())
		if !e.IsDir() && (ext == ".json" || ext == ".jsonc") {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

func (s *Source) fault(pos Position, object, field, reason string) {
	s.Faults = append(s.Faults, Fault{Position: pos, Object: object, Field: field, Reason: reason})
}

func (s *Source) readFile(fsys fs.FS, name string) {
	data, err := fs.ReadFile(fsys, name)
	if err != nil {
		s.fault(Position{File: name}, "", "", "cannot be read: "+err.Error())
		return
	}
	if len(data) > maxFileBytes {
		s.fault(Position{File: name}, "", "", "is larger than 64 MiB")
		return
	}
	root, err := hujson.Parse(data)
	if err != nil {
		line, col, reason := splitParseError(err)
		s.fault(Position{File: name, Line: line, Col: col}, "", "", reason)
		return
	}
	lines := lineStarts(data)
	obj, ok := root.Value.(*hujson.Object)
	if !ok {
		s.fault(Position{File: name, Line: 1, Col: 1}, "", "", "must be an object of kinds")
		return
	}
	for _, m := range obj.Members {
		s.readKind(name, lines, m)
	}
}

// splitParseError takes the position out of hujson's "line N, column M: …".
func splitParseError(err error) (line, col int, reason string) {
	reason = strings.TrimPrefix(err.Error(), "hujson: ")
	rest, found := strings.CutPrefix(reason, "line ")
	if !found {
		return 1, 1, reason
	}
	l, rest, _ := strings.Cut(rest, ", column ")
	c, msg, _ := strings.Cut(rest, ": ")
	line, _ = strconv.Atoi(l)
	col, _ = strconv.Atoi(c)
	return line, col, msg
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for i, b := range data {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

func positionAt(file string, starts []int, offset int) Position {
	line, found := slices.BinarySearch(starts, offset)
	if !found {
		line--
	}
	return Position{File: file, Line: line + 1, Col: offset - starts[line] + 1}
}

func literalName(v hujson.Value) string {
	if lit, ok := v.Value.(hujson.Literal); ok {
		return lit.String()
	}
	return ""
}

func (s *Source) readKind(file string, lines []int, m hujson.ObjectMember) {
	kind := Kind(literalName(m.Name))
	pos := positionAt(file, lines, m.Name.StartOffset)
	if !slices.Contains(Kinds, kind) {
		f := Fault{Position: pos, Field: string(kind), Reason: "is not a kind of object"}
		f.Suggestion = nearest(string(kind), kindNames())
		s.Faults = append(s.Faults, f)
		return
	}
	byName, ok := m.Value.Value.(*hujson.Object)
	if !ok {
		s.fault(pos, "", string(kind), "must be an object of named objects")
		return
	}
	for _, o := range byName.Members {
		s.readObject(file, lines, kind, o)
	}
}

func kindNames() []string {
	out := make([]string, len(Kinds))
	for i, k := range Kinds {
		out[i] = string(k)
	}
	return out
}

func (s *Source) readObject(file string, lines []int, kind Kind, m hujson.ObjectMember) {
	key := Key{Kind: kind, Name: literalName(m.Name)}
	pos := positionAt(file, lines, m.Name.StartOffset)
	if first, dup := s.positions[key.String()]; dup {
		s.fault(pos, key.String(), "", "is defined twice, first at "+first.String())
		return
	}
	s.positions[key.String()] = pos
	if _, ok := m.Value.Value.(*hujson.Object); !ok {
		s.fault(pos, key.String(), "", "must be an object")
		return
	}
	s.indexFields(file, lines, key.String(), m.Value)
	std := m.Value.Clone()
	std.Standardize()
	spec, err := Canonical(std.Pack())
	if err != nil {
		s.fault(pos, key.String(), "", err.Error())
		return
	}
	s.Objects = append(s.Objects, Object{Key: key, Spec: spec})
}

// indexFields records the position of each field under prefix.
func (s *Source) indexFields(file string, lines []int, prefix string, v hujson.Value) {
	switch val := v.Value.(type) {
	case *hujson.Object:
		for _, m := range val.Members {
			p := prefix + "/" + literalName(m.Name)
			s.positions[p] = positionAt(file, lines, m.Name.StartOffset)
			s.indexFields(file, lines, p, m.Value)
		}
	case *hujson.Array:
		for i, e := range val.Elements {
			p := prefix + "/" + strconv.Itoa(i)
			s.positions[p] = positionAt(file, lines, e.StartOffset)
			s.indexFields(file, lines, p, e)
		}
	}
}

// Position returns where the field of the object stands, or the object itself
// when the field is not written.
func (s *Source) Position(k Key, field string) Position {
	p := k.String()
	if field == "" {
		return s.positions[p]
	}
	path := strings.NewReplacer(".", "/", "[", "/", "]", "").Replace(field)
	if pos, ok := s.positions[p+"/"+path]; ok {
		return pos
	}
	return s.positions[p]
}

// Check decodes and checks the whole set. The set is nil when there are
// faults; all of them are returned, in order of position.
func (s *Source) Check() (*Set, []Fault) {
	faults := slices.Clone(s.Faults)
	var good []Object
	for _, o := range s.Objects {
		if f, ok := s.decodeFault(o); ok {
			faults = append(faults, f)
			continue
		}
		good = append(good, o)
	}
	set, err := NewSet(good)
	if err != nil {
		faults = append(faults, Fault{Reason: err.Error()})
		SortFaults(faults)
		return nil, faults
	}
	faults = append(faults, checkSet(set, s)...)
	SortFaults(faults)
	if len(faults) > 0 {
		return nil, faults
	}
	return set, nil
}

// decodeFault tries the object alone, so that each bad object is one fault.
func (s *Source) decodeFault(o Object) (Fault, bool) {
	_, err := NewSet([]Object{o})
	if err == nil {
		return Fault{}, false
	}
	cause := errors.Cause(err)
	f := Fault{Position: s.Position(o.Key, ""), Object: o.Key.String(), Reason: cause.Error()}
	var typeErr *json.UnmarshalTypeError
	if errors.As(cause, &typeErr) {
		f.Field = typeErr.Field
		f.Position = s.Position(o.Key, typeErr.Field)
		f.Reason = "must be of type " + typeErr.Type.String() + ", not " + typeErr.Value
	}
	if name, ok := strings.CutPrefix(f.Reason, "json: unknown field "); ok {
		f.Field = strings.Trim(name, `"`)
		f.Position = s.Position(o.Key, f.Field)
		f.Reason = "is not a field of " + string(o.Key.Kind)
		f.Suggestion = nearest(f.Field, fieldNames(o.Key.Kind))
	}
	return f, true
}
