package waggateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagsite"
)

// runningGateway is a gateway that serves on a listener and uses the clock of the test.
type runningGateway struct {
	t         *testing.T
	gateway   *Gateway
	clock     *wagclock.Manual
	address   string
	shutDown  context.CancelFunc
	announced chan struct{}
	group     errgroup.Group
}

func newRunningGateway(t *testing.T, grace time.Duration, opts ...Option) *runningGateway {
	t.Helper()
	a := newTestServer(t, "a", responseOK)
	return run(t, grace, newFixtureWith(t, opts, a, a, a)) // one for each request
}

// run runs the gateway of a fixture with a clock of the test.
func run(t *testing.T, grace time.Duration, f *fixture) *runningGateway {
	t.Helper()
	r := &runningGateway{t: t, gateway: f.gateway, clock: wagclock.NewManual(time.Now()), announced: make(chan struct{})}
	f.gateway.clock = r.clock
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = l.Addr().String()
	ctx, shutDown := context.WithCancel(context.Background())
	r.shutDown = shutDown
	r.group.Go(func() error {
		return f.gateway.Run(ctx, l, ShutdownOptions{GracePeriod: grace, Announce: func() { close(r.announced) }})
	})
	return r
}

func (r *runningGateway) dial() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	return c
}

// sendRequest sends a request on a connection and returns the response.
func sendRequest(c net.Conn) (*http.Response, error) { return sendRequestFor(c, testCallerTimeout) }

// sendRequestFor sends a request of a caller that waits for a number of milliseconds.
func sendRequestFor(c net.Conn, timeout string) (*http.Response, error) {
	if _, err := io.WriteString(c, "GET /status/1 HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nPatience: "+timeout+"\r\n\r\n"); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// awaitClosed waits until no connections are accepted any more.
func (r *runningGateway) awaitClosed() {
	for {
		c, err := net.Dial("tcp", r.address)
		if err != nil {
			return
		}
		_ = c.Close()
	}
}

// awaitEnd advances the clock until Run of the gateway has returned.
func (r *runningGateway) awaitEnd() {
	ended := make(chan error, 1)
	var g errgroup.Group
	g.Go(func() error {
		ended <- r.group.Wait()
		return nil
	})
	for {
		select {
		case err := <-ended:
			if err != nil {
				r.t.Error(err)
			}
			return
		case <-time.After(time.Millisecond):
			r.clock.Advance(drainCheckInterval)
		}
	}
}

// Guards against a graceful shutdown that drops a request which arrives late on an open
// connection: its packet was lost, and it is read when connections are no longer
// accepted.
func TestRequestAfterTheLastConnection(t *testing.T) {
	is := is.New(t)
	const grace = 4 * time.Second
	r := newRunningGateway(t, grace)
	r.shutDown()
	<-r.announced
	r.clock.Advance(fraction(grace, acceptFraction) - 100*time.Millisecond)
	late := r.dial()
	resp, err := sendRequest(r.dial()) // accepted after the other one
	is.NoErr(err)
	is.True(resp.Close)
	r.clock.Advance(100 * time.Millisecond)
	r.awaitClosed()
	resp, err = sendRequest(late)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(resp.Close)
	r.awaitEnd()
}

// Guards against a graceful shutdown that takes the whole grace period because of
// unused connections.
func TestShutdownClosesUnusedConnections(t *testing.T) {
	is := is.New(t)
	const grace = time.Hour
	r := newRunningGateway(t, grace)
	idle := r.dial()
	resp, err := sendRequest(idle)
	is.NoErr(err)
	is.True(!resp.Close)
	r.dial() // never sends a request
	r.shutDown()
	<-r.announced
	start := r.clock.Now()
	r.clock.Advance(fraction(grace, acceptFraction))
	r.awaitEnd()
	is.True(r.clock.Now().Sub(start) < fraction(grace, acceptFraction)+time.Minute)
}

// Guards against unused connections that stay open forever, against connections that
// are closed before the limits of the configuration, and against a request that is lost
// because it was read at the moment at which its connection was closed (soak, seed
// 138).
func TestUnusedConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	c := newConnTracker()
	var ends []net.Conn
	start := time.Unix(1000, 0)
	for _, s := range []http.ConnState{http.StateNew, http.StateIdle, http.StateActive} {
		a, b := net.Pipe()
		defer func() { _ = b.Close() }()
		ends = append(ends, a)
		c.setState(start, a, http.StateNew)
		c.setState(start, a, s)
	}
	ended := func(c net.Conn) bool {
		read := make(chan error, 1)
		var g errgroup.Group
		g.Go(func() error {
			_, err := c.Read(make([]byte, 1))
			read <- err
			return nil
		})
		select {
		case err := <-read:
			return err != nil
		case <-time.After(10 * time.Millisecond):
			return false
		}
	}
	c.closeUnused(start, start)
	is.True(!ended(ends[0]))
	c.closeUnused(start.Add(1), start)
	is.True(ended(ends[0]))
	is.True(!ended(ends[1]))
	is.Equal(c.closeUnused(start.Add(1), start.Add(1)), 3)
	is.True(ended(ends[1]))
	is.True(!ended(ends[2]))
	c.setState(start, ends[1], http.StateActive) // its request was read just before
	is.True(!ended(ends[1]))
	for _, end := range ends {
		c.setState(start, end, http.StateClosed)
	}
	is.Equal(c.closeUnused(start, start), 0)

	g := New(testProtocol{}, nil, nil)
	header, idle := g.timeouts()
	is.Equal([]time.Duration{header, idle}, []time.Duration{defaultHeaderTimeout, defaultIdleTimeout})
	config, err := wagsite.New(1, wagsite.Limits{HeaderTimeout: 8 * time.Second, IdleTimeout: 2 * time.Minute}, nil, nil)
	is.NoErr(err)
	g.SetConfig(config)
	header, idle = g.timeouts()
	is.Equal([]time.Duration{header, idle}, []time.Duration{8 * time.Second, 2 * time.Minute})
}

// Guards against headers above the limit that are accepted, and against headers at the
// limit that are rejected.
func TestHeaderLimit(t *testing.T) {
	is := is.New(t)
	a := newTestServer(t, "a", responseOK)
	f := newFixture(t, a, a)
	get := func(fill int) int {
		c, err := net.Dial("tcp", f.server.Listener.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		head := "GET /status/1 HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nFill: "
		_, err = io.WriteString(c, head+strings.Repeat("x", fill-len(head)-len("\r\n\r\n"))+"\r\n\r\n")
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	is.Equal(get(testHeaderBytes), http.StatusOK)
	is.Equal(get(testHeaderBytes+8), http.StatusRequestHeaderFieldsTooLarge)
}
