// Package wagsync keeps a host's copy of the objects of the platform's store. The
// host follows the store itself, or takes changes from other hosts.
package wagsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

const (
	// watchTime is how long a watch waits while nothing is known to have changed;
	// the platform permits 30 s. Silent connections are found by keep-alive probes
	// before.
	watchTime = 25 * time.Second
	// pulseTime is how long a watch waits that shows whether the store has changed.
	// A store that drops its history was seen to keep changes from waiting watches
	// for a second and longer; a watch that begins later shows the gap. Changes
	// have to be in force within 2 s.
	pulseTime = 600 * time.Millisecond
	// settleTime is how long short watches go on after a change of the store, so
	// that a change that was kept back is found.
	settleTime = 1500 * time.Millisecond
	// watchPause is the least time between two watches of a kind, so that a series
	// of changes costs few calls. It is a tenth of the time within which a change
	// has to be in force.
	watchPause = 200 * time.Millisecond
	// loadDelay is how long a start waits for what other hosts know; up to twice as
	// long, so that a host that starts a little later learns from the first one. A
	// start asks a seed and then a host of its data centre, which takes 20 to 50 ms.
	loadDelay = 50 * time.Millisecond
	// loadRetry bounds the pause before the first read is repeated.
	loadRetry = 400 * time.Millisecond
	// pingTime is the time between two pings of the store by a host that did not
	// reach it and does not follow it. A ping costs a tenth of another call.
	pingTime = time.Second
	// disconnectFailures is how many calls in a row have to fail until a host counts as
	// one that does not reach the store. The store may cut a watch off that waits.
	disconnectFailures = 2
	// firstRetry and lastRetry bound the pauses while the store fails.
	firstRetry = 150 * time.Millisecond
	lastRetry  = time.Second
)

// ChangeHandler is told the records that changed, one call at a time.
type ChangeHandler func(records []wagmirror.Record)

// Sync holds the copy. It is safe for concurrent use.
type Sync struct {
	store   wagmirror.Store
	clock   wagclock.Clock
	log     logrus.FieldLogger
	changed ChangeHandler
	// wake is signalled when following begins.
	wake chan struct{}

	// delivery is held while changes are passed on, so that they keep their order.
	// It is taken before mu.
	delivery sync.Mutex

	mu     sync.Mutex
	mirror *wagmirror.Mirror
	// following is set while this host follows the store; stop ends the calls
	// that are under way.
	following context.Context
	stop      context.CancelFunc
	// kinds holds the state of following each kind. pulse is the kind whose watches
	// are short.
	kinds map[string]*followed
	pulse string
	// head is the latest revision of the store that an answer told.
	head wagmirror.Revision
	// heard is when another host last knew the copy to be complete.
	heard time.Time
	// disconnected tells that this host does not reach the store. It stays set while the
	// host does not follow the store, until a ping succeeds.
	disconnected bool
}

// followed is the state of following one kind.
type followed struct {
	// listed tells that the copy is complete up to its revision, so that a watch
	// continues it.
	listed bool
	// watching tells that a watch is under way, which confirms the copy until it
	// fails.
	watching bool
	// confirmed is when the latest call ended well.
	confirmed time.Time
	// failures counts the calls in a row that got no answer.
	failures int
	// restless is until when watches are short, because the store has changed.
	restless time.Time
	// seen is the head for which restless was set.
	seen wagmirror.Revision
	// cut ends the watch that is under way.
	cut context.CancelFunc
}

// Option sets a property of a Sync.
type Option func(*Sync)

// WithClock replaces the clock.
func WithClock(c wagclock.Clock) Option { return func(s *Sync) { s.clock = c } }

// WithLog replaces the standard logger.
func WithLog(l logrus.FieldLogger) Option { return func(s *Sync) { s.log = l } }

// New returns an empty copy of some kinds of objects. The first kind is watched
// most closely.
func New(store wagmirror.Store, changed ChangeHandler, kinds []string, opts ...Option) *Sync {
	s := &Sync{
		store: store, clock: wagclock.System{}, log: logrus.StandardLogger(), changed: changed,
		wake: make(chan struct{}), mirror: wagmirror.New(kinds...), kinds: make(map[string]*followed), pulse: kinds[0],
	}
	for _, kind := range kinds {
		s.kinds[kind] = &followed{}
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetFollowing sets whether this host follows the store.
func (s *Sync) SetFollowing(ctx context.Context, follow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if follow == (s.following != nil) {
		return
	}
	if !follow {
		s.stop()
		s.following = nil
		s.log.Info("the store is followed by another host")
		return
	}
	s.following, s.stop = context.WithCancel(ctx)
	for kind, f := range s.kinds {
		// A watch continues from what other hosts told.
		f.listed = s.mirror.CompleteRevision(kind) > 0
	}
	close(s.wake)
	s.wake = make(chan struct{})
	s.log.Info("this host follows the store")
}

// Run follows the store whenever that is wanted, until ctx ends.
func (s *Sync) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error {
		s.load(ctx)
		return nil
	})
	g.Go(func() error {
		s.awaitReturn(ctx)
		return nil
	})
	for kind, f := range s.kinds {
		g.Go(func() error {
			for ctx.Err() == nil {
				if following := s.awaitFollowing(ctx); following != nil {
					s.follow(following, kind, f)
				}
			}
			return nil
		})
	}
	return g.Wait()
}

// load reads the objects once after a start, unless other hosts have told of them
// by then. When all hosts of a site start together, none of them can.
func (s *Sync) load(ctx context.Context) {
	next := s.clock.Now().Add(loadDelay + rand.N(loadDelay))
	for wagclock.Wait(ctx, s.clock, next) && !s.IsFollowing() {
		missing := s.missing()
		if len(missing) == 0 {
			return
		}
		var g errgroup.Group
		for _, kind := range missing {
			g.Go(func() error {
				u, err := s.store.List(ctx, kind)
				if err == nil {
					s.Apply(u)
				}
				return err
			})
		}
		if err := g.Wait(); err != nil {
			s.log.WithError(err).Info("the first read of the store failed")
		}
		next = s.clock.Now().Add(loadRetry/2 + rand.N(loadRetry/2))
	}
}

// awaitReturn finds out when the store can be reached again, while this host does not
// follow it.
func (s *Sync) awaitReturn(ctx context.Context) {
	for wagclock.Wait(ctx, s.clock, s.clock.Now().Add(pingTime)) {
		if s.IsFollowing() || !s.IsDisconnected() {
			continue
		}
		if err := s.store.Ping(ctx); err != nil {
			continue
		}
		s.mu.Lock()
		s.reconnected()
		s.mu.Unlock()
	}
}

// reconnected notes that the store answered; s.mu is held.
func (s *Sync) reconnected() {
	if s.disconnected {
		s.log.Info("the store is in reach again")
	}
	s.disconnected = false
}

// missing returns the kinds whose objects are not known.
func (s *Sync) missing() (kinds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, kind := range s.mirror.Kinds() {
		if s.mirror.CompleteRevision(kind) == 0 {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// HasUnreadKinds tells whether objects of some kind are not known yet.
func (s *Sync) HasUnreadKinds() bool { return len(s.missing()) > 0 }

// awaitFollowing returns the context under which the store is followed.
func (s *Sync) awaitFollowing(ctx context.Context) context.Context {
	s.mu.Lock()
	following, wake := s.following, s.wake
	s.mu.Unlock()
	if following != nil {
		return following
	}
	select {
	case <-wake:
	case <-ctx.Done():
	}
	return nil
}

// follow keeps one kind in step until ctx ends.
func (s *Sync) follow(ctx context.Context, kind string, f *followed) {
	retries := backoff.NewExponentialBackOff()
	retries.InitialInterval, retries.MaxInterval, retries.RandomizationFactor = firstRetry, lastRetry, 0
	for ctx.Err() == nil {
		began := s.clock.Now()
		err := s.step(ctx, kind, f)
		s.mu.Lock()
		f.watching = false
		s.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			s.succeeded(kind, f)
			retries.Reset()
			wagclock.Wait(ctx, s.clock, began.Add(watchPause))
			continue
		}
		s.failed(kind, f, err)
		wait := retries.NextBackOff()
		wagclock.Wait(ctx, s.clock, s.clock.Now().Add(wait/2+rand.N(wait/2)))
	}
}

func (s *Sync) succeeded(kind string, f *followed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.confirmed = s.clock.Now()
	if f.failures > 0 {
		s.log.WithField("kind", kind).Info("the store answers again")
	}
	f.failures = 0
	s.reconnected()
}

func (s *Sync) failed(kind string, f *followed, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, wagstore.ErrGap) {
		f.listed, f.failures = false, 0
		s.reconnected()
		s.log.WithField("kind", kind).Info("the store has dropped its history; the objects are read again")
		return
	}
	f.failures++
	if f.failures == 1 {
		s.log.WithError(err).WithField("kind", kind).Warning("the store does not answer")
	}
	if f.failures >= disconnectFailures || errors.Is(err, wagstore.ErrTimeout) {
		s.disconnected = true
	}
}

// step makes one call to the store.
func (s *Sync) step(ctx context.Context, kind string, f *followed) error {
	s.mu.Lock()
	listed, after := f.listed, s.mirror.CompleteRevision(kind)
	// A watch that follows a failure does not confirm anything while it waits.
	f.watching = listed && f.failures == 0
	s.mu.Unlock()
	if !listed {
		u, err := s.store.List(ctx, kind)
		if err != nil {
			return err
		}
		s.Apply(u)
		s.mu.Lock()
		f.listed = true
		s.mu.Unlock()
		return nil
	}
	u, err := s.watch(ctx, kind, f, after)
	if err != nil {
		return err
	}
	if len(u.Records) == 0 {
		// Changes may have been kept back, so that the next watch begins at the same
		// revision again.
		u.At = after
	}
	s.Apply(u)
	return nil
}

// watch makes one watch.
func (s *Sync) watch(ctx context.Context, kind string, f *followed, after wagmirror.Revision) (wagmirror.Update, error) {
	watching, cut := context.WithCancel(ctx)
	defer cut()
	s.mu.Lock()
	now := s.clock.Now()
	until := now.Add(watchTime)
	switch {
	case f.failures > 0:
		until = now
	case kind == s.pulse || now.Before(f.restless):
		until = now.Add(pulseTime)
	default:
		f.cut = cut
	}
	s.mu.Unlock()
	u, err := s.store.Watch(watching, kind, after, until)
	s.mu.Lock()
	defer s.mu.Unlock()
	f.cut = nil
	if err != nil && watching.Err() != nil && ctx.Err() == nil {
		// A short watch follows.
		return wagmirror.Update{Kind: kind, Since: after, At: after}, nil
	}
	if err == nil {
		s.advance(u.At)
	}
	return u, err
}

// advance notes the revision of the store. Kinds that did not tell of a change
// up to it are watched closely for a while; s.mu is held.
func (s *Sync) advance(head wagmirror.Revision) {
	s.head = max(s.head, head)
	for kind, f := range s.kinds {
		if f.seen >= s.head || s.mirror.CompleteRevision(kind) >= s.head {
			continue
		}
		f.seen, f.restless = s.head, s.clock.Now().Add(settleTime)
		if f.cut != nil {
			f.cut()
		}
	}
}

// Apply takes an update of the store or of another host. It returns false when
// changes before it are missing.
func (s *Sync) Apply(u wagmirror.Update) bool {
	s.delivery.Lock()
	defer s.delivery.Unlock()
	s.mu.Lock()
	records, ok := s.mirror.Apply(u)
	s.mu.Unlock()
	if len(records) > 0 {
		s.changed(records)
	}
	return ok
}

// RecordPeerConfirmation notes that another host knew the copy to be complete at a time.
func (s *Sync) RecordPeerConfirmation(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.heard) {
		s.heard = at
	}
}

// ConfirmedAt returns when the copy was last known to be complete, or the zero
// time.
func (s *Sync) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wagclock.Later(s.ownLocked(), s.heard)
}

// PeerConfirmedAt returns when another host last knew the copy to be complete, or the
// zero time.
func (s *Sync) PeerConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard
}

// ownLocked returns the earliest confirmation of all kinds; s.mu is held.
func (s *Sync) ownLocked() (own time.Time) {
	first := true
	for _, f := range s.kinds {
		at := f.confirmed
		if f.watching && s.following != nil {
			at = s.clock.Now()
		}
		if first || at.Before(own) {
			own = at
		}
		first = false
	}
	return own
}

// IsDisconnected tells whether this host is known not to reach the store.
func (s *Sync) IsDisconnected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disconnected
}

// IsFollowing tells whether this host follows the store.
func (s *Sync) IsFollowing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.following != nil
}

// CompleteRevisions returns the revision up to which all changes of each kind are known.
func (s *Sync) CompleteRevisions() map[string]wagmirror.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	complete := make(map[string]wagmirror.Revision)
	for kind := range s.kinds {
		complete[kind] = s.mirror.CompleteRevision(kind)
	}
	return complete
}

// UpdateSince returns what a copy lacks that is complete up to a revision.
func (s *Sync) UpdateSince(kind string, after wagmirror.Revision) wagmirror.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirror.UpdateSince(kind, after)
}

// LiveRecords returns the objects of a kind that exist.
func (s *Sync) LiveRecords(kind string) []wagmirror.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirror.LiveRecords(kind)
}
