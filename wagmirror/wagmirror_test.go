package wagmirror

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testKind = "servers"

func record(name string, revision Revision, deleted bool) Record {
	r := Record{Kind: testKind, Name: name, Revision: revision, Deleted: deleted}
	if !deleted {
		r.Body = []byte(fmt.Sprintf("%s@%d", name, revision))
	}
	return r
}

// Guards against an object that goes back to an older state, or comes back after
// its deletion, when an update of another host arrives after a newer one of the
// store.
func TestOlderStateIsIgnored(t *testing.T) {
	is := is.New(t)
	m := New(testKind)
	_, ok := m.Apply(Update{Kind: testKind, Full: true, At: 10, Records: []Record{record("a", 9, false)}})
	is.True(ok)
	changed, ok := m.Apply(Update{Kind: testKind, Since: 4, At: 8, Records: []Record{record("a", 6, false), record("b", 7, false)}})
	is.True(ok)
	is.Equal(len(changed), 0) // without b at revision 10, b was deleted since 7
	is.Equal(m.CompleteRevision(testKind), Revision(10))
	changed, ok = m.Apply(Update{Kind: testKind, Full: true, At: 5})
	is.True(ok)
	is.Equal(len(changed), 0) // a list that is older deletes nothing
	_, found := m.Find(testKind, "a")
	is.True(found)
}

// Guards against changes that are lost because an update begins after what is
// known.
func TestGapIsRefused(t *testing.T) {
	is := is.New(t)
	m := New(testKind)
	_, ok := m.Apply(Update{Kind: testKind, Since: 3, At: 4, Records: []Record{record("a", 4, false)}})
	is.True(!ok)
	_, ok = m.Apply(Update{Kind: "unknown", Full: true, At: 4})
	is.True(!ok)
	is.Equal(m.CompleteRevision(testKind), Revision(0))
}

// Guards against a server that stays listed although a full read no longer holds
// it, and against one that comes back from a late update of before its deletion.
func TestFullReadDeletes(t *testing.T) {
	is := is.New(t)
	m := New(testKind)
	m.Apply(Update{Kind: testKind, Full: true, At: 5, Records: []Record{record("a", 2, false), record("b", 5, false)}})
	changed, _ := m.Apply(Update{Kind: testKind, Full: true, At: 9, Records: []Record{record("b", 5, false)}})
	is.Equal(len(changed), 1)
	is.True(changed[0].Deleted && changed[0].Name == "a")
	m.Apply(Update{Kind: testKind, Since: 1, At: 2, Records: []Record{record("a", 2, false)}})
	_, found := m.Find(testKind, "a")
	is.True(!found)
	is.Equal(len(m.LiveRecords(testKind)), 1)
}

// Guards against copies that differ from the original after any exchange of
// updates in any order, and against deletions that are forgotten too early.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original, copies := New(testKind), []*Mirror{New(testKind), New(testKind)}
		original.Apply(Update{Kind: testKind, Full: true, At: 1})
		revision := Revision(1)
		var late []Update
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			revision++
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
			r := record(name, revision, rapid.Bool().Draw(t, "deleted"))
			original.Apply(Update{Kind: testKind, Since: revision - 1, At: revision, Records: []Record{r}})
			to := copies[rapid.IntRange(0, 1).Draw(t, "copy")]
			u := original.UpdateSince(testKind, to.CompleteRevision(testKind))
			if rapid.Bool().Draw(t, "delayed") {
				late = append(late, u)
				continue
			}
			to.Apply(u)
		}
		for _, u := range late {
			copies[0].Apply(u)
			copies[1].Apply(u)
		}
		for _, c := range copies {
			c.Apply(original.UpdateSince(testKind, c.CompleteRevision(testKind)))
			want, got := original.LiveRecords(testKind), c.LiveRecords(testKind)
			if len(want) != len(got) {
				t.Fatalf("a copy holds %d objects, the original %d", len(got), len(want))
			}
			for i := range want {
				if want[i].Name != got[i].Name || want[i].Revision != got[i].Revision {
					t.Fatalf("a copy holds %s@%d, the original %s@%d", got[i].Name, got[i].Revision, want[i].Name, want[i].Revision)
				}
			}
		}
	})
}

// Guards against a mirror that grows with every server that ever left, and against
// a copy that misses deletions which were forgotten.
func TestForgottenDeletionsNeedFullState(t *testing.T) {
	is := is.New(t)
	m, old := New(testKind), New(testKind)
	m.Apply(Update{Kind: testKind, Full: true, At: 1, Records: []Record{record("first", 1, false)}})
	old.Apply(m.UpdateSince(testKind, 0))
	revision := Revision(1)
	for i := range 2 * maxDeleted {
		name := fmt.Sprintf("s%d", i)
		if i == 0 {
			name = "first"
		}
		m.Apply(Update{Kind: testKind, Since: revision, At: revision + 1, Records: []Record{record(name, revision+1, false)}})
		m.Apply(Update{Kind: testKind, Since: revision + 1, At: revision + 2, Records: []Record{record(name, revision+2, true)}})
		revision += 2
	}
	is.True(len(m.kinds[testKind].records) <= maxDeleted+1)
	u := m.UpdateSince(testKind, old.CompleteRevision(testKind))
	is.True(u.Full)
	_, ok := old.Apply(u)
	is.True(ok)
	is.Equal(len(old.LiveRecords(testKind)), 0)
}
