// Package wagsync keeps a host's copy of the objects of the platform's store up to
// date. The host follows the store itself or receives the changes from other hosts.
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
	"golang.org/x/time/rate"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagpanic"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

const (
	// longWatchTimeout bounds a watch while no change is known to be missing. The
	// platform permits 30 s. Keep-alive probes detect a dead connection earlier.
	longWatchTimeout = 25 * time.Second
	// shortWatchTimeout bounds a watch that checks whether the store has changed. A
	// store that drops its history may withhold changes from the watches that wait,
	// for a second or longer; a watch that begins later reports the gap. Changes have
	// to be in force within 2 s.
	shortWatchTimeout = 600 * time.Millisecond
	// shortWatchDuration is how long short watches are used after a change of the
	// store, so that a change that it withheld is found.
	shortWatchDuration = 1500 * time.Millisecond
	// minWatchInterval is the least time between two watches of a kind, so that a
	// series of changes needs few requests. It is a tenth of the time within which a
	// change has to be in force.
	minWatchInterval = 200 * time.Millisecond
	// pingInterval is the time between two pings of the store by a disconnected host
	// that does not follow it. A ping costs a tenth of another request.
	pingInterval = time.Second
	// disconnectFailures is the number of failed requests in a row from which a host counts
	// as disconnected. A single one may be a watch that the store aborted.
	disconnectFailures = 2
	// firstRetryDelay and maxRetryDelay are the first and the longest delay between
	// requests while the store fails.
	firstRetryDelay = 150 * time.Millisecond
	maxRetryDelay   = time.Second
)

// Change holds the records of a kind that an update has changed. The first change of a
// kind in an era follows a list; it may hold no records.
type Change struct {
	Kind    string
	Records []wagmirror.Record
	// From is the host that sent the update, or empty for the store.
	From string
	Era  wagmirror.Era
}

// ChangeHandler is called with each change. Calls do not overlap.
type ChangeHandler func(c Change)

// Sync keeps a copy of the store's objects up to date. It is safe for concurrent use.
type Sync struct {
	store wagmirror.Store
	clock wagclock.Clock
	// gaps notices when this host stood still; nil if it does not matter.
	gaps     *wagclock.Gaps
	log      logrus.FieldLogger
	onChange ChangeHandler
	// followingStarted is closed and replaced when this host starts to follow.
	followingStarted chan struct{}

	// deliveryMu is held while changes are passed to onChange, so that they keep their
	// order. It is locked before mu.
	deliveryMu sync.Mutex

	mu     sync.Mutex
	mirror *wagmirror.Mirror
	// followCtx is set while this host follows the store; stopFollowing cancels it and
	// with it the requests in flight.
	followCtx     context.Context
	stopFollowing context.CancelFunc
	// kinds holds the state of following each kind.
	kinds map[string]*kindState
	// primaryKind is the kind whose watches are always short.
	primaryKind string
	// storePosition is the latest position that the store reported to this host.
	storePosition wagmirror.Position
	// droppedLog limits the lines about dropped updates, and droppedUpdates counts them.
	droppedLog     *rate.Limiter
	droppedUpdates uint64
	// startedAt is when Run was called.
	startedAt time.Time
	// peerConfirmed is when the copy was last complete according to other hosts.
	peerConfirmed time.Time
	// onConfirmed is called after the store has confirmed the copy to this host.
	onConfirmed func()
	// expectation returns whether another host will send the objects, so that the first
	// read of the store can wait.
	expectation func() Expectation
	// linkDelay, connectionDelay and transferDelay are how long after the start the first
	// read waits with ExpectLink, ExpectConnection and ExpectTransfer. With ExpectLink, it
	// waits for minLinkDelay and a random part if that is longer.
	linkDelay, connectionDelay, transferDelay time.Duration
	// disconnected means that this host does not reach the store. While the host does
	// not follow the store, it stays set until a ping succeeds.
	disconnected bool
}

// kindState is the state of following one kind.
type kindState struct {
	// canWatch means that the copy is complete up to its revision, so that a watch can
	// continue from there.
	canWatch bool
	// answered means that the store has answered a request for the kind since this host
	// began to follow it, or since a watch was cancelled. Until then requests do not wait
	// for changes, so that they confirm the copy at once.
	answered bool
	// covered is the position of the store up to which all changes of the kind are known
	// from its own responses.
	covered wagmirror.Position
	// confirmedAt is the latest time at which the copy is proven to have been complete: a
	// response of the store for any kind showed that it had no newer revision. A request
	// in flight proves nothing.
	confirmedAt time.Time
	// failures counts the failed requests in a row.
	failures int
	// shortWatchesUntil is when the short watches end that follow a change of the store.
	shortWatchesUntil time.Time
	// shortWatchesFor is the storePosition for which shortWatchesUntil was set.
	shortWatchesFor wagmirror.Position
	// cancelWatch ends a long watch that is in flight; nil when there is none. interrupt ends
	// any watch.
	cancelWatch, interrupt context.CancelFunc
}

// Option sets a property of a Sync.
type Option func(*Sync)

// WithClock replaces the clock.
func WithClock(c wagclock.Clock) Option { return func(s *Sync) { s.clock = c } }

// WithGaps sets what notices that this host stood still. What it knew before is then as
// old as the gap is long, and a response that arrived meanwhile confirms nothing.
func WithGaps(g *wagclock.Gaps) Option { return func(s *Sync) { s.gaps = g } }

// WithLog replaces the standard logger.
func WithLog(l logrus.FieldLogger) Option { return func(s *Sync) { s.log = l } }

// New returns an empty copy of some kinds of objects. The first kind is always watched
// with short watches, which also show changes of the others.
func New(store wagmirror.Store, onChange ChangeHandler, kinds []string, opts ...Option) *Sync {
	s := &Sync{
		store: store, clock: wagclock.System{}, log: logrus.StandardLogger(), onChange: onChange, droppedLog: newDroppedLog(),
		followingStarted: make(chan struct{}), mirror: wagmirror.New(kinds...), kinds: make(map[string]*kindState), primaryKind: kinds[0],
		onConfirmed: func() {}, expectation: func() Expectation { return ExpectNothing }, connectionDelay: connectionDelay, transferDelay: transferDelay,
	}
	for _, kind := range kinds {
		s.kinds[kind] = &kindState{}
	}
	for _, o := range opts {
		o(s)
	}
	if s.gaps != nil {
		s.gaps.OnGap(s.handleGap)
	}
	return s
}

// SetFollowing starts or stops following the store. The end of ctx stops it as well.
func (s *Sync) SetFollowing(ctx context.Context, follow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if follow == (s.followCtx != nil) {
		return
	}
	if !follow {
		s.stopFollowing()
		s.followCtx = nil
		s.log.Info("the store is followed by another host")
		return
	}
	s.followCtx, s.stopFollowing = context.WithCancel(ctx)
	for kind, f := range s.kinds {
		// A watch continues from the updates of other hosts.
		f.canWatch, f.answered = s.mirror.Complete(kind).Revision > 0, false
	}
	close(s.followingStarted)
	s.followingStarted = make(chan struct{})
	s.log.Info("this host follows the store")
}

// Run follows the store while SetFollowing says so, until ctx ends.
func (s *Sync) Run(ctx context.Context) error {
	s.mu.Lock()
	s.startedAt = s.clock.Now()
	s.mu.Unlock()
	var g errgroup.Group
	g.Go(func() error {
		s.readAtStart(ctx)
		return nil
	})
	g.Go(func() error {
		s.pingWhileDisconnected(ctx)
		return nil
	})
	for kind, f := range s.kinds {
		g.Go(func() error {
			for ctx.Err() == nil {
				if followCtx := s.awaitFollowing(ctx); followCtx != nil {
					s.followKind(followCtx, kind, f)
				}
			}
			return nil
		})
	}
	return g.Wait()
}

// pingWhileDisconnected pings the store while this host is disconnected from it and
// does not follow it.
func (s *Sync) pingWhileDisconnected(ctx context.Context) {
	for wagclock.Wait(ctx, s.clock, s.clock.Now().Add(pingInterval)) {
		if s.IsFollowing() || !s.IsDisconnected() {
			continue
		}
		if err := wagpanic.Catch(s.log, func() error { return s.store.Ping(ctx) }); err != nil {
			continue
		}
		s.mu.Lock()
		s.markConnected()
		s.mu.Unlock()
	}
}

// markConnected records that the store responded; s.mu is held.
func (s *Sync) markConnected() {
	if s.disconnected {
		s.log.Info("the store is reachable again")
	}
	s.disconnected = false
}

// awaitFollowing returns followCtx if this host follows the store. Otherwise it waits
// until that starts, or until ctx ends, and returns nil.
func (s *Sync) awaitFollowing(ctx context.Context) context.Context {
	s.mu.Lock()
	followCtx, started := s.followCtx, s.followingStarted
	s.mu.Unlock()
	if followCtx != nil {
		return followCtx
	}
	select {
	case <-started:
	case <-ctx.Done():
	}
	return nil
}

// followKind keeps the copy of one kind up to date until ctx ends.
func (s *Sync) followKind(ctx context.Context, kind string, f *kindState) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval, delays.RandomizationFactor = firstRetryDelay, maxRetryDelay, 0
	for ctx.Err() == nil {
		began := s.clock.Now()
		err := s.listOrWatch(ctx, kind, f)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			delays.Reset()
			wagclock.Wait(ctx, s.clock, began.Add(minWatchInterval))
			continue
		}
		s.recordFailure(kind, f, err)
		delay := delays.NextBackOff()
		wagclock.Wait(ctx, s.clock, s.clock.Now().Add(delay/2+rand.N(delay/2)))
	}
}

// recordFailure records a failed request for a kind. This host counts as disconnected
// after a timeout, or after disconnectFailures in a row.
func (s *Sync) recordFailure(kind string, f *kindState, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isOtherEra := errors.Is(err, errOtherEra)
	if errors.Is(err, wagstore.ErrGap) || isOtherEra {
		f.canWatch, f.failures = false, 0
		s.markConnected()
		if !isOtherEra {
			s.log.WithField("kind", kind).Info("the store has dropped its history; all objects are listed again")
		}
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

// listOrWatch makes one request to the store and applies the update.
func (s *Sync) listOrWatch(ctx context.Context, kind string, f *kindState) error {
	s.mu.Lock()
	canWatch, after := f.canWatch, s.mirror.Complete(kind)
	s.mu.Unlock()
	if canWatch {
		return s.watchOnce(ctx, kind, f, after)
	}
	if err := s.list(ctx, kind); err != nil {
		return err
	}
	s.mu.Lock()
	f.canWatch = true
	s.mu.Unlock()
	return nil
}

// list reads all objects of a kind from the store.
func (s *Sync) list(ctx context.Context, kind string) error {
	began := s.clock.Now()
	u, err := s.call(func() (wagmirror.Update, error) { return s.store.List(ctx, kind) })
	if err != nil {
		return err
	}
	if s.isFormerEra(u.Era) {
		return errFormerEra
	}
	s.apply(u)
	s.recordResponse(kind, u.Position(), s.provenAt(began, began))
	return nil
}

// call makes a request to the store. A panic in the handling of its response is an error.
func (s *Sync) call(request func() (wagmirror.Update, error)) (u wagmirror.Update, err error) {
	err = wagpanic.Catch(s.log, func() (err error) {
		u, err = request()
		return err
	})
	s.gaps.Observe()
	return u, err
}

// watchOnce makes one watch and applies the update. The first watch does not wait for
// changes, nor does one after a failure, so that its success is known at once.
func (s *Sync) watchOnce(ctx context.Context, kind string, f *kindState, after wagmirror.Position) error {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	now := s.clock.Now()
	began, deadline := now, now.Add(longWatchTimeout)
	f.interrupt = cancel
	switch {
	case f.failures > 0 || !f.answered:
		deadline = now
	case kind == s.primaryKind || now.Before(f.shortWatchesUntil):
		deadline = now.Add(shortWatchTimeout)
	default:
		f.cancelWatch = cancel
	}
	s.mu.Unlock()
	u, err := s.call(func() (wagmirror.Update, error) { return s.store.Watch(watchCtx, kind, after.Revision, deadline) })
	s.mu.Lock()
	f.cancelWatch, f.interrupt = nil, nil
	wasCanceled := err != nil && watchCtx.Err() != nil && ctx.Err() == nil
	if wasCanceled {
		// The watch is out of date or proves nothing. One that does not wait follows.
		f.answered = false
	}
	s.mu.Unlock()
	if wasCanceled {
		return nil
	}
	if err != nil {
		return err
	}
	switch {
	case s.isFormerEra(u.Era):
		return errFormerEra
	case u.Era != after.Era:
		// The revision from which the watch began is one of another history.
		return errOtherEra
	}
	position, confirmed := u.Position(), s.clock.Now()
	if len(u.Records) == 0 {
		// The store may have withheld changes, so that the next watch has to begin at
		// the same revision again. A response that was delayed on its way proves no more
		// than one that came in time.
		u.At, confirmed = after.Revision, wagclock.Earlier(confirmed, deadline)
	}
	s.apply(u)
	s.recordResponse(kind, position, s.provenAt(began, confirmed))
	return nil
}

// updateStorePosition records the position of the store. Kinds whose copy is older are
// watched with short watches for a while; s.mu is held.
func (s *Sync) updateStorePosition(position wagmirror.Position) {
	s.storePosition = wagmirror.LaterPosition(s.storePosition, position)
	for kind, f := range s.kinds {
		if !f.shortWatchesFor.Before(s.storePosition) || !s.mirror.Complete(kind).Before(s.storePosition) {
			continue
		}
		f.shortWatchesFor, f.shortWatchesUntil = s.storePosition, s.clock.Now().Add(shortWatchDuration)
		if f.cancelWatch != nil {
			f.cancelWatch()
		}
	}
}

// Apply applies an update of another host. It returns false when changes before the
// update are missing.
func (s *Sync) Apply(u wagmirror.Update) bool { return s.apply(u) }

// apply applies an update from the store or another host.
func (s *Sync) apply(u wagmirror.Update) bool {
	s.deliveryMu.Lock()
	defer s.deliveryMu.Unlock()
	s.mu.Lock()
	known := s.mirror.Complete(u.Kind)
	records, ok := s.mirror.Apply(u)
	complete := s.mirror.Complete(u.Kind)
	switch {
	case !ok:
		s.recordDropped(u, known, "gap")
	case u.Era < known.Era:
		s.recordDropped(u, known, "formerEra")
	case u.Full && u.Position().Before(known):
		s.recordDropped(u, known, "older")
	case known.Revision > 0 && complete.Era > known.Era:
		s.logEra(u, known)
	}
	if known.Revision == 0 && complete.Revision > 0 {
		s.log.WithFields(logrus.Fields{
			"kind": u.Kind, "from": u.From, "objects": len(records), "afterMs": s.clock.Now().Sub(s.startedAt).Milliseconds(),
		}).Info("this host has all objects of a kind")
	}
	s.mu.Unlock()
	// A change of the era is passed on even if it changes no object: what the handler
	// keeps beside the objects may depend on it.
	if len(records) > 0 || complete.Era > known.Era {
		_ = wagpanic.Catch(s.log, func() error { // logs the error
			s.onChange(Change{Kind: u.Kind, Records: records, From: u.From, Era: complete.Era})
			return nil
		})
	}
	return ok
}

// IsDisconnected reports whether this host is known not to reach the store.
func (s *Sync) IsDisconnected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disconnected
}

// IsFollowing reports whether this host follows the store.
func (s *Sync) IsFollowing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followCtx != nil
}

// Kinds returns the kinds of objects, in alphabetical order.
func (s *Sync) Kinds() []string { return s.mirror.Kinds() }

// Positions returns the position up to which all changes of each kind are known.
func (s *Sync) Positions() map[string]wagmirror.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	positions := make(map[string]wagmirror.Position)
	for kind := range s.kinds {
		positions[kind] = s.mirror.Complete(kind)
	}
	return positions
}

// UpdateSince returns the update for a copy that is complete up to a position.
func (s *Sync) UpdateSince(kind string, after wagmirror.Position) wagmirror.Update {
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
