package waggateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagbudget"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// Guards against a request that runs twice, and against a caller who is told that a
// request was not run although a server may have run it.
func TestWhatMayFollowAnAttempt(t *testing.T) {
	const idempotent, once = "/status/1", "/commit/1"
	for _, x := range []struct {
		name, path, first string
		// second reports whether a second server receives the request, and status is
		// the one that the caller receives.
		second bool
		status int
		fault  wagplacement.Fault
	}{
		{"answer", idempotent, responseOK, false, 200, wagplacement.FaultNone},
		{"answer once", once, responseOK, false, 200, wagplacement.FaultNone},
		{"rejected", idempotent, responseFull, true, 200, wagplacement.FaultRejected},
		{"rejected once", once, responseFull, true, 200, wagplacement.FaultRejected},
		{"other server", idempotent, responseMisdirected, true, 200, wagplacement.FaultMisdirected},
		{"other server once", once, responseMisdirected, true, 200, wagplacement.FaultMisdirected},
		{"closed", idempotent, responseNone, true, 200, wagplacement.FaultBroken},
		{"closed once", once, responseNone, false, 502, wagplacement.FaultBroken},
		{"short", idempotent, responseTruncated, true, 200, wagplacement.FaultBroken},
		{"short once", once, responseTruncated, false, 502, wagplacement.FaultBroken},
		{"unsigned", idempotent, responseUnsigned, true, 200, wagplacement.FaultBroken},
		{"unsigned once", once, responseUnsigned, false, 502, wagplacement.FaultBroken},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			a, b := newTestServer(t, "a", x.first), newTestServer(t, "b", responseOK)
			f := newFixture(t, a, b)
			resp, _ := f.send(t, http.MethodPost, x.path, strings.NewReader("body"))
			is.Equal(resp.StatusCode, x.status)
			is.Equal(b.requestCount() == 1, x.second)
			is.Equal(a.requestCount(), 1)
			is.Equal(f.placer.results[0].Fault, x.fault)
			if x.second {
				is.Equal(b.bodies[0], "body")
				is.Equal(f.placer.requests[1].Avoid, []string{"a"})
				is.True(f.placer.requests[1].Repeat)
			}
			if x.status != 200 {
				is.Equal(resp.Header.Get("Signed"), "")
			}
		})
	}
}

// Guards against a status that says that the request was not run, after an attempt that
// may have run it.
func TestStatusAfterPossibleRun(t *testing.T) {
	for _, x := range []struct {
		name, first string
		status      int
	}{
		{"nothing sent", "", 503},
		{"rejected", responseFull, 503},
		{"closed", responseNone, 502},
		{"busy without proof", responseBusy, 502},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			var servers []*testServer
			if x.name != "nothing sent" {
				servers = append(servers, newTestServer(t, "a", x.first))
			}
			f := newFixture(t, servers...)
			resp, _ := f.send(t, http.MethodGet, "/status/1", nil)
			is.Equal(resp.StatusCode, x.status)
			is.Equal(resp.Header.Get("Signed"), "")
			is.Equal(resp.Header.Get("Retry-After") != "", x.status == 503)
		})
	}
}

// Guards against an error response of a server that is replaced or changed.
func TestServerErrorIsPassedOn(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, newTestServer(t, "a", responseError))
	resp, body := f.send(t, http.MethodPost, "/commit/1", strings.NewReader("x"))
	is.Equal(resp.StatusCode, 500)
	is.Equal(resp.Header.Get("Signed"), "1")
	is.Equal(body, "no")
	is.Equal(f.placer.results[0].Fault, wagplacement.FaultError)
}

// Guards against a server that is given more time than the caller and the route have
// left.
func TestServerGetsTimeLeft(t *testing.T) {
	is := is.New(t)
	a := newTestServer(t, "a", responseOK)
	f := newFixture(t, a)
	f.send(t, http.MethodGet, "/status/1", nil)
	timeLeft, err := strconv.Atoi(a.requests[0].Header.Get("Patience"))
	is.NoErr(err)
	is.True(timeLeft > 0 && timeLeft <= int(testTimeout.Milliseconds()))
	is.Equal(a.requests[0].Header.Get("Expect-Server"), "a")
}

// Guards against a request that is not ended at the timeout of its route, and against a
// server that goes on working on it.
func TestTimeoutEndsTheRequest(t *testing.T) {
	is := is.New(t)
	a := newTestServer(t, "a", responseOK)
	a.hold = make(chan struct{})
	defer close(a.hold)
	f := newFixture(t, a)
	f.gateway.SetConfig(testConfig(t, 2, 50*time.Millisecond))
	resp, _ := f.send(t, http.MethodGet, "/status/1", nil)
	is.Equal(resp.StatusCode, 504)
	is.Equal(f.placer.results[0].Fault, wagplacement.FaultTimeout)
	<-a.closedWhileHeld
}

// Guards against a server that goes on working for a caller who has left.
func TestCallerLeaves(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			a := newTestServer(t, "a", responseOK)
			a.hold = make(chan struct{})
			defer close(a.hold)
			f := newFixture(t, a)
			ctx, cancel := context.WithCancel(context.Background())
			r, err := http.NewRequestWithContext(ctx, method, f.server.URL+"/commit/1", strings.NewReader("body"))
			is.NoErr(err)
			r.Host = "a.example"
			var g errgroup.Group
			g.Go(func() error {
				resp, err := f.server.Client().Do(r)
				if err == nil {
					_ = resp.Body.Close()
				}
				return err
			})
			for a.requestCount() == 0 {
				// The server has not received the request yet.
				<-time.After(time.Millisecond)
			}
			cancel()
			<-a.closedWhileHeld
			is.True(g.Wait() != nil)
		})
	}
}

// sendRaw sends bytes to the gateway and returns everything that it sends back.
func (f *fixture) sendRaw(t *testing.T, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, _ := io.ReadAll(c)
	return string(response)
}

// Guards against request smuggling, and against a request that reaches a server with a
// changed target or header.
func TestRequestSmuggling(t *testing.T) {
	head := "POST /status/%2e%2E/x?a=b&&c=%zz HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nConnection: close\r\n"
	hidden := "GET /status/hidden HTTP/1.1\r\nHost: a.example\r\nId: r2\r\n\r\n"
	for name, text := range map[string]string{
		"length and chunks": head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"two lengths":       head + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + hidden,
		"odd encoding":      head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + hidden,
		"space in name":     head + "Content-Length : 5\r\n\r\n12345" + hidden,
		"line folding":      head + "X-Long: a\r\n Transfer-Encoding: chunked\r\n\r\n" + hidden,
		"hidden in a body":  head + "Content-Length: " + strconv.Itoa(len(hidden)) + "\r\n\r\n" + hidden,
		"hop header named":  head + "Connection: X-Secret, Content-Length\r\nX-Secret: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := newTestServer(t, "a", responseOK), newTestServer(t, "b", responseOK)
			f := newFixture(t, a, b)
			f.sendRaw(t, text)
			is.Equal(b.requestCount(), 0) // no second request
			for _, q := range a.requests {
				is.Equal(q.RequestURI, "/status/%2e%2E/x?a=b&&c=%zz")
				is.Equal(q.Header.Get("Id"), "r1")
				is.Equal(q.Header.Get("X-Secret"), "")
				is.Equal(q.Header.Get("Connection"), "")
			}
		})
	}
}

// Guards against responses to pipelined requests that arrive out of order or are
// matched to another request.
func TestPipelinedRequests(t *testing.T) {
	is := is.New(t)
	var servers []*testServer
	var text strings.Builder
	for n := range 5 {
		servers = append(servers, newTestServer(t, strconv.Itoa(n), responseOK))
		text.WriteString("GET /status/1 HTTP/1.1\r\nHost: a.example\r\nId: r" + strconv.Itoa(n) + "\r\n")
		if n == 4 {
			text.WriteString("Connection: close\r\n")
		}
		text.WriteString("\r\n")
	}
	f := newFixture(t, servers...)
	r := bufio.NewReader(strings.NewReader(f.sendRaw(t, text.String())))
	for n := range 5 {
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		is.Equal(resp.Header.Get("Id"), "r"+strconv.Itoa(n))
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}

// Guards against long bodies that are changed while they are streamed, and against a
// body above the limit that reaches a server.
func TestLongBodies(t *testing.T) {
	is := is.New(t)
	a := newTestServer(t, "a", responseOK)
	f := newFixture(t, a)
	body := bytes.Repeat([]byte("0123456789"), 100<<10)
	resp, _ := f.send(t, http.MethodPost, "/commit/1", bytes.NewReader(body))
	is.Equal(resp.StatusCode, 200)
	is.Equal(a.bodies[0], string(body))

	b := newTestServer(t, "b", responseOK)
	f = newFixture(t, b)
	resp, _ = f.send(t, http.MethodPost, "/commit/1", io.MultiReader(bytes.NewReader(body))) // in chunks
	is.Equal(resp.StatusCode, 200)
	is.Equal(b.bodies[0], string(body))

	f = newFixture(t, newTestServer(t, "c", responseOK))
	resp, _ = f.send(t, http.MethodPost, "/commit/1", bytes.NewReader(make([]byte, 5<<20)))
	is.Equal(resp.StatusCode, 413)
	is.Equal(len(f.placer.requests), 0)
}

// Guards against a graceful shutdown that cuts off a request, and against connections
// that callers go on using.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	a := newTestServer(t, "a", responseOK)
	a.hold = make(chan struct{})
	f := newFixture(t, a, newTestServer(t, "b", responseOK))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, shutDown := context.WithCancel(context.Background())
	announced := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		return f.gateway.Run(ctx, l, ShutdownOptions{GracePeriod: 2 * time.Second, Announce: func() { close(announced) }})
	})
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /status/1 HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n\r\n")
	is.NoErr(err)
	for a.requestCount() == 0 {
		<-time.After(time.Millisecond)
	}
	shutDown()
	<-announced
	is.True(!f.gateway.Ready())
	close(a.hold)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.True(resp.Close)
	is.NoErr(g.Wait())
}

// Guards against a health path for a service without one, and before the first
// configuration.
func TestHealthPath(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	is.Equal(f.gateway.HealthPath("none"), "")
	is.Equal(New(testProtocol{}, f.placer, nil).HealthPath("lots"), "")
}

// Guards against a failed connect that counts as an attempt which may have run.
func TestUnreachableServer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(l.Addr().String())
	is.NoErr(l.Close())
	unreachable := &testServer{name: "gone", address: address}
	b := newTestServer(t, "b", responseOK)
	f := newFixture(t, unreachable, b)
	resp, _ := f.send(t, http.MethodPost, "/commit/1", strings.NewReader("x"))
	is.Equal(resp.StatusCode, 200)
	is.Equal(f.placer.results[0].Fault, wagplacement.FaultConnect)
	is.Equal(b.instance(), wagserver.Instance{ID: "b", Address: b.address})
}

// Guards against requests to a server that has stated on a response that it is leaving,
// or that has turned this host away for some time, when the owner still grants it.
func TestRestrictedServer(t *testing.T) {
	for _, x := range []struct {
		name, first string
		leaving     bool
	}{
		{"leaving", responseLeaving, true},
		{"busy", responseRetryAfter, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			a, b := newTestServer(t, "a", x.first), newTestServer(t, "b", responseOK)
			f := newFixture(t, a, b, a, a, a, b)
			f.send(t, http.MethodGet, "/status/1", nil)
			f.placer.mu.Lock()
			f.placer.servers = []*testServer{a, a, b}
			f.placer.requests, f.placer.results = nil, nil
			f.placer.mu.Unlock()
			resp, _ := f.send(t, http.MethodPost, "/commit/1", strings.NewReader("body"))
			is.Equal(resp.StatusCode, 200)
			is.Equal(a.requestCount(), 1)
			is.Equal(f.placer.requests[0].Avoid, []string{"a"})
			is.True(!f.placer.requests[2].Repeat) // nothing was sent
			is.Equal(f.placer.results[0].Fault, wagplacement.FaultRejected)
			is.Equal(f.placer.results[0].Leaving, x.leaving) // a new owner learns of it
		})
	}
}

// Guards against uploads that together fill the memory of a host, against one that is
// not served because of that, and against memory that stays reserved.
func TestUploadsAreBounded(t *testing.T) {
	is := is.New(t)
	a, b := newTestServer(t, "a", responseOK), newTestServer(t, "b", responseOK)
	f := newFixture(t, a, a, b)
	body := strings.Repeat("x", 100<<10)
	resp, _ := f.send(t, http.MethodPost, "/commit/1", strings.NewReader(body))
	is.Equal(resp.StatusCode, 200)
	const other = wagbudget.ConnID(1 << 40)
	budget := f.gateway.callers.budget
	_, ok := budget.Open(other, defaultMemoryBytes*3/4-maxBufferedBody/4)
	is.True(ok)
	budget.SetPhase(other, wagbudget.Busy)
	resp, _ = f.send(t, http.MethodPost, "/commit/2", strings.NewReader(body))
	is.Equal(resp.StatusCode, 200)
	is.Equal(a.bodies, []string{body, body})
	resp, _ = f.send(t, http.MethodPost, "/commit/3", strings.NewReader("short"))
	is.Equal(resp.StatusCode, 200)
	f.server.Close() // waits for the handlers
	is.Equal(f.gateway.BudgetStats().Connections, 1)
	budget.Close(other)
	is.Equal(f.gateway.BudgetStats().UsedBytes, int64(0))
}

// Guards against a refusal that a server writes once more, late, on a kept connection: a
// request that is sent there again has the same ID, so that the caller would be told that
// it did not run, or it would run at a second server, too.
func TestRepeatedRefusalAnswersNoOtherSending(t *testing.T) {
	for _, path := range []string{"/commit/1", "/status/1"} {
		is := is.New(t)
		server, other := newTestServer(t, "a", responseOK), newTestServer(t, "b", responseOK)
		server.first = responseFull
		f := newFixture(t, server, server, other)
		resp, body := f.send(t, http.MethodGet, path, nil)
		is.Equal(resp.StatusCode, 200)
		is.Equal(body, "ok")
		is.Equal(server.requestCount(), 2)
		is.Equal(other.requestCount(), 0)
	}
}
