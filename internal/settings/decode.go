package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// decoder fills a struct from the parsed file, keeps each field's position
// and goes on after a fault.
type decoder struct {
	lines     catalog.Lines
	positions map[string]catalog.Position
	faults    []catalog.Fault
}

func newDecoder(file string, data []byte) (*decoder, hujson.Value, *catalog.Fault) {
	root, err := hujson.Parse(data)
	if err != nil {
		f := catalog.ParseFault(file, err)
		return nil, root, &f
	}
	d := &decoder{lines: catalog.NewLines(file, data), positions: map[string]catalog.Position{}}
	if _, ok := root.Value.(*hujson.Object); !ok {
		return nil, root, &catalog.Fault{Position: d.lines.At(0), Reason: "must be an object"}
	}
	d.positions[""] = d.lines.At(0)
	return d, root, nil
}

// role reads the role before the rest, because the defaults depend on it.
func (d *decoder) role(root hujson.Value) Role {
	for _, m := range root.Value.(*hujson.Object).Members {
		if text(m.Name) == "role" {
			return Role(text(m.Value))
		}
	}
	return ""
}

func text(v hujson.Value) string {
	if lit, ok := v.Value.(hujson.Literal); ok && lit.Kind() == '"' {
		return lit.String()
	}
	return ""
}

// faultAt adds a fault at the field, or at the nearest written parent.
func (d *decoder) faultAt(field, reason, suggestion string) {
	d.faults = append(d.faults, catalog.Fault{
		Position: d.position(field), Field: field, Reason: reason, Suggestion: suggestion,
	})
}

func (d *decoder) position(field string) catalog.Position {
	for {
		if pos, ok := d.positions[field]; ok {
			return pos
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
}

func (d *decoder) decode(root hujson.Value, s any) {
	d.object("", root, reflect.ValueOf(s).Elem())
}

func (d *decoder) value(path string, v hujson.Value, dst reflect.Value) {
	if dst.Type() == reflect.TypeFor[time.Duration]() {
		d.duration(path, v, dst)
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		d.object(path, v, dst)
	case reflect.Slice:
		d.array(path, v, dst)
	case reflect.String:
		if v.Value.Kind() != '"' {
			d.faultAt(path, "must be a string", "")
			return
		}
		dst.SetString(text(v))
	case reflect.Float64:
		d.number(path, v, dst)
	case reflect.Bool:
		d.boolean(path, v, dst)
	default:
		d.integer(path, v, dst)
	}
}

func (d *decoder) object(path string, v hujson.Value, dst reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.faultAt(path, "must be an object", "")
		return
	}
	fields := fieldsOf(dst.Type())
	for _, m := range obj.Members {
		name := text(m.Name)
		p := join(path, name)
		pos := d.lines.At(m.Name.StartOffset)
		if first, dup := d.positions[p]; dup {
			d.positions[p] = pos
			d.faultAt(p, "is written twice, first at "+first.String(), "")
			continue
		}
		d.positions[p] = pos
		i, known := fields[name]
		if !known {
			d.faultAt(p, "is not a setting", catalog.Nearest(name, names(fields)))
			continue
		}
		d.value(p, m.Value, dst.Field(i))
	}
}

func (d *decoder) array(path string, v hujson.Value, dst reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.faultAt(path, "must be an array", "")
		return
	}
	out := reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements))
	for i, e := range arr.Elements {
		p := fmt.Sprintf("%s[%d]", path, i)
		d.positions[p] = d.lines.At(e.StartOffset)
		d.value(p, e, out.Index(i))
	}
	dst.Set(out)
}

func (d *decoder) duration(path string, v hujson.Value, dst reflect.Value) {
	dur, err := time.ParseDuration(text(v))
	if err != nil {
		d.faultAt(path, `must be a time such as "3s" or "250ms"`, "")
		return
	}
	dst.SetInt(int64(dur))
}

func (d *decoder) number(path string, v hujson.Value, dst reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		d.faultAt(path, "must be a number", "")
		return
	}
	dst.SetFloat(lit.Float())
}

func (d *decoder) boolean(path string, v hujson.Value, dst reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || (lit.Kind() != 't' && lit.Kind() != 'f') {
		d.faultAt(path, "must be true or false", "")
		return
	}
	dst.SetBool(lit.Bool())
}

func (d *decoder) integer(path string, v hujson.Value, dst reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		d.faultAt(path, "must be a whole number", "")
		return
	}
	n, err := strconv.ParseInt(string(lit), 10, 64)
	if err != nil {
		d.faultAt(path, "must be a whole number", "")
		return
	}
	dst.SetInt(n)
}

func fieldsOf(t reflect.Type) map[string]int {
	out := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		out[t.Field(i).Tag.Get("json")] = i
	}
	return out
}

func names(fields map[string]int) []string {
	out := make([]string, 0, len(fields))
	for n := range fields {
		out = append(out, n)
	}
	return out
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
