// Package wagstore is a client of the object store that the hosts share.
package wagstore

import (
	"context"

	"github.com/pkg/errors"
)

// MaxValueBytes bounds the value of an object.
const MaxValueBytes = 1 << 20

// Version identifies one state of an object. It is an opaque entity tag: versions
// are compared for equality only.
type Version string

// Cursor is a position in the sequence of changes of the store.
type Cursor string

// Object is one object of the store.
type Object struct {
	Key     string
	Value   []byte
	Version Version
	// Deleted is set for a removed object, which only a watch returns.
	Deleted bool
}

// Errors of a store, to be compared with errors.Is.
var (
	// ErrNotFound means that there is no object with the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object does not have the expected version.
	ErrConflict = errors.New("object has another version")
	// ErrUnavailable means that the store did not process the request.
	ErrUnavailable = errors.New("store unavailable")
	// ErrTimeout means that a read got no response in time.
	ErrTimeout = errors.New("store did not answer in time")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.New("outcome of the write is unknown")
	// ErrValueTooLong means that a value exceeds MaxValueBytes and was not sent.
	ErrValueTooLong = errors.New("value is too long")
	// ErrGap means that a watch missed changes, so that all objects have to be
	// listed again.
	ErrGap = errors.New("watch missed changes")
)

// Store is an object store with conditional writes and a watch.
type Store interface {
	// Get reads an object.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes a value if the object still has the expected version, and returns
	// the new one. With an empty expected version it only creates an object.
	Put(ctx context.Context, key string, value []byte, expected Version) (Version, error)
	// Delete removes an object that still has the expected version.
	Delete(ctx context.Context, key string, expected Version) error
	// List returns the objects under a prefix, ordered by key, and the cursor
	// at which a watch continues.
	List(ctx context.Context, prefix string) ([]Object, Cursor, error)
	// Watch waits for changes after the cursor. It returns no objects when the
	// wait ends without a change.
	Watch(ctx context.Context, prefix string, since Cursor) ([]Object, Cursor, error)
}
