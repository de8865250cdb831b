package wagentry

import (
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

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagrouting"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against forwarding of hop-by-hop headers, and against callers and servers
// that set headers which only hosts may set.
func TestHeaderFiltering(t *testing.T) {
	is := is.New(t)
	var got *http.Request
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		h := w.Header()
		h.Set("Connection", "X-Private")
		h.Set("X-Private", "1")
		h.Set("Keep-Alive", "timeout=5")
		h.Set(wagoutcome.OutcomeHeader, "not-run")
		h.Set(wagoutcome.ReasonHeader, "overload")
		h.Set("X-Public", "2")
	}))
	h := newTestHost(t, "a", "", liveServers(address))
	resp, _, err := doRequest(t, "GET", h.caller, "/lots/x", "", "Connection", "X-Hidden", "X-Hidden", "1", "X-Seen", "2",
		"Proxy-Authorization", "secret", wagoutcome.HopHeader, "owner", wagoutcome.CallerHeader, "root", "Request-Id", "r1")
	is.NoErr(err)
	is.Equal(got.Header.Get("X-Hidden")+got.Header.Get("Proxy-Authorization")+got.Header.Get(wagoutcome.HopHeader)+got.Header.Get(wagoutcome.CallerHeader), "")
	is.Equal(got.Header.Get("X-Seen"), "2")
	is.Equal(got.Header.Get("Request-Id"), "r1")
	is.Equal(got.Header.Get(wagoutcome.RevisionHeader), "1")
	is.Equal(got.Host, h.caller)
	is.Equal(resp.Header.Get("X-Private")+resp.Header.Get("Keep-Alive")+resp.Header.Get(wagoutcome.ReasonHeader), "")
	is.Equal(resp.Header.Get("X-Public"), "2")
	is.Equal(resp.Header[wagoutcome.OutcomeHeader], []string{"done"})
	is.Equal(resp.Header.Get(wagoutcome.RevisionHeader), "1")
}

// Guards against request smuggling by ambiguous lengths, headers above the limit, and
// protocol upgrades that reach a server.
func TestRawRequests(t *testing.T) {
	const tail = "GET /lots/smuggled HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	tests := []struct {
		name, header, body string
		status             string
		wantRequests       []string
	}{
		{"length and chunks", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n" + tail, "200", []string{"POST /lots/first"}},
		{"two lengths", "Content-Length: 5\r\nContent-Length: 6\r\n", "hello" + tail, "400", nil},
		{"list of lengths", "Content-Length: 5, 6\r\n", "hello" + tail, "400", nil},
		{"negative length", "Content-Length: -1\r\n", tail, "400", nil},
		{"signed length", "Content-Length: +5\r\n", "hello" + tail, "400", nil},
		{"same length twice", "Connection: close\r\nContent-Length: 5\r\nContent-Length: 5\r\n", "hello", "200", []string{"POST /lots/first"}},
		{"unknown coding", "Transfer-Encoding: xchunked\r\n", tail, "501", nil},
		{"chunks twice", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n" + tail, "501", nil},
		{"space before colon", "Content-Length : 5\r\n", "hello" + tail, "400", nil},
		{"bad chunk", "Transfer-Encoding: chunked\r\n", "zz\r\n" + tail, "502", nil},
		{"long header", "X: " + strings.Repeat("x", 2*maxHeaderBytes) + "\r\n", "", "431", nil},
		{"upgrade", "Connection: close, Upgrade\r\nUpgrade: websocket\r\n", "", "400", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, respondWith(okResponse))
			h := newTestHost(t, "a", "", liveServers(s.address))
			responses := sendRaw(t, h.caller, "POST /lots/first HTTP/1.1\r\nHost: x\r\n"+tt.header+"\r\n"+tt.body)
			is.True(strings.HasPrefix(responses, "HTTP/1.1 "+tt.status))
			is.Equal(strings.Count(responses, "HTTP/1.1 "), 1) // the tail is never served
			is.Equal(s.requestLines, tt.wantRequests)
		})
	}
}

// Guards against bodies above the limit that are accepted or reported as done. The
// limit also applies to chunked bodies, whose length is not known in advance.
func TestBodyLimit(t *testing.T) {
	is := is.New(t)
	address := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	h := newTestHost(t, "a", "", liveServers(address))
	long := strings.Repeat("x", 101)
	resp, _, err := doRequest(t, "POST", h.caller, "/lots/x", long)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), "not-run")
	chunked := fmt.Sprintf("POST /lots/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long)
	response := sendRaw(t, h.caller, chunked)
	is.True(strings.HasPrefix(response, "HTTP/1.1 413"))
	is.True(!strings.Contains(response, "Wagtailspar-Outcome: done"))
	resp, _, err = doRequest(t, "POST", h.caller, "/lots/x", long[:100])
	is.NoErr(err)
	is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), "done")
}

// Guards against trailers that are lost, and against reserved trailers that are passed
// on.
func TestTrailers(t *testing.T) {
	is := is.New(t)
	var got http.Header
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Trailer", "X-Sum, "+wagoutcome.OutcomeHeader)
		_, _ = io.Copy(w, r.Body)
		got = r.Trailer
		w.Header().Set("X-Sum", "down")
		w.Header().Set(wagoutcome.OutcomeHeader, "not-run")
	}))
	h := newTestHost(t, "a", "", liveServers(address))
	response := sendRaw(t, h.caller, "POST /lots/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum, Wagtailspar-Hop\r\n\r\n"+
		"2\r\nhi\r\n0\r\nX-Sum: up\r\nWagtailspar-Hop: owner\r\n\r\n")
	is.Equal(got, http.Header{"X-Sum": {"up"}})
	is.True(strings.Contains(response, "2\r\nhi\r\n0\r\nX-Sum: down\r\n\r\n"))
	is.True(!strings.Contains(response, "not-run"))
}

// Guards against a 100 (Continue) to the caller before the server has asked for the
// body.
func TestExpectContinue(t *testing.T) {
	is := is.New(t)
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusForbidden) }))
	h := newTestHost(t, "a", "", liveServers(address))
	response := sendRaw(t, h.caller, "POST /lots/x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n")
	is.True(strings.HasPrefix(response, "HTTP/1.1 403"))
}

// Guards against truncated responses that look complete, and against wrong outcomes,
// when a server fails at some point of its response.
func TestServerFaults(t *testing.T) {
	closing := func(text string) func(net.Conn, int) bool {
		return func(c net.Conn, n int) bool { return respondWith(text)(c, n) && false }
	}
	tests := []struct {
		name    string
		respond func(net.Conn, int) bool
		broken  bool
		outcome string
	}{
		{"dies in a sized body", closing("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"), true, ""},
		{"dies in a chunked body", closing("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"), true, ""},
		{"dies in the header", closing("HTTP/1.1 200 OK\r\nContent-"), false, "unknown"},
		{"dies before the response", closing(""), false, "unknown"},
		{"sends no length", closing("HTTP/1.1 200 OK\r\n\r\nshort"), false, "unknown"},
		{"sends status 000", closing("HTTP/1.1 000 \r\nContent-Length: 5\r\n\r\nshort"), false, "unknown"},
		{"sends status 799", closing("HTTP/1.1 799 No\r\nContent-Length: 5\r\n\r\nshort"), false, "unknown"},
		{"switches protocols", closing("HTTP/1.1 101 Go\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nmore"), false, "unknown"},
		{"sends no HTTP", closing("garbage\r\n\r\n"), false, "unknown"},
		{"proves not run", respondWith("HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), false, "not-run"},
		{"503 without proof", respondWith("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), false, "done"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, tt.respond)
			h := newTestHost(t, "a", "attempts = 1", liveServers(s.address))
			resp, _, err := doRequest(t, "POST", h.caller, "/lots/x", "")
			is.Equal(err != nil, tt.broken)
			if !tt.broken {
				is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), tt.outcome)
			}
			is.Equal(s.requests(), 1)
		})
	}
}

// Guards against http.Transport resending an attempt when a kept connection is closed
// after the server has read the request.
func TestNoSilentReplay(t *testing.T) {
	for _, headers := range [][]string{{"GET"}, {"POST", "Idempotency-Key", "k"}, {"DELETE", "X-Idempotency-Key", "k"}} {
		t.Run(headers[0], func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, func(c net.Conn, count int) bool { return count == 1 && respondWith(okResponse)(c, count) })
			h := newTestHost(t, "a", "attempts = 1", liveServers(s.address))
			for _, outcome := range []string{"done", "unknown"} {
				resp, _, err := doRequest(t, headers[0], h.caller, "/lots/x", "", headers[1:]...)
				is.NoErr(err)
				is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), outcome)
			}
			is.Equal(s.requests(), 2)
		})
	}
}

// Guards against reporting "unknown" for a request of which no byte was sent, because
// the server refused the connection.
func TestRefusedConnection(t *testing.T) {
	is := is.New(t)
	h := newTestHost(t, "a", "", liveServers(refusingAddress(t)))
	resp, _, err := doRequest(t, "POST", h.caller, "/lots/x", "body")
	is.NoErr(err)
	is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), "not-run")
	is.Equal(resp.Header.Get(wagoutcome.ReasonHeader), "connection")
}

// Guards against requests that go on at the server after the caller has disconnected or
// the deadline has passed.
func TestCancellation(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	clock := wagclock.NewManual(time.Now())
	address := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		signal(t, started)
		<-r.Context().Done()
		signal(t, ended)
	}))
	h := newTestHost(t, "a", "", liveServers(address), WithClock(clock))
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.caller+"/lots/x", nil)
	is.NoErr(err)
	runInBackground(t, func() {
		await(t, started)
		cancel()
		await(t, ended)
		await(t, started)
		clock.Advance(time.Minute)
		await(t, ended)
	})
	_, err = http.DefaultTransport.RoundTrip(req)
	is.True(err != nil)
	deadline := clock.Now().Add(time.Minute).Format(time.RFC3339Nano)
	resp, _, err := doRequest(t, "GET", h.caller, "/lots/x", "", wagoutcome.DeadlineHeader, deadline)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), "unknown")
	is.Equal(resp.Header.Get(wagoutcome.ReasonHeader), "deadline")
}

// signal sends on a channel unless the test ends before.
func signal(t *testing.T, c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	case <-t.Context().Done():
	}
}

// await receives from a channel unless the test ends before.
func await(t *testing.T, c <-chan struct{}) {
	select {
	case <-c:
	case <-t.Context().Done():
	}
}

// Guards against callers that hold a slot beyond the deadline by sending slowly.
func TestSlowCaller(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	clock := wagclock.NewManual(time.Now())
	address := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		signal(t, started)
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	h := newTestHost(t, "a", "", liveServers(address), WithClock(clock))
	runInBackground(t, func() {
		await(t, started)
		clock.Advance(time.Minute)
	})
	deadline := clock.Now().Add(time.Minute).Format(time.RFC3339Nano)
	response := sendRaw(t, h.caller, "POST /lots/x HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\nWagtailspar-Deadline: "+deadline+"\r\n\r\nhalf")
	is.True(strings.HasPrefix(response, "HTTP/1.1 504"))
	is.True(strings.Contains(response, "Wagtailspar-Outcome: unknown\r\n"))
}

// Guards against load reports and hop headers that parse to values out of range.
func FuzzHeaders(f *testing.F) {
	for _, s := range []string{"", "inFlight=3; slots=6; draining", "inFlight=-1", "owner,zone", "zone", ",", "slots=99999999999999999999"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		is := is.New(t)
		load, reported := parseLoad(text)
		is.True(load.InFlight >= 0 && load.Slots >= 0)
		is.True(reported || load == wagrouting.Load{})
		hop, known := parseHops(text)
		is.True(!known || hop.any())
	})
}

// Guards against requests that wait in the queue beyond their deadline.
func TestDeadlineWhileWaiting(t *testing.T) {
	is := is.New(t)
	clock := wagclock.NewManual(time.Now())
	h := newTestHost(t, "a", "", liveServers("127.0.0.1:1"), WithClock(clock))
	g := h.group("lots")
	request := wagrouting.Request{Class: wagdocument.Short, Deadline: clock.Now().Add(time.Second)}
	// A server that has not responded yet gets one request as a trial. The next request
	// waits.
	_, decision := g.acquire(t.Context(), request)
	_, sent := decision.(wagrouting.Send)
	is.True(sent)
	waiting := make(chan wagrouting.Decision)
	runInBackground(t, func() {
		_, d := g.acquire(context.Background(), request)
		waiting <- d
	})
	for {
		select {
		case d := <-waiting:
			is.Equal(d, wagrouting.Refuse{Reason: wagoutcome.ReasonDeadline})
			return
		default:
			clock.Advance(100 * time.Millisecond)
		}
	}
}

// Guards against an answer that ends early, in its head or its body, and counts as whole.
func TestAnswersAreCut(t *testing.T) {
	for name, whole := range map[string]string{
		"length":                "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 5\r\n\r\nwhole",
		"chunks":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"end of the connection": "HTTP/1.1 200 OK\r\nX: y\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var text atomic.Pointer[string]
			s := newRawServer(t, func(c net.Conn, n int) bool { return respondWith(*text.Load())(c, n) && false })
			h := newTestHost(t, "a", "attempts = 1", liveServers(s.address))
			for n := range len(whole) {
				answer := whole[:n]
				text.Store(&answer)
				resp, _, err := doRequest(t, "POST", h.caller, "/lots/x", "")
				if err == nil && resp.Header.Get(wagoutcome.OutcomeHeader) != "unknown" {
					t.Errorf("the answer %q has the outcome %s", answer, resp.Header.Get(wagoutcome.OutcomeHeader))
				}
			}
		})
	}
}
