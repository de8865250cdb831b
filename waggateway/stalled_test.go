package waggateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newStallingGateway returns a gateway that serves on a listener and the recorder of its
// refusals. Its limits are shorter than those of its unused connections, which are closed
// for another reason.
func newStallingGateway(t *testing.T, idle, timeout time.Duration) (*runningGateway, *causeRecorder) {
	t.Helper()
	seen := newCauseRecorder()
	c := testConfig(t, 2, timeout)
	c.Limits.IdleTimeout = idle
	r := newRunningGateway(t, time.Second, WithObserver(seen))
	r.gateway.SetConfig(c)
	t.Cleanup(func() {
		r.shutDown()
		r.awaitEnd()
	})
	return r, seen
}

// awaitActivity waits until a connection is in an activity and has received a byte.
func (r *runningGateway) awaitActivity(a activity) {
	r.t.Helper()
	awaitTrue(r.t, "the activity is not reached", func() bool {
		for _, c := range r.gateway.callers.all() {
			c.mu.Lock()
			reached := c.activity == a && c.progress.Load() > 0
			c.mu.Unlock()
			if reached {
				return true
			}
		}
		return false
	})
}

// advanceUntil advances the clock until a condition holds, and returns how far.
func (r *runningGateway) advanceUntil(what string, holds func() bool) time.Duration {
	r.t.Helper()
	start := r.clock.Now()
	awaitTrue(r.t, what, func() bool {
		if holds() {
			return true
		}
		r.clock.Advance(unusedCheckInterval / 2)
		return false
	})
	return r.clock.Now().Sub(start)
}

// Guards against a head that arrives one byte at a time and is awaited for as long as it
// makes progress.
func TestSlowHeadsEnd(t *testing.T) {
	is := is.New(t)
	r, seen := newStallingGateway(t, time.Hour, time.Hour)
	c := r.dial()
	resp, err := sendRequest(c)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	_, _ = io.WriteString(c, headBeginning)
	awaitTrue(t, "the head does not begin", func() bool {
		conns := r.gateway.callers.all()
		return len(conns) == 1 && conns[0].progress.Load() >= 3
	})
	r.advanceUntil("the head may take any time", func() bool {
		_, _ = io.WriteString(c, "x")
		return seen.count(CauseHeadTimeout) == 1
	})
	status, closing := readStatus(t, c)
	is.Equal(status, http.StatusRequestTimeout)
	is.True(closing)
}

// Guards against a body that is awaited forever, because it stalls or because single
// bytes of it arrive, and against an answer that says less than that the request did not
// run.
func TestSlowBodiesEnd(t *testing.T) {
	for _, x := range []struct {
		name, more    string
		idle, timeout time.Duration
	}{
		{"stalled", "", 2 * time.Second, time.Hour},
		{"one byte at a time", "1\r\nx\r\n", time.Hour, 20 * time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			r, seen := newStallingGateway(t, x.idle, x.timeout)
			c := r.dial()
			_, err := io.WriteString(c, "POST /commit/1 HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
			is.NoErr(err)
			r.awaitActivity(readingBody)
			r.advanceUntil("the body may take any time", func() bool {
				_, _ = io.WriteString(c, x.more)
				return seen.count(CauseBodyTimeout) == 1
			})
			status, closing := readStatus(t, c)
			is.Equal(status, http.StatusRequestTimeout)
			is.True(closing)
		})
	}
}

// Guards against the rest of a body that net/http awaits forever before it writes a
// response that needs no server.
func TestUnreadBodiesEnd(t *testing.T) {
	is := is.New(t)
	r, seen := newStallingGateway(t, 2*time.Second, time.Hour)
	c := r.dial()
	_, err := io.WriteString(c, "POST /none HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nContent-Length: 5\r\n\r\nx")
	is.NoErr(err)
	r.awaitActivity(finishing)
	r.advanceUntil("the body may take any time", func() bool { return seen.count(CauseBodyTimeout) == 1 })
	status, _ := readStatus(t, c)
	is.Equal(status, http.StatusNotFound)
}

// Guards against a response that is kept forever for a caller who does not read it.
func TestUnreadResponsesEnd(t *testing.T) {
	for _, x := range []struct {
		name           string
		size, requests int
	}{{"kept in memory", 200 << 10, 800}, {"streamed", 16 << 20, 1}} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			body := strings.Repeat("x", x.size)
			large := newTestServer(t, "large", strings.Replace(responseOK, "Content-Length: 2\r\n\r\nok", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", x.size, body), 1))
			// Started last: the deadline of a connect is that of the clock at its start.
			r, seen := newStallingGateway(t, 2*time.Second, time.Hour)
			placer := r.gateway.placer.(*fakePlacer)
			placer.mu.Lock()
			placer.servers = repeated(large, 1000)
			placer.mu.Unlock()
			c := r.dial()
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			_, err := io.WriteString(c, strings.Repeat(get("/status/1", "r1"), x.requests))
			is.NoErr(err)
			awaitTrue(t, "nothing is written", func() bool {
				for _, conn := range r.gateway.callers.all() {
					if conn.writing.Load() {
						return true
					}
				}
				return false
			})
			r.advanceUntil("the response is kept", func() bool { return seen.count(CauseWriteTimeout) == 1 })
			awaitTrue(t, "memory stays reserved", func() bool { return r.gateway.BudgetStats().UsedBytes == 0 })
		})
	}
}

// repeated returns a server a number of times.
func repeated(b *testServer, n int) (servers []*testServer) {
	for range n {
		servers = append(servers, b)
	}
	return servers
}

// Guards against a first head that is ended at the first sweep which sees a part of it,
// because the connection has no earlier state to compare with.
func TestFirstHeadHasItsTimeout(t *testing.T) {
	is := is.New(t)
	r, seen := newStallingGateway(t, time.Hour, time.Hour)
	c := r.dial()
	_, _ = io.WriteString(c, headBeginning)
	r.awaitActivity(receiving)
	conn := r.gateway.callers.all()[0]
	now := r.clock.Now()
	r.gateway.endStalled(now)
	is.Equal(seen.count(CauseHeadTimeout), 0)
	header, _ := r.gateway.timeouts()
	r.gateway.endStalled(now.Add(header - time.Millisecond))
	is.Equal(seen.count(CauseHeadTimeout), 0)
	r.gateway.endStalled(now.Add(header))
	is.Equal(seen.count(CauseHeadTimeout), 1)
	is.True(conn.markedAt.Equal(now))
}
