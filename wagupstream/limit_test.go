package wagupstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// newEchoServer starts a server that answers requests until the connection ends. It
// waits for a value of hold before each answer unless hold is nil.
func newEchoServer(t *testing.T, hold chan struct{}) *scriptedServer {
	t.Helper()
	return newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		for q := readRequest(r); q != nil; q = readRequest(r) {
			if hold != nil {
				<-hold
			}
			_, _ = io.WriteString(c, responseText(q.Header.Get(idHeader), "ok"))
		}
	})
}

// Guards against a pool that exceeds its share of the descriptors because each server
// keeps idle connections, and against one that closes a recently used connection while
// another has been idle for longer.
func TestLongestIdleConnectionIsClosedAtTheBound(t *testing.T) {
	is := is.New(t)
	a, b, c := newEchoServer(t, nil), newEchoServer(t, nil), newEchoServer(t, nil)
	now := time.Now()
	p := NewPool(idHeader, WithMaxConnections(2), WithNow(func() time.Time { return now }))
	defer p.Close()
	for _, x := range []struct {
		server *scriptedServer
		reused bool
	}{{a, false}, {b, false}, {a, true}, {c, false}, {a, true}, {b, false}} {
		now = now.Add(time.Millisecond)
		_, reused, err := send(p, x.server, newGet("r1"))
		is.NoErr(err)
		is.Equal(reused, x.reused)
		is.True(p.Stats().Open <= 2)
	}
	is.Equal(p.Stats().Evicted, uint64(2))
	is.Equal(p.Stats().Refused, uint64(0))
}

// Guards against a connection beyond the bound while none is idle, against an error that
// looks like a fault of the server, and against a place that is not given back when a
// connection is closed, cannot be opened, or is closed twice.
func TestTooManyConnections(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	s := newEchoServer(t, hold)
	p := NewPool(idHeader, WithMaxConnections(1))
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error {
		_, _, err := p.Exchange(ctx, s.target(), newGet("r1"), time.Now().Add(time.Second))
		return err
	})
	raw := <-s.accepted
	_, _, err := send(p, s, newGet("r2"))
	is.True(errors.Is(err, ErrTooManyConnections))
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(p.Stats().Refused, uint64(1))
	is.Equal(p.Stats().Open, 1)
	cancel()
	is.True(g.Wait() != nil)
	_ = raw.Close() // fails if the stand-in has seen the end of the connection and closed it
	close(hold)
	is.Equal(p.Stats().Open, 0)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	gone := &scriptedServer{listener: l}
	is.NoErr(l.Close())
	_, _, err = send(p, gone, newGet("r3"))
	is.True(errors.Is(err, ErrNotSent))
	is.True(!errors.Is(err, ErrTooManyConnections))
	is.Equal(p.Stats().Open, 0)
	_, _, err = send(p, s, newGet("r4"))
	is.NoErr(err)
	p.Close()
	is.Equal(p.Stats().Open, 0)
}

// Guards against more connections than the bound when many requests start together.
func TestBoundHoldsForConcurrentRequests(t *testing.T) {
	is := is.New(t)
	s := newEchoServer(t, nil)
	const bound = 4
	p := NewPool(idHeader, WithMaxConnections(bound))
	defer p.Close()
	var g errgroup.Group
	for range 16 {
		g.Go(func() error {
			for range 50 {
				_, _, err := send(p, s, newGet("r1"))
				if err != nil && !errors.Is(err, ErrTooManyConnections) {
					return err
				}
				if open := p.Stats().Open; open > bound {
					return errors.Errorf("%d connections are open", open)
				}
			}
			return nil
		})
	}
	is.NoErr(g.Wait())
}

// Guards against a server that costs a host many times the size of a head by headers of
// very many short lines, and against a bound that also counts the lines of a body.
func TestManyHeadLines(t *testing.T) {
	for name, x := range map[string]struct {
		lines, bodyLines int
		ok               bool
	}{
		"head within the bound": {lines: 400, ok: true},
		"lines of a body":       {lines: 400, bodyLines: 1536, ok: true},
		"head over the bound":   {lines: 2048},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				q := readRequest(r)
				if q == nil {
					return
				}
				text := responseText(q.Header.Get(idHeader), strings.Repeat("\n", x.bodyLines))
				_, _ = io.WriteString(c, strings.Replace(text, "\r\n", "\r\n"+strings.Repeat("A: \r\n", x.lines), 1))
			})
			p := NewPool(idHeader)
			defer p.Close()
			resp, _, err := send(p, s, newGet("r1"))
			if !x.ok {
				is.True(errors.Is(err, ErrInvalidResponse))
				return
			}
			is.NoErr(err)
			is.Equal(len(resp.Body), x.bodyLines)
		})
	}
}

type failingDialer struct{ err error }

func (d failingDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	return nil, d.err
}

// Guards against servers that are taken for unreachable because this process has no
// descriptor left.
func TestOutOfDescriptors(t *testing.T) {
	is := is.New(t)
	s := newEchoServer(t, nil)
	p := NewPool(idHeader, WithDialer(failingDialer{&net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}}))
	_, _, err := send(p, s, newGet("r1"))
	is.True(errors.Is(err, ErrTooManyConnections))
	is.Equal(p.Stats().Open, 0)
	is.Equal(p.Stats().Refused, uint64(1))
}
