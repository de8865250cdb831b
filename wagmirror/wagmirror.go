// Package wagmirror keeps a copy of objects of the platform's store, so that
// one host reads the store and the others learn from it. It does no input or
// output.
package wagmirror

import (
	"cmp"
	"slices"
)

// Revision numbers the changes of a store. It counts all changes of all
// objects; 0 comes before the first.
type Revision uint64

// Record is the state of one object at its latest change.
type Record struct {
	Kind     string
	Name     string
	Revision Revision
	// Body is the object as the store gave it; nil when Deleted.
	Body []byte
	// Deleted tells that the object is gone since Revision or earlier.
	Deleted bool
}

// Mirror holds the objects of some kinds. It is not safe for concurrent use.
type Mirror struct {
	kinds map[string]*kind
}

type kind struct {
	// complete is the revision up to which all changes are known.
	complete Revision
	// records holds the live objects and the deletions since forgotten.
	records map[string]Record
	// forgotten is the revision up to which deletions were dropped.
	forgotten Revision
	// deleted counts the deletions in records.
	deleted int
}

// maxDeleted bounds the deletions that are kept of one kind. A copy that is
// older gets a full state instead.
const maxDeleted = 1024

// New returns an empty mirror of the given kinds.
func New(kinds ...string) *Mirror {
	m := &Mirror{kinds: make(map[string]*kind)}
	for _, name := range kinds {
		m.kinds[name] = &kind{records: make(map[string]Record)}
	}
	return m
}

// Kinds returns the kinds of the mirror in order.
func (m *Mirror) Kinds() []string {
	var names []string
	for name := range m.kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// CompleteRevision returns the revision up to which all changes of a kind are known, or
// 0 when its objects were never read.
func (m *Mirror) CompleteRevision(name string) Revision {
	k, ok := m.kinds[name]
	if !ok {
		return 0
	}
	return k.complete
}

// Update is a part of the state of a store.
type Update struct {
	Kind string
	// Full tells that Records holds every object of the kind. Otherwise it holds
	// the changes after Since.
	Full  bool
	Since Revision
	// At is the revision at which the objects were read.
	At      Revision
	Records []Record
}

// Apply takes an update and returns the records that changed. It returns false
// when the update begins after what is known, so that changes are missing.
// Older states of an object never replace newer ones.
func (m *Mirror) Apply(u Update) (changed []Record, ok bool) {
	k, known := m.kinds[u.Kind]
	if !known || !u.Full && u.Since > k.complete {
		return nil, false
	}
	if u.Full && u.At < k.complete {
		return nil, true
	}
	listed := make(map[string]bool, len(u.Records))
	for _, r := range u.Records {
		listed[r.Name] = true
		if !u.Full && r.Revision <= k.complete {
			// What is complete holds this state, or a later one without the object.
			continue
		}
		if k.put(r) {
			changed = append(changed, r)
		}
	}
	if u.Full {
		changed = append(changed, k.dropUnlisted(u.Kind, listed, u.At)...)
	}
	k.complete = max(k.complete, u.At)
	k.trim()
	return changed, true
}

// put stores a record unless the known one is as new; it tells whether the
// object changed.
func (k *kind) put(r Record) bool {
	old, ok := k.records[r.Name]
	if ok && old.Revision >= r.Revision {
		return false
	}
	if !ok && r.Deleted && r.Revision <= k.forgotten {
		return false
	}
	if ok && old.Deleted {
		k.deleted--
	}
	if r.Deleted {
		k.deleted++
	}
	k.records[r.Name] = r
	return !r.Deleted || ok && !old.Deleted
}

// dropUnlisted marks the objects as deleted that a full read at a revision did
// not hold.
func (k *kind) dropUnlisted(name string, listed map[string]bool, at Revision) (changed []Record) {
	for object, r := range k.records {
		if listed[object] || r.Deleted || r.Revision > at {
			continue
		}
		gone := Record{Kind: name, Name: object, Revision: at, Deleted: true}
		k.records[object] = gone
		k.deleted++
		changed = append(changed, gone)
	}
	slices.SortFunc(changed, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return changed
}

// trim forgets the oldest deletions beyond maxDeleted.
func (k *kind) trim() {
	if k.deleted <= maxDeleted {
		return
	}
	var gone []Record
	for _, r := range k.records {
		if r.Deleted {
			gone = append(gone, r)
		}
	}
	slices.SortFunc(gone, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, r := range gone[:len(gone)-maxDeleted/2] {
		delete(k.records, r.Name)
		k.forgotten = max(k.forgotten, r.Revision)
		k.deleted--
	}
}

// UpdateSince returns what a copy needs that is complete up to a revision: the later
// changes, or the full state when deletions since were forgotten.
func (m *Mirror) UpdateSince(name string, after Revision) Update {
	k, ok := m.kinds[name]
	if !ok {
		return Update{Kind: name}
	}
	u := Update{Kind: name, Since: after, At: k.complete, Full: after < k.forgotten || after == 0}
	for _, r := range k.records {
		if u.Full && !r.Deleted || !u.Full && r.Revision > after {
			u.Records = append(u.Records, r)
		}
	}
	slices.SortFunc(u.Records, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return u
}

// LiveRecords returns the objects of a kind that exist, ordered by name.
func (m *Mirror) LiveRecords(name string) []Record {
	k, ok := m.kinds[name]
	if !ok {
		return nil
	}
	var live []Record
	for _, r := range k.records {
		if !r.Deleted {
			live = append(live, r)
		}
	}
	slices.SortFunc(live, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// Find returns an object that exists.
func (m *Mirror) Find(name, object string) (Record, bool) {
	k, ok := m.kinds[name]
	if !ok {
		return Record{}, false
	}
	r, ok := k.records[object]
	return r, ok && !r.Deleted
}
