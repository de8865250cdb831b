// Package wagini decodes INI text against a schema. Unknown sections and keys are
// errors. Every error names its line, section and key and says what is allowed
// there.
package wagini

import (
	"bufio"
	"bytes"
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// MaxBytes bounds the text that Decode accepts.
const MaxBytes = 1 << 20

// Key describes one key of a section.
type Key struct {
	Name    string
	Default string
	// Allowed describes the accepted values in errors and in the reference.
	Allowed string
	Help    string
	// Set stores a value. When the value is not allowed, the error gives the reason.
	Set func(value string) error
}

// Section describes a section. A named section is written as [kind "name"] and may
// occur once for each name.
type Section struct {
	Name  string
	Help  string
	Named bool
	// Keys returns the keys that store the values of the section with the given
	// name. Decode calls it once for a plain section, with an empty name, and once
	// for each named section.
	Keys func(name string) []Key
}

// Error describes a fault in an INI text and where it is.
type Error struct {
	File    string
	Section string
	Key     string
	Value   string
	Allowed string
	Reason  string
	// Line is 0 when the fault belongs to no line.
	Line int
}

func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", e.File, e.Line)
	if e.Section != "" {
		fmt.Fprintf(&b, "section [%s]: ", e.Section)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, "key %s: value %q: ", e.Key, e.Value)
	}
	b.WriteString(e.Reason)
	if e.Allowed != "" {
		fmt.Fprintf(&b, " (allowed: %s)", e.Allowed)
	}
	return b.String()
}

// Decode stores the values of a text through the keys of a schema. Keys that the
// text omits get their defaults. The file name is used in errors only.
func Decode(file string, text []byte, schema []Section) (err error) {
	if len(text) > MaxBytes {
		return &Error{File: file, Reason: "the text is too long", Allowed: fmt.Sprintf("at most %d bytes", MaxBytes)}
	}
	f, err := parse(text)
	if err != nil {
		return &Error{File: file, Line: syntaxLine(text, err), Reason: err.Error()}
	}
	d := decoder{file: file, text: text, seen: make(map[string]bool)}
	for _, s := range f.Sections() {
		if err := d.decodeSection(s, schema); err != nil {
			return err
		}
	}
	return d.applyDefaults(schema)
}

// DecodeKnownSections stores the values of the sections that are part of a schema
// and ignores all other sections. It sets no defaults for sections that the text
// omits.
func DecodeKnownSections(file string, text []byte, schema []Section) error {
	f, err := parse(text)
	if err != nil {
		return &Error{File: file, Line: syntaxLine(text, err), Reason: err.Error()}
	}
	d := decoder{file: file, text: text, seen: make(map[string]bool)}
	for _, s := range f.Sections() {
		kind, _, named := splitHeader(s.Name())
		if _, ok := findSection(schema, kind, named); !ok {
			continue
		}
		if err := d.decodeSection(s, schema); err != nil {
			return err
		}
	}
	return nil
}

// parse splits a text into sections and keys. It keeps duplicates, so that they can
// be reported as errors.
func parse(text []byte) (*ini.File, error) {
	options := ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true, AllowNonUniqueSections: true, SpaceBeforeInlineComment: true}
	return ini.LoadSources(options, text)
}

type decoder struct {
	file string
	text []byte
	// seen holds the headers of the sections that have been decoded.
	seen map[string]bool
}

func (d *decoder) decodeSection(s *ini.Section, schema []Section) error {
	header := s.Name()
	if header == ini.DefaultSection {
		if len(s.Keys()) > 0 {
			return d.newError(header, s.Keys()[0].Name(), "", "a key stands before the first section", sectionNames(schema))
		}
		return nil
	}
	kind, name, named := splitHeader(header)
	sectionSpec, ok := findSection(schema, kind, named)
	if !ok {
		return d.newError(header, "", "", "unknown section", sectionNames(schema))
	}
	if d.seen[header] {
		return d.newError(header, "", "", "the section occurs twice", "each section once")
	}
	d.seen[header] = true
	return d.decodeKeys(header, s, sectionSpec.Keys(name))
}

func (d *decoder) decodeKeys(header string, s *ini.Section, keys []Key) error {
	known := make(map[string]bool, len(keys))
	for _, k := range keys {
		known[k.Name] = true
	}
	for _, k := range s.Keys() {
		if !known[k.Name()] {
			return d.newError(header, k.Name(), k.Value(), "unknown key", keyNames(keys))
		}
		if len(k.ValueWithShadows()) > 1 {
			return d.newError(header, k.Name(), k.Value(), "the key occurs twice", "each key once in a section")
		}
	}
	for _, k := range keys {
		value := k.Default
		if s.HasKey(k.Name) {
			value = s.Key(k.Name).Value()
		}
		if err := k.Set(value); err != nil {
			return d.newError(header, k.Name, value, err.Error(), k.Allowed)
		}
	}
	return nil
}

// applyDefaults applies the defaults of the plain sections that the text omits.
func (d *decoder) applyDefaults(schema []Section) error {
	for _, s := range schema {
		if s.Named || d.seen[s.Name] {
			continue
		}
		for _, k := range s.Keys("") {
			if err := k.Set(k.Default); err != nil {
				return d.newError(s.Name, k.Name, k.Default, err.Error(), k.Allowed)
			}
		}
	}
	return nil
}

func (d *decoder) newError(section, key, value, reason, allowed string) error {
	return &Error{
		File: d.file, Section: section, Key: key, Value: value, Reason: reason, Allowed: allowed,
		Line: LineOf(d.text, section, key),
	}
}

// LineOf returns the number of the line with a key of a section. It returns that of
// the section's header when key is empty or absent, and 0 without such a section.
func LineOf(text []byte, section, key string) int {
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, MaxBytes+1)
	inside, headerLine := section == ini.DefaultSection, 0
	for n := 1; scanner.Scan(); n++ {
		line := strings.TrimSpace(scanner.Text())
		if strings.HasPrefix(line, "[") {
			inside = strings.TrimSpace(strings.Trim(line, "[]")) == section
			if inside {
				headerLine = n
			}
			continue
		}
		name, _, found := strings.Cut(line, "=")
		if inside && found && key != "" && strings.TrimSpace(name) == key {
			return n
		}
	}
	return headerLine
}

// syntaxLine returns the number of the line that a syntax error of the INI library
// quotes, or 0.
func syntaxLine(text []byte, err error) int {
	message := errors.Cause(err).Error()
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line != "" && strings.HasSuffix(strings.TrimSpace(message), line) {
			return i + 1
		}
	}
	return 0
}

// splitHeader splits the header of a section, such as [kind "name"].
func splitHeader(header string) (kind, name string, named bool) {
	kind, rest, found := strings.Cut(header, " ")
	if !found {
		return header, "", false
	}
	return kind, strings.Trim(strings.TrimSpace(rest), `"`), true
}

func findSection(schema []Section, kind string, named bool) (Section, bool) {
	for _, s := range schema {
		if s.Name == kind && s.Named == named {
			return s, true
		}
	}
	return Section{}, false
}

func sectionNames(schema []Section) string {
	names := make([]string, 0, len(schema))
	for _, s := range schema {
		if s.Named {
			names = append(names, fmt.Sprintf("[%s \"name\"]", s.Name))
			continue
		}
		names = append(names, "["+s.Name+"]")
	}
	return strings.Join(names, ", ")
}

func keyNames(keys []Key) string {
	names := make([]string, 0, len(keys))
	for _, k := range keys {
		names = append(names, k.Name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
