package callerapi

// cursor walks JSON that is known to be valid, without decoding it. It takes
// the members of an object or the elements of an array as slices of the text.
type cursor struct {
	data []byte
	pos  int
}

// members starts a walk over an object; ok is false for any other value.
func members(value []byte) (c cursor, ok bool) { return enter(value, '{') }

// elements starts a walk over an array; ok is false for any other value.
func elements(value []byte) (c cursor, ok bool) { return enter(value, '[') }

func enter(value []byte, open byte) (cursor, bool) {
	c := cursor{data: value}
	c.space()
	if c.pos >= len(value) || value[c.pos] != open {
		return cursor{}, false
	}
	c.pos++
	return c, true
}

// member returns the next name, without its quotes, and its value.
func (c *cursor) member() (name, value []byte, ok bool) {
	if !c.next('}') {
		return nil, nil, false
	}
	name = c.value()
	c.space()
	c.pos++ // the colon
	c.space()
	return name[1 : len(name)-1], c.value(), true
}

// element returns the next value of an array.
func (c *cursor) element() (value []byte, ok bool) {
	if !c.next(']') {
		return nil, false
	}
	return c.value(), true
}

// next stands on the next item, or returns false at the end.
func (c *cursor) next(end byte) bool {
	c.space()
	if c.data[c.pos] == ',' {
		c.pos++
		c.space()
	}
	return c.data[c.pos] != end
}

func (c *cursor) space() {
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
func (c *cursor) value() []byte {
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

func (c *cursor) skipString() {
	for c.pos++; c.data[c.pos] != '"'; c.pos++ {
		if c.data[c.pos] == '\\' {
			c.pos++
		}
	}
	c.pos++
}

func (c *cursor) skipNested() {
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
func (c *cursor) skipWord() {
	for ; c.pos < len(c.data); c.pos++ {
		switch c.data[c.pos] {
		case ',', '}', ']', ' ', '\t', '\r', '\n':
			return
		}
	}
}

// depthWithin reports whether no value is nested deeper than limit. It reads
// any bytes, valid or not, and is called before the text is validated.
func depthWithin(data []byte, limit int) bool {
	depth, quoted := 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			depth++
			if depth > limit {
				return false
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return true
}

// SetModel returns a copy of a checked chat body whose model field names
// model. It is called by the entry for each attempt, because the name that
// the caller sent is not the version that answers.
func SetModel(body []byte, model string) []byte {
	c, ok := members(body)
	if !ok {
		return body
	}
	for {
		name, value, more := c.member()
		if !more {
			return body
		}
		if string(name) != "model" {
			continue
		}
		end := c.pos
		start := end - len(value)
		out := make([]byte, 0, len(body)-len(value)+len(model)+2)
		out = append(out, body[:start]...)
		out = append(out, '"')
		out = append(out, model...)
		out = append(out, '"')
		return append(out, body[end:]...)
	}
}
