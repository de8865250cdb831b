// Package wagstore reaches the platform's object store.
package wagstore

import (
	"context"

	"github.com/pkg/errors"
)

// MaxValueBytes is the longest value of the store in bytes.
const MaxValueBytes = 1 << 20

// Version names one state of an object. It is an opaque entity tag: versions
// are compared for equality only.
type Version string

// Cursor names a position in the changes of the store.
type Cursor string

// Object is one object of the store.
type Object struct {
	Key     string
	Value   []byte
	Version Version
	// Deleted is set only in the results of a watch.
	Deleted bool
}

// Errors of a store. Test with errors.Is.
var (
	ErrNotFound = errors.New("object not found")
	ErrConflict = errors.New("object has another version")
	// ErrUnavailable tells that the store did not take the call.
	ErrUnavailable = errors.New("store unavailable")
	// ErrTimeout tells of a read that got no answer in time.
	ErrTimeout = errors.New("store did not answer in time")
	// ErrUnknown tells that a write may or may not have taken effect.
	ErrUnknown = errors.New("outcome of the write is unknown")
	// ErrValueTooLong tells that a value exceeds MaxValue; it was not sent.
	ErrValueTooLong = errors.New("value is too long")
	// ErrGap tells that a watch missed changes; a full read has to follow.
	ErrGap = errors.New("watch missed changes")
)

// Store is the part of the object store that the product uses.
type Store interface {
	Get(ctx context.Context, key string) (Object, error)
	// Put writes a value if the object still has the expected version. With an
	// empty expected version it only creates.
	Put(ctx context.Context, key string, value []byte, expected Version) (Version, error)
	Delete(ctx context.Context, key string, expected Version) error
	// List returns the objects under a prefix, ordered by key, and the cursor
	// from which a watch continues.
	List(ctx context.Context, prefix string) ([]Object, Cursor, error)
	// Watch waits for changes after the cursor. It returns no objects when the
	// wait ends without a change.
	Watch(ctx context.Context, prefix string, since Cursor) ([]Object, Cursor, error)
}
