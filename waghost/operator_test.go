package waghost

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// pipeListener accepts the connections that dial opens. They work on virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection; nil when the listener does not accept it.
func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client
	case <-time.After(time.Millisecond):
		return nil
	}
}

// runOperatorPort runs f with the operator port on virtual time. /large responds with 1 MB,
// all other paths with 200.
func runOperatorPort(t *testing.T, f func(t *testing.T, l *pipeListener)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		ctx, cancel := context.WithCancel(context.Background())
		var g errgroup.Group
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/large" {
				_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
			}
		})
		g.Go(func() error { return serveOperators(ctx, handler, l) })
		f(t, l)
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
		// net/http closes a connection 0.5 s after an error response.
		<-time.After(time.Second)
	})
}

// get sends a request with further header lines and returns the status; 0 without a
// response.
func get(c net.Conn, lines string) int {
	var g errgroup.Group
	g.Go(func() error {
		// The write ends with an error when the server closes the connection before it has
		// read the whole head.
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n"+lines+"\r\n")
		return nil
	})
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		_ = c.Close()
		_ = g.Wait() // always nil
		return 0
	}
	if resp.Close {
		_ = c.Close()
	}
	_ = g.Wait() // always nil
	return resp.StatusCode
}

// Guards against an operator port that reads heads of any size, or whose memory for a head
// is many times its size because of very many lines, and against a bound of lines that
// counts the requests of a kept connection together.
func TestOperatorHeadsAreBounded(t *testing.T) {
	runOperatorPort(t, func(t *testing.T, l *pipeListener) {
		is := is.New(t)
		is.Equal(get(l.dial(), "A: "+strings.Repeat("x", 24<<10)+"\r\n"), http.StatusRequestHeaderFieldsTooLarge)
		is.True(get(l.dial(), strings.Repeat("A:\r\n", 4<<10)) != http.StatusOK)
		c := l.dial()
		for range 8 {
			is.Equal(get(c, strings.Repeat("A: x\r\n", maxOperatorLines/2)), http.StatusOK)
		}
		is.NoErr(c.Close())
	})
}

// Guards against clients of the operator port that take all descriptors, and against a
// port that accepts no connection after them.
func TestOperatorConnectionsAreBounded(t *testing.T) {
	runOperatorPort(t, func(t *testing.T, l *pipeListener) {
		is := is.New(t)
		var conns []net.Conn
		for range maxOperatorConnections {
			conns = append(conns, l.dial())
		}
		is.Equal(l.dial(), nil)
		is.NoErr(conns[0].Close())
		synctest.Wait()
		c := l.dial()
		is.Equal(get(c, ""), http.StatusOK)
		for _, c := range append(conns[1:], c) {
			_ = c.Close()
		}
	})
}

// Guards against clients that hold the connections of the operator port indefinitely.
func TestOperatorTimeouts(t *testing.T) {
	for name, x := range map[string]struct {
		sent    string
		timeout time.Duration
	}{
		"no request":     {"", operatorReadTimeout},
		"stalled head":   {"GET / HTTP/1.1\r\nHost:", operatorReadTimeout},
		"stalled body":   {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nx", operatorReadTimeout + operatorIdleTimeout},
		"unread body":    {"GET /large HTTP/1.1\r\nHost: a\r\n\r\n", operatorWriteTimeout},
		"idle afterward": {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", operatorIdleTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			runOperatorPort(t, func(t *testing.T, l *pipeListener) {
				is := is.New(t)
				c := l.dial()
				_, err := io.WriteString(c, x.sent)
				is.NoErr(err)
				if name != "unread body" {
					is.NoErr(c.SetReadDeadline(time.Now().Add(x.timeout + time.Second)))
					_, err = io.Copy(io.Discard, c)
					is.NoErr(err) // the server has closed the connection
					return
				}
				<-time.After(x.timeout + time.Second)
				n, err := io.Copy(io.Discard, c)
				is.True(n < 1<<20)
				is.True(err == nil || errors.Is(err, io.ErrUnexpectedEOF))
				is.NoErr(c.Close())
			})
		})
	}
}
