package wagsync

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	// firstReadDelay is how long a starting host waits for the objects of other hosts
	// before it reads the store. A random part of up to the same length is added, so
	// that a host that starts slightly later receives the objects from the first one.
	// Asking a seed and then a host of the own data centre takes 20 to 50 ms.
	firstReadDelay = 50 * time.Millisecond
	// minLinkDelay is how long after the start a host without a link to another one waits.
	// All hosts of a site restart within about that time after a power failure; those that
	// find each other first read the store for the others. A random part of up to the same
	// length is added.
	minLinkDelay = 200 * time.Millisecond
	// connectionDelay bounds how long a host waits for the connection to the host that sends
	// changes to it, and transferDelay for the objects when it has subscribed to them.
	connectionDelay = 150 * time.Millisecond
	transferDelay   = 600 * time.Millisecond
	// firstConnectionDelay and firstTransferDelay replace them at the first start of the
	// site: no caller waits then, and each read of the store is paid for.
	firstConnectionDelay = 400 * time.Millisecond
	firstTransferDelay   = time.Second
	// objectsDelay bounds how long after the start a host waits for the objects that others
	// have, as after the restart of a single host.
	objectsDelay = time.Second
	// maxFirstReadDelay bounds the delay before the first read is retried.
	maxFirstReadDelay = 400 * time.Millisecond
)

// WithFirstStart sets whether the whole site starts for the first time. A host then waits
// longer for the objects of others before it reads the store.
func WithFirstStart(isFirst bool) Option {
	return func(s *Sync) {
		if isFirst {
			s.linkDelay, s.connectionDelay, s.transferDelay = firstConnectionDelay, firstConnectionDelay, firstTransferDelay
		}
	}
}

// Expectation is the way in which a host that has just started expects to get the
// objects from another one.
type Expectation int

// Expectations.
const (
	// ExpectNothing means that no other host is known.
	ExpectNothing Expectation = iota
	// ExpectLink means that this host has no link yet, and dials others.
	ExpectLink
	// ExpectConnection means that the host that sends changes to this one is being
	// connected to.
	ExpectConnection
	// ExpectTransfer means that this host has subscribed to the changes of another one.
	ExpectTransfer
	// ExpectObjects means that another host has all objects, and that a host of the same
	// data centre is going to send them.
	ExpectObjects
)

// SetExpectation sets the function that returns whether another host will send the
// objects to this one, which has just started.
func (s *Sync) SetExpectation(expectation func() Expectation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expectation = expectation
}

// awaitPeers waits after the start until the objects have to be read from the store:
// for firstReadDelay, and longer while other hosts are expected to send them. The times
// of an expectation count from the step towards the objects that led to it, because all
// steps take longer while the machines of a site are busy starting.
func (s *Sync) awaitPeers(ctx context.Context) {
	start := s.clock.Now()
	next := start.Add(firstReadDelay + rand.N(firstReadDelay))
	randomLinkDelay := minLinkDelay + rand.N(minLinkDelay)
	furthest, since := ExpectNothing, start
	for wagclock.Wait(ctx, s.clock, next) && s.HasUnreadKinds() {
		s.mu.Lock()
		expect := s.expectation
		delays := map[Expectation]time.Duration{
			ExpectLink: max(s.linkDelay, randomLinkDelay), ExpectConnection: s.connectionDelay,
			ExpectTransfer: s.transferDelay, ExpectObjects: objectsDelay,
		}
		s.mu.Unlock()
		x := expect()
		if x > furthest && furthest != ExpectNothing {
			since = next
		}
		furthest = max(furthest, x)
		limit := wagclock.Earlier(since.Add(delays[x]), start.Add(objectsDelay))
		if x == ExpectNothing || !next.Before(limit) {
			return
		}
		next = next.Add(firstReadDelay)
	}
}

// readAtStart reads the objects once after a start, unless other hosts have sent them by
// then. When all hosts of a site start together, no host has them.
func (s *Sync) readAtStart(ctx context.Context) {
	s.awaitPeers(ctx)
	next := s.clock.Now()
	for wagclock.Wait(ctx, s.clock, next) && !s.IsFollowing() {
		unread := s.unreadKinds()
		if len(unread) == 0 {
			return
		}
		var g errgroup.Group
		for _, kind := range unread {
			g.Go(func() error { return s.list(ctx, kind) })
		}
		if err := g.Wait(); err != nil {
			s.log.WithError(err).Info("the first read of the store failed")
		}
		next = s.clock.Now().Add(maxFirstReadDelay/2 + rand.N(maxFirstReadDelay/2))
	}
}

// unreadKinds returns the kinds whose objects were never read.
func (s *Sync) unreadKinds() (kinds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, kind := range s.mirror.Kinds() {
		if s.mirror.Complete(kind).Revision == 0 {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// HasDeliveredAll reports whether the objects of all kinds were read and passed to the
// ChangeHandler. It must not be called by the ChangeHandler.
func (s *Sync) HasDeliveredAll() bool {
	s.deliveryMu.Lock()
	defer s.deliveryMu.Unlock()
	return !s.HasUnreadKinds()
}

// HasUnreadKinds reports whether the objects of some kind were never read.
func (s *Sync) HasUnreadKinds() bool { return len(s.unreadKinds()) > 0 }
