package waggateway

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// Guards against text in the body of a request that runs as a request of its own
// (review/1): a line "Connection: keep-alive" let the search for pipelined requests pass
// over the length of the body.
func TestBodyIsNoRequest(t *testing.T) {
	const smuggled = "GET /status/1 HTTP/1.1\r\nHost: a.example\r\nId: nobody\r\nPatience: 1000\r\n\r\n"
	body := smuggled + smuggled
	length := fmt.Sprint("Content-Length: ", len(body))
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	for name, request := range map[string]string{
		"keep-alive":              "GET|Connection: keep-alive|" + length,
		"keep-alive after length": "GET|" + length + "|Connection: keep-alive",
		"HEAD":                    "HEAD|Connection: keep-alive|" + length,
		"letter case":             "GET|CONNECTION: keep-alive|CONTENT-LENGTH: " + fmt.Sprint(len(body)),
		"spaces":                  "GET|Connection:  keep-alive|Content-Length:\t" + fmt.Sprint(len(body)) + " ",
		"length with a space":     "GET|Connection: keep-alive|Content-Length : " + fmt.Sprint(len(body)),
		"folded length":           "GET|Connection: keep-alive|Content-Length:\r\n " + fmt.Sprint(len(body)),
		"two lengths":             "GET|Connection: keep-alive|" + length + "|" + length,
		"other length":            "GET|Connection: keep-alive|Content-Length: 0|" + length,
		"expect":                  "GET|Connection: keep-alive|Expect: 100-continue|" + length,
		"upgrade":                 "GET|Connection: keep-alive|Upgrade: other|" + length,
		"connection upgrade":      "GET|Connection: keep-alive, upgrade|Upgrade: other|" + length,
		"close":                   "GET|Connection: keep-alive|Connection: close",
		"close in a list":         "GET|Connection: keep-alive, close",
		"chunks":                  "GET|Connection: keep-alive|Transfer-Encoding: chunked",
		"chunks and length":       "GET|Connection: keep-alive|Transfer-Encoding: chunked|" + length,
		"no keep-alive":           "GET|" + length,
		"POST":                    "POST|Connection: keep-alive|" + length,
		"two hosts":               "GET|Host: b.example|" + length,
		"line feeds":              "GET|X: y\nContent-Length: " + fmt.Sprint(len(body)) + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := newTestServer(t, "a", responseOK)
			f := newPipelineFixture(t, a, a, a)
			method, fields, _ := strings.Cut(request, "|")
			text := body
			if strings.Contains(fields, "chunked") {
				text = chunked
			}
			f.write(fmt.Sprintf("%s /status/1 HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nPatience: %s\r\n%s\r\n\r\n%s",
				method, testCallerTimeout, strings.ReplaceAll(fields, "|", "\r\n"), text))
			_ = f.conn.(*net.TCPConn).CloseWrite()
			_, _ = io.ReadAll(f.conn)
			is.Equal(f.placer.placedFor("nobody"), 0)
		})
	}
}

// recordedRequest identifies a request.
type recordedRequest struct{ method, target, host, id string }

// serveBytes returns the requests that a server of net/http finds in the bytes that a
// caller sends.
func serveBytes(text []byte) (served []recordedRequest) {
	ours, theirs := net.Pipe()
	listener := &singleListener{conn: theirs, closed: make(chan struct{})}
	handler := func(_ http.ResponseWriter, r *http.Request) {
		served = append(served, recordedRequest{r.Method, r.RequestURI, r.Host, r.Header.Get("Id")})
		_, _ = io.Copy(io.Discard, r.Body)
	}
	server := &http.Server{Handler: http.HandlerFunc(handler), MaxHeaderBytes: maxHeaderBytes, ReadTimeout: time.Second, IdleTimeout: time.Second}
	var g errgroup.Group
	g.Go(func() error { return server.Serve(listener) })
	g.Go(func() error {
		_, _ = ours.Write(text)
		return nil
	})
	g.Go(func() error {
		_, err := io.Copy(io.Discard, ours)
		_ = listener.Close()
		return err
	})
	_ = g.Wait()
	_ = ours.Close()
	return served
}

// singleListener accepts one connection.
type singleListener struct {
	conn   net.Conn
	closed chan struct{}
}

func (l *singleListener) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *singleListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *singleListener) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzFraming guards against a request that runs ahead although the server of net/http
// reads its bytes as a part of another request, or not at all. Two readers of the same
// bytes that disagree are how a request is smuggled.
func FuzzFraming(f *testing.F) {
	body := get("/status/9", "r9")
	for _, seed := range []string{
		get("/status/1", "r1") + get("/status/2", "r2") + get("/status/3", "r3"),
		"GET /status/1 HTTP/1.1\r\nHost: a.example\r\nConnection: keep-alive\r\nContent-Length: " + fmt.Sprint(len(body)) + "\r\n\r\n" + body + get("/status/2", "r2"),
		"GET /status/1 HTTP/1.1\nHost: a.example\nContent-Length: " + fmt.Sprint(len(body)) + "\n\n" + body,
		"GET /status/1 HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n\r\n" + body,
		"GET /status/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + body,
		"GET /status/1 HTTP/1.1\r\n\r\n" + body, "\r\n" + body, "GET http://b.example/ HTTP/1.1\r\nHost: a.example\r\n\r\n" + body,
		"GET /status/1 HTTP/1.1\r\nHost: a.example\r\nX: \x00\r\n\r\n" + body, "HEAD * HTTP/1.1\r\nHost: \r\n\r\n" + body,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var served []recordedRequest
		synctest.Test(t, func(*testing.T) { served = serveBytes(text) })
		found := newCallerConn(nil, nil).search(text, math.MaxInt)
		if len(found) > len(served) {
			t.Fatalf("found %d requests, net/http serves %d", len(found), len(served))
		}
		for n, r := range found {
			if got := (recordedRequest{r.Method, r.RequestURI, r.Host, r.Header.Get("Id")}); got != served[n] {
				t.Fatalf("request %d is %+v, net/http serves %+v", n+1, got, served[n])
			}
		}
	})
}
