package wagjson

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a prune that changes what is not nested too deep.
func TestPrune(t *testing.T) {
	is := is.New(t)
	text := `{"a":"]}[{\\\"","b":[1,{"c":"\\\\"}]}`
	same, changed := prune([]byte(text))
	is.True(!changed)
	is.Equal(string(same), text)
	deep := strings.Repeat("[", maxDepth) + `[1,"]",[2]],3` + strings.Repeat("]", maxDepth)
	pruned, changed := prune([]byte(deep))
	is.True(changed)
	is.Equal(string(pruned), strings.Repeat("[", maxDepth)+"null,3"+strings.Repeat("]", maxDepth))
}

// Guards against one value with bytes that are no JSON which hides all others (review/2).
func TestUnreadableValuesAreNull(t *testing.T) {
	for odd, want := range map[string]string{
		"{\"a\":\"x\x00y\"}": `{"a":null}`, `{"a":"\q"}`: `{"a":null}`, `{"a":"\u12"}`: `{"a":null}`, `{"a":NaN}`: `{"a":null}`,
		"{\"a\":\x01}": `{"a":null}`, `{"a":01,"b":[1,tru]}`: `{"a":null,"b":[1,null]}`, `{"a":1,b:2}`: `{"a":1}`, `[1,,2]`: `[1,null,2]`,
		`{"a":}`: `{"a":null}`, `{"a":1:2,"b":"}"}`: `{"b":"}"}`, `x`: `null`,
	} {
		is := is.New(t)
		is.Equal(string(mend([]byte(odd), []string{"a", "b"}, 0)), want)
		var list []json.RawMessage
		is.NoErr(UnmarshalItems([]byte(`[{"n":1},`+odd+`,{"n":3}]`), &list, "a", "b"))
		is.Equal(len(list), 3)
		is.Equal(string(list[0])+string(list[2]), `{"n":1}{"n":3}`)
	}
	is := is.New(t)
	is.Equal(string(mend([]byte(`{"a":[}`), nil, 0)), `{"a":null}`)
	// What is left of a value that is no container may mean something else.
	is.Equal(string(mend([]byte(`{"a":[1,{"spec":{"b":[1,x],"c":2}}]}`), []string{"a"}, 0)), `{"a":[1,{"spec":null}]}`)
	var v any
	is.True(Unmarshal([]byte(`{"a":x}`), &v) != nil) // a text of one writer is sound as a whole
	is.True(UnmarshalItems([]byte(`{"a":"`), &v) != nil)
}

// Guards against a text of another writer that ends the program, that is read as something
// which is no JSON, or that changes the sound values beside it.
func FuzzUnmarshal(f *testing.F) {
	for _, seed := range []string{`{"a":[1,{"b":"c"}]}`, "\"\x00\"", `{"a":}`, `[[[[`, `"\`, `}{`, `{"a":1:2}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		mended := mend(text, []string{"a", "n"}, 0)
		if !json.Valid(mended) {
			t.Fatalf("%q becomes %q, which is no JSON", text, mended)
		}
		if json.Valid(text) && string(mended) != string(bytes.TrimSpace(text)) {
			t.Fatalf("%q is sound and becomes %q", text, mended)
		}
	})
}
