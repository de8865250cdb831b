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

// testTime bounds a test; no check depends on it.
const testTime = 20 * time.Second

// cutStore is a host's way to the store; it can be cut and refuse writes.
type cutStore struct {
	*wagstore.Memory
	clock wagclock.Clock
	// wait is how long a watch waits for a change.
	wait time.Duration
	// watching receives when a watch begins.
	watching chan struct{}

	mu sync.Mutex
	// until is when the latest watch ends.
	until time.Time
	// broken is closed while the store cannot be reached.
	broken chan struct{}
	// refused counts the writes of documents that are still refused.
	refused int
}

func (s *cutStore) cut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = make(chan struct{})
	if cut {
		close(s.broken)
	}
}

// waits tells whether a watch waits at a time.
func (s *cutStore) waits(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.until.After(now)
}

func (s *cutStore) reach() (broken chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.broken:
		return s.broken, wagstore.ErrUnavailable
	default:
		return s.broken, nil
	}
}

func (s *cutStore) Get(ctx context.Context, key string) (wagstore.Object, error) {
	if _, err := s.reach(); err != nil {
		return wagstore.Object{}, err
	}
	return s.Memory.Get(ctx, key)
}

func (s *cutStore) Put(ctx context.Context, key string, value []byte, expected wagstore.Version) (wagstore.Version, error) {
	if _, err := s.reach(); err != nil {
		return "", err
	}
	s.mu.Lock()
	refuse := s.refused > 0 && len(key) > len(wagpublish.DocumentPrefix) && key[:len(wagpublish.DocumentPrefix)] == wagpublish.DocumentPrefix
	if refuse {
		s.refused--
	}
	s.mu.Unlock()
	if refuse {
		return "", wagstore.ErrUnavailable
	}
	return s.Memory.Put(ctx, key, value, expected)
}

func (s *cutStore) List(ctx context.Context, prefix string) ([]wagstore.Object, wagstore.Cursor, error) {
	if _, err := s.reach(); err != nil {
		return nil, "", err
	}
	return s.Memory.List(ctx, prefix)
}

// Watch ends after its wait by the clock, and at once when the store is cut.
func (s *cutStore) Watch(ctx context.Context, prefix string, since wagstore.Cursor) ([]wagstore.Object, wagstore.Cursor, error) {
	broken, err := s.reach()
	if err != nil {
		return nil, "", err
	}
	until := s.clock.Now().Add(s.wait)
	waited, release := s.clock.TimerAt(until)
	s.mu.Lock()
	s.until = until
	s.mu.Unlock()
	signal(s.watching)
	defer release()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	g.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-waited:
		case <-broken:
			return wagstore.ErrUnavailable
		}
		return nil
	})
	objects, cursor, err := s.Memory.Watch(ctx, prefix, since)
	cancel()
	if cut := g.Wait(); cut != nil {
		return nil, "", cut
	}
	return objects, cursor, err
}

// pacedClock tells when the loop of the ticks waits again.
type pacedClock struct {
	wagclock.Clock
	armed chan struct{}
}

func (c pacedClock) TimerAt(deadline time.Time) (<-chan time.Time, func()) {
	fired, release := c.Clock.TimerAt(deadline)
	if deadline.Sub(c.Now()) == tickTime {
		signal(c.armed)
	}
	return fired, release
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// testHost is one host with its port for peers. It is its own View.
type testHost struct {
	*Control
	store *cutStore
	peer  netip.AddrPort
	armed chan struct{}
	// changed receives after every event and message.
	changed chan struct{}
	stop    func()

	mu        sync.Mutex
	inForce   map[string]int64
	reverted  bool
	heartbeat int
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

// countingHandler counts the heartbeats that arrive.
type countingHandler struct {
	*Handler
	host *testHost
}

func (c countingHandler) Heartbeat(ctx context.Context, m wagpeer.Heartbeat) (wagpeer.Heartbeat, error) {
	answer, err := c.Handler.Heartbeat(ctx, m)
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	c.host.heartbeat++
	signal(c.host.changed)
	return answer, err
}

// site is a store and hosts on loopback.
type site struct {
	t      *testing.T
	is     *is.I
	ctx    context.Context
	clock  wagclock.Clock
	memory *wagstore.Memory
	// watchWait is how long the watches of the hosts wait.
	watchWait time.Duration
}

func newSite(t *testing.T, clock wagclock.Clock) *site {
	ctx, cancel := context.WithTimeout(context.Background(), testTime)
	t.Cleanup(cancel)
	return &site{t: t, is: is.New(t), ctx: ctx, clock: clock, memory: wagstore.NewMemory(), watchWait: 3 * time.Second}
}

// start runs a host of data centre dc1 until the test or its stop ends it.
func (s *site) start(name string, cut bool, seeds ...netip.AddrPort) *testHost {
	settings, err := wagsettings.Parse("test", []byte("[host]\nname = "+name+"\n"))
	s.is.NoErr(err)
	settings.Peers.Seeds = seeds
	settings.HostList.Address = netip.MustParseAddrPort("127.0.0.1:1")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.is.NoErr(err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &testHost{
		store: &cutStore{Memory: s.memory, clock: s.clock, wait: s.watchWait, watching: make(chan struct{}, 1)}, peer: netip.MustParseAddrPort(l.Addr().String()),
		armed: make(chan struct{}, 1), changed: make(chan struct{}, 1), inForce: make(map[string]int64),
	}
	h.store.cut(cut)
	h.Control = New(settings, h.store, WithClock(pacedClock{s.clock, h.armed}), WithLog(log), WithEvents(h),
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

// until waits for a condition that changes with the events of a host.
func (s *site) until(h *testHost, what string, condition func() bool) {
	s.t.Helper()
	for !condition() {
		select {
		case <-h.changed:
		case <-s.ctx.Done():
			s.t.Fatalf("%s: %s did not happen", h.self.Name, what)
		}
	}
}

// publish puts a document and returns its revision and text.
func (s *site) publish(text string) (int64, []byte) {
	p := wagpublish.New(s.memory, "test", s.clock.Now)
	prepared, err := p.Prepare(s.ctx, "test", []byte(text))
	s.is.NoErr(err)
	result, err := p.Commit(s.ctx, prepared)
	s.is.NoErr(err)
	return result.Document.Revision.Number, result.Document.Text
}

// step moves a manual clock by one tick of the hosts and lets them work.
func (s *site) step(clock *wagclock.Manual, hosts ...*testHost) {
	clock.Advance(tickTime)
	for _, h := range hosts {
		select {
		case <-h.armed:
		case <-s.ctx.Done():
			s.t.Fatal("the ticks stopped")
		}
	}
}
