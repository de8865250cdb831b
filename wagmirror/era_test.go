package wagmirror

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against changes of a new era that are taken for known ones of a former era, and
// against objects that the copy of the store lacks.
func TestNewEraReplacesAllObjects(t *testing.T) {
	is := is.New(t)
	m := New(testKind)
	m.Apply(Update{Kind: testKind, Era: 1, Full: true, At: 9, Records: []Record{record("a", 3, false), record("b", 7, false), record("c", 9, false)}})
	_, ok := m.Apply(Update{Kind: testKind, Era: 2, Since: 9, At: 10, Records: []Record{record("b", 10, false)}})
	is.True(!ok) // what comes before it is not known
	rewritten := record("b", 7, false)
	rewritten.Body = []byte("rewritten")
	changed, ok := m.Apply(Update{Kind: testKind, Era: 2, Full: true, At: 7, Records: []Record{record("a", 3, false), rewritten}})
	is.True(ok)
	is.Equal(len(changed), 2)
	is.Equal(string(changed[0].Body), "rewritten")
	is.True(changed[1].Deleted && changed[1].Name == "c")
	is.Equal(m.Complete(testKind), Position{Era: 2, Revision: 7})
	changed, _ = m.Apply(Update{Kind: testKind, Era: 1, Full: true, At: 12, Records: []Record{record("d", 12, false)}})
	is.Equal(len(changed), 0) // of a former era
	u := m.UpdateSince(testKind, Position{Era: 1, Revision: 9})
	is.True(u.Full && u.Era == 2 && len(u.Records) == 2)
}

