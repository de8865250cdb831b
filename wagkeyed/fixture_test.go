package wagkeyed

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagentry"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsettings"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

const testDocument = `[service]
name = ordering
deadline = 20s
[revision]
number = 1
[route "order"]
path = /orders
keyed = true
[route "stock"]
path = /stock
repeatable = true
[caller]
header = Caller
`

// testMembership is a membership that the test changes.
type testMembership struct {
	members atomic.Pointer[[]wagmember.Member]
}

func (m *testMembership) Members(time.Time) []wagmember.Member { return *m.members.Load() }

func (m *testMembership) set(members ...wagmember.Member) { m.members.Store(&members) }

// faultyStore is a store with faults.
type faultyStore struct {
	*wagstore.Memory
	// down makes every read and write fail.
	down atomic.Bool
	// lost is how many writes of claims return an unknown result. Every second of
	// them does not take effect.
	lost atomic.Int64
	// delay is how long a write takes, in nanoseconds.
	delay atomic.Int64
}

func (s *faultyStore) Get(ctx context.Context, key string) (wagstore.Object, error) {
	if s.down.Load() {
		return wagstore.Object{}, wagstore.ErrUnavailable
	}
	return s.Memory.Get(ctx, key)
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, expected wagstore.Version) (wagstore.Version, error) {
	if s.down.Load() {
		return "", wagstore.ErrUnavailable
	}
	if d := s.delay.Load(); d > 0 {
		fired, _ := wagclock.System{}.TimerAt(time.Now().Add(time.Duration(d)))
		<-fired
	}
	if strings.HasPrefix(key, "claims/") {
		if n := s.lost.Add(-1); n >= 0 {
			if n%2 == 0 {
				_, _ = s.Memory.Put(ctx, key, value, expected)
			}
			return "", wagstore.ErrUnknown
		}
	}
	return s.Memory.Put(ctx, key, value, expected)
}

// testSite is a site of a few hosts in two data centres with one server.
type testSite struct {
	store           *faultyStore
	members         *testMembership
	claims          []*Claims
	callerAddresses []string
	// stop ends the Claims of a host without releasing their leases.
	stop []context.CancelFunc
	mu   sync.Mutex
	// runsByKey counts the requests that the server ran, by key.
	runsByKey map[string]int
	// hold blocks each request at the server until it is closed, if it is not
	// nil.
	hold chan struct{}
	// entered receives a value for each request that is blocked.
	entered chan struct{}
}

// newSite starts a site that ends with the test.
func newSite(t testing.TB, hosts int, options ...Option) *testSite {
	is := is.New(t)
	s := &testSite{store: &faultyStore{Memory: wagstore.NewMemory()}, members: &testMembership{}, runsByKey: make(map[string]int), entered: make(chan struct{})}
	server := httptest.NewServer(http.HandlerFunc(s.serve))
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
		server.Close()
	})
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	d, err := wagdocument.Parse("documents/ordering", []byte(testDocument))
	is.NoErr(err)
	var members []wagmember.Member
	for i := range hosts {
		loopback := netip.MustParseAddrPort("127.0.0.1:0")
		l, err := wagentry.Listen(loopback, loopback, loopback)
		is.NoErr(err)
		m := wagmember.Member{Name: string(rune('a' + i)), DataCentre: "dc" + string(rune('1'+i%2)), Incarnation: uint64(i + 1), Forward: wagentry.ListenerAddress(l.Forward)}
		members = append(members, m)
		settings, err := wagsettings.Parse("settings", []byte("[host]\nreadyDelay = 0s\nname = "+m.Name+"\ndataCentre = "+m.DataCentre+"\n"))
		is.NoErr(err)
		log := logrus.New()
		log.SetOutput(io.Discard)
		claims := New(m, s.members, s.store, append(options, WithSecrets([]string{"secret-of-the-tests"}))...)
		e := wagentry.New(settings, wagentry.WithLog(log), wagentry.WithListeners(l), wagentry.WithMembers(s.members), wagentry.WithClaims(claims))
		e.SetDocuments(map[string]*wagdocument.Document{"ordering": d})
		e.SetServers([]wagserver.Server{{Service: "ordering", DataCentre: m.DataCentre, Address: address, State: wagserver.Live}})
		s.claims, s.callerAddresses = append(s.claims, claims), append(s.callerAddresses, wagentry.ListenerAddress(l.Caller).String())
		s.members.set(members...)
		g.Go(func() error { return e.Run(ctx) })
	}
	for _, c := range s.claims {
		run, stop := context.WithCancel(ctx)
		s.stop = append(s.stop, stop)
		g.Go(func() error { return c.Run(run) })
	}
	return s
}

// serve handles a request at the server.
func (s *testSite) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.runsByKey[r.Header.Get(wagoutcome.IdempotencyKeyHeader)]++
	hold := s.hold
	s.mu.Unlock()
	if hold != nil {
		s.entered <- struct{}{}
		<-hold
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"order":"`+r.Header.Get(wagoutcome.IdempotencyKeyHeader)+`"}`)
}

// runs returns how often a request with the key ran.
func (s *testSite) runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByKey[key]
}

// callerResponse is the response that a caller got.
type callerResponse struct {
	status                             int
	outcome, reason, body, contentType string
}

// post sends a request through a host.
func (s *testSite) post(t testing.TB, host int, path, key, body string) callerResponse {
	response, err := s.postWithContext(context.Background(), host, path, key, body)
	is.New(t).NoErr(err)
	return response
}

// postWithContext sends a request that ends with ctx.
func (s *testSite) postWithContext(ctx context.Context, host int, path, key, body string) (callerResponse, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.callerAddresses[host]+path, strings.NewReader(body))
	if err != nil {
		return callerResponse{}, err
	}
	r.Header.Set("Caller", "funeral-home")
	if key != "" {
		r.Header.Set(wagoutcome.IdempotencyKeyHeader, key)
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return callerResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	h := resp.Header
	return callerResponse{resp.StatusCode, h.Get(wagoutcome.OutcomeHeader), h.Get(wagoutcome.ReasonHeader), string(text), h.Get("Content-Type")}, err
}

// startWorkers runs n copies of f in the background.
func startWorkers(n int, f func()) *errgroup.Group {
	g := new(errgroup.Group)
	for range n {
		g.Go(func() error {
			f()
			return nil
		})
	}
	return g
}
