package wagjson

import (
	"bytes"
	"encoding/json"
)

// mend returns a JSON text in which each value that cannot be read is null, as deep
// inside as possible, so that one odd value hides no other. A member whose name cannot be
// read is left out. A text whose quotes or brackets do not match becomes null as a whole.
func mend(text []byte, depth int) []byte {
	text = bytes.TrimSpace(text)
	if json.Valid(text) {
		return text
	}
	if len(text) < 2 || depth >= maxDepth {
		return []byte("null")
	}
	first, inner, last := text[0], text[1:len(text)-1], text[len(text)-1]
	switch {
	case first == '[' && last == ']':
		var list [][]byte
		for _, element := range split(inner, ',') {
			list = append(list, mend(element, depth+1))
		}
		return wrap('[', list, ']')
	case first == '{' && last == '}':
		var members [][]byte
		for _, member := range split(inner, ',') {
			parts := split(member, ':')
			if name := bytes.TrimSpace(parts[0]); len(parts) == 2 && bytes.HasPrefix(name, []byte{'"'}) && json.Valid(name) {
				members = append(members, append(append(bytes.Clone(name), ':'), mend(parts[1], depth+1)...))
			}
		}
		return wrap('{', members, '}')
	default:
		return []byte("null")
	}
}

// wrap joins values with commas and puts them into brackets.
func wrap(opening byte, values [][]byte, closing byte) []byte {
	return append(append([]byte{opening}, bytes.Join(values, []byte{','})...), closing)
}

// split splits a text at a separator, except within strings, arrays and objects.
func split(text []byte, separator byte) (parts [][]byte) {
	depth, start, inString, escaped := 0, 0, false, false
	for i, b := range text {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = b == '\\', b != '"'
		case b == '"':
			inString = true
		case b == '{' || b == '[':
			depth++
		case b == '}' || b == ']':
			depth--
		case b == separator && depth == 0:
			parts, start = append(parts, text[start:i]), i+1
		}
	}
	return append(parts, text[start:])
}
