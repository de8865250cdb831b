package wagpublish

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagstore"
)

// Guards against an epoch that changes when a document is updated, which would end
// the terms of all callers, and against one that stays the same after a deletion,
// which would make old terms valid again.
func TestEpochOfDocuments(t *testing.T) {
	is := is.New(t)
	ctx, store := context.Background(), wagstore.NewMemory()
	now := time.Unix(1e9, 0)
	p := New(store, "tests", func() time.Time { return now })
	put := func(lines string) (number, epoch int64) {
		now = now.Add(time.Second)
		c, err := p.Prepare(ctx, "lots.ini", []byte("[service]\nname = lots\n"+lines))
		is.NoErr(err)
		r, err := p.Commit(ctx, c)
		is.NoErr(err)
		return r.Document.Revision.Number, r.Document.Revision.Epoch
	}
	created, epoch := put("")
	is.Equal(epoch, created)
	for _, lines := range []string{"slots = 3\n", "slots = 4\n", "deleted = true\n"} {
		number, epoch := put(lines)
		is.True(number > created)
		is.Equal(epoch, created)
	}
	recreated, epoch := put("slots = 4\n")
	is.Equal(epoch, recreated)
	o, err := store.Get(ctx, DocumentPrefix+"lots")
	is.NoErr(err)
	is.NoErr(store.Delete(ctx, o.Key, o.Version))
	restored, epoch := put("slots = 4\n")
	is.Equal(epoch, restored)
}
