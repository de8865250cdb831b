package wagupstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// cutServer answers each request with a text and ends the connection.
type cutServer struct {
	*scriptedServer
	text  atomic.Pointer[string]
	reset bool
}

func newCutServer(t *testing.T, reset bool) *cutServer {
	s := &cutServer{reset: reset}
	s.scriptedServer = newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		if readRequest(r) == nil {
			return
		}
		_, _ = io.WriteString(c, *s.text.Load())
		if s.reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	return s
}

// receive sends a request and reads the whole response. stream says that nothing is kept in
// memory.
func receive(p *Pool, s *cutServer, method string, stream bool) (body string, err error) {
	r := newGet("1")
	r.Method = method
	if stream {
		r.MayBuffer = func(int64) bool { return false }
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, _, err := p.Exchange(ctx, s.target(), r, time.Now().Add(time.Second))
	<-s.accepted // makes room for others
	if err != nil {
		return "", err
	}
	var rest []byte
	if resp.BodyRest != nil {
		rest, err = io.ReadAll(resp.BodyRest)
	}
	return string(resp.Body) + string(rest), err
}

// Guards against an answer that ends early, in its head or its body, and counts as whole:
// callers would get a status of success with an empty or a short body.
func TestAnswersAreCut(t *testing.T) {
	const status, id = "HTTP/1.1 200 OK\r\n", idHeader + ": 1\r\n"
	body := strings.Repeat("0123456789", 2)
	for name, x := range map[string]struct {
		method, head, body string
		// endsWithConnection says that nothing but the end of the connection ends the body.
		endsWithConnection bool
	}{
		"length":                  {http.MethodGet, status + id + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body, false},
		"length first":            {http.MethodGet, status + fmt.Sprintf("Content-Length: %d\r\n", len(body)) + id + "\r\n", body, false},
		"length zero":             {http.MethodGet, status + id + "Content-Length: 0\r\n\r\n", "", false},
		"chunks":                  {http.MethodGet, status + id + "Transfer-Encoding: chunked\r\n\r\n", "a\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n", false},
		"chunks with a trailer":   {http.MethodGet, status + id + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n", "a\r\n0123456789\r\na\r\n0123456789\r\n0\r\nX: y\r\n\r\n", false},
		"end of the connection":   {http.MethodGet, status + id + "\r\n", body, true},
		"end, with close":         {http.MethodGet, status + id + "Connection: close\r\n\r\n", body, true},
		"HTTP/1.0":                {http.MethodGet, "HTTP/1.0 200 OK\r\n" + id + "\r\n", body, true},
		"no body":                 {http.MethodGet, "HTTP/1.1 204 No Content\r\n" + id + "\r\n", "", false},
		"not modified":            {http.MethodGet, "HTTP/1.1 304 Not Modified\r\n" + id + "\r\n", "", false},
		"HEAD":                    {http.MethodHead, status + id + "Content-Length: 20\r\n\r\n", "", false},
		"informational":           {http.MethodGet, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + status + id + "Content-Length: 20\r\n\r\n", body, false},
		"line feeds":              {http.MethodGet, "HTTP/1.1 200 OK\n" + idHeader + ": 1\nContent-Length: 20\n\n", body, false},
		"continued header":        {http.MethodGet, status + id + "X: a\r\n b\r\nContent-Length: 20\r\n\r\n", body, false},
		"continued and no length": {http.MethodGet, status + id + "X: a\r\n b\r\n\r\n", body, true},
	} {
		for _, stream := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/stream=%v/reset=%v", name, stream, reset), func(t *testing.T) {
					is := is.New(t)
					s := newCutServer(t, reset)
					p := NewPool(idHeader)
					defer p.Close()
					whole := x.head + x.body
					last := len(whole)
					if x.endsWithConnection {
						last = len(x.head) // a body that is cut cannot be told from a whole one
					}
					for n := range last {
						text := whole[:n]
						s.text.Store(&text)
						_, err := receive(p, s, x.method, stream)
						if !errors.Is(err, ErrInvalidResponse) && !errors.Is(err, ErrResponseMismatch) {
							t.Errorf("the answer %q counts as whole (%v)", text, err)
						}
					}
					if reset {
						return // the answer itself may be lost
					}
					s.text.Store(&whole)
					got, err := receive(p, s, x.method, stream)
					is.NoErr(err)
					want := ""
					if x.body != "" {
						want = body
					}
					is.Equal(got, want)
				})
			}
		}
	}
}
