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

// table is a membership that the test changes.
type table struct {
	members atomic.Pointer[[]wagmember.Member]
}

func (m *table) Members(time.Time) []wagmember.Member { return *m.members.Load() }

func (m *table) set(members ...wagmember.Member) { m.members.Store(&members) }

// faultyStore answers calls on claims with faults.
type faultyStore struct {
	*wagstore.Memory
	// down refuses all calls.
	down atomic.Bool
	// lost is how many writes of claims lose their answer; every second of them
	// has not taken effect.
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

// site is a few hosts of two data centres with one server.
type site struct {
	store   *faultyStore
	members *table
	claims  []*Claims
	callers []string
	// stop ends the claims of a host without giving up their leases.
	stop []context.CancelFunc
	mu   sync.Mutex
	// ran counts the runs of each key.
	ran map[string]int
	// hold is waited for by each run, if it is not nil.
	hold chan struct{}
	// entered gets a value from each run that is held.
	entered chan struct{}
}

func newSite(t testing.TB, hosts int, options ...Option) *site {
	is := is.New(t)
	s := &site{store: &faultyStore{Memory: wagstore.NewMemory()}, members: &table{}, ran: make(map[string]int), entered: make(chan struct{})}
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
		s.claims, s.callers = append(s.claims, claims), append(s.callers, wagentry.ListenerAddress(l.Caller).String())
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

func (s *site) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.ran[r.Header.Get(wagoutcome.IdempotencyKeyHeader)]++
	hold := s.hold
	s.mu.Unlock()
	if hold != nil {
		s.entered <- struct{}{}
		<-hold
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"order":"`+r.Header.Get(wagoutcome.IdempotencyKeyHeader)+`"}`)
}

func (s *site) runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[key]
}

// told is what a caller was told.
type told struct {
	status                             int
	outcome, reason, body, contentType string
}

// post makes a call through a host.
func (s *site) post(t testing.TB, host int, path, key, body string) told {
	a, err := s.postUnder(context.Background(), host, path, key, body)
	is.New(t).NoErr(err)
	return a
}

// postUnder makes a call that ends with ctx.
func (s *site) postUnder(ctx context.Context, host int, path, key, body string) (told, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.callers[host]+path, strings.NewReader(body))
	if err != nil {
		return told{}, err
	}
	r.Header.Set("Caller", "funeral-home")
	if key != "" {
		r.Header.Set(wagoutcome.IdempotencyKeyHeader, key)
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return told{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	h := resp.Header
	return told{resp.StatusCode, h.Get(wagoutcome.OutcomeHeader), h.Get(wagoutcome.ReasonHeader), string(text), h.Get("Content-Type")}, err
}

// newGroup runs n copies of f beside the test.
func newGroup(n int, f func()) *errgroup.Group {
	g := new(errgroup.Group)
	for range n {
		g.Go(func() error {
			f()
			return nil
		})
	}
	return g
}
