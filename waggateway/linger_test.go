package waggateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// dialSmall opens a connection to the gateway with a small receive buffer.
func (f *fixture) dialSmall(t *testing.T, bufferBytes int) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes)
		})
		return errors.Join(err, controlErr)
	}}
	c, err := dialer.DialContext(context.Background(), "tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// largeServer is a server whose responses have a body of a size.
func largeServer(t *testing.T, name string, size int) *testServer {
	return newTestServer(t, name, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: "+fmt.Sprint(size)+"\r\n\r\n"+strings.Repeat("a", size))
}

// requestText returns a request with a body, or one without if it is empty.
func requestText(method, proto, path, id, body string) string {
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s %s\r\nHost: a.example\r\nId: %s\r\nPatience: 5000\r\n%s\r\n%s", method, path, proto, id, length, body)
}

// Guards against a response that is cut off by a reset because the connection is closed
// behind it while bytes of the caller are unread: in a planned stop, behind a body that is
// passed on while it arrives, and after a request of HTTP/1.0 (review/12).
func TestResponseBeforeCloseIsComplete(t *testing.T) {
	get := requestText(http.MethodGet, "HTTP/1.1", "/status/2", "r2", "")
	behind := map[string]string{
		"nothing": "", "a line end": "\r\n", "one request": get, "many requests": strings.Repeat(get, 60),
		"part of a request": requestText(http.MethodPost, "HTTP/1.1", "/commit/2", "r2", strings.Repeat("b", 100<<10))[:50<<10],
	}
	for _, stop := range []bool{false, true} {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, bodyBytes := range []int{26, 300 << 10, 600 << 10} {
				for name, further := range behind {
					for _, answerBytes := range []int{28_000, 300_000} {
						t.Run(fmt.Sprintf("stop %v/%s/body %d/behind %s/answer %d", stop, proto, bodyBytes, name, answerBytes), func(t *testing.T) {
							t.Parallel()
							testResponseBeforeClose(t, stop, requestText(http.MethodPost, proto, "/commit/1", "r1", strings.Repeat("b", bodyBytes)), further, answerBytes)
						})
					}
				}
			}
		}
	}
}

func testResponseBeforeClose(t *testing.T, stop bool, request, further string, answerBytes int) {
	is := is.New(t)
	a := largeServer(t, "a", answerBytes)
	a.hold = make(chan struct{})
	var rest []*testServer
	for range 61 {
		rest = append(rest, newTestServer(t, "b", responseOK))
	}
	f := newFixture(t, append([]*testServer{a}, rest...)...)
	conn := f.dialSmall(t, 4<<10)
	var g errgroup.Group
	g.Go(func() error {
		_, err := io.WriteString(conn, request)
		await(t, a, 1)
		if err == nil {
			_, _ = io.WriteString(conn, further) // the connection may be closed already
		}
		return err
	})
	await(t, a, 1)
	f.gateway.shuttingDown.Store(stop)
	close(a.hold)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(body), answerBytes)
	is.NoErr(g.Wait())
}

// Guards against a request that is read in a planned stop and gets no response because the
// connection is closed behind the one before it.
func TestRequestsBehindBodyDuringPlannedStop(t *testing.T) {
	is := is.New(t)
	a, b := newTestServer(t, "a", responseOK), newTestServer(t, "b", responseOK)
	a.hold = make(chan struct{})
	f := newFixture(t, a, b, b, b)
	conn := f.dialSmall(t, 64<<10)
	_, err := io.WriteString(conn, requestText(http.MethodPost, "HTTP/1.1", "/commit/1", "r1", "order")+
		requestText(http.MethodGet, "HTTP/1.1", "/status/2", "r2", "")+requestText(http.MethodGet, "HTTP/1.1", "/status/3", "r3", ""))
	is.NoErr(err)
	await(t, a, 1)
	f.gateway.shuttingDown.Store(true)
	close(a.hold)
	reader := bufio.NewReader(conn)
	for _, id := range []string{"r1", "r2", "r3"} {
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(resp.Header.Get("Id"), id)
	}
}

// Guards against a part of a response that a caller of HTTP/1.0 takes for a complete one,
// because only the end of the connection ends the body.
func TestCutResponseIsNoCompleteOne(t *testing.T) {
	is := is.New(t)
	a := newTestServer(t, "a", "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n"+strings.Repeat("a", 1<<20)+"\r\n20\r\ncut")
	a.hold = make(chan struct{}) // makes the server close the connection
	close(a.hold)
	f := newFixture(t, a)
	conn := f.dialSmall(t, 64<<10)
	_, err := io.WriteString(conn, requestText(http.MethodGet, "HTTP/1.0", "/status/1", "r1", ""))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(resp.ContentLength, int64(-1))
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil) // reset
}

// Guards against connections whose callers neither read nor close and which hold up a
// planned stop or the requests of others, and against more of them than may wait.
func TestLingeringIsBounded(t *testing.T) {
	is := is.New(t)
	a := largeServer(t, "a", 8<<20)
	f := newFixture(t, a)
	f.gateway.SetConfig(testConfig(t, 2, testTimeout))
	conn := f.dialSmall(t, 4<<10)
	_, err := io.WriteString(conn, requestText(http.MethodPost, "HTTP/1.1", "/commit/1", "r1", strings.Repeat("b", 300<<10)))
	is.NoErr(err)
	await(t, a, 1)
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	c := f.gateway.callers.all()[0]
	awaitTrue(t, "the response is not written", func() bool {
		n, _ := c.unacknowledgedBytes()
		return n > 0
	})
	// net/http closes the connection when the write fails.
	_ = c.SetWriteDeadline(time.Now())
	awaitTrue(t, "the connection does not linger", func() bool { return f.gateway.callers.lingering.Load() == 1 })
	f.gateway.ending.Store(true)
	is.NoErr(c.Close()) // as at the end of the process
	awaitTrue(t, "the connection still lingers", func() bool { return f.gateway.callers.lingering.Load() == 0 })

	f.gateway.ending.Store(false)
	f.gateway.callers.lingering.Store(maxLingering)
	other := newCallerConn(c.Conn, f.gateway)
	other.hasWritten.Store(true)
	is.True(!other.beginLinger())
	is.Equal(f.gateway.callers.lingering.Load(), int64(maxLingering))
}

// Guards against a boundary between requests that is found at another place than by
// net/http.
func TestBoundary(t *testing.T) {
	is := is.New(t)
	for _, x := range []struct {
		chunks     []string
		bodyLength int64
		further    bool
	}{
		{[]string{"GET / HTTP/1.1\r\nHost: a\r\n\r\n"}, 0, false},
		{[]string{"\r\nGET / HTTP/1.1\r\nHost: a\r", "\n\r", "\n"}, 0, false},
		{[]string{"GET / HTTP/1.1\nHost: a\n\n"}, 0, false},
		{[]string{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "G"}, 0, true},
		{[]string{"POST / HTTP/1.1\r\nHost: a\r\n\r\n12", "3"}, 3, false},
		{[]string{"POST / HTTP/1.1\r\nHost: a\r\n\r\n12", "34"}, 3, true},
		{[]string{"POST / HTTP/1.1\r\nHost: a\r\n\r\n123GET /"}, 3, true},
		{[]string{"POST / HTTP/1.1\r\nHost: a\r\n\r\n1\r\n2\r\n"}, -1, false}, // not known
	} {
		b := boundary{bodyLength: x.bodyLength}
		for _, p := range x.chunks {
			b.add([]byte(p))
		}
		is.Equal(b.hasFurther(), x.further)
	}
}
