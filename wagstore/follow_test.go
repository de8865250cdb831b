package wagstore_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagstandin"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// eventRecorder records the events of Follow.
type eventRecorder struct {
	lines    chan string
	failures chan error
}

func (r *eventRecorder) OnChange(o wagstore.Object) {
	r.lines <- fmt.Sprintf("%s=%s deleted=%t", o.Key, o.Value, o.Deleted)
}
func (r *eventRecorder) OnCaughtUp(time.Time) {}
func (r *eventRecorder) OnError(err error) {
	select {
	case r.failures <- err:
	default:
	}
}

func newEventRecorder() *eventRecorder {
	return &eventRecorder{lines: make(chan string, 16), failures: make(chan error, 16)}
}

// Guards against changes that are lost or reordered over HTTP, also when a watch
// expires.
func TestFollowOverHTTP(t *testing.T) {
	is := is.New(t)
	s, c := startStore(t, wagstore.WithWatchWait(50*time.Millisecond))
	ctx, cancel := context.WithCancel(t.Context())
	r := newEventRecorder()
	var group errgroup.Group
	group.Go(func() error { return wagstore.Follow(ctx, c, "d/", r) })
	v, err := c.Put(ctx, "d/a", []byte("1"), "")
	is.NoErr(err)
	is.Equal(<-r.lines, "d/a=1 deleted=false")
	s.SetFaults(wagstandin.StoreFaults{ExpireWatches: 1})
	is.True(errors.Is(<-r.failures, wagstore.ErrGap))
	v, err = c.Put(ctx, "d/a", []byte("2"), v)
	is.NoErr(err)
	is.Equal(<-r.lines, "d/a=2 deleted=false")
	is.NoErr(c.Delete(ctx, "d/a", v))
	is.Equal(<-r.lines, "d/a= deleted=true")
	cancel()
	is.True(group.Wait() != nil)
}

// gapStore is a store whose watches always end with ErrGap, and whose lists can be
// stale.
type gapStore struct {
	*wagstore.Memory
	// stale makes the lists empty.
	stale atomic.Bool
}

func (g *gapStore) Watch(ctx context.Context, _ string, _ wagstore.Cursor) ([]wagstore.Object, wagstore.Cursor, error) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
	}
	return nil, "", wagstore.ErrGap
}

func (g *gapStore) List(ctx context.Context, prefix string) ([]wagstore.Object, wagstore.Cursor, error) {
	if g.stale.Load() {
		return nil, "1", nil
	}
	return g.Memory.List(ctx, prefix)
}

// Guards against deletions that are missed during a gap, and against reporting an
// object as deleted because a stale list lacks it.
func TestFollowAfterGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &gapStore{Memory: wagstore.NewMemory()}
		v, err := g.Put(t.Context(), "d/a", []byte("1"), "")
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		r := newEventRecorder()
		var group errgroup.Group
		group.Go(func() error { return wagstore.Follow(ctx, g, "d/", r) })
		is.Equal(<-r.lines, "d/a=1 deleted=false")
		synctest.Wait()
		g.stale.Store(true)
		time.AfterFunc(20*time.Second, func() { _ = g.Delete(context.Background(), "d/a", v) })
		began := time.Now()
		is.Equal(<-r.lines, "d/a= deleted=true")
		is.True(time.Since(began) >= 20*time.Second)
		cancel()
		_ = group.Wait()
	})
}
