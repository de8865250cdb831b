package wagjson

import (
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
