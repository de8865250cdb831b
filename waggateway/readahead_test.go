package waggateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
)

// pipelineFixture is a gateway whose callers pipeline requests on one connection.
type pipelineFixture struct {
	*fixture
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func newPipelineFixture(t *testing.T, servers ...*testServer) *pipelineFixture {
	t.Helper()
	f := &pipelineFixture{fixture: newFixture(t, servers...), t: t}
	f.connect()
	return f
}

// connect opens another connection.
func (f *pipelineFixture) connect() {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	f.conn, f.reader = conn, bufio.NewReader(conn)
}

// callerConn returns a connection that no server reads.
func (f *pipelineFixture) callerConn() *callerConn {
	f.t.Helper()
	c := newCallerConn(f.conn, f.gateway)
	if !f.gateway.callers.add(c) {
		f.t.Fatal("no room for a connection")
	}
	return c
}

// get returns the text of a request.
func get(path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a.example\r\nId: %s\r\nPatience: %s\r\n\r\n", path, id, testCallerTimeout)
}

func (f *pipelineFixture) write(text string) {
	f.t.Helper()
	if _, err := io.WriteString(f.conn, text); err != nil {
		f.t.Fatal(err)
	}
}

// read returns the status and the ID of the next response, and whether the connection
// closes after it.
func (f *pipelineFixture) read() (status int, id string, closing bool) {
	f.t.Helper()
	resp, err := http.ReadResponse(f.reader, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		f.placer.mu.Lock()
		defer f.placer.mu.Unlock()
		f.t.Logf("response %s: %s, results %+v", resp.Status, text, f.placer.results)
	}
	return resp.StatusCode, resp.Header.Get("Id"), resp.Close
}

// await waits until a server has received a number of requests.
func await(t *testing.T, b *testServer, n int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); b.requestCount() < n; {
		if time.Now().After(end) {
			t.Fatalf("server %s has %d requests, want %d", b.name, b.requestCount(), n)
		}
		<-time.After(time.Millisecond)
	}
}

func heldServer(t *testing.T, name string) *testServer {
	b := newTestServer(t, name, responseOK)
	b.hold = make(chan struct{})
	return b
}

// Guards against a pipelined request that waits until the one before it is answered, and
// against responses in another order than the requests.
func TestPipelinedRequestsRunAtOnce(t *testing.T) {
	for name, texts := range map[string][]string{
		"one segment":  {get("/status/1", "r1") + get("/status/2", "r2")},
		"two segments": {get("/status/1", "r1"), get("/status/2", "r2")},
		"split head":   {get("/status/1", "r1") + "GET /sta", strings.TrimPrefix(get("/status/2", "r2"), "GET /sta")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			slow, quick := heldServer(t, "slow"), newTestServer(t, "quick", responseOK)
			f := newPipelineFixture(t, slow, quick)
			f.write(texts[0])
			await(t, slow, 1)
			for _, text := range texts[1:] {
				f.write(text)
			}
			await(t, quick, 1)
			close(slow.hold)
			for _, want := range []string{"r1", "r2"} {
				status, id, closing := f.read()
				is.Equal(status, 200)
				is.Equal(id, want)
				is.True(!closing)
			}
			is.Equal(slow.requestCount()+quick.requestCount(), 2) // each once
		})
	}
}

// Guards against a request that may run only once, or whose end only net/http can tell,
// and that is sent to a server ahead of its turn: a close in between would leave it
// without an answer.
func TestOnlySafeRequestsRunAhead(t *testing.T) {
	for name, second := range map[string]string{
		"at most once":   get("/commit/2", "r2"),
		"body":           "POST /status/2 HTTP/1.1\r\nHost: a.example\r\nId: r2\r\nContent-Length: 4\r\n\r\nbody",
		"body of a GET":  "GET /status/2 HTTP/1.1\r\nHost: a.example\r\nId: r2\r\nContent-Length: 4\r\n\r\nbody",
		"chunks":         "GET /status/2 HTTP/1.1\r\nHost: a.example\r\nId: r2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"closing":        "GET /status/2 HTTP/1.1\r\nHost: a.example\r\nId: r2\r\nConnection: close\r\n\r\n",
		"other method":   "DELETE /status/2 HTTP/1.1\r\nHost: a.example\r\nId: r2\r\n\r\n",
		"smuggled":       "POST /status/2 HTTP/1.1\r\nHost: a.example\r\nId: r2\r\nContent-Length: 76\r\n\r\n" + get("/status/3", "r3"),
		"unknown route":  get("/none/2", "r2"),
		"length in full": "GET /status/2 HTTP/1.1\r\nHost: a.example\r\nId: r2\r\ncontent-LENGTH:4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newPipelineFixture(t)
			c := f.callerConn()
			c.mu.Lock()
			defer c.mu.Unlock()
			c.receive([]byte(get("/status/1", "r1")))
			is.Equal(len(c.ahead), 0) // its handler is about to be called
			c.receive([]byte(second))
			is.Equal(len(c.ahead), 0)
			if c.tracking {
				c.receive([]byte(get("/status/4", "r4")))
				is.Equal(len(c.ahead), 1)
			}
			for _, x := range c.ahead {
				x.cancel()
			}
		})
	}
}

// Guards against servers that work on for a caller that has left, which net/http does
// not notice once it has received a byte of another request.
func TestCallerLeavesPipeline(t *testing.T) {
	a, b := heldServer(t, "a"), heldServer(t, "b")
	f := newPipelineFixture(t, a, b)
	f.write(get("/status/1", "r1") + get("/status/2", "r2"))
	await(t, a, 1)
	await(t, b, 1)
	_ = f.conn.Close()
	for _, server := range []*testServer{a, b} {
		select {
		case <-server.closedWhileHeld:
		case <-time.After(10 * time.Second):
			t.Fatalf("server %s still works", server.name)
		}
		close(server.hold)
	}
}

// Guards against a planned stop that closes a connection whose pipelined requests have
// been sent to servers already, or have been read since.
func TestPlannedStopOfPipeline(t *testing.T) {
	is := is.New(t)
	a, b, c := heldServer(t, "a"), heldServer(t, "b"), newTestServer(t, "c", responseOK)
	f := newPipelineFixture(t, a, b, c)
	f.write(get("/status/1", "r1") + get("/status/2", "r2"))
	await(t, a, 1)
	await(t, b, 1)
	f.gateway.shuttingDown.Store(true)
	f.write(get("/status/3", "r3"))
	close(a.hold)
	_, id, closing := f.read()
	is.Equal(id, "r1")
	is.True(!closing)
	close(b.hold)
	_, id, closing = f.read()
	is.Equal(id, "r2")
	is.True(!closing)
	_, id, closing = f.read()
	is.Equal(id, "r3")
	is.True(closing)
	is.Equal(c.requestCount(), 1)
}

// Guards against a malformed request that affects those before it.
func TestMalformedRequestInPipeline(t *testing.T) {
	is := is.New(t)
	a, b := newTestServer(t, "a", responseOK), newTestServer(t, "b", responseOK)
	f := newPipelineFixture(t, a, b)
	f.write(get("/status/1", "r1") + get("/status/2", "r2") + "GET nothing\r\n\r\n" + get("/status/3", "r3"))
	for _, want := range []string{"r1", "r2"} {
		status, id, _ := f.read()
		is.Equal(status, 200)
		is.Equal(id, want)
	}
	status, _, closing := f.read()
	is.Equal(status, 400)
	is.True(closing)
}

// Guards against one connection that takes many slots of servers at a time, and against
// requests that do not run when it is their turn.
func TestRequestsAheadAreBounded(t *testing.T) {
	is := is.New(t)
	const requests = 3 * maxAhead
	a := newTestServer(t, "a", responseOK)
	f := newPipelineFixture(t, a)
	c := f.callerConn()
	id := func(n int) string { return fmt.Sprint("r", n) }
	c.mu.Lock()
	for n := range requests {
		c.receive([]byte(get("/status/1", id(n))))
	}
	inAdvance, waiting := len(c.ahead), len(c.waiting)
	c.mu.Unlock()
	is.Equal(inAdvance, maxAhead)
	is.Equal(waiting, maxWaiting)
	for n := range requests {
		r := parseHead([]byte(get("/status/1", id(n))))
		x := c.begin(r)
		is.Equal(x != nil, n > 0) // the first one never waits
		if x != nil {
			is.Equal(x.incoming.Header.Get("Id"), id(n))
			x.release()
		}
		c.mu.Lock()
		inAdvance = len(c.ahead)
		c.mu.Unlock()
		is.True(inAdvance <= maxAhead)
		c.end()
	}
	is.Equal(inAdvance, 0)
}

// Guards against an execution that answers another request than the one that it belongs
// to.
func TestExecutionOfAnotherRequest(t *testing.T) {
	is := is.New(t)
	f := newPipelineFixture(t)
	c := f.callerConn()
	c.mu.Lock()
	c.receive([]byte(get("/status/1", "r1") + get("/status/2", "r2") + get("/status/3", "r3")))
	c.mu.Unlock()
	for _, text := range []string{get("/status/1", "r1"), get("/status/2", "other"), get("/status/3", "r3")} {
		is.True(c.begin(parseHead([]byte(text))) == nil)
	}
}

// Guards against an execution that answers a request with a body, if the search should
// ever take the one for the other.
func TestExecutionBesideBody(t *testing.T) {
	for _, text := range []string{get("/status/2", "r2"), get("/status/2", "r2") + get("/status/3", "r3")} {
		is := is.New(t)
		f := newPipelineFixture(t)
		c := f.callerConn()
		c.mu.Lock()
		c.receive([]byte(get("/status/1", "r1") + text))
		c.mu.Unlock()
		is.True(c.begin(parseHead([]byte(get("/status/1", "r1")))) == nil)
		withBody := parseHead([]byte(get("/status/2", "r2")))
		withBody.ContentLength = 4
		is.True(c.begin(withBody) == nil)
		is.Equal(len(c.ahead), 0)
		is.True(!c.tracking)
	}
}

// Guards against requests that are lost, doubled or answered in another order when their
// bytes arrive in any pieces, with requests that do not run ahead among them.
func TestPipelineInAnyPieces(t *testing.T) {
	a := newTestServer(t, "a", responseOK)
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(rt, "requests")
		// A connect that takes longer than dialTimeout needs a second grant.
		servers := make([]*testServer, 2*count)
		for n := range servers {
			servers[n] = a
		}
		var text strings.Builder
		for n := range count {
			switch rapid.IntRange(0, 5).Draw(rt, "kind") {
			case 0:
				fmt.Fprintf(&text, "POST /commit/1 HTTP/1.1\r\nHost: a.example\r\nId: r%d\r\nContent-Length: 20\r\n\r\nGET /x HTTP/1.1\r\n\r\n1", n)
			case 1:
				text.WriteString(get("/commit/1", fmt.Sprint("r", n)))
			default:
				text.WriteString(get("/status/1", fmt.Sprint("r", n)))
			}
		}
		f := newPipelineFixture(t, servers...)
		before := a.requestCount()
		var g errgroup.Group
		rest := text.String()
		var pieces []string
		for len(rest) > 0 {
			size := rapid.IntRange(1, min(len(rest), 150)).Draw(rt, "size")
			pieces, rest = append(pieces, rest[:size]), rest[size:]
		}
		g.Go(func() error {
			for _, piece := range pieces {
				if _, err := io.WriteString(f.conn, piece); err != nil {
					return err
				}
			}
			return nil
		})
		for n := range count {
			status, id, _ := f.read()
			if status != 200 || id != fmt.Sprint("r", n) {
				rt.Fatalf("response %d has status %d and ID %s", n, status, id)
			}
		}
		if err := g.Wait(); err != nil {
			rt.Fatal(err)
		}
		if got := a.requestCount() - before; got != count {
			rt.Fatalf("servers received %d requests, want %d", got, count)
		}
		_ = f.conn.Close()
		f.server.Close()
	})
}

// panickingPlacer panics at the second request.
type panickingPlacer struct{ *fakePlacer }

func (p panickingPlacer) Place(ctx context.Context, service string, r wagplacement.Request) wagowner.Outcome {
	if r.Name == "r2" {
		panic("unexpected")
	}
	return p.fakePlacer.Place(ctx, service, r)
}

// Guards against one request that ends the program, with all others of the host.
func TestPanicOfPipelinedRequest(t *testing.T) {
	is := is.New(t)
	a := newTestServer(t, "a", responseOK)
	f := newPipelineFixture(t, a, a)
	f.gateway.placer = panickingPlacer{f.placer}
	f.write(get("/status/1", "r1") + get("/status/2", "r2") + get("/status/3", "r3"))
	for n, want := range []int{200, 502, 200} {
		status, id, _ := f.read()
		is.Equal(status, want)
		is.Equal(id, fmt.Sprint("r", n+1))
	}
}
