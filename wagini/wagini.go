// Package wagini decodes INI text against a schema. Unknown sections and keys
// are errors, and every error names the place and what is allowed there.
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
	// Allowed states the accepted values for messages and the reference.
	Allowed string
	Help    string
	// Set stores a value and reports why it is not allowed.
	Set func(value string) error
}

// Section describes a section. A named section is written as [kind "name"] and
// may occur any number of times.
type Section struct {
	Name  string
	Help  string
	Named bool
	// Keys returns the keys that store into the section called name. It is
	// called once for a plain section, and once for each named one.
	Keys func(name string) []Key
}

// Error tells where a text is wrong.
type Error struct {
	File    string
	Section string
	Key     string
	Value   string
	Allowed string
	Reason  string
	// Line is 0 when the text has no line for the fault.
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

// Decode stores the values of text through the schema. Keys that are absent
// get their defaults.
func Decode(file string, text []byte, schema []Section) (err error) {
	if len(text) > MaxBytes {
		return &Error{File: file, Reason: "the text is too long", Allowed: fmt.Sprintf("at most %d bytes", MaxBytes)}
	}
	f, err := read(text)
	if err != nil {
		return &Error{File: file, Line: syntaxLine(text, err), Reason: err.Error()}
	}
	d := decoder{file: file, text: text, seen: make(map[string]bool)}
	for _, s := range f.Sections() {
		if err := d.section(s, schema); err != nil {
			return err
		}
	}
	return d.absent(schema)
}

// DecodeKnownSections stores the values of the sections of a schema and passes over all
// other sections.
func DecodeKnownSections(file string, text []byte, schema []Section) error {
	f, err := read(text)
	if err != nil {
		return &Error{File: file, Line: syntaxLine(text, err), Reason: err.Error()}
	}
	d := decoder{file: file, text: text, seen: make(map[string]bool)}
	for _, s := range f.Sections() {
		kind, _, named := splitHeader(s.Name())
		if _, ok := find(schema, kind, named); !ok {
			continue
		}
		if err := d.section(s, schema); err != nil {
			return err
		}
	}
	return nil
}

// read splits a text into sections and keys and keeps duplicates, so that they
// can be reported.
func read(text []byte) (*ini.File, error) {
	options := ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true, AllowNonUniqueSections: true, SpaceBeforeInlineComment: true}
	return ini.LoadSources(options, text)
}

type decoder struct {
	file string
	text []byte
	// seen holds the headers of the sections already decoded.
	seen map[string]bool
}

func (d *decoder) section(s *ini.Section, schema []Section) error {
	header := s.Name()
	if header == ini.DefaultSection {
		if len(s.Keys()) > 0 {
			return d.fault(header, s.Keys()[0].Name(), "", "a key stands before the first section", sectionNames(schema))
		}
		return nil
	}
	kind, name, named := splitHeader(header)
	spec, ok := find(schema, kind, named)
	if !ok {
		return d.fault(header, "", "", "unknown section", sectionNames(schema))
	}
	if d.seen[header] {
		return d.fault(header, "", "", "the section occurs twice", "each section once")
	}
	d.seen[header] = true
	return d.keys(header, s, spec.Keys(name))
}

func (d *decoder) keys(header string, s *ini.Section, keys []Key) error {
	known := make(map[string]bool, len(keys))
	for _, k := range keys {
		known[k.Name] = true
	}
	for _, k := range s.Keys() {
		if !known[k.Name()] {
			return d.fault(header, k.Name(), k.Value(), "unknown key", keyNames(keys))
		}
		if len(k.ValueWithShadows()) > 1 {
			return d.fault(header, k.Name(), k.Value(), "the key occurs twice", "each key once in a section")
		}
	}
	for _, k := range keys {
		value := k.Default
		if s.HasKey(k.Name) {
			value = s.Key(k.Name).Value()
		}
		if err := k.Set(value); err != nil {
			return d.fault(header, k.Name, value, err.Error(), k.Allowed)
		}
	}
	return nil
}

// absent applies the defaults of the plain sections that the text omits.
func (d *decoder) absent(schema []Section) error {
	for _, s := range schema {
		if s.Named || d.seen[s.Name] {
			continue
		}
		for _, k := range s.Keys("") {
			if err := k.Set(k.Default); err != nil {
				return d.fault(s.Name, k.Name, k.Default, err.Error(), k.Allowed)
			}
		}
	}
	return nil
}

func (d *decoder) fault(section, key, value, reason, allowed string) error {
	return &Error{
		File: d.file, Section: section, Key: key, Value: value, Reason: reason, Allowed: allowed,
		Line: LineOf(d.text, section, key),
	}
}

// LineOf returns the line of a section's key, or of the section's header when
// key is empty or absent, or 0.
func LineOf(text []byte, section, key string) int {
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, MaxBytes+1)
	inside, header := section == ini.DefaultSection, 0
	for n := 1; scanner.Scan(); n++ {
		line := strings.TrimSpace(scanner.Text())
		if strings.HasPrefix(line, "[") {
			inside = strings.TrimSpace(strings.Trim(line, "[]")) == section
			if inside {
				header = n
			}
			continue
		}
		name, _, found := strings.Cut(line, "=")
		if inside && found && key != "" && strings.TrimSpace(name) == key {
			return n
		}
	}
	return header
}

// syntaxLine finds the line that a syntax error of the INI library quotes.
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

func splitHeader(header string) (kind, name string, named bool) {
	kind, rest, found := strings.Cut(header, " ")
	if !found {
		return header, "", false
	}
	return kind, strings.Trim(strings.TrimSpace(rest), `"`), true
}

func find(schema []Section, kind string, named bool) (Section, bool) {
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
