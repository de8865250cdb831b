package wagupstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const idHeader = "Request-Id"

// server is a scripted server on loopback.
type server struct {
	listener net.Listener
	group    errgroup.Group
	// accepted receives one element for each connection.
	accepted chan net.Conn
}

// serve runs a script for each connection.
func serve(t *testing.T, script func(c net.Conn, r *bufio.Reader)) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: l, accepted: make(chan net.Conn, 100)}
	s.group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			s.accepted <- c
			s.group.Go(func() error {
				defer func() { _ = c.Close() }()
				script(c, bufio.NewReader(c))
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		for len(s.accepted) > 0 {
			_ = (<-s.accepted).Close()
		}
		_ = s.group.Wait()
	})
	return s
}

func (s *server) name() Server {
	return Server{Address: netip.MustParseAddrPort(s.listener.Addr().String()), ID: "s1"}
}

// connections returns how many connections were accepted.
func (s *server) connections() int { return len(s.accepted) }

// next reads a request with its body, or returns nil when the connection ends.
func next(r *bufio.Reader) *http.Request {
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return nil
	}
	q.Body = io.NopCloser(bytes.NewReader(body))
	return q
}

// reply returns an answer with a length.
func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func get(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/lots/1?x=%2F", Host: "a.example", Header: http.Header{idHeader: {id}}, ID: id}
}

func send(p *Pool, s *server, r *Request) (*Response, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.Exchange(ctx, s.name(), r, time.Now().Add(time.Second))
}

// Guards against a request line, host, header or body that a server gets changed.
func TestRequestIsUnchanged(t *testing.T) {
	is := is.New(t)
	got := make(chan *http.Request, 10)
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		for q := next(r); q != nil; q = next(r) {
			got <- q
			_, _ = io.WriteString(c, reply(q.Header.Get(idHeader), "ok"))
		}
	})
	p := NewPool(idHeader)
	defer p.Close()
	_, _, err := send(p, s, get("1"))
	is.NoErr(err)
	q := <-got
	is.Equal(q.RequestURI, "/lots/1?x=%2F")
	is.Equal(q.Host, "a.example")
	is.Equal(q.Header, http.Header{idHeader: {"1"}})
	for _, size := range []int{0, 1, shortBody, shortBody + 1, 1 << 20} {
		r := get("2")
		r.Method, r.Body = http.MethodPost, bytes.Repeat([]byte("x"), size)
		_, _, err = send(p, s, r)
		is.NoErr(err)
		q = <-got
		body, _ := io.ReadAll(q.Body)
		is.Equal(len(body), size)
		is.Equal(q.ContentLength, int64(size))
	}
	for _, length := range []int64{-1, 3 << 10} {
		r := get("3")
		r.Method, r.Body, r.BodyRest, r.ContentLength = http.MethodPost, make([]byte, 1<<10), bytes.NewReader(make([]byte, 2<<10)), length
		_, _, err = send(p, s, r)
		is.NoErr(err)
		q = <-got
		body, _ := io.ReadAll(q.Body)
		is.Equal(len(body), 3<<10)
	}
	is.Equal(s.connections(), 1) // all on one connection
}

// Guards against an answer that is given to another request: a server repeats an
// answer late, when the next one is expected.
func TestLateAnswerIsPassedOver(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		for q := next(r); q != nil; q = next(r) {
			id := q.Header.Get(idHeader)
			if id == "2" {
				_, _ = io.WriteString(c, reply("1", "again"))
			}
			_, _ = io.WriteString(c, reply(id, "body of "+id))
		}
	})
	p := NewPool(idHeader)
	defer p.Close()
	for _, id := range []string{"1", "2", "3"} {
		resp, _, err := send(p, s, get(id))
		is.NoErr(err)
		is.Equal(string(resp.Body), "body of "+id)
	}
	is.Equal(p.Stats().Mismatched, uint64(1))
}

// Guards against a request that waits for its answer behind any number of others.
func TestManyForeignAnswers(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		for q := next(r); q != nil; q = next(r) {
			for range 50 {
				_, _ = io.WriteString(c, reply("other", "x"))
			}
		}
	})
	p := NewPool(idHeader)
	defer p.Close()
	_, _, err := send(p, s, get("1"))
	is.True(errors.Is(err, ErrResponseMismatch))
}

// Guards against a connection that is used again although bytes follow the answer,
// or arrive while it is idle.
func TestExtraBytesEndTheConnection(t *testing.T) {
	for name, extra := range map[string]string{"answer": reply("1", "again"), "bytes": "x"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(c net.Conn, r *bufio.Reader) {
				for q := next(r); q != nil; q = next(r) {
					_, _ = io.WriteString(c, reply(q.Header.Get(idHeader), "ok")+extra)
				}
			})
			p := NewPool(idHeader)
			defer p.Close()
			for _, id := range []string{"1", "2", "3"} {
				resp, reused, err := send(p, s, get(id))
				is.NoErr(err)
				is.Equal(string(resp.Body), "ok")
				is.True(!reused)
			}
		})
	}
}

// Guards against a short answer that looks complete, and against bytes that are no
// answer.
func TestBrokenAnswers(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n"
	for name, text := range map[string]string{
		"nothing":          "",
		"half a head":      "HTTP/1.1 200 OK\r\nRequest",
		"short body":       head + "Content-Length: 10\r\n\r\n12345",
		"missing chunk":    head + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
		"half a chunk":     head + "Transfer-Encoding: chunked\r\n\r\n5\r\n123",
		"no answer":        "\x00\x01\x02 not HTTP\r\n\r\n",
		"two lengths":      head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n123456",
		"other protocol":   "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"negative length":  head + "Content-Length: -1\r\n\r\n",
		"without identity": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(c net.Conn, r *bufio.Reader) {
				next(r)
				_, _ = io.WriteString(c, text)
			})
			p := NewPool(idHeader)
			defer p.Close()
			_, _, err := send(p, s, get("1"))
			is.True(err != nil)
			is.True(!errors.Is(err, ErrNotSent)) // the server may have run it
		})
	}
}

// Guards against an answer without a length that counts as complete although its
// connection was reset, and against one that is refused although it ended well.
func TestAnswerWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset=", reset), func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(c net.Conn, r *bufio.Reader) {
				next(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\n\r\nbody")
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			p := NewPool(idHeader)
			defer p.Close()
			resp, _, err := send(p, s, get("1"))
			if reset {
				is.True(errors.Is(err, ErrInvalidResponse))
				return
			}
			is.NoErr(err)
			is.Equal(string(resp.Body), "body")
		})
	}
}

// Guards against a request that is called unsent although a server may have run it,
// and against one that is called lost although no byte left.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(net.Conn, *bufio.Reader) {})
	closed := s.name()
	_ = s.listener.Close()
	p := NewPool(idHeader)
	defer p.Close()
	_, _, err := p.Exchange(context.Background(), closed, get("1"), time.Now().Add(time.Second))
	is.True(errors.Is(err, ErrNotSent))
	open := serve(t, func(_ net.Conn, r *bufio.Reader) { next(r) })
	_, _, err = send(p, open, get("1"))
	is.True(err != nil && !errors.Is(err, ErrNotSent))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, err = p.Exchange(ended, open.name(), get("1"), time.Now().Add(time.Second))
	is.True(errors.Is(err, ErrNotSent))
}

// Guards against a request that is written to a kept connection which the server
// has closed, or which was idle for longer than servers keep them.
func TestClosedConnectionsAreNotUsed(t *testing.T) {
	is := is.New(t)
	closing := make(chan struct{})
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		q := next(r)
		if q == nil {
			return
		}
		_, _ = io.WriteString(c, reply(q.Header.Get(idHeader), "ok"))
		<-closing
	})
	now := time.Unix(1000, 0)
	p := NewPool(idHeader, WithNow(func() time.Time { return now }))
	defer p.Close()
	_, _, err := send(p, s, get("1"))
	is.NoErr(err)
	is.Equal(len(p.idle[s.name()]), 1)
	kept := p.idle[s.name()][0]
	now = now.Add(maxIdle)
	is.Equal(p.take(s.name(), false), nil)
	_, _, err = send(p, s, get("2"))
	is.NoErr(err)
	is.True(p.idle[s.name()][0] != kept)
	other := p.idle[s.name()][0]
	close(closing)
	// The end of the connection is seen by the read that follows it.
	_, err = other.raw.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.Equal(p.take(s.name(), false), nil)
}

// Guards against the idle timeout of a server that is shorter than the usual one.
func TestIdleTime(t *testing.T) {
	is := is.New(t)
	is.Equal(idleTime(http.Header{}), maxIdle)
	is.Equal(idleTime(http.Header{"Keep-Alive": {"timeout=5, max=100"}}), 3*time.Second)
	is.Equal(idleTime(http.Header{"Keep-Alive": {"max=100, Timeout=1"}}), 600*time.Millisecond)
	is.Equal(idleTime(http.Header{"Keep-Alive": {"timeout=x"}}), maxIdle)
	is.Equal(idleTime(http.Header{"Keep-Alive": {"timeout=1000000"}}), maxIdle)
	is.Equal(idleTime(http.Header{"Keep-Alive": {"timeout=0"}}), time.Duration(0))
}

// Guards against the rest of a long body that is taken for the next request, when a
// server answers before it has read it.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\n"+idHeader+": "+q.Header.Get(idHeader)+"\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, r)
	})
	p := NewPool(idHeader)
	defer p.Close()
	blocked, release := io.Pipe()
	defer func() { _ = release.Close() }()
	r := get("1")
	r.Method, r.Body, r.BodyRest, r.ContentLength = http.MethodPost, make([]byte, 1<<10), blocked, 1<<20
	resp, _, err := send(p, s, r)
	is.NoErr(err)
	is.Equal(resp.Status, 413)
	is.Equal(len(p.idle[s.name()]), 0)
}

// Guards against a long answer that is held in memory as a whole, and against one
// that ends early without an error.
func TestLongAnswers(t *testing.T) {
	is := is.New(t)
	size := 3 * maxBuffered
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		for q := next(r); q != nil; q = next(r) {
			text := reply(q.Header.Get(idHeader), strings.Repeat("x", size))
			if q.Header.Get(idHeader) == "short" {
				_, _ = io.WriteString(c, text[:len(text)-1])
				return
			}
			_, _ = io.WriteString(c, text)
		}
	})
	p := NewPool(idHeader)
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for range 2 {
		resp, _, err := p.Exchange(ctx, s.name(), get("1"), time.Now().Add(time.Second))
		is.NoErr(err)
		is.Equal(len(resp.Body), maxBuffered)
		rest, err := io.ReadAll(resp.BodyRest)
		is.NoErr(err)
		is.Equal(len(resp.Body)+len(rest), size)
	}
	is.Equal(s.connections(), 1)
	resp, _, err := p.Exchange(ctx, s.name(), get("short"), time.Now().Add(time.Second))
	is.NoErr(err)
	_, err = io.ReadAll(resp.BodyRest)
	is.True(errors.Is(err, ErrInvalidResponse))
}

// Guards against a server that works on for a caller who is gone: the end of the
// context closes the connection.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	arrived, ended := make(chan struct{}), make(chan struct{})
	s := serve(t, func(_ net.Conn, r *bufio.Reader) {
		next(r)
		close(arrived)
		_, _ = r.ReadByte()
		close(ended)
	})
	p := NewPool(idHeader)
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error {
		_, _, err := p.Exchange(ctx, s.name(), get("1"), time.Now().Add(time.Second))
		return err
	})
	<-arrived
	cancel()
	<-ended
	is.True(g.Wait() != nil)
}

// Guards against requests that run at most once and are lost on connections which
// servers have dropped without notice.
func TestServersThatDropIdleConnections(t *testing.T) {
	is := is.New(t)
	var drops atomic.Bool
	drops.Store(true)
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		for q := next(r); q != nil; q = next(r) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", idHeader, q.Header.Get(idHeader))
			if drops.Load() {
				// What is sent next breaks the connection.
				_, _ = r.Peek(1)
				return
			}
		}
	})
	now := time.Unix(1000, 0)
	p := NewPool(idHeader, WithNow(func() time.Time { return now }))
	defer p.Close()
	call := func(once bool) (reused bool, err error) {
		r := get("1")
		r.AtMostOnce = once
		_, reused, err = send(p, s, r)
		return reused, err
	}
	for _, broken := range []bool{false, true} {
		reused, err := call(true)
		is.Equal(err != nil, broken)
		is.Equal(reused, broken)
		now = now.Add(briefIdle)
	}
	is.Equal(p.Stats().Dropped, uint64(1))
	drops.Store(false)
	for _, x := range []struct {
		rest         time.Duration
		once, reused bool
	}{{0, true, false}, {briefIdle / 2, true, true}, {briefIdle, true, false}, {briefIdle, false, true}, {briefTime, true, false}, {briefIdle, true, true}} {
		now = now.Add(x.rest)
		reused, err := call(x.once)
		is.NoErr(err)
		is.Equal(reused, x.reused)
	}
}
