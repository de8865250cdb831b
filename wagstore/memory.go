package wagstore

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"sync"
)

// maxChanges bounds the changes that a Memory keeps for watches.
const maxChanges = 4096

var _ Store = (*Memory)(nil)

// Memory is a store in memory. It is the reference for the semantics of Store.
type Memory struct {
	mu      sync.Mutex
	objects map[string]Object
	// revision counts the changes and never decreases.
	revision uint64
	// changes holds the latest changes; the last one made the current revision.
	changes []Object
	// changed is closed and replaced at every change.
	changed chan struct{}
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: make(map[string]Object), changed: make(chan struct{})}
}

// Get returns an object.
func (m *Memory) Get(_ context.Context, key string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return Object{}, ErrNotFound
	}
	return o, nil
}

// Put writes an object that still has the expected version.
func (m *Memory) Put(_ context.Context, key string, value []byte, expected Version) (Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version != expected {
		return "", ErrConflict
	}
	o := Object{Key: key, Value: append([]byte(nil), value...)}
	return m.apply(o), nil
}

// Delete removes an object that still has the expected version.
func (m *Memory) Delete(_ context.Context, key string, expected Version) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return ErrNotFound
	}
	if o.Version != expected {
		return ErrConflict
	}
	m.apply(Object{Key: key, Deleted: true})
	return nil
}

// apply records a change and returns its version; m.mu is held.
func (m *Memory) apply(o Object) Version {
	m.revision++
	o.Version = Version(strconv.FormatUint(m.revision, 10))
	m.objects[o.Key] = o
	if o.Deleted {
		delete(m.objects, o.Key)
	}
	m.changes = append(m.changes, o)
	if len(m.changes) > maxChanges {
		m.changes = append([]Object(nil), m.changes[len(m.changes)-maxChanges:]...)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return o.Version
}

// List returns the objects under a prefix.
func (m *Memory) List(_ context.Context, prefix string) ([]Object, Cursor, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var objects []Object
	for key, o := range m.objects {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, o)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
	return objects, m.cursor(), nil
}

// cursor returns the position after the latest change; m.mu is held.
func (m *Memory) cursor() Cursor {
	return Cursor(strconv.FormatUint(m.revision, 10))
}

// Watch waits for a change under a prefix or the end of ctx.
func (m *Memory) Watch(ctx context.Context, prefix string, since Cursor) ([]Object, Cursor, error) {
	for {
		objects, cursor, changed, err := m.changesSince(prefix, since)
		if err != nil || len(objects) > 0 {
			return objects, cursor, err
		}
		since = cursor
		select {
		case <-ctx.Done():
			return nil, since, nil
		case <-changed:
		}
	}
}

// changesSince returns the changes under a prefix since a cursor, the current
// cursor, and a channel that is closed at the next change.
func (m *Memory) changesSince(prefix string, since Cursor) ([]Object, Cursor, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from, err := strconv.ParseUint(string(since), 10, 64)
	oldest := m.revision - uint64(len(m.changes))
	if err != nil || from < oldest || from > m.revision {
		return nil, since, nil, ErrGap
	}
	var objects []Object
	for _, o := range m.changes[from-oldest:] {
		if strings.HasPrefix(o.Key, prefix) {
			objects = append(objects, o)
		}
	}
	return objects, m.cursor(), m.changed, nil
}
