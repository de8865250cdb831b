// Package wagsync keeps the mirror of a host in step with the platform's store.
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
	// watchTime is how long one watch waits; the platform permits 30 s. Silent
	// connections are found by keep-alive probes before.
	watchTime = 25 * time.Second
	// pause is the least time between two watches of a kind, so that a series of
	// changes costs few calls. It is a tenth of the time within which a change
	// has to be in force.
	pause = 200 * time.Millisecond
	// firstRetry and lastRetry bound the pauses while the store fails.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 800 * time.Millisecond
)

// Changed is told the records that changed. It is called in the order of the
// changes of a kind, one call at a time.
type Changed func(records []wagmirror.Record)

// Sync follows the store.
type Sync struct {
	store   wagmirror.Store
	clock   wagclock.Clock
	log     logrus.FieldLogger
	changed Changed

	mu     sync.Mutex
	mirror *wagmirror.Mirror
}

// Option sets a property of a Sync.
type Option func(*Sync)

// WithClock replaces the clock.
func WithClock(c wagclock.Clock) Option { return func(s *Sync) { s.clock = c } }

// WithLog replaces the standard logger.
func WithLog(l logrus.FieldLogger) Option { return func(s *Sync) { s.log = l } }

// New returns a Sync of some kinds of objects.
func New(store wagmirror.Store, changed Changed, kinds []string, opts ...Option) *Sync {
	s := &Sync{store: store, clock: wagclock.System{}, log: logrus.StandardLogger(), changed: changed, mirror: wagmirror.New(kinds...)}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Run follows the store until ctx ends.
func (s *Sync) Run(ctx context.Context) error {
	var g errgroup.Group
	for _, kind := range s.mirror.Kinds() {
		g.Go(func() error {
			s.follow(ctx, kind)
			return nil
		})
	}
	return g.Wait()
}

// follow keeps one kind in step.
func (s *Sync) follow(ctx context.Context, kind string) {
	retries := backoff.NewExponentialBackOff()
	retries.InitialInterval, retries.MaxInterval, retries.RandomizationFactor = firstRetry, lastRetry, 0
	complete := false
	lost := false
	for ctx.Err() == nil {
		began := s.clock.Now()
		err := s.step(ctx, kind, &complete)
		if err == nil {
			if lost {
				s.log.WithField("kind", kind).Info("the store answers again")
			}
			lost = false
			retries.Reset()
			wagclock.Wait(ctx, s.clock, began.Add(pause))
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, wagstore.ErrGap) {
			complete = false
		}
		if !lost {
			s.log.WithError(err).WithField("kind", kind).Warning("the store does not answer")
		}
		lost = true
		wait := retries.NextBackOff()
		wagclock.Wait(ctx, s.clock, s.clock.Now().Add(wait/2+rand.N(wait/2)))
	}
}

func (s *Sync) step(ctx context.Context, kind string, complete *bool) error {
	if !*complete {
		u, err := s.store.List(ctx, kind)
		if err != nil {
			return err
		}
		s.apply(u)
		*complete = true
		return nil
	}
	s.mu.Lock()
	after := s.mirror.Complete(kind)
	s.mu.Unlock()
	u, err := s.store.Watch(ctx, kind, after, s.clock.Now().Add(watchTime))
	if err != nil {
		return err
	}
	s.apply(u)
	return nil
}

func (s *Sync) apply(u wagmirror.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records, _ := s.mirror.Apply(u)
	if len(records) > 0 {
		s.changed(records)
	}
}

// Live returns the objects of a kind that exist.
func (s *Sync) Live(kind string) []wagmirror.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirror.Live(kind)
}
