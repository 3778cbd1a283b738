package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"time"
)

// exampleSecret stands in the example's session key.
const exampleSecret = "replace-me-with-a-long-random-secret"

// Example returns a settings file for the role in which every field stands
// with its default, its unit and what it does. It passes the check.
func Example(role Role) []byte {
	s := Default(role)
	if role == RoleEntry {
		s.SessionKeys = []SessionKey{{Name: "k1", Secret: exampleSecret}}
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "// Settings of a tarragonbayd %s. Fields that are left out keep the values below.\n", role)
	writeStruct(&b, reflect.ValueOf(s), "")
	b.WriteByte('\n')
	return b.Bytes()
}

func writeStruct(b *bytes.Buffer, v reflect.Value, indent string) {
	b.WriteString("{\n")
	inner := indent + "\t"
	for i := range v.NumField() {
		f := v.Type().Field(i)
		fmt.Fprintf(b, "%s// %s%s\n", inner, f.Tag.Get("doc"), unitNote(f))
		fmt.Fprintf(b, "%s%q: ", inner, f.Tag.Get("json"))
		writeValue(b, v.Field(i), inner)
		b.WriteString(",\n")
	}
	b.WriteString(indent + "}")
}

func unitNote(f reflect.StructField) string {
	if u := f.Tag.Get("unit"); u != "" {
		return " Unit: " + u + "."
	}
	return ""
}

func writeValue(b *bytes.Buffer, v reflect.Value, indent string) {
	if d, ok := v.Interface().(time.Duration); ok {
		fmt.Fprintf(b, "%q", d)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		writeStruct(b, v, indent)
	case reflect.Slice:
		writeSlice(b, v, indent)
	default:
		text, _ := json.Marshal(v.Interface()) // strings and integers always encode
		b.Write(text)
	}
}

func writeSlice(b *bytes.Buffer, v reflect.Value, indent string) {
	if v.Len() == 0 {
		b.WriteString("[]")
		return
	}
	b.WriteString("[\n")
	for i := range v.Len() {
		b.WriteString(indent + "\t")
		writeValue(b, v.Index(i), indent+"\t")
		b.WriteString(",\n")
	}
	b.WriteString(indent + "]")
}
