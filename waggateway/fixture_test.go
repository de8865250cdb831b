package waggateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsite"
	"github.com/wagtailspar/wagtailspar/wagupstream"
)

// testProtocol is a Protocol with short header names.
type testProtocol struct{}

var _ Protocol = testProtocol{}

func (testProtocol) RequestID(h http.Header) string { return h.Get("Id") }

func (testProtocol) CallerTimeout(h http.Header) (time.Duration, bool) {
	ms, err := strconv.Atoi(h.Get("Patience"))
	return time.Duration(ms) * time.Millisecond, err == nil
}

func (testProtocol) SetServerHeaders(h http.Header, timeLeft time.Duration, serverID string) {
	h.Set("Patience", strconv.FormatInt(timeLeft.Milliseconds(), 10))
	h.Set("Expect-Server", serverID)
}

func (testProtocol) LoadReport(h http.Header) (wagplacement.Report, bool) {
	n, err := strconv.Atoi(h.Get("Running"))
	return wagplacement.Report{Running: n}, err == nil
}

func (testProtocol) ProvesNotRun(_ int, h http.Header) bool { return h.Get("Not-Run") != "" }
func (testProtocol) IsMisdirected(status int) bool          { return status == http.StatusMisdirectedRequest }
func (testProtocol) ServerID(h http.Header) string          { return h.Get("Server-Id") }
func (testProtocol) HasSignature(h http.Header) bool        { return h.Get("Signed") != "" }
func (testProtocol) IsLeaving(h http.Header) bool           { return h.Get("Leaving") != "" }
func (testProtocol) RemoveSignature(h http.Header)          { h.Del("Signed") }
func (testProtocol) SetRequestID(h http.Header, id string)  { h.Set("Id", id) }

func (testProtocol) BusyFor(status int, h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || status != http.StatusServiceUnavailable {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// Responses of servers. %s stands for the ID of the request.
const (
	responseOK          = "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nok"
	responseUnsigned    = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"
	responseError       = "HTTP/1.1 500 Failed\r\nId: %s\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nno"
	responseFull        = "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	responseBusy        = "HTTP/1.1 503 Busy\r\nId: %s\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n"
	responseMisdirected = "HTTP/1.1 421 Other\r\nId: %s\r\nContent-Length: 0\r\n\r\n"
	responseLeaving     = "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok"
	responseRetryAfter  = "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nRetry-After: 20\r\nContent-Length: 0\r\n\r\n"
	responseTruncated   = "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: 20\r\n\r\nok"
	responseNone        = ""
)

// testServer is a server that gives the same response to each request.
type testServer struct {
	name     string
	address  netip.AddrPort
	listener net.Listener
	group    errgroup.Group
	// hold delays responses until it is closed; nil for no delay.
	hold chan struct{}

	mu sync.Mutex
	// response is the text that is sent for each request; %s stands for its ID.
	response string
	// first replaces the first response of all, unless empty, and is written once more on
	// its connection before the next response there.
	first string
	// requests holds the received requests. closedWhileHeld receives one element for
	// each connection that the gateway closes while its response is held.
	requests        []*http.Request
	bodies          []string
	closedWhileHeld chan struct{}
	conns           []net.Conn
}

func newTestServer(t testing.TB, name, response string) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &testServer{name: name, response: response, listener: l, address: netip.MustParseAddrPort(l.Addr().String()), closedWhileHeld: make(chan struct{}, 100)}
	b.group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			b.mu.Lock()
			b.conns = append(b.conns, c)
			b.mu.Unlock()
			b.group.Go(func() error {
				b.serve(c)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		b.mu.Lock()
		for _, c := range b.conns {
			_ = c.Close()
		}
		b.mu.Unlock()
		_ = b.group.Wait()
	})
	return b
}

func (b *testServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	repeated := ""
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.requests, b.bodies = append(b.requests, q), append(b.bodies, string(body))
		response, hold := b.response, b.hold
		isFirst := b.first != "" && len(b.requests) == 1
		if isFirst {
			response = b.first
		}
		b.mu.Unlock()
		if repeated != "" {
			_, _ = io.WriteString(c, repeated)
		}
		repeated = ""
		if isFirst {
			repeated = fmt.Sprintf(response, q.Header.Get("Id"))
		}
		if hold != nil {
			var g errgroup.Group
			g.Go(func() error {
				if _, err := r.Peek(1); err != nil {
					b.closedWhileHeld <- struct{}{}
				}
				return nil
			})
			<-hold
		}
		if response == responseNone {
			return
		}
		if _, err := fmt.Fprintf(c, response, q.Header.Get("Id")); err != nil || response == responseTruncated || hold != nil {
			return
		}
	}
}

func (b *testServer) requestCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests)
}

func (b *testServer) instance() wagserver.Instance {
	return wagserver.Instance{ID: b.name, Address: b.address}
}

// fakePlacer grants the servers in order and records the requests and results.
type fakePlacer struct {
	mu       sync.Mutex
	servers  []*testServer
	requests []wagplacement.Request
	results  []wagplacement.Result
	// refusal is returned when no server is left.
	refusal wagowner.Refused
	// hedgeAfter is part of each grant.
	hedgeAfter time.Duration
	// hedgeWaits receives an element when a hedge begins to wait, which it does until its
	// context ends; nil if hedges do not wait. hedgeEnds receives why the context ended.
	hedgeWaits chan struct{}
	hedgeEnds  chan error
}

// placedFor returns how many servers were wanted for a request.
func (p *fakePlacer) placedFor(id string) (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.requests {
		if r.Name == id {
			count++
		}
	}
	return count
}

func (p *fakePlacer) Place(ctx context.Context, _ string, r wagplacement.Request) wagowner.Outcome {
	if r.Hedge && p.hedgeWaits != nil {
		p.hedgeWaits <- struct{}{}
		<-ctx.Done()
		p.hedgeEnds <- ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, r)
	if len(p.servers) == 0 {
		return p.refusal
	}
	b := p.servers[0]
	p.servers = p.servers[1:]
	return wagowner.Granted{Server: b.instance(), HedgeAfter: p.hedgeAfter, Finish: func(r wagplacement.Result) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.results = append(p.results, r)
	}}
}

// reportedResults returns the results that the gateway reported.
func (p *fakePlacer) reportedResults() []wagplacement.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]wagplacement.Result(nil), p.results...)
}

// fixture is a gateway behind a real listener.
type fixture struct {
	gateway *Gateway
	placer  *fakePlacer
	server  *httptest.Server
}

const (
	testTimeout       = 2 * time.Second
	testCallerTimeout = "5000"
)

func newFixture(t testing.TB, servers ...*testServer) *fixture {
	t.Helper()
	return newFixtureWith(t, nil, servers...)
}

// newFixtureWith returns a gateway with options.
func newFixtureWith(t testing.TB, opts []Option, servers ...*testServer) *fixture {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := wagupstream.NewPool("Id")
	f := &fixture{placer: &fakePlacer{servers: servers, refusal: wagowner.Refused{Reason: wagplacement.ReasonOverload, RetryAt: time.Now().Add(time.Minute)}}}
	f.gateway = New(testProtocol{}, f.placer, pool, append(opts, WithLog(log))...)
	f.gateway.SetConfig(testConfig(t, 1, testTimeout))
	f.server = httptest.NewUnstartedServer(f.gateway)
	f.server.Config.ConnContext, f.server.Config.ConnState = connContext, connState
	f.server.Listener = callerListener{Listener: f.server.Listener, gateway: f.gateway}
	f.server.Start()
	t.Cleanup(func() {
		f.server.Close()
		pool.Close()
	})
	return f
}

// testHeaderBytes is the limit of the header of a request.
const testHeaderBytes = 8 << 10

func testConfig(t testing.TB, version wagsite.Version, timeout time.Duration) *wagsite.Config {
	t.Helper()
	route := func(name, prefix string, idempotent bool) wagsite.Route {
		return wagsite.Route{
			Name: name, Host: "a.example", Prefix: prefix, Idempotent: idempotent, Timeout: timeout, Goal: time.Second, Attempts: 2, Rank: 1,
			TrafficSplit: []wagsite.WeightedService{{Service: "lots", Weight: 1}},
		}
	}
	single := route("single", "/single/", true)
	single.Attempts = 1
	c, err := wagsite.New(version, wagsite.Limits{BodyBytes: 4 << 20, HeaderBytes: testHeaderBytes}, []wagsite.Service{{Name: "lots"}},
		[]wagsite.Route{route("status", "/status/", true), route("commit", "/commit/", false), single})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// send sends a request and returns the response and its body.
func (f *fixture) send(t *testing.T, method, path string, body io.Reader) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, f.server.URL+path, body)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Id", "r1")
	r.Header.Set("Patience", testCallerTimeout)
	resp, err := f.server.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(text)
}
