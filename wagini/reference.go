package wagini

import (
	"fmt"
	"strings"
)

// Reference returns the Markdown tables that describe a schema.
func Reference(schema []Section) string {
	var b strings.Builder
	for _, s := range schema {
		header := "[" + s.Name + "]"
		if s.Named {
			header = fmt.Sprintf("[%s \"name\"]", s.Name)
		}
		fmt.Fprintf(&b, "## %s\n\n%s\n\n| key | default | allowed | meaning |\n|---|---|---|---|\n", header, s.Help)
		for _, k := range s.Keys("") {
			preset := "empty"
			if k.Default != "" {
				preset = "`" + k.Default + "`"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", k.Name, preset, k.Allowed, k.Help)
		}
		b.WriteString("\n")
	}
	return b.String()
}

// Format returns the values of a text as INI, with the defaults of all keys that
// the text omits.
func Format(text []byte, schema []Section) (string, error) {
	values, err := read(text)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	for _, s := range schema {
		if s.Named {
			continue
		}
		fmt.Fprintf(&b, "[%s]\n", s.Name)
		for _, k := range s.Keys("") {
			value := k.Default
			if section, err := values.GetSection(s.Name); err == nil && section.HasKey(k.Name) {
				value = section.Key(k.Name).Value()
			}
			fmt.Fprintf(&b, "# %s Allowed: %s.\n%s = %s\n", k.Help, k.Allowed, k.Name, value)
		}
		b.WriteString("\n")
	}
	return b.String(), nil
}
