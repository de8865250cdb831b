package wagmirror

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
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

// Guards against a deletion between the first lists of two copies that neither passes on.
func TestDeletionBeforeFirstList(t *testing.T) {
	is := is.New(t)
	older, newer := New(testKind), New(testKind)
	older.Apply(Update{Kind: testKind, Full: true, At: 5, Records: []Record{record("a", 2, false), record("b", 3, false)}})
	newer.Apply(Update{Kind: testKind, Full: true, At: 6, Records: []Record{record("b", 3, false)}}) // a was deleted at 6
	older.Apply(newer.UpdateSince(testKind, older.Complete(testKind)))
	is.Equal(len(older.LiveRecords(testKind)), 1)
}

// Guards against copies that differ from the store after it has come back from copies of
// itself, whichever updates of other copies arrive late.
func TestCopiesConvergeOverEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, copies := map[string]Record{}, []*Mirror{New(testKind), New(testKind)}
		position := Position{Era: 1, Revision: 1}
		list := func() Update {
			u := Update{Kind: testKind, Era: position.Era, Full: true, At: position.Revision}
			for _, r := range store {
				u.Records = append(u.Records, r)
			}
			return u
		}
		for _, m := range copies {
			m.Apply(list())
		}
		saved, savedRevision := map[string]Record{}, position.Revision
		var delayed []Update
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			target := copies[rapid.IntRange(0, 1).Draw(t, "copy")]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				saved, savedRevision = map[string]Record{}, position.Revision
				for name, r := range store {
					saved[name] = r
				}
			case 1:
				store, position = map[string]Record{}, Position{Era: position.Era + 1, Revision: savedRevision}
				for name, r := range saved {
					store[name] = r
				}
			case 2:
				target.Apply(list())
			case 3:
				u := copies[0].UpdateSince(testKind, target.Complete(testKind))
				delayed = append(delayed, u)
			case 4:
				target.Apply(copies[1].UpdateSince(testKind, target.Complete(testKind)))
			default:
				known := position
				position.Revision++
				r := record(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"), position.Revision, rapid.Bool().Draw(t, "deleted"))
				if r.Deleted {
					delete(store, r.Name)
				} else {
					r.Body = []byte(fmt.Sprint("step ", step))
					store[r.Name] = r
				}
				if target.Complete(testKind) == known {
					target.Apply(Update{Kind: testKind, Era: position.Era, Since: known.Revision, At: position.Revision, Records: []Record{r}})
				}
			}
		}
		for _, u := range delayed {
			copies[0].Apply(u)
			copies[1].Apply(u)
		}
		copies[0].Apply(list())
		copies[1].Apply(copies[0].UpdateSince(testKind, copies[1].Complete(testKind)))
		for _, m := range copies {
			live := m.LiveRecords(testKind)
			if len(live) != len(store) {
				t.Fatalf("copy has %d objects, the store has %d", len(live), len(store))
			}
			for _, r := range live {
				if string(store[r.Name].Body) != string(r.Body) {
					t.Fatalf("copy has %s %q, the store has %q", r.Name, r.Body, store[r.Name].Body)
				}
			}
		}
	})
}
