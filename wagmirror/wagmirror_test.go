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

// Guards against an object that reverts to an older state, or reappears after its
// deletion, when an older update of another host arrives after a newer one of the
// store.
func TestOlderStateIsIgnored(t *testing.T) {
	is := is.New(t)
	m := New(testKind)
	_, ok := m.Apply(Update{Kind: testKind, Full: true, At: 10, Records: []Record{record("a", 9, false)}})
	is.True(ok)
	changed, ok := m.Apply(Update{Kind: testKind, Since: 4, At: 8, Records: []Record{record("a", 6, false), record("b", 7, false)}})
	is.True(ok)
	is.Equal(len(changed), 0) // the list at revision 10 lacks b, so b was deleted after 7
	is.Equal(m.Complete(testKind).Revision, Revision(10))
	changed, ok = m.Apply(Update{Kind: testKind, Full: true, At: 5})
	is.True(ok)
	is.Equal(len(changed), 0) // an older list deletes nothing
	_, found := m.Find(testKind, "a")
	is.True(found)
}

// Guards against losing the changes between the copy and an update that begins after
// its revision.
func TestGapIsRejected(t *testing.T) {
	is := is.New(t)
	m := New(testKind)
	_, ok := m.Apply(Update{Kind: testKind, Since: 3, At: 4, Records: []Record{record("a", 4, false)}})
	is.True(!ok)
	_, ok = m.Apply(Update{Kind: "unknown", Full: true, At: 4})
	is.True(!ok)
	is.Equal(m.Complete(testKind).Revision, Revision(0))
}

// Guards against an object that remains although a full update lacks it, and against
// one that reappears with a delayed update from before its deletion.
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

// Guards against copies that differ from the original after updates in any order,
// and against deletions that are dropped too early.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original, copies := New(testKind), []*Mirror{New(testKind), New(testKind)}
		original.Apply(Update{Kind: testKind, Full: true, At: 1})
		revision := Revision(1)
		var delayed []Update
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			revision++
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
			r := record(name, revision, rapid.Bool().Draw(t, "deleted"))
			original.Apply(Update{Kind: testKind, Since: revision - 1, At: revision, Records: []Record{r}})
			target := copies[rapid.IntRange(0, 1).Draw(t, "copy")]
			u := original.UpdateSince(testKind, target.Complete(testKind))
			if rapid.Bool().Draw(t, "delayed") {
				delayed = append(delayed, u)
				continue
			}
			target.Apply(u)
		}
		for _, u := range delayed {
			copies[0].Apply(u)
			copies[1].Apply(u)
		}
		for _, c := range copies {
			c.Apply(original.UpdateSince(testKind, c.Complete(testKind)))
			want, got := original.LiveRecords(testKind), c.LiveRecords(testKind)
			if len(want) != len(got) {
				t.Fatalf("copy has %d objects, original has %d", len(got), len(want))
			}
			for i := range want {
				if want[i].Name != got[i].Name || want[i].Revision != got[i].Revision {
					t.Fatalf("copy has %s@%d, original has %s@%d", got[i].Name, got[i].Revision, want[i].Name, want[i].Revision)
				}
			}
		}
	})
}

// Guards against a mirror that grows with every deleted object, and against a copy
// that misses deletions which were dropped.
func TestDroppedDeletionsNeedFullUpdate(t *testing.T) {
	is := is.New(t)
	m, old := New(testKind), New(testKind)
	m.Apply(Update{Kind: testKind, Full: true, At: 1, Records: []Record{record("first", 1, false)}})
	old.Apply(m.UpdateSince(testKind, Position{}))
	revision := Revision(1)
	for i := range 2 * maxDeletions {
		name := fmt.Sprintf("s%d", i)
		if i == 0 {
			name = "first"
		}
		m.Apply(Update{Kind: testKind, Since: revision, At: revision + 1, Records: []Record{record(name, revision+1, false)}})
		m.Apply(Update{Kind: testKind, Since: revision + 1, At: revision + 2, Records: []Record{record(name, revision+2, true)}})
		revision += 2
	}
	is.True(len(m.kinds[testKind].records) <= maxDeletions+1)
	u := m.UpdateSince(testKind, old.Complete(testKind))
	is.True(u.Full)
	_, ok := old.Apply(u)
	is.True(ok)
	is.Equal(len(old.LiveRecords(testKind)), 0)
}
