package wagcontrol

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagpeer"
	"github.com/wagtailspar/wagtailspar/wagpublish"
	"github.com/wagtailspar/wagtailspar/wagrouting"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsettings"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// testTimeout bounds the time of a test. No check depends on it.
const testTimeout = 20 * time.Second

// faultyStore is the store as one host sees it: it can be unreachable and refuse
// writes.
type faultyStore struct {
	*wagstore.Memory
	clock wagclock.Clock
	// wait bounds how long a watch waits for a change.
	wait time.Duration
	// watchStarted receives a value when a watch starts.
	watchStarted chan struct{}

	mu sync.Mutex
	// watchUntil is when the latest watch ends.
	watchUntil time.Time
	// unreachable is closed while the store is unreachable.
	unreachable chan struct{}
	// refusalsLeft is how many more writes of documents are refused.
	refusalsLeft int
}

func (s *faultyStore) setUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = make(chan struct{})
	if unreachable {
		close(s.unreachable)
	}
}

// isWatching reports whether a watch is waiting at a time.
func (s *faultyStore) isWatching(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchUntil.After(now)
}

// checkReachable returns wagstore.ErrUnavailable if the store is unreachable, and
// the channel that is closed when it becomes so.
func (s *faultyStore) checkReachable() (unreachable chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.unreachable:
		return s.unreachable, wagstore.ErrUnavailable
	default:
		return s.unreachable, nil
	}
}

func (s *faultyStore) Get(ctx context.Context, key string) (wagstore.Object, error) {
	if _, err := s.checkReachable(); err != nil {
		return wagstore.Object{}, err
	}
	return s.Memory.Get(ctx, key)
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, expected wagstore.Version) (wagstore.Version, error) {
	if _, err := s.checkReachable(); err != nil {
		return "", err
	}
	s.mu.Lock()
	refuse := s.refusalsLeft > 0 && len(key) > len(wagpublish.DocumentPrefix) && key[:len(wagpublish.DocumentPrefix)] == wagpublish.DocumentPrefix
	if refuse {
		s.refusalsLeft--
	}
	s.mu.Unlock()
	if refuse {
		return "", wagstore.ErrUnavailable
	}
	return s.Memory.Put(ctx, key, value, expected)
}

func (s *faultyStore) List(ctx context.Context, prefix string) ([]wagstore.Object, wagstore.Cursor, error) {
	if _, err := s.checkReachable(); err != nil {
		return nil, "", err
	}
	return s.Memory.List(ctx, prefix)
}

// Watch ends after its wait by the clock, or at once when the store becomes
// unreachable.
func (s *faultyStore) Watch(ctx context.Context, prefix string, since wagstore.Cursor) ([]wagstore.Object, wagstore.Cursor, error) {
	unreachable, err := s.checkReachable()
	if err != nil {
		return nil, "", err
	}
	until := s.clock.Now().Add(s.wait)
	waited, release := s.clock.TimerAt(until)
	s.mu.Lock()
	s.watchUntil = until
	s.mu.Unlock()
	signal(s.watchStarted)
	defer release()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	g.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-waited:
		case <-unreachable:
			return wagstore.ErrUnavailable
		}
		return nil
	})
	objects, cursor, err := s.Memory.Watch(ctx, prefix, since)
	cancel()
	if watchErr := g.Wait(); watchErr != nil {
		return nil, "", watchErr
	}
	return objects, cursor, err
}

// tickClock reports on tickDone each time the loop of the ticks waits again.
type tickClock struct {
	wagclock.Clock
	tickDone chan struct{}
}

func (c tickClock) TimerAt(deadline time.Time) (<-chan time.Time, func()) {
	fired, release := c.Clock.TimerAt(deadline)
	if deadline.Sub(c.Now()) == tickInterval {
		signal(c.tickDone)
	}
	return fired, release
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// testHost is one host with its port for peers. It is its own DataPlane.
type testHost struct {
	*Control
	store *faultyStore
	peer  netip.AddrPort
	// tickDone receives a value after every tick.
	tickDone chan struct{}
	// changed receives a value after every event and message.
	changed chan struct{}
	stop    func()

	mu sync.Mutex
	// inForce holds the revision in force of each service; reverted is set when one
	// went back.
	inForce    map[string]int64
	reverted   bool
	heartbeats int
}

var (
	_ DataPlane         = (*testHost)(nil)
	_ wagevent.Recorder = (*testHost)(nil)
)

func (h *testHost) SetDocuments(documents map[string]*wagdocument.Document) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, d := range documents {
		h.reverted = h.reverted || d.Revision.Number < h.inForce[name]
		h.inForce[name] = d.Revision.Number
	}
	signal(h.changed)
}
func (h *testHost) Record(wagevent.Event)                                      { signal(h.changed) }
func (h *testHost) SetServers([]wagserver.Server)                              {}
func (h *testHost) SilentServers(string) []netip.AddrPort                      { return nil }
func (h *testHost) RecordProbe(string, netip.AddrPort, wagrouting.ProbeResult) {}
func (h *testHost) Summaries() map[string]wagrouting.Summary                   { return nil }
func (h *testHost) SetRemoteSummary(string, string, wagrouting.Summary)        {}
func (h *testHost) Since(uint64) ([]wagevent.Event, uint64)                    { return nil, 0 }

func (h *testHost) revision(service string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inForce[service]
}

func (h *testHost) hasReverted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reverted
}

// countingHandler counts the heartbeats that a host receives.
type countingHandler struct {
	*Handler
	host *testHost
}

func (c countingHandler) Heartbeat(ctx context.Context, m wagpeer.Heartbeat) (wagpeer.Heartbeat, error) {
	reply, err := c.Handler.Heartbeat(ctx, m)
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	c.host.heartbeats++
	signal(c.host.changed)
	return reply, err
}

// testSite is a store with hosts on the loopback interface.
type testSite struct {
	t      *testing.T
	is     *is.I
	ctx    context.Context
	clock  wagclock.Clock
	memory *wagstore.Memory
	// watchWait bounds how long the watches of the hosts wait.
	watchWait time.Duration
}

func newTestSite(t *testing.T, clock wagclock.Clock) *testSite {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return &testSite{t: t, is: is.New(t), ctx: ctx, clock: clock, memory: wagstore.NewMemory(), watchWait: 3 * time.Second}
}

// startHost runs a host of data centre dc1 until its stop function is called or the
// test ends.
func (s *testSite) startHost(name string, storeUnreachable bool, seeds ...netip.AddrPort) *testHost {
	settings, err := wagsettings.Parse("test", []byte("[host]\nname = "+name+"\n"))
	s.is.NoErr(err)
	settings.Peers.Seeds = seeds
	settings.HostList.Address = netip.MustParseAddrPort("127.0.0.1:1")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.is.NoErr(err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &testHost{
		store: &faultyStore{Memory: s.memory, clock: s.clock, wait: s.watchWait, watchStarted: make(chan struct{}, 1)}, peer: netip.MustParseAddrPort(l.Addr().String()),
		tickDone: make(chan struct{}, 1), changed: make(chan struct{}, 1), inForce: make(map[string]int64),
	}
	h.store.setUnreachable(storeUnreachable)
	h.Control = New(settings, h.store, WithClock(tickClock{s.clock, h.tickDone}), WithLog(log), WithEvents(h),
		WithAddresses(h.peer, h.peer, h.peer))
	ctx, cancel := context.WithCancel(s.ctx)
	server, err := wagpeer.NewServer(countingHandler{NewHandler(ctx, h.Control, h), h}, 64)
	s.is.NoErr(err)
	var g errgroup.Group
	g.Go(func() error { return h.Run(ctx, h) })
	g.Go(func() error { return server.Serve(ctx, l, nil) })
	h.stop = func() {
		cancel()
		_ = g.Wait()
	}
	s.t.Cleanup(h.stop)
	return h
}

// waitFor waits for a condition, which it checks after each event of a host.
func (s *testSite) waitFor(h *testHost, what string, condition func() bool) {
	s.t.Helper()
	for !condition() {
		select {
		case <-h.changed:
		case <-s.ctx.Done():
			s.t.Fatalf("host %s: condition not met before the timeout: %s", h.self.Name, what)
		}
	}
}

// publish writes a document to the store and returns its revision and text.
func (s *testSite) publish(text string) (int64, []byte) {
	p := wagpublish.New(s.memory, "test", s.clock.Now)
	prepared, err := p.Prepare(s.ctx, "test", []byte(text))
	s.is.NoErr(err)
	result, err := p.Commit(s.ctx, prepared)
	s.is.NoErr(err)
	return result.Document.Revision.Number, result.Document.Text
}

// step advances a manual clock by one tick and waits until the hosts are done with
// it.
func (s *testSite) step(clock *wagclock.Manual, hosts ...*testHost) {
	clock.Advance(tickInterval)
	for _, h := range hosts {
		select {
		case <-h.tickDone:
		case <-s.ctx.Done():
			s.t.Fatal("a host did not finish its tick before the timeout")
		}
	}
}
