// Package jsonscan walks JSON text without decoding it, for bodies that are
// checked and passed on unchanged. It allocates nothing.
package jsonscan

import "bytes"

// Cursor walks the members of an object or the elements of an array and returns
// them as slices of the text. The text must be valid JSON, as json.Valid tells;
// on other text it panics.
type Cursor struct {
	data []byte
	pos  int
}

// Members starts a walk over an object; ok is false for any other value.
func Members(value []byte) (c Cursor, ok bool) { return enter(value, '{') }

// Elements starts a walk over an array; ok is false for any other value.
func Elements(value []byte) (c Cursor, ok bool) { return enter(value, '[') }

func enter(value []byte, open byte) (Cursor, bool) {
	c := Cursor{data: value}
	c.space()
	if c.pos >= len(value) || value[c.pos] != open {
		return Cursor{}, false
	}
	c.pos++
	return c, true
}

// Member returns the next name, without its quotes, and its value.
func (c *Cursor) Member() (name, value []byte, ok bool) {
	if !c.next('}') {
		return nil, nil, false
	}
	name = c.value()
	c.space()
	c.pos++ // the colon
	c.space()
	return name[1 : len(name)-1], c.value(), true
}

// Lookup returns the value of a member of an object. It is nil when there is no
// such member, or the value is no object. The name must stand in the text as it
// is asked for, without escapes.
func Lookup(object []byte, name string) []byte {
	walk, ok := Members(object)
	if !ok {
		return nil
	}
	for {
		n, value, more := walk.Member()
		if !more {
			return nil
		}
		if string(n) == name {
			return value
		}
	}
}

// Element returns the next value of an array.
func (c *Cursor) Element() (value []byte, ok bool) {
	if !c.next(']') {
		return nil, false
	}
	return c.value(), true
}

// next stands on the next item, or returns false at the end.
func (c *Cursor) next(end byte) bool {
	c.space()
	if c.data[c.pos] == ',' {
		c.pos++
		c.space()
	}
	return c.data[c.pos] != end
}

func (c *Cursor) space() {
	for c.pos < len(c.data) {
		switch c.data[c.pos] {
		case ' ', '\t', '\r', '\n':
			c.pos++
		default:
			return
		}
	}
}

// value takes the value at the position.
func (c *Cursor) value() []byte {
	start := c.pos
	switch c.data[c.pos] {
	case '"':
		c.skipString()
	case '{', '[':
		c.skipNested()
	default:
		c.skipWord()
	}
	return c.data[start:c.pos]
}

func (c *Cursor) skipString() {
	c.pos += stringLength(c.data[c.pos:])
}

// stringLength returns the length of the string that begins with the quote at
// the start of data, or that of all data when the string does not end. It
// looks for quotes alone, which is many times faster than a look at each byte.
func stringLength(data []byte) int {
	for end := 1; ; end++ {
		i := bytes.IndexByte(data[end:], '"')
		if i < 0 {
			return len(data)
		}
		end += i
		if !escaped(data[:end]) {
			return end + 1
		}
	}
}

// escaped reports whether the byte after before is escaped: an odd number of
// backslashes stands in front of it.
func escaped(before []byte) bool {
	n := 0
	for n < len(before) && before[len(before)-1-n] == '\\' {
		n++
	}
	return n%2 == 1
}

func (c *Cursor) skipNested() {
	for depth := 0; ; {
		switch c.data[c.pos] {
		case '"':
			c.skipString()
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		c.pos++
		if depth == 0 {
			return
		}
	}
}

// skipWord skips a number, true, false or null.
func (c *Cursor) skipWord() {
	for ; c.pos < len(c.data); c.pos++ {
		switch c.data[c.pos] {
		case ',', '}', ']', ' ', '\t', '\r', '\n':
			return
		}
	}
}

// DepthWithin reports whether no value is nested deeper than limit. It reads
// any bytes, valid or not, and is called before the text is validated.
func DepthWithin(data []byte, limit int) bool {
	depth := 0
	for i := 0; i < len(data); {
		switch data[i] {
		case '"':
			i += stringLength(data[i:])
			continue
		case '{', '[':
			depth++
			if depth > limit {
				return false
			}
		case '}', ']':
			depth--
		}
		i++
	}
	return true
}
