package wagjson

import (
	"bytes"
	"encoding/json"
	"slices"
)

// mend returns a JSON text in which each value that cannot be read is null: an element of
// an array, or a member of an object. Only within the members that are named containers,
// and within elements, it looks for a smaller value. A member whose name cannot be read is
// left out. A text whose quotes or brackets do not match becomes null as a whole.
func mend(text []byte, containers []string, depth int) []byte {
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
			list = append(list, mend(element, containers, depth+1))
		}
		return wrap('[', list, ']')
	case first == '{' && last == '}':
		var members [][]byte
		for _, member := range split(inner, ',') {
			if mended, ok := mendMember(member, containers, depth+1); ok {
				members = append(members, mended)
			}
		}
		return wrap('{', members, '}')
	default:
		return []byte("null")
	}
}

// mendMember mends a member of an object. It returns false when the name cannot be read.
func mendMember(member []byte, containers []string, depth int) ([]byte, bool) {
	var name string
	parts := split(member, ':')
	if len(parts) != 2 || json.Unmarshal(parts[0], &name) != nil {
		return nil, false
	}
	value := []byte("null")
	if json.Valid(parts[1]) || slices.Contains(containers, name) {
		value = mend(parts[1], containers, depth)
	}
	return slices.Concat(bytes.TrimSpace(parts[0]), []byte{':'}, value), true
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
