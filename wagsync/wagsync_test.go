package wagsync

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// store is a store in memory. Its watches behave as those of a store that may keep
// changes back and forget its history.
type store struct {
	mu       sync.Mutex
	revision wagmirror.Revision
	records  map[string][]wagmirror.Record
	// first is the first revision that watches still know.
	first   wagmirror.Revision
	changed chan struct{}
	// deaf keeps changes from watches, and down fails all calls.
	deaf, down bool
	lists      int
	watches    int
	pings      int
	// cuts counts how often the watches that waited were cut off.
	cuts int
}

var _ wagmirror.Store = (*store)(nil)

func newStore() *store {
	return &store{revision: 1, first: 2, records: make(map[string][]wagmirror.Record), changed: make(chan struct{})}
}

func (s *store) put(kind, name string) wagmirror.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.records[kind] = append(s.records[kind], wagmirror.Record{Kind: kind, Name: name, Revision: s.revision, Body: []byte(name)})
	s.wake()
	return s.revision
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.wake()
}

// counts returns how many calls there were of each kind.
func (s *store) counts() (lists, watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists, s.watches
}

func (s *store) calls() int {
	lists, watches := s.counts()
	return lists + watches
}

var errDown = errors.WithMessage(wagstore.ErrUnavailable, "down")

func (s *store) List(_ context.Context, kind string) (wagmirror.Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.down {
		return wagmirror.Update{}, errDown
	}
	latest := make(map[string]wagmirror.Record)
	for _, r := range s.records[kind] {
		latest[r.Name] = r
	}
	u := wagmirror.Update{Kind: kind, Full: true, At: s.revision}
	for _, r := range latest {
		u.Records = append(u.Records, r)
	}
	return u, nil
}

func (s *store) Watch(ctx context.Context, kind string, after wagmirror.Revision, until time.Time) (wagmirror.Update, error) {
	s.mu.Lock()
	s.watches++
	began := s.cuts
	s.mu.Unlock()
	for {
		s.mu.Lock()
		u, err := s.since(kind, after)
		changed, cuts := s.changed, s.cuts
		s.mu.Unlock()
		if cuts > began {
			return u, errDown
		}
		if err != nil || len(u.Records) > 0 || !time.Now().Before(until) {
			return u, err
		}
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-ctx.Done():
			return u, ctx.Err()
		}
	}
}

// Ping tells whether the store is up.
func (s *store) Ping(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pings++
	if s.down {
		return errDown
	}
	return nil
}

func (s *store) since(kind string, after wagmirror.Revision) (u wagmirror.Update, err error) {
	u = wagmirror.Update{Kind: kind, Since: after, At: s.revision}
	switch {
	case s.down:
		return u, errDown
	case s.deaf:
		return u, nil
	case after+1 < s.first:
		return u, wagstore.ErrGap
	}
	for _, r := range s.records[kind] {
		if r.Revision > after {
			u.Records = append(u.Records, r)
		}
	}
	return u, nil
}

// fixture is a Sync that runs in a bubble of synctest.
type fixture struct {
	ctx   context.Context
	sync  *Sync
	store *store

	mu   sync.Mutex
	seen map[string]wagmirror.Revision
}

// run runs f beside a Sync in a bubble.
func run(t *testing.T, f func(is *is.I, x *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		x := &fixture{store: newStore(), seen: make(map[string]wagmirror.Revision)}
		x.sync = New(x.store, x.changed, []string{"config", "servers"}, WithLog(log))
		ctx, cancel := context.WithCancel(context.Background())
		x.ctx = ctx
		var g errgroup.Group
		g.Go(func() error { return x.sync.Run(ctx) })
		f(is.New(t), x)
		cancel()
		if err := g.Wait(); err != nil {
			t.Fatal(err)
		}
	})
}

func (x *fixture) changed(records []wagmirror.Record) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range records {
		x.seen[r.Kind+"/"+r.Name] = r.Revision
	}
}

func (x *fixture) knows(object string) wagmirror.Revision {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.seen[object]
}

// pass lets time pass.
func pass(d time.Duration) {
	time.Sleep(d) //nolint:forbidigo // The time of a bubble passes at once.
	synctest.Wait()
}

// Guards against a host that serves nothing after a start although the store
// answers, and against one that reads the store although others have told it.
func TestFirstRead(t *testing.T) {
	run(t, func(is *is.I, x *fixture) {
		at := x.store.put("config", "main")
		pass(3 * loadDelay)
		is.Equal(x.knows("config/main"), at)
		is.True(!x.sync.HasUnreadKinds())
		lists, _ := x.store.counts()
		pass(time.Minute)
		after, watches := x.store.counts()
		is.Equal(after, lists) // a host that does not follow makes no calls
		is.Equal(watches, 0)
	})
	run(t, func(is *is.I, x *fixture) {
		for _, kind := range []string{"config", "servers"} {
			x.sync.Apply(wagmirror.Update{Kind: kind, Full: true, At: 7})
		}
		pass(time.Minute)
		lists, _ := x.store.counts()
		is.Equal(lists, 0)
	})
}

// follow lets the host follow the store for a second.
func (x *fixture) follow() {
	pass(time.Second)
	x.sync.SetFollowing(x.ctx, true)
	pass(time.Second)
}

// Guards against a start that gives up when the store does not answer at once.
func TestFirstReadIsRepeated(t *testing.T) {
	run(t, func(is *is.I, x *fixture) {
		x.store.set(func() { x.store.down = true })
		pass(3 * time.Second)
		x.store.set(func() { x.store.down = false })
		at := x.store.put("servers", "a")
		pass(2 * loadRetry)
		is.Equal(x.knows("servers/a"), at)
	})
}

// Guards against changes that are late at the host that follows the store.
func TestFollow(t *testing.T) {
	run(t, func(is *is.I, x *fixture) {
		x.follow()
		for range 10 {
			at := x.store.put("config", "main")
			pass(2 * watchPause)
			is.Equal(x.knows("config/main"), at)
			at = x.store.put("servers", "a")
			pass(2 * watchPause)
			is.Equal(x.knows("servers/a"), at)
		}
		is.True(time.Since(x.sync.ConfirmedAt()) <= pulseTime)
		x.sync.SetFollowing(x.ctx, false)
		pass(time.Second)
		_, watches := x.store.counts()
		x.store.put("config", "main")
		pass(time.Minute)
		_, after := x.store.counts()
		is.Equal(after, watches)
	})
}

// Guards against a series of changes that costs a call each.
func TestSeriesOfChangesCostsFewCalls(t *testing.T) {
	run(t, func(is *is.I, x *fixture) {
		x.follow()
		_, watches := x.store.counts()
		var at wagmirror.Revision
		for range 100 {
			at = x.store.put("servers", "a")
			pass(10 * time.Millisecond)
		}
		pass(watchPause)
		is.Equal(x.knows("servers/a"), at)
		_, after := x.store.counts()
		is.True(after-watches <= 2*6)
	})
}

// Guards against a change that a store keeps from waiting watches before it drops
// its history: a host learned of it only 18 s later.
func TestChangeKeptBackIsFound(t *testing.T) {
	for _, kind := range []string{"config", "servers"} {
		t.Run(kind, func(t *testing.T) {
			run(t, func(is *is.I, x *fixture) {
				pass(time.Second)
				x.sync.SetFollowing(x.ctx, true)
				pass(10 * time.Second)
				x.store.set(func() { x.store.deaf = true })
				at := x.store.put(kind, "late")
				pass(time.Second)
				x.store.set(func() { x.store.deaf, x.store.first = false, x.store.revision+1 })
				pass(900 * time.Millisecond)
				is.Equal(x.knows(kind+"/late"), at) // within 2 s of the change
			})
		})
	}
}

// Guards against a host that goes on with what it knew of before an outage, and
// against calls that do not get fewer while the store is down.
func TestOutage(t *testing.T) {
	run(t, func(is *is.I, x *fixture) {
		x.follow()
		x.store.set(func() { x.store.down = true })
		pass(time.Second)
		is.True(x.sync.IsDisconnected())
		calls := x.store.calls()
		pass(10 * time.Second)
		is.True(x.store.calls()-calls <= 2*2*11)
		before := x.sync.ConfirmedAt()
		is.True(time.Since(before) >= 10*time.Second)
		at := x.store.put("servers", "new")
		x.store.set(func() { x.store.down, x.store.first = false, x.store.revision+1 })
		pass(2 * time.Second)
		is.Equal(x.knows("servers/new"), at)
		is.True(!x.sync.IsDisconnected())
		is.True(x.sync.ConfirmedAt().After(before))
	})
}

// Guards against a host that gives up the store because a watch was cut off, as it
// is when the store drops its history: other hosts that had lost the store then
// followed it, and a change was in force after 5 s.
func TestCutWatchIsNoOutage(t *testing.T) {
	run(t, func(is *is.I, x *fixture) {
		x.follow()
		for range 3 {
			x.store.set(func() { x.store.cuts++ })
			for range 50 {
				pass(20 * time.Millisecond)
				is.True(!x.sync.IsDisconnected())
			}
			at := x.store.put("config", "main")
			pass(time.Second)
			is.Equal(x.knows("config/main"), at)
		}
	})
}

// Guards against a host that is asked to follow the store again although it still
// does not reach it, and against one that never is.
func TestDisconnectedUntilTheStoreAnswers(t *testing.T) {
	run(t, func(is *is.I, x *fixture) {
		x.follow()
		x.store.set(func() { x.store.down = true })
		pass(time.Second)
		is.True(x.sync.IsDisconnected())
		x.sync.SetFollowing(x.ctx, false)
		calls := x.store.calls()
		pass(10 * time.Second)
		is.True(x.sync.IsDisconnected())
		is.Equal(x.store.calls(), calls)
		is.True(x.store.pings <= 11)
		x.store.set(func() { x.store.down = false })
		pass(pingTime)
		is.True(!x.sync.IsDisconnected())
		pings := x.store.pings
		pass(10 * time.Second)
		is.Equal(x.store.pings, pings)
	})
}

// Guards against a confirmation of another host that is older than the own one.
func TestConfirmationsOnlyAdvance(t *testing.T) {
	run(t, func(is *is.I, x *fixture) {
		now := time.Now()
		x.sync.RecordPeerConfirmation(now)
		x.sync.RecordPeerConfirmation(now.Add(-time.Second))
		is.Equal(x.sync.PeerConfirmedAt(), now)
		is.Equal(x.sync.ConfirmedAt(), now)
	})
}
