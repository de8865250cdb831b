// Package wagmirror keeps a copy of the objects of the platform's store, so that one
// host can read the store and pass the changes on to the others. It does no I/O.
package wagmirror

import (
	"bytes"
	"cmp"
	"slices"
)

// Revision is the sequence number of a change. A store counts the changes of all its
// objects together; 0 means no change yet.
type Revision uint64

// Era counts how often the store has come back from a copy of itself. A store gives out
// the revisions after the copy again then, so that revisions of different eras cannot be
// compared. It is 0 at a store that states none.
type Era uint64

// Position identifies a state of the store. Positions are ordered by era, and within an era
// by revision. The zero value comes before all states.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare returns -1, 0 or 1 if p is earlier than q, equal to it, or later.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is earlier than q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// LaterPosition returns the later one of two positions.
func LaterPosition(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// Record is the state of one object at its latest change.
type Record struct {
	Kind     string
	Name     string
	Revision Revision
	// Body is the object as the store returned it; nil when Deleted is set.
	Body []byte
	// Deleted means that the object was deleted at Revision or earlier.
	Deleted bool
}

// Mirror is a copy of the objects of some kinds. It is not safe for concurrent use.
type Mirror struct {
	kinds map[string]*kind
}

// kind is the copy of the objects of one kind.
type kind struct {
	// complete is the position up to which all changes are known.
	complete Position
	// records holds the live objects and the deletions that were not dropped, by name. All
	// are of the era of complete.
	records map[string]Record
	// droppedRevision is the revision up to which deletions of the era may be missing in
	// records.
	droppedRevision Revision
	// A full update shows no objects that were made and deleted between the copy and the
	// update. Their deletions are missing for copies after gapFrom and before gapTo.
	gapFrom, gapTo Revision
	// deletions is the number of deletions in records.
	deletions int
}

// maxDeletions bounds the deletions that are kept of one kind. A copy that lacks
// dropped deletions needs a full update.
const maxDeletions = 1024

// New returns an empty mirror of the given kinds.
func New(kinds ...string) *Mirror {
	m := &Mirror{kinds: make(map[string]*kind)}
	for _, kindName := range kinds {
		m.kinds[kindName] = &kind{records: make(map[string]Record)}
	}
	return m
}

// Kinds returns the kinds of the mirror in alphabetical order.
func (m *Mirror) Kinds() []string {
	var names []string
	for name := range m.kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Complete returns the position up to which all changes of a kind are known, or the zero
// value when its objects were never read.
func (m *Mirror) Complete(kindName string) Position {
	k, ok := m.kinds[kindName]
	if !ok {
		return Position{}
	}
	return k.complete
}

// Update holds the objects of one kind, or their changes after a revision.
type Update struct {
	Kind string
	// From is who sent the update, for the log: a host, or empty for the store.
	From string
	// Era is the era of the store in which the objects were read.
	Era Era
	// Full means that Records holds every object of the kind. Otherwise it holds the
	// changes after Since.
	Full  bool
	Since Revision
	// At is the revision at which the objects were read.
	At      Revision
	Records []Record
}

// Position returns the position of a copy to which the update was applied.
func (u Update) Position() Position { return Position{Era: u.Era, Revision: u.At} }

// Apply adds an update to the copy and returns the records that changed. It returns
// false when changes between the copy and the update are missing, as after a change of the
// era unless the update is full, or when the mirror does not hold the kind. An older state
// of an object never replaces a newer one of the same era, and nothing of a former era is
// applied.
func (m *Mirror) Apply(u Update) (changed []Record, ok bool) {
	k, known := m.kinds[u.Kind]
	if !known {
		return nil, false
	}
	switch isNewEra := u.Era > k.complete.Era; {
	case u.Era < k.complete.Era, u.Full && u.Position().Before(k.complete):
		return nil, true
	case !u.Full && (isNewEra || u.Since > k.complete.Revision):
		return nil, false
	case isNewEra:
		return k.replace(u), true
	}
	if u.Full {
		k.recordGap(u.At)
	}
	listed := make(map[string]bool, len(u.Records))
	for _, r := range u.Records {
		listed[r.Name] = true
		if !u.Full && r.Revision <= k.complete.Revision {
			// The copy already includes this change, or the object was deleted since.
			continue
		}
		if k.put(r) {
			changed = append(changed, r)
		}
	}
	if u.Full {
		changed = append(changed, k.markUnlistedDeleted(u.Kind, listed, u.At)...)
	}
	k.complete = LaterPosition(k.complete, u.Position())
	k.dropOldDeletions()
	return changed, true
}

// recordGap records that a full update at a revision is applied.
func (k *kind) recordGap(at Revision) {
	switch {
	case k.complete.Revision == 0:
		k.droppedRevision = at
	case at <= k.complete.Revision:
	case k.gapTo == 0:
		k.gapFrom, k.gapTo = k.complete.Revision, at
	default:
		k.gapTo = at
	}
}

// replace replaces all objects by those of a full update of a later era. Revisions were
// given out again, so that two records are the same only if their bodies are, too. Objects
// that are missing in the update count as deleted.
func (k *kind) replace(u Update) (changed []Record) {
	former := k.records
	k.records, k.deletions = make(map[string]Record, len(u.Records)), 0
	k.complete, k.droppedRevision = u.Position(), u.At
	k.gapFrom, k.gapTo = 0, 0
	for _, r := range u.Records {
		old, ok := former[r.Name]
		if !ok || old.Deleted || old.Revision != r.Revision || !bytes.Equal(old.Body, r.Body) {
			changed = append(changed, r)
		}
		k.records[r.Name] = r
	}
	var removed []Record
	for name, old := range former {
		if _, ok := k.records[name]; !ok && !old.Deleted {
			removed = append(removed, Record{Kind: u.Kind, Name: name, Revision: u.At, Deleted: true})
		}
	}
	slices.SortFunc(removed, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return append(changed, removed...)
}

// put stores a record unless the known one is as new. It reports whether the object
// changed.
func (k *kind) put(r Record) bool {
	old, ok := k.records[r.Name]
	if ok && old.Revision >= r.Revision {
		return false
	}
	if !ok && r.Deleted && r.Revision <= k.droppedRevision {
		return false
	}
	if ok && old.Deleted {
		k.deletions--
	}
	if r.Deleted {
		k.deletions++
	}
	k.records[r.Name] = r
	return !r.Deleted || ok && !old.Deleted
}

// markUnlistedDeleted marks the objects as deleted that a full update at a revision
// does not list.
func (k *kind) markUnlistedDeleted(kindName string, listed map[string]bool, at Revision) (changed []Record) {
	for name, r := range k.records {
		if listed[name] || r.Deleted || r.Revision > at {
			continue
		}
		removed := Record{Kind: kindName, Name: name, Revision: at, Deleted: true}
		k.records[name] = removed
		k.deletions++
		changed = append(changed, removed)
	}
	slices.SortFunc(changed, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return changed
}

// dropOldDeletions drops the oldest deletions when there are more than maxDeletions,
// so that half of that number remains.
func (k *kind) dropOldDeletions() {
	if k.deletions <= maxDeletions {
		return
	}
	var deletedRecords []Record
	for _, r := range k.records {
		if r.Deleted {
			deletedRecords = append(deletedRecords, r)
		}
	}
	slices.SortFunc(deletedRecords, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, r := range deletedRecords[:len(deletedRecords)-maxDeletions/2] {
		delete(k.records, r.Name)
		k.droppedRevision = max(k.droppedRevision, r.Revision)
		k.deletions--
	}
}

// UpdateSince returns the update for a copy that is complete up to a position: the later
// changes, or all objects when deletions since then may be missing or when the copy is of
// another era.
func (m *Mirror) UpdateSince(kindName string, after Position) Update {
	k, ok := m.kinds[kindName]
	if !ok {
		return Update{Kind: kindName}
	}
	u := Update{
		Kind: kindName, Era: k.complete.Era, Since: after.Revision, At: k.complete.Revision,
		Full: after.Era != k.complete.Era || after.Revision < k.droppedRevision || after.Revision == 0 ||
			after.Revision > k.gapFrom && after.Revision < k.gapTo,
	}
	for _, r := range k.records {
		if u.Full && !r.Deleted || !u.Full && r.Revision > after.Revision {
			u.Records = append(u.Records, r)
		}
	}
	slices.SortFunc(u.Records, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return u
}

// LiveRecords returns the objects of a kind that exist, ordered by name.
func (m *Mirror) LiveRecords(kindName string) []Record {
	k, ok := m.kinds[kindName]
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

// Find returns an object, and false when it does not exist.
func (m *Mirror) Find(kindName, name string) (Record, bool) {
	k, ok := m.kinds[kindName]
	if !ok {
		return Record{}, false
	}
	r, ok := k.records[name]
	return r, ok && !r.Deleted
}
