package wagtrace

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const header = `{"type":"header","service":"s","dataCentres":["a","b"],"links":[{"a":"a","b":"b","delayMicros":3000}],"callerDelayMicros":1000,"hostDelayMicros":100,"serverDelayMicros":100,"servers":[{"name":"x","dataCentre":"a","slots":2}]}` + "\n"

// Guards against fields that are written but not read, and against generated
// traces that depend on anything but their seed.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, kind := range Kinds() {
		a, err := Generate(kind, "ordering", 7, WithLength(time.Second))
		is.NoErr(err)
		b, err := Generate(kind, "ordering", 7, WithLength(time.Second))
		is.NoErr(err)
		is.Equal(a, b)
		var text bytes.Buffer
		is.NoErr(Write(&text, a))
		read, err := Read("t", &text)
		is.NoErr(err)
		is.Equal(read, a)
	}
}

// Guards against generated services with other sizes than those of the users.
func TestSizes(t *testing.T) {
	is := is.New(t)
	sizes := map[string][3]int{"lot-desk": {4, 20, 6}, "assay-house": {4, 10, 6}, "ordering": {3, 15, 2}, "pattern-library": {3, 13, 2}}
	for name, want := range sizes {
		g, err := Generate(SteadyNoise, name, 1, WithLength(time.Second))
		is.NoErr(err)
		is.Equal([3]int{len(g.Header.DataCentres), len(g.Header.Servers), g.Header.Servers[0].Slots}, want)
	}
	_, err := Generate("nothing", "ordering", 1)
	is.True(err != nil)
	_, err = Generate(SteadyNoise, "nothing", 1)
	is.True(err != nil)
}

// Guards against bad traces that are accepted, and against errors without line
// and field.
func TestReadErrors(t *testing.T) {
	request := `{"type":"call","atMicros":5,"caller":"c","route":"r","serviceMicros":10,"deadlineMicros":100,"dataCentre":"a"}` + "\n"
	tests := []struct{ name, text, want string }{
		{"empty", "", "f:0: field type: the header line is missing"},
		{"no header", request, "f:1: field type: the first line must be the header"},
		{"twice", header + header, "f:2: field type: the header occurs twice"},
		{"type", header + `{"type":"x"}`, "f:2: field type: unknown type"},
		{"unknown", header + `{"type":"call","atMicros":1,"size":2}`, "f:2: field size: unknown field"},
		{"kind of value", header + `{"type":"call","atMicros":"1"}`, "f:2: field atMicros: the value is a string"},
		{"centre", header + strings.Replace(request, `:"a"}`, `:"z"}`, 1), "f:2: field dataCentre: unknown data centre"},
		{"negative", header + strings.Replace(request, ":10,", ":-1,", 1), "f:2: field serviceMicros: -1 is out of range"},
		{"class", header + strings.Replace(request, `"route"`, `"class":"fast","route"`, 1), "f:2: field class: unknown class"},
		{"order", header + request + strings.Replace(request, ":5,", ":4,", 1), "f:3: field atMicros: the request is before"},
		{"server", header + `{"type":"fault","kind":"slow","server":"y","fromMicros":0,"untilMicros":1,"factor":2}`, "f:2: field server: unknown server"},
		{"factor", header + `{"type":"fault","kind":"slow","server":"x","fromMicros":0,"untilMicros":1}`, "f:2: field factor: 0 is out of range"},
		{"fault kind", header + `{"type":"fault","kind":"odd","fromMicros":0,"untilMicros":1}`, "f:2: field kind: unknown kind"},
		{"span", header + `{"type":"fault","kind":"down","server":"x","fromMicros":2,"untilMicros":1}`, "f:2: field untilMicros: the fault ends"},
		{"slots", strings.Replace(header, `"slots":2`, `"slots":0`, 1), "f:1: field servers.slots: 0 is out of range"},
		{"not JSON", header + "{", "f:2: "},
		{"two values", header + strings.TrimSpace(request) + request, "f:2: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Read("f", strings.NewReader(tt.text))
			if err == nil || !strings.HasPrefix(err.Error(), tt.want) {
				t.Fatalf("got %v, want %q", err, tt.want)
			}
		})
	}
}

// Guards against panics, errors without file and line, and traces that cannot be
// read after they are written.
func FuzzRead(f *testing.F) {
	f.Add(header)
	f.Add(header + `{"type":"call","atMicros":5,"caller":"c","route":"r","serviceMicros":10,"deadlineMicros":100,"dataCentre":"a"}`)
	f.Add(header + `{"type":"fault","kind":"cold","server":"x","fromMicros":1,"untilMicros":9,"factor":2}`)
	f.Add(`{"type":"header","service":"s","dataCentres":[""]}`)
	f.Fuzz(func(t *testing.T, text string) {
		trace, err := Read("f", strings.NewReader(text))
		if err != nil {
			if !strings.HasPrefix(err.Error(), "f:") {
				t.Fatalf("error without file and line: %v", err)
			}
			return
		}
		var out bytes.Buffer
		if err := Write(&out, trace); err != nil {
			t.Fatal(err)
		}
		if _, err := Read("f", &out); err != nil {
			t.Fatalf("cannot read the written trace: %v", err)
		}
	})
}
