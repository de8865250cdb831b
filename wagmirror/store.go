package wagmirror

import (
	"context"
	"time"
)

// Store is a store whose objects can be mirrored.
type Store interface {
	// List reads all objects of a kind.
	List(ctx context.Context, kind string) (Update, error)
	// Watch waits until a deadline for changes after a revision. It returns an
	// update without records when there were none, and wagstore.ErrGap when the
	// store no longer has the changes, so that the objects have to be listed again.
	Watch(ctx context.Context, kind string, after Revision, until time.Time) (Update, error)
	// Ping checks with the cheapest request whether the store responds.
	Ping(ctx context.Context) error
}
