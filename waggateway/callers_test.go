package waggateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// causeRecorder counts the refusals by cause.
type causeRecorder struct {
	noopObserver
	mu     sync.Mutex
	counts map[RefusalCause]int
}

func newCauseRecorder() *causeRecorder { return &causeRecorder{counts: make(map[RefusalCause]int)} }

// CallerRefused counts a refusal.
func (r *causeRecorder) CallerRefused(cause RefusalCause) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[cause]++
}

func (r *causeRecorder) count(cause RefusalCause) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[cause]
}

// newLimitedFixture returns a gateway with limits and the recorder of its refusals.
func newLimitedFixture(t *testing.T, l Limits, servers ...*testServer) (*pipelineFixture, *causeRecorder) {
	t.Helper()
	seen := newCauseRecorder()
	f := newFixtureWith(t, []Option{WithLimits(l), WithObserver(seen)}, servers...)
	return &pipelineFixture{fixture: f, t: t}, seen
}

// awaitTrue waits until a condition holds.
func awaitTrue(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); <-time.After(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// readStatus returns the status of a response and whether the connection closes after it.
func readStatus(t *testing.T, c net.Conn) (status int, closing bool) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Close
}

const headBeginning = "GET /status/1 HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n"

// Guards against a head that is read far beyond the limit, of which net/http itself reads
// a megabyte, and against one that ends without the status that says why.
func TestEndlessHeadsEnd(t *testing.T) {
	for name, text := range map[string]string{
		"one line":      headBeginning + "Fill: " + strings.Repeat("x", 200<<10),
		"short lines":   headBeginning + strings.Repeat("a: b\r\n", 30<<10),
		"one name":      headBeginning + strings.Repeat("Accept-Language: b\r\n", 10<<10),
		"request line":  "GET /" + strings.Repeat("x", 200<<10),
		"folded lines":  headBeginning + "X: y\r\n" + strings.Repeat(" z\r\n", 50<<10),
		"blank in line": headBeginning + "X:" + strings.Repeat(" ", 200<<10),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, seen := newLimitedFixture(t, Limits{})
			f.connect()
			_, _ = io.WriteString(f.conn, text) // fails when the connection is closed first
			status, closing := readStatus(t, f.conn)
			is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
			is.True(closing)
			is.Equal(seen.count(CauseHeadTooLong), 1)
			_ = f.conn.Close()
			awaitTrue(t, "memory stays reserved", func() bool { return f.gateway.BudgetStats().UsedBytes == 0 })
		})
	}
}

// Guards against an endless sequence of empty lines before a request that keeps a
// connection open.
func TestEmptyLinesEnd(t *testing.T) {
	f, _ := newLimitedFixture(t, Limits{})
	f.connect()
	_, _ = io.WriteString(f.conn, strings.Repeat("\r\n", 100<<10))
	_ = f.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.ReadAll(f.conn)
	_ = f.conn.Close()
	awaitTrue(t, "memory stays reserved", func() bool { return f.gateway.BudgetStats().UsedBytes == 0 })
}

// Guards against heads of legal size that together take more than the memory of the host
// because each short line costs many times its bytes, and against an ordinary caller who
// gets no answer meanwhile.
func TestHeadsAreBoundedTogether(t *testing.T) {
	for name, line := range map[string]string{"short lines": "%d:\r\n", "one name": "Accept: %d\r\n", "one long line": "x%d"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const limit = 2 << 20
			f, seen := newLimitedFixture(t, Limits{MemoryBytes: limit}, newTestServer(t, "a", responseOK))
			var text strings.Builder
			text.WriteString(headBeginning)
			for n := 0; text.Len() < testHeaderBytes-100; n++ {
				fmt.Fprintf(&text, line, n)
			}
			const clients = 100
			for range clients {
				f.connect()
				_, _ = io.WriteString(f.conn, text.String())
			}
			awaitTrue(t, "no connection is refused", func() bool { return seen.count(CauseMemory) > 0 })
			f.connect()
			f.write(get("/status/1", "r1"))
			status, _, _ := f.read()
			is.Equal(status, http.StatusOK)
			is.True(f.gateway.BudgetStats().UsedBytes <= limit)
		})
	}
}

// Guards against connections without a request that keep ordinary callers out.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	f, seen := newLimitedFixture(t, Limits{Connections: 10}, newTestServer(t, "a", responseOK))
	for range 30 {
		f.connect()
		f.write("GET ")
	}
	f.connect()
	f.write(get("/status/1", "r1"))
	status, _, _ := f.read()
	is.Equal(status, http.StatusOK)
	is.True(f.gateway.BudgetStats().Connections <= 10)
	is.True(seen.count(CauseConnections) > 0)
}

// Guards against a single request inside the limits that is refused although no resource
// is short: many short lines, many lines of one name, and a body with many line feeds.
func TestRequestsInsideTheLimitsAreServed(t *testing.T) {
	a := newTestServer(t, "a", responseOK)
	for name, text := range map[string]string{
		"short lines":   headBeginning + strings.Repeat("a: b\r\n", 1000) + "\r\n",
		"one name":      headBeginning + strings.Repeat("Accept-Language: b\r\n", 350) + "\r\n",
		"line feeds":    "POST /commit/1 HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("\n", 300000),
		"small chunks":  "POST /commit/1 HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 20000) + "0\r\n\r\n",
		"single pieces": headBeginning + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, seen := newLimitedFixture(t, Limits{}, a, a)
			f.connect()
			step := len(text)
			if name == "single pieces" {
				step = 1
			}
			for n := 0; n < len(text); n += step {
				f.write(text[n:min(n+step, len(text))])
			}
			status, _, _ := f.read()
			is.Equal(status, http.StatusOK)
			is.Equal(len(seen.counts), 0)
		})
	}
}

// Guards against short lines that are charged by their bytes only: each costs a map entry
// and copies.
func TestLinesAreCharged(t *testing.T) {
	is := is.New(t)
	var h headCounter
	is.True(h.add([]byte(headBeginning+strings.Repeat("a:\r\n", 1000))) >= 1000*headLineCost)
	is.Equal(h.add([]byte("\r\n"+strings.Repeat("\n", 1000))), int64(headLineCost+2*headByteCost)) // a body
}

// Guards against a charge that an ordinary request of ten lines could not pay from the
// part of the budget that is kept for such requests, and against charges that remain
// while a connection is idle.
func TestOrdinaryRequestsCostLittle(t *testing.T) {
	is := is.New(t)
	text := headBeginning + strings.Repeat("Some-Header: with-a-value-of-an-ordinary-length\r\n", 8) + "\r\n"
	var h headCounter
	is.True(h.add([]byte(text)) < 16<<10)
	a := newTestServer(t, "a", responseOK)
	f, _ := newLimitedFixture(t, Limits{}, a, a)
	f.connect()
	for range 2 {
		f.write(text)
		status, _, _ := f.read()
		is.Equal(status, http.StatusOK)
		awaitTrue(t, "memory stays reserved", func() bool { return f.gateway.BudgetStats().UsedBytes == connBaseBytes })
	}
}

// Guards against any number of pipelined requests that are parsed and kept while their
// responses are not read.
func TestPipelinedRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	slow := heldServer(t, "slow")
	defer close(slow.hold)
	f, _ := newLimitedFixture(t, Limits{}, repeated(slow, 500)...)
	f.connect()
	f.write(strings.Repeat(get("/status/1", "r1"), 500))
	await(t, slow, 1)
	conn := f.gateway.callers.all()[0]
	awaitTrue(t, "nothing is read ahead", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return len(conn.waiting) == maxWaiting && conn.received <= 1+maxAhead+maxWaiting
	})
	is.True(f.gateway.BudgetStats().UsedBytes < 512<<10)
}

// Guards against responses of servers that together fill the memory while callers do not
// read them, and against a response that is dropped because memory is short.
func TestResponsesAreBounded(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 200<<10)
	a := newTestServer(t, "a", strings.Replace(responseOK, "Content-Length: 2\r\n\r\nok", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), 1))
	f, _ := newLimitedFixture(t, Limits{MemoryBytes: 128 << 10}, a, a)
	f.connect()
	f.write(get("/commit/1", "r1"))
	status, _, _ := f.read() // fails unless the body is complete
	is.Equal(status, http.StatusOK)
	awaitTrue(t, "memory stays reserved", func() bool { return f.gateway.BudgetStats().UsedBytes == connBaseBytes })
}
