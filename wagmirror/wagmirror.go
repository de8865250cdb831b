// Package wagmirror keeps a copy of the objects of the platform's store, so that one
// host can read the store and pass the changes on to the others. It does no I/O.
package wagmirror

import (
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
	// completeRevision is the revision up to which all changes are known.
	completeRevision Revision
	// records holds the live objects and the deletions that were not dropped, by name.
	records map[string]Record
	// droppedRevision is the revision up to which deletions may have been dropped.
	droppedRevision Revision
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

// CompleteRevision returns the revision up to which all changes of a kind are known, or
// 0 when its objects were never read.
func (m *Mirror) CompleteRevision(kindName string) Revision {
	k, ok := m.kinds[kindName]
	if !ok {
		return 0
	}
	return k.completeRevision
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

// Apply adds an update to the copy and returns the records that changed. It returns
// false when changes between the copy and the update are missing, or when the mirror
// does not hold the kind. An older state of an object never replaces a newer one.
func (m *Mirror) Apply(u Update) (changed []Record, ok bool) {
	k, known := m.kinds[u.Kind]
	if !known || !u.Full && u.Since > k.completeRevision {
		return nil, false
	}
	if u.Full && u.At < k.completeRevision {
		return nil, true
	}
	listed := make(map[string]bool, len(u.Records))
	for _, r := range u.Records {
		listed[r.Name] = true
		if !u.Full && r.Revision <= k.completeRevision {
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
	k.completeRevision = max(k.completeRevision, u.At)
	k.dropOldDeletions()
	return changed, true
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

// UpdateSince returns the update for a copy that is complete up to a revision: the
// later changes, or all objects when deletions since then may have been dropped.
func (m *Mirror) UpdateSince(kindName string, after Revision) Update {
	k, ok := m.kinds[kindName]
	if !ok {
		return Update{Kind: kindName}
	}
	u := Update{Kind: kindName, Since: after, At: k.completeRevision, Full: after < k.droppedRevision || after == 0}
	for _, r := range k.records {
		if u.Full && !r.Deleted || !u.Full && r.Revision > after {
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
