package wagstore

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

// FollowHandler takes what Follow learns, in order and from one goroutine.
type FollowHandler interface {
	// OnChange takes a new state of an object. After a full read it may be older
	// than one already seen; the handler decides by its own revision.
	OnChange(o Object)
	// OnCaughtUp tells that everything up to a read that began at the given time has
	// been passed to Changed.
	OnCaughtUp(at time.Time)
	// OnError tells why the store could not be followed for now.
	OnError(err error)
}

// FollowOption sets a property of Follow.
type FollowOption func(*follower)

// WithFollowClock replaces the clock of the pauses.
func WithFollowClock(c wagclock.Clock) FollowOption {
	return func(f *follower) { f.clock = c }
}

// Follow passes the objects under a prefix and their changes to a handler until
// ctx ends. It reads all, then watches; after a failure it resumes the watch,
// and after a gap or with an invalid cursor it reads all again and reports the
// objects that are gone.
func Follow(ctx context.Context, s Store, prefix string, h FollowHandler, opts ...FollowOption) error {
	f := &follower{
		store: s, prefix: prefix, handler: h, clock: wagclock.System{},
		known: make(map[string]Version), pauses: newBackOff(100*time.Millisecond, 5*time.Second),
	}
	for _, o := range opts {
		o(f)
	}
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failed(ctx, err)
		}
	}
	return ctx.Err()
}

type follower struct {
	store   Store
	prefix  string
	handler FollowHandler
	clock   wagclock.Clock
	pauses  *backoff.ExponentialBackOff
	// known holds the versions that the handler was told of.
	known map[string]Version
	// cursor is empty when a full read is due.
	cursor Cursor
}

func (f *follower) step(ctx context.Context) error {
	began := f.clock.Now()
	if err := f.advance(ctx); err != nil {
		return err
	}
	f.pauses.Reset()
	f.handler.OnCaughtUp(began)
	return nil
}

func (f *follower) advance(ctx context.Context) error {
	if f.cursor == "" {
		return f.readAll(ctx)
	}
	objects, cursor, err := f.store.Watch(ctx, f.prefix, f.cursor)
	if err != nil {
		return err
	}
	for _, o := range objects {
		f.deliver(o)
	}
	f.cursor = cursor
	return nil
}

// failed pauses; the jitter keeps hosts apart that saw the same gap.
func (f *follower) failed(ctx context.Context, err error) {
	var malformed *InvalidResponseError
	if errors.Is(err, ErrGap) || errors.As(err, &malformed) {
		f.cursor = ""
	}
	f.handler.OnError(err)
	pause := f.pauses.NextBackOff()
	pause = pause/2 + rand.N(pause/2)
	// The end of ctx is seen by the loop of Follow.
	_ = wait(ctx, f.clock, f.clock.Now().Add(pause))
}

func (f *follower) readAll(ctx context.Context) error {
	objects, cursor, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return err
	}
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Key] = true
		f.deliver(o)
	}
	if err := f.lookAgain(ctx, listed); err != nil {
		return err
	}
	f.cursor = cursor
	return nil
}

// lookAgain reads each known object that a list does not hold, because the
// list may be older than what was seen before.
func (f *follower) lookAgain(ctx context.Context, listed map[string]bool) error {
	var missing []string
	for key := range f.known {
		if !listed[key] {
			missing = append(missing, key)
		}
	}
	sort.Strings(missing)
	for _, key := range missing {
		o, err := f.store.Get(ctx, key)
		if errors.Is(err, ErrNotFound) {
			o, err = Object{Key: key, Deleted: true}, nil
		}
		if err != nil {
			return err
		}
		f.deliver(o)
	}
	return nil
}

func (f *follower) deliver(o Object) {
	if o.Deleted {
		delete(f.known, o.Key)
		f.handler.OnChange(o)
		return
	}
	if v, ok := f.known[o.Key]; ok && v == o.Version {
		return
	}
	f.known[o.Key] = o.Version
	f.handler.OnChange(o)
}
