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

// journal writes down what Follow reports.
type journal struct {
	lines    chan string
	failures chan error
}

func (j *journal) OnChange(o wagstore.Object) {
	j.lines <- fmt.Sprintf("%s=%s deleted=%t", o.Key, o.Value, o.Deleted)
}
func (j *journal) OnCaughtUp(time.Time) {}
func (j *journal) OnError(err error) {
	select {
	case j.failures <- err:
	default:
	}
}

func newJournal() *journal {
	return &journal{lines: make(chan string, 16), failures: make(chan error, 16)}
}

// Guards against changes that are lost or reordered over real HTTP, through an
// expired watch.
func TestFollowOverHTTP(t *testing.T) {
	is := is.New(t)
	s, c := serve(t, wagstore.WithWatchWait(50*time.Millisecond))
	ctx, cancel := context.WithCancel(t.Context())
	j := newJournal()
	var group errgroup.Group
	group.Go(func() error { return wagstore.Follow(ctx, c, "d/", j) })
	v, err := c.Put(ctx, "d/a", []byte("1"), "")
	is.NoErr(err)
	is.Equal(<-j.lines, "d/a=1 deleted=false")
	s.SetFaults(wagstandin.StoreFaults{ExpireWatches: 1})
	is.True(errors.Is(<-j.failures, wagstore.ErrGap))
	v, err = c.Put(ctx, "d/a", []byte("2"), v)
	is.NoErr(err)
	is.Equal(<-j.lines, "d/a=2 deleted=false")
	is.NoErr(c.Delete(ctx, "d/a", v))
	is.Equal(<-j.lines, "d/a= deleted=true")
	cancel()
	is.True(group.Wait() != nil)
}

// gapped is a store whose watches miss all changes, and whose lists can be stale.
type gapped struct {
	*wagstore.Memory
	// stale makes the lists empty.
	stale atomic.Bool
}

func (g *gapped) Watch(ctx context.Context, _ string, _ wagstore.Cursor) ([]wagstore.Object, wagstore.Cursor, error) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
	}
	return nil, "", wagstore.ErrGap
}

func (g *gapped) List(ctx context.Context, prefix string) ([]wagstore.Object, wagstore.Cursor, error) {
	if g.stale.Load() {
		return nil, "1", nil
	}
	return g.Memory.List(ctx, prefix)
}

// Guards against deletions that a gap hides, and against deletions that only a
// stale list claims. The times are virtual.
func TestFollowAcrossGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &gapped{Memory: wagstore.NewMemory()}
		v, err := g.Put(t.Context(), "d/a", []byte("1"), "")
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		j := newJournal()
		var group errgroup.Group
		group.Go(func() error { return wagstore.Follow(ctx, g, "d/", j) })
		is.Equal(<-j.lines, "d/a=1 deleted=false")
		synctest.Wait()
		g.stale.Store(true)
		time.AfterFunc(20*time.Second, func() { _ = g.Delete(context.Background(), "d/a", v) })
		began := time.Now()
		is.Equal(<-j.lines, "d/a= deleted=true")
		is.True(time.Since(began) >= 20*time.Second)
		cancel()
		_ = group.Wait()
	})
}
