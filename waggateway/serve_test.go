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

// running is a gateway that serves on a listener, by a clock of the test.
type running struct {
	t         *testing.T
	clock     *wagclock.Manual
	address   string
	stop      context.CancelFunc
	announced chan struct{}
	group     errgroup.Group
}

func newRunning(t *testing.T, grace time.Duration) *running {
	t.Helper()
	a := newBackend(t, "a", answerOK)
	f := newFixture(t, a, a, a) // one for each request
	r := &running{t: t, clock: wagclock.NewManual(time.Now()), announced: make(chan struct{})}
	f.gateway.clock = r.clock
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = l.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.group.Go(func() error {
		return f.gateway.Run(ctx, l, ShutdownOptions{GracePeriod: grace, Announce: func() { close(r.announced) }})
	})
	return r
}

func (r *running) dial() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	return c
}

// call sends a request on a connection and returns its answer, or an error.
func call(c net.Conn) (*http.Response, error) {
	if _, err := io.WriteString(c, "GET /status/1 HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n\r\n"); err != nil {
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
func (r *running) awaitClosed() {
	for {
		c, err := net.Dial("tcp", r.address)
		if err != nil {
			return
		}
		_ = c.Close()
	}
}

// awaitEnd lets time pass until the gateway has ended.
func (r *running) awaitEnd() {
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
			r.clock.Advance(drainTime)
		}
	}
}

// Guards against a planned stop that drops a request which arrives late on a
// connection: its packet was lost, and it was read when no connections were
// accepted any more.
func TestRequestAfterTheLastConnection(t *testing.T) {
	is := is.New(t)
	const grace = 4 * time.Second
	r := newRunning(t, grace)
	r.stop()
	<-r.announced
	r.clock.Advance(part(grace, acceptPart) - 100*time.Millisecond)
	late := r.dial()
	resp, err := call(r.dial()) // accepted after the other one
	is.NoErr(err)
	is.True(resp.Close)
	r.clock.Advance(100 * time.Millisecond)
	r.awaitClosed()
	resp, err = call(late)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(resp.Close)
	r.awaitEnd()
}

// Guards against a planned stop that lasts to the end of the grace because of
// connections that nobody uses.
func TestStopEndsWithoutRequests(t *testing.T) {
	is := is.New(t)
	const grace = time.Hour
	r := newRunning(t, grace)
	idle := r.dial()
	resp, err := call(idle)
	is.NoErr(err)
	is.True(!resp.Close)
	r.dial() // never sends a request
	r.stop()
	<-r.announced
	begun := r.clock.Now()
	r.clock.Advance(part(grace, acceptPart))
	r.awaitEnd()
	is.True(r.clock.Now().Sub(begun) < part(grace, acceptPart)+time.Minute)
}

// Guards against connections that stay open for ever, against ones that are ended
// before the limits of the configuration, and against a request that is lost because
// it was read at the moment at which its connection was closed (soak, seed 138).
func TestUnusedConnectionsEnd(t *testing.T) {
	is := is.New(t)
	c := newConnections()
	var ends []net.Conn
	start := time.Unix(1000, 0)
	for _, s := range []http.ConnState{http.StateNew, http.StateIdle, http.StateActive} {
		a, b := net.Pipe()
		defer func() { _ = b.Close() }()
		ends = append(ends, a)
		c.note(start, a, http.StateNew)
		c.note(start, a, s)
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
	c.endUnused(start, start)
	is.True(!ended(ends[0]))
	c.endUnused(start.Add(1), start)
	is.True(ended(ends[0]))
	is.True(!ended(ends[1]))
	is.Equal(c.endUnused(start.Add(1), start.Add(1)), 3)
	is.True(ended(ends[1]))
	is.True(!ended(ends[2]))
	c.note(start, ends[1], http.StateActive) // its request was read just before
	is.True(!ended(ends[1]))
	for _, end := range ends {
		c.note(start, end, http.StateClosed)
	}
	is.Equal(c.endUnused(start, start), 0)

	g := New(testProtocol{}, nil, nil)
	header, idle := g.timeouts()
	is.Equal([]time.Duration{header, idle}, []time.Duration{defaultHeaderTimeout, defaultIdleTimeout})
	config, err := wagsite.New(1, wagsite.Limits{HeaderTimeout: 8 * time.Second, IdleTimeout: 2 * time.Minute}, nil, nil)
	is.NoErr(err)
	g.SetConfig(config)
	header, idle = g.timeouts()
	is.Equal([]time.Duration{header, idle}, []time.Duration{8 * time.Second, 2 * time.Minute})
}

// Guards against headers that are longer than permitted, and against refusing ones
// that are as long as permitted.
func TestHeaderLimit(t *testing.T) {
	is := is.New(t)
	a := newBackend(t, "a", answerOK)
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
