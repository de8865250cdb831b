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

// FollowHandler receives the changes that Follow reads, in order and from one
// goroutine.
type FollowHandler interface {
	// OnChange is called with each new state of an object. After a full read the
	// state may be older than one already passed on; the handler has to compare
	// revisions of its own.
	OnChange(o Object)
	// OnCaughtUp is called when all changes before a read that began at the given
	// time have been passed to OnChange.
	OnCaughtUp(at time.Time)
	// OnError is called when a read or a watch fails. Follow retries it.
	OnError(err error)
}

// FollowOption sets a property of one Follow.
type FollowOption func(*follower)

// WithFollowClock replaces the clock of the retry delays.
func WithFollowClock(c wagclock.Clock) FollowOption {
	return func(f *follower) { f.clock = c }
}

// Follow passes the objects under a prefix and their changes to a handler until
// ctx ends. It lists all objects and then watches. After a failure it resumes the
// watch; after a gap or an invalid response it lists all objects again and reports
// those that are gone as deleted.
func Follow(ctx context.Context, s Store, prefix string, h FollowHandler, opts ...FollowOption) error {
	f := &follower{
		store: s, prefix: prefix, handler: h, clock: wagclock.System{},
		knownVersions: make(map[string]Version), retryDelays: newBackOff(100*time.Millisecond, 5*time.Second),
	}
	for _, o := range opts {
		o(f)
	}
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.handleFailure(ctx, err)
		}
	}
	return ctx.Err()
}

// follower is the state of one Follow.
type follower struct {
	store       Store
	prefix      string
	handler     FollowHandler
	clock       wagclock.Clock
	retryDelays *backoff.ExponentialBackOff
	// knownVersions holds the versions that were passed to the handler, by key.
	knownVersions map[string]Version
	// cursor is where the watch continues; empty when a full read is due.
	cursor Cursor
}

// step makes one read or watch and reports its end to the handler.
func (f *follower) step(ctx context.Context) error {
	began := f.clock.Now()
	if err := f.readOrWatch(ctx); err != nil {
		return err
	}
	f.retryDelays.Reset()
	f.handler.OnCaughtUp(began)
	return nil
}

// readOrWatch lists all objects when that is due and watches for changes otherwise.
func (f *follower) readOrWatch(ctx context.Context) error {
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

// handleFailure waits before the next attempt. The delay has jitter, so that hosts
// that saw the same gap do not list all objects at once.
func (f *follower) handleFailure(ctx context.Context, err error) {
	var invalid *InvalidResponseError
	if errors.Is(err, ErrGap) || errors.As(err, &invalid) {
		f.cursor = ""
	}
	f.handler.OnError(err)
	delay := f.retryDelays.NextBackOff()
	delay = delay/2 + rand.N(delay/2)
	// The loop of Follow checks for the end of ctx.
	_ = waitUntil(ctx, f.clock, f.clock.Now().Add(delay))
}

// readAll lists all objects and then reads the known ones that the list lacks.
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
	if err := f.readMissing(ctx, listed); err != nil {
		return err
	}
	f.cursor = cursor
	return nil
}

// readMissing reads each known object that is not listed: the list may be stale, so
// that its absence does not prove a deletion.
func (f *follower) readMissing(ctx context.Context, listed map[string]bool) error {
	var missing []string
	for key := range f.knownVersions {
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

// deliver passes the state of an object to the handler unless its version is known.
func (f *follower) deliver(o Object) {
	if o.Deleted {
		delete(f.knownVersions, o.Key)
		f.handler.OnChange(o)
		return
	}
	if v, ok := f.knownVersions[o.Key]; ok && v == o.Version {
		return
	}
	f.knownVersions[o.Key] = o.Version
	f.handler.OnChange(o)
}
