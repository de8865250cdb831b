// Package wagjson decodes JSON of writers that are not trusted.
package wagjson

import "encoding/json"

// maxDepth is the nesting depth of arrays and objects that is kept of a text with
// deeper ones. No object of the platform's store is nested half as deep.
const maxDepth = 32

// Unmarshal decodes JSON like json.Unmarshal, but reads arrays and objects that
// are nested too deep as null. encoding/json rejects a whole text because of one such
// value, and with it all other objects of a list.
func Unmarshal(data []byte, v any) error {
	err := json.Unmarshal(data, v)
	if err == nil {
		return nil
	}
	if pruned, changed := prune(data); changed {
		return json.Unmarshal(pruned, v)
	}
	return err
}

// UnmarshalItems decodes a text that contains the items of several writers. Beside what
// Unmarshal does, it reads values whose bytes are no JSON as null, so that one item hides
// no other. The containers are the names of the members in which items are; any other
// member is null as a whole when a part of it cannot be read, because what is left of it
// may mean something else. A text that is null as a whole then is an error.
func UnmarshalItems(data []byte, v any, containers ...string) error {
	err := Unmarshal(data, v)
	if err == nil || json.Valid(data) {
		return err
	}
	pruned, _ := prune(data)
	mended := mend(pruned, containers, 0)
	if string(mended) == "null" {
		return err
	}
	return json.Unmarshal(mended, v)
}

// prune replaces the arrays and objects of a JSON text that are nested deeper than
// maxDepth by null. Its result is valid JSON only if the text is.
func prune(data []byte) (pruned []byte, changed bool) {
	pruned = make([]byte, 0, len(data))
	depth, inString, escaped := 0, false, false
	for _, b := range data {
		keep := depth <= maxDepth
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = b == '\\', b != '"'
		case b == '"':
			inString = true
		case b == '{' || b == '[':
			depth++
			if depth == maxDepth+1 {
				pruned, changed = append(pruned, "null"...), true
			}
			keep = depth <= maxDepth
		case b == '}' || b == ']':
			depth--
		}
		if keep {
			pruned = append(pruned, b)
		}
	}
	return pruned, changed
}
