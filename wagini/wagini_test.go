package wagini

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

type sample struct {
	count int
	wait  time.Duration
	named map[string]int
}

func sampleSchema(s *sample) []Section {
	s.named = make(map[string]int)
	return []Section{
		{Name: "main", Keys: func(string) []Key {
			return []Key{
				Int("count", "3", "", &s.count, 1, 10),
				Duration("wait", "1s", "", &s.wait, 0, time.Minute),
			}
		}},
		{Name: "item", Named: true, Keys: func(name string) []Key {
			n := 0
			k := Int("size", "1", "", &n, 0, 9)
			set := k.Set
			k.Set = func(v string) error {
				err := set(v)
				s.named[name] = n
				return err
			}
			return []Key{k}
		}},
	}
}

// Guards against texts with a fault that are accepted, and against errors that do
// not say where the fault is.
func TestDecodeErrors(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown key", "[main]\ncount = 2\ncuont = 3\n", `f.ini:3: section [main]: key cuont: value "3": unknown key (allowed: count, wait)`},
		{"unknown section", "[mian]\ncount = 2\n", `f.ini:1: section [mian]: unknown section (allowed: [main], [item "name"])`},
		{"range", "[main]\n\ncount = 11\n", `f.ini:3: section [main]: key count: value "11": out of range (allowed: a whole number from 1 to 10)`},
		{"twice", "[main]\ncount = 2\ncount = 3\n", `the key occurs twice`},
		{"same value twice", "[main]\ncount = 2\ncount = 2\n", `the key occurs twice`},
		{"section twice", "[main]\ncount = 2\n[main]\ncount = 3\n", `the section occurs twice`},
		{"no section", "count = 2\n", `a key stands before the first section`},
		{"named value", "[item \"a\"]\nsize = x\n", `f.ini:2: section [item "a"]: key size: value "x": not a whole number`},
		{"syntax", "[main]\ncount = 2\nnonsense\n", `f.ini:3: `},
		{"too long", strings.Repeat("#\n", MaxBytes), `the text is too long`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			err := Decode("f.ini", []byte(tt.text), sampleSchema(&sample{}))
			is.True(err != nil)
			if !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got %q, want it to contain %q", err, tt.want)
			}
		})
	}
}

// Guards against a section that the text omits and whose keys do not get their
// defaults, and against a named section whose value is lost.
func TestDecodeDefaults(t *testing.T) {
	is := is.New(t)
	var s sample
	is.NoErr(Decode("f.ini", []byte("[item \"b\"]\nsize = 4\n"), sampleSchema(&s)))
	is.Equal(s.count, 3)
	is.Equal(s.wait, time.Second)
	is.Equal(s.named["b"], 4)
}

// Guards against texts that make the decoder panic, and against errors that do not
// name the file.
func FuzzDecode(f *testing.F) {
	for _, text := range []string{"", "[main]\ncount = 2\n", "[item \"a\"]\nsize=1", "[", "=\n", "[main]\ncount=`", "\"\"\"", "[main]\ncount : 2 ; c"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		err := Decode("f.ini", []byte(text), sampleSchema(&sample{}))
		if err != nil && !strings.HasPrefix(err.Error(), "f.ini:") {
			t.Fatalf("error does not name the file: %v", err)
		}
	})
}
