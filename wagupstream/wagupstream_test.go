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

// scriptedServer is a server on loopback that runs a script for each connection.
type scriptedServer struct {
	listener net.Listener
	group    errgroup.Group
	// accepted receives each accepted connection.
	accepted chan net.Conn
}

// newScriptedServer starts a server that runs script for each connection.
func newScriptedServer(t *testing.T, script func(c net.Conn, r *bufio.Reader)) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{listener: l, accepted: make(chan net.Conn, 100)}
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

func (s *scriptedServer) target() Server {
	return Server{Address: netip.MustParseAddrPort(s.listener.Addr().String()), ID: "s1"}
}

// connectionCount returns the number of accepted connections.
func (s *scriptedServer) connectionCount() int { return len(s.accepted) }

// readRequest reads a request with its body; nil when the connection ends.
func readRequest(r *bufio.Reader) *http.Request {
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

// responseText returns a response with a Content-Length.
func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func newGet(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/lots/1?x=%2F", Host: "a.example", Header: http.Header{idHeader: {id}}, ID: id}
}

func send(p *Pool, s *scriptedServer, r *Request) (*Response, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.Exchange(ctx, s.target(), r, time.Now().Add(time.Second))
}

// Guards against a request line, host, header or body that is changed on the way to a
// server.
func TestRequestIsUnchanged(t *testing.T) {
	is := is.New(t)
	got := make(chan *http.Request, 10)
	s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		for q := readRequest(r); q != nil; q = readRequest(r) {
			got <- q
			_, _ = io.WriteString(c, responseText(q.Header.Get(idHeader), "ok"))
		}
	})
	p := NewPool(idHeader)
	defer p.Close()
	_, _, err := send(p, s, newGet("1"))
	is.NoErr(err)
	q := <-got
	is.Equal(q.RequestURI, "/lots/1?x=%2F")
	is.Equal(q.Host, "a.example")
	is.Equal(q.Header, http.Header{idHeader: {"1"}})
	for _, size := range []int{0, 1, maxShortBody, maxShortBody + 1, 1 << 20} {
		r := newGet("2")
		r.Method, r.Body = http.MethodPost, bytes.Repeat([]byte("x"), size)
		_, _, err = send(p, s, r)
		is.NoErr(err)
		q = <-got
		body, _ := io.ReadAll(q.Body)
		is.Equal(len(body), size)
		is.Equal(q.ContentLength, int64(size))
	}
	for _, length := range []int64{-1, 3 << 10} {
		r := newGet("3")
		r.Method, r.Body, r.BodyRest, r.ContentLength = http.MethodPost, make([]byte, 1<<10), bytes.NewReader(make([]byte, 2<<10)), length
		_, _, err = send(p, s, r)
		is.NoErr(err)
		q = <-got
		body, _ := io.ReadAll(q.Body)
		is.Equal(len(body), 3<<10)
	}
	is.Equal(s.connectionCount(), 1) // all on one connection
}

// Guards against a response that is matched to another request: a server sends a
// response again when the next one is expected.
func TestLateAnswerIsPassedOver(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		for q := readRequest(r); q != nil; q = readRequest(r) {
			id := q.Header.Get(idHeader)
			if id == "2" {
				_, _ = io.WriteString(c, responseText("1", "again"))
			}
			_, _ = io.WriteString(c, responseText(id, "body of "+id))
		}
	})
	p := NewPool(idHeader)
	defer p.Close()
	for _, id := range []string{"1", "2", "3"} {
		resp, _, err := send(p, s, newGet(id))
		is.NoErr(err)
		is.Equal(string(resp.Body), "body of "+id)
	}
	is.Equal(p.Stats().Mismatched, uint64(1))
}

// Guards against a request that skips any number of other responses to find its own.
func TestManyMismatchedResponses(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		for q := readRequest(r); q != nil; q = readRequest(r) {
			for range 50 {
				_, _ = io.WriteString(c, responseText("other", "x"))
			}
		}
	})
	p := NewPool(idHeader)
	defer p.Close()
	_, _, err := send(p, s, newGet("1"))
	is.True(errors.Is(err, ErrResponseMismatch))
}

// Guards against the reuse of a connection on which bytes follow the response, or
// arrive while it is idle.
func TestExtraBytesEndTheConnection(t *testing.T) {
	for name, extra := range map[string]string{"answer": responseText("1", "again"), "bytes": "x"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				for q := readRequest(r); q != nil; q = readRequest(r) {
					_, _ = io.WriteString(c, responseText(q.Header.Get(idHeader), "ok")+extra)
				}
			})
			p := NewPool(idHeader)
			defer p.Close()
			for _, id := range []string{"1", "2", "3"} {
				resp, reused, err := send(p, s, newGet(id))
				is.NoErr(err)
				is.Equal(string(resp.Body), "ok")
				is.True(!reused)
			}
		})
	}
}

// Guards against a truncated response that counts as complete, and against bytes that
// are not a valid response.
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
			s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, text)
			})
			p := NewPool(idHeader)
			defer p.Close()
			_, _, err := send(p, s, newGet("1"))
			is.True(err != nil)
			is.True(!errors.Is(err, ErrNotSent)) // the server may have run it
		})
	}
}

// Guards against a response without a length that counts as complete although its
// connection was reset, and against one that is rejected although the connection was
// closed properly.
func TestAnswerWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset=", reset), func(t *testing.T) {
			is := is.New(t)
			s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\n\r\nbody")
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			p := NewPool(idHeader)
			defer p.Close()
			resp, _, err := send(p, s, newGet("1"))
			if reset {
				is.True(errors.Is(err, ErrInvalidResponse))
				return
			}
			is.NoErr(err)
			is.Equal(string(resp.Body), "body")
		})
	}
}

// Guards against a request that is reported as not sent although a server may have run
// it, and against one that is not reported so although no byte was sent.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(net.Conn, *bufio.Reader) {})
	closed := s.target()
	_ = s.listener.Close()
	p := NewPool(idHeader)
	defer p.Close()
	_, _, err := p.Exchange(context.Background(), closed, newGet("1"), time.Now().Add(time.Second))
	is.True(errors.Is(err, ErrNotSent))
	open := newScriptedServer(t, func(_ net.Conn, r *bufio.Reader) { readRequest(r) })
	_, _, err = send(p, open, newGet("1"))
	is.True(err != nil && !errors.Is(err, ErrNotSent))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, err = p.Exchange(ended, open.target(), newGet("1"), time.Now().Add(time.Second))
	is.True(errors.Is(err, ErrNotSent))
}

// Guards against a request on an idle connection that the server has closed, or that
// has been idle for longer than the idle timeout.
func TestClosedConnectionsAreNotReused(t *testing.T) {
	is := is.New(t)
	closing := make(chan struct{})
	s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		q := readRequest(r)
		if q == nil {
			return
		}
		_, _ = io.WriteString(c, responseText(q.Header.Get(idHeader), "ok"))
		<-closing
	})
	now := time.Unix(1000, 0)
	p := NewPool(idHeader, WithNow(func() time.Time { return now }))
	defer p.Close()
	_, _, err := send(p, s, newGet("1"))
	is.NoErr(err)
	is.Equal(len(p.idle[s.target()]), 1)
	kept := p.idle[s.target()][0]
	now = now.Add(maxIdleTimeout)
	is.Equal(p.takeIdle(s.target(), false), nil)
	_, _, err = send(p, s, newGet("2"))
	is.NoErr(err)
	is.True(p.idle[s.target()][0] != kept)
	other := p.idle[s.target()][0]
	close(closing)
	// Waits until the close by the server has arrived.
	_, err = other.raw.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.Equal(p.takeIdle(s.target(), false), nil)
}

// Guards against an idle timeout of a server that is ignored although it is shorter
// than the default.
func TestIdleTimeout(t *testing.T) {
	is := is.New(t)
	is.Equal(idleTimeoutFor(http.Header{}), maxIdleTimeout)
	is.Equal(idleTimeoutFor(http.Header{"Keep-Alive": {"timeout=5, max=100"}}), 3*time.Second)
	is.Equal(idleTimeoutFor(http.Header{"Keep-Alive": {"max=100, Timeout=1"}}), 600*time.Millisecond)
	is.Equal(idleTimeoutFor(http.Header{"Keep-Alive": {"timeout=x"}}), maxIdleTimeout)
	is.Equal(idleTimeoutFor(http.Header{"Keep-Alive": {"timeout=1000000"}}), maxIdleTimeout)
	is.Equal(idleTimeoutFor(http.Header{"Keep-Alive": {"timeout=0"}}), time.Duration(0))
}

// Guards against the next request on a connection being taken for the rest of a long
// body, when a server responds before it has read the body.
func TestEarlyResponseEndsTheConnection(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
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
	r := newGet("1")
	r.Method, r.Body, r.BodyRest, r.ContentLength = http.MethodPost, make([]byte, 1<<10), blocked, 1<<20
	resp, _, err := send(p, s, r)
	is.NoErr(err)
	is.Equal(resp.Status, 413)
	is.Equal(len(p.idle[s.target()]), 0)
}

// Guards against a long response that is held in memory as a whole, and against one
// that ends early without an error.
func TestLongResponses(t *testing.T) {
	is := is.New(t)
	size := 3 * maxBufferedBody
	s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		for q := readRequest(r); q != nil; q = readRequest(r) {
			text := responseText(q.Header.Get(idHeader), strings.Repeat("x", size))
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
		resp, _, err := p.Exchange(ctx, s.target(), newGet("1"), time.Now().Add(time.Second))
		is.NoErr(err)
		is.Equal(len(resp.Body), maxBufferedBody)
		rest, err := io.ReadAll(resp.BodyRest)
		is.NoErr(err)
		is.Equal(len(resp.Body)+len(rest), size)
	}
	is.Equal(s.connectionCount(), 1)
	resp, _, err := p.Exchange(ctx, s.target(), newGet("short"), time.Now().Add(time.Second))
	is.NoErr(err)
	_, err = io.ReadAll(resp.BodyRest)
	is.True(errors.Is(err, ErrInvalidResponse))
}

// Guards against a server that goes on working for a caller who left: the end of the
// context closes the connection.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	arrived, ended := make(chan struct{}), make(chan struct{})
	s := newScriptedServer(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		close(arrived)
		_, _ = r.ReadByte()
		close(ended)
	})
	p := NewPool(idHeader)
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error {
		_, _, err := p.Exchange(ctx, s.target(), newGet("1"), time.Now().Add(time.Second))
		return err
	})
	<-arrived
	cancel()
	<-ended
	is.True(g.Wait() != nil)
}

// Guards against the loss of requests that must not be sent again on connections that
// servers dropped without notice.
func TestServersThatDropIdleConnections(t *testing.T) {
	is := is.New(t)
	var drops atomic.Bool
	drops.Store(true)
	s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		for q := readRequest(r); q != nil; q = readRequest(r) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", idHeader, q.Header.Get(idHeader))
			if drops.Load() {
				// The next request on the connection makes it end.
				_, _ = r.Peek(1)
				return
			}
		}
	})
	now := time.Unix(1000, 0)
	p := NewPool(idHeader, WithNow(func() time.Time { return now }))
	defer p.Close()
	sendOnce := func(atMostOnce bool) (reused bool, err error) {
		r := newGet("1")
		r.AtMostOnce = atMostOnce
		_, reused, err = send(p, s, r)
		return reused, err
	}
	for _, broken := range []bool{false, true} {
		reused, err := sendOnce(true)
		is.Equal(err != nil, broken)
		is.Equal(reused, broken)
		now = now.Add(shortIdleTimeout)
	}
	is.Equal(p.Stats().Dropped, uint64(1))
	drops.Store(false)
	for _, x := range []struct {
		idleTime           time.Duration
		atMostOnce, reused bool
	}{{0, true, false}, {shortIdleTimeout / 2, true, true}, {shortIdleTimeout, true, false}, {shortIdleTimeout, false, true}, {dropCooldown, true, false}, {shortIdleTimeout, true, true}} {
		now = now.Add(x.idleTime)
		reused, err := sendOnce(x.atMostOnce)
		is.NoErr(err)
		is.Equal(reused, x.reused)
	}
}

// Guards against a server that fills the memory of a host with a head that never ends,
// or keeps a request waiting with informational responses.
func TestEndlessHead(t *testing.T) {
	for name, x := range map[string]struct{ begin, rest string }{
		"one line":      {"HTTP/1.1 200 OK\r\nX: ", "aaaaaaaaaaaaaaaa"},
		"status line":   {"HTTP/1.1 200 ", "aaaaaaaaaaaaaaaa"},
		"many lines":    {"HTTP/1.1 200 OK\r\n", "X: aaaaaaaaaaaaaaaa\r\n"},
		"informational": {"", "HTTP/1.1 103 Early Hints\r\nX: a\r\n\r\n"},
		"no response":   {"", "\x00\x01\x02\x03"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			written := make(chan int, 1)
			s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				n, _ := io.WriteString(c, x.begin)
				// The bound keeps the test finite. The client closes long before.
				for n < 256<<20 {
					m, err := io.WriteString(c, strings.Repeat(x.rest, 100))
					n += m
					if err != nil {
						break
					}
				}
				written <- n
			})
			p := NewPool(idHeader)
			defer p.Close()
			_, _, err := send(p, s, newGet("r1"))
			is.True(errors.Is(err, ErrInvalidResponse))
			is.True(<-written < 64<<20) // no more than the socket buffers take
		})
	}
}

// Guards against a body that never ends and is kept in memory, or looks complete.
func TestEndlessBody(t *testing.T) {
	for name, head := range map[string]string{
		"until close": "HTTP/1.1 200 OK\r\n" + idHeader + ": r1\r\n\r\n",
		"chunked":     "HTTP/1.1 200 OK\r\n" + idHeader + ": r1\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, err := io.WriteString(c, head)
				for range 1 << 20 {
					if err != nil {
						return
					}
					_, err = io.WriteString(c, "40\r\n"+strings.Repeat("a", 64)+"\r\n")
				}
			})
			p := NewPool(idHeader)
			defer p.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			resp, _, err := p.Exchange(ctx, s.target(), newGet("r1"), time.Now().Add(time.Second))
			is.NoErr(err)
			is.Equal(len(resp.Body), maxBufferedBody)
			_, err = io.CopyN(io.Discard, resp.BodyRest, 1<<20)
			is.NoErr(err)
			cancel() // the deadline of the request
			_, err = io.Copy(io.Discard, resp.BodyRest)
			is.True(errors.Is(err, ErrInvalidResponse))
		})
	}
}

// Guards against requests and probes to a server that asked for none, and against
// restrictions that outlive the server or fill the memory.
func TestRestrictions(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := NewPool(idHeader, WithNow(func() time.Time { return now }))
	server := func(id string) Server { return Server{Address: netip.MustParseAddrPort("127.0.0.1:9"), ID: id} }
	p.Restrict("lots", server("leaving"), Restriction{Leaving: true})
	p.Restrict("lots", server("busy"), Restriction{Until: now.Add(2 * time.Second)})
	p.Restrict("lots", server("busy"), Restriction{Until: now.Add(time.Second)})
	p.Restrict("lots", server("greedy"), Restriction{Until: now.Add(time.Hour)})
	p.Restrict("assays", server("other"), Restriction{Leaving: true})
	is.Equal(p.RestrictedServers("lots"), []string{"busy", "greedy", "leaving"})
	_, _, err := p.Exchange(context.Background(), server("busy"), newGet("r1"), now.Add(time.Second))
	is.True(errors.Is(err, ErrRestricted) && errors.Is(err, ErrNotSent))
	now = now.Add(1500 * time.Millisecond)
	is.Equal(len(p.RestrictedServers("lots")), 3) // a shorter one does not replace a longer one
	now = now.Add(time.Second)
	is.Equal(p.RestrictedServers("lots"), []string{"greedy", "leaving"})
	now = now.Add(maxRestriction)
	is.Equal(p.RestrictedServers("lots"), []string{"leaving"})
	p.Prune(func(Server) bool { return true })
	now = now.Add(restrictionTTL - time.Second)
	p.Prune(func(Server) bool { return false })
	is.Equal(p.RestrictedServers("lots"), []string{"leaving"}) // its entry has gone lately
	p.LiftRestriction(server("leaving"))
	is.Equal(len(p.RestrictedServers("lots")), 0) // it has started again
	now = now.Add(2 * time.Second)
	p.Prune(func(Server) bool { return false })
	is.Equal(len(p.restrictions.byServer), 0)
	for n := range maxRestrictions + 10 {
		p.Restrict("lots", server(fmt.Sprint(n)), Restriction{Leaving: true})
	}
	is.Equal(len(p.restrictions.byServer), maxRestrictions)
}
