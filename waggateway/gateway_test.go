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

	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// Guards against work that runs twice, and against a caller who is told that a
// request was not run which a server may have run.
func TestWhatMayFollowAnAttempt(t *testing.T) {
	const idempotent, once = "/status/1", "/commit/1"
	for _, x := range []struct {
		name, path, first string
		// second tells whether a second server gets the request, and status is what
		// the caller gets.
		second bool
		status int
		fault  wagplacement.Fault
	}{
		{"answer", idempotent, answerOK, false, 200, wagplacement.FaultNone},
		{"answer once", once, answerOK, false, 200, wagplacement.FaultNone},
		{"rejected", idempotent, answerFull, true, 200, wagplacement.FaultRejected},
		{"rejected once", once, answerFull, true, 200, wagplacement.FaultRejected},
		{"other server", idempotent, answerOther, true, 200, wagplacement.FaultMisdirected},
		{"other server once", once, answerOther, true, 200, wagplacement.FaultMisdirected},
		{"closed", idempotent, answerNothing, true, 200, wagplacement.FaultBroken},
		{"closed once", once, answerNothing, false, 502, wagplacement.FaultBroken},
		{"short", idempotent, answerShort, true, 200, wagplacement.FaultBroken},
		{"short once", once, answerShort, false, 502, wagplacement.FaultBroken},
		{"unsigned", idempotent, answerUnsigned, true, 200, wagplacement.FaultBroken},
		{"unsigned once", once, answerUnsigned, false, 502, wagplacement.FaultBroken},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			a, b := newBackend(t, "a", x.first), newBackend(t, "b", answerOK)
			f := newFixture(t, a, b)
			resp, _ := f.call(t, http.MethodPost, x.path, strings.NewReader("body"))
			is.Equal(resp.StatusCode, x.status)
			is.Equal(b.count() == 1, x.second)
			is.Equal(a.count(), 1)
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

// Guards against a refusal that promises more than is known: once an attempt may
// have run, no status may say that the request has not run.
func TestRefusalsAreTrue(t *testing.T) {
	for _, x := range []struct {
		name, first string
		status      int
	}{
		{"nothing sent", "", 503},
		{"rejected", answerFull, 503},
		{"closed", answerNothing, 502},
		{"busy without proof", answerBusy, 502},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			var servers []*backend
			if x.name != "nothing sent" {
				servers = append(servers, newBackend(t, "a", x.first))
			}
			f := newFixture(t, servers...)
			resp, _ := f.call(t, http.MethodGet, "/status/1", nil)
			is.Equal(resp.StatusCode, x.status)
			is.Equal(resp.Header.Get("Signed"), "")
			is.Equal(resp.Header.Get("Retry-After") != "", x.status == 503)
		})
	}
}

// Guards against a failure of a server that is passed on as another one.
func TestFailuresOfServersPassUnchanged(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, newBackend(t, "a", answerError))
	resp, body := f.call(t, http.MethodPost, "/commit/1", strings.NewReader("x"))
	is.Equal(resp.StatusCode, 500)
	is.Equal(resp.Header.Get("Signed"), "1")
	is.Equal(body, "no")
	is.Equal(f.placer.results[0].Fault, wagplacement.FaultError)
}

// Guards against servers that are given more time than the caller and the route
// have left.
func TestTimeLeft(t *testing.T) {
	is := is.New(t)
	a := newBackend(t, "a", answerOK)
	f := newFixture(t, a)
	f.call(t, http.MethodGet, "/status/1", nil)
	left, err := strconv.Atoi(a.requests[0].Header.Get("Patience"))
	is.NoErr(err)
	is.True(left > 0 && left <= int(testTimeout.Milliseconds()))
	is.Equal(a.requests[0].Header.Get("Expect-Server"), "a")
}

// Guards against a request that is kept waiting beyond the timeout of its route,
// and against a server that works on after it.
func TestTimeoutEndsTheRequest(t *testing.T) {
	is := is.New(t)
	a := newBackend(t, "a", answerOK)
	a.hold = make(chan struct{})
	defer close(a.hold)
	f := newFixture(t, a)
	f.gateway.SetConfig(testConfig(t, 2, 50*time.Millisecond))
	resp, _ := f.call(t, http.MethodGet, "/status/1", nil)
	is.Equal(resp.StatusCode, 504)
	is.Equal(f.placer.results[0].Fault, wagplacement.FaultTimeout)
	<-a.gone
}

// Guards against a server that works for a caller who has left.
func TestCallerLeaves(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			a := newBackend(t, "a", answerOK)
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
			for a.count() == 0 {
				// The request is on its way.
				<-time.After(time.Millisecond)
			}
			cancel()
			<-a.gone
			is.True(g.Wait() != nil)
		})
	}
}

// raw sends bytes to the gateway and returns all that comes back.
func (f *fixture) raw(t *testing.T, text string) string {
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
	answer, _ := io.ReadAll(c)
	return string(answer)
}

// Guards against a request that is smuggled inside another one, or that reaches a
// server changed.
func TestNothingIsSmuggled(t *testing.T) {
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
			a, b := newBackend(t, "a", answerOK), newBackend(t, "b", answerOK)
			f := newFixture(t, a, b)
			f.raw(t, text)
			is.Equal(b.count(), 0) // no second request
			for _, q := range a.requests {
				is.Equal(q.RequestURI, "/status/%2e%2E/x?a=b&&c=%zz")
				is.Equal(q.Header.Get("Id"), "r1")
				is.Equal(q.Header.Get("X-Secret"), "")
				is.Equal(q.Header.Get("Connection"), "")
			}
		})
	}
}

// Guards against answers of pipelined requests that come in another order or at
// another request.
func TestPipelinedRequests(t *testing.T) {
	is := is.New(t)
	var servers []*backend
	var text strings.Builder
	for n := range 5 {
		servers = append(servers, newBackend(t, strconv.Itoa(n), answerOK))
		text.WriteString("GET /status/1 HTTP/1.1\r\nHost: a.example\r\nId: r" + strconv.Itoa(n) + "\r\n")
		if n == 4 {
			text.WriteString("Connection: close\r\n")
		}
		text.WriteString("\r\n")
	}
	f := newFixture(t, servers...)
	r := bufio.NewReader(strings.NewReader(f.raw(t, text.String())))
	for n := range 5 {
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		is.Equal(resp.Header.Get("Id"), "r"+strconv.Itoa(n))
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}

// Guards against long bodies that are kept in memory or change on the way, and
// against one above the limit that reaches a server.
func TestLongBodies(t *testing.T) {
	is := is.New(t)
	a := newBackend(t, "a", answerOK)
	f := newFixture(t, a)
	body := bytes.Repeat([]byte("0123456789"), 100<<10)
	resp, _ := f.call(t, http.MethodPost, "/commit/1", bytes.NewReader(body))
	is.Equal(resp.StatusCode, 200)
	is.Equal(a.bodies[0], string(body))

	b := newBackend(t, "b", answerOK)
	f = newFixture(t, b)
	resp, _ = f.call(t, http.MethodPost, "/commit/1", io.MultiReader(bytes.NewReader(body))) // in chunks
	is.Equal(resp.StatusCode, 200)
	is.Equal(b.bodies[0], string(body))

	f = newFixture(t, newBackend(t, "c", answerOK))
	resp, _ = f.call(t, http.MethodPost, "/commit/1", bytes.NewReader(make([]byte, 5<<20)))
	is.Equal(resp.StatusCode, 413)
	is.Equal(len(f.placer.requests), 0)
}

// Guards against a planned stop that cuts a request, and against connections that
// callers go on using.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	a := newBackend(t, "a", answerOK)
	a.hold = make(chan struct{})
	f := newFixture(t, a, newBackend(t, "b", answerOK))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
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
	for a.count() == 0 {
		<-time.After(time.Millisecond)
	}
	stop()
	<-announced
	is.True(!f.gateway.Ready())
	close(a.hold)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.True(resp.Close)
	is.NoErr(g.Wait())
}

// Guards against a host that asks a server for its health at a wrong path, or that
// has none.
func TestHealthPath(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	is.Equal(f.gateway.HealthPath("none"), "")
	is.Equal(New(testProtocol{}, f.placer, nil).HealthPath("lots"), "")
}

// Guards against a connection error that counts as an attempt that may have run.
func TestUnreachableServer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(l.Addr().String())
	is.NoErr(l.Close())
	gone := &backend{name: "gone", address: address}
	b := newBackend(t, "b", answerOK)
	f := newFixture(t, gone, b)
	resp, _ := f.call(t, http.MethodPost, "/commit/1", strings.NewReader("x"))
	is.Equal(resp.StatusCode, 200)
	is.Equal(f.placer.results[0].Fault, wagplacement.FaultConnect)
	is.Equal(b.instance(), wagserver.Instance{ID: "b", Address: b.address})
}
