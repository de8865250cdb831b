package wagentry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagrouting"
)

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against headers passing a host that end at a connection, and against
// callers and servers that set headers which only hosts may set.
func TestHeadersThatPass(t *testing.T) {
	is := is.New(t)
	var got *http.Request
	address := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		h := w.Header()
		h.Set("Connection", "X-Private")
		h.Set("X-Private", "1")
		h.Set("Keep-Alive", "timeout=5")
		h.Set(wagoutcome.OutcomeHeader, "not-run")
		h.Set(wagoutcome.ReasonHeader, "overload")
		h.Set("X-Public", "2")
	}))
	h := newHost(t, "a", "", servers(address))
	resp, _, err := do(t, "GET", h.caller, "/lots/x", "", "Connection", "X-Hidden", "X-Hidden", "1", "X-Seen", "2",
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

// Guards against request smuggling by ambiguous lengths, header limits that do
// not hold and upgrades that pass.
func TestRawRequests(t *testing.T) {
	const tail = "GET /lots/smuggled HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	tests := []struct {
		name, header, body string
		status             string
		reach              []string
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
		{"long header", "X: " + strings.Repeat("x", 2*maxHeader) + "\r\n", "", "431", nil},
		{"upgrade", "Connection: close, Upgrade\r\nUpgrade: websocket\r\n", "", "400", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, write(ok))
			h := newHost(t, "a", "", servers(s.address))
			answer := exchange(t, h.caller, "POST /lots/first HTTP/1.1\r\nHost: x\r\n"+tt.header+"\r\n"+tt.body)
			is.True(strings.HasPrefix(answer, "HTTP/1.1 "+tt.status))
			is.Equal(strings.Count(answer, "HTTP/1.1 "), 1) // the tail is never served
			is.Equal(s.heads, tt.reach)
		})
	}
}

// Guards against bodies above the limit, and against an outcome that claims
// more than is known of them.
func TestBodyLimit(t *testing.T) {
	is := is.New(t)
	address := start(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	h := newHost(t, "a", "", servers(address))
	long := strings.Repeat("x", 101)
	resp, _, err := do(t, "POST", h.caller, "/lots/x", long)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), "not-run")
	chunked := fmt.Sprintf("POST /lots/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long)
	answer := exchange(t, h.caller, chunked)
	is.True(strings.HasPrefix(answer, "HTTP/1.1 413"))
	is.True(!strings.Contains(answer, "Wagtailspar-Outcome: done"))
	resp, _, err = do(t, "POST", h.caller, "/lots/x", long[:100])
	is.NoErr(err)
	is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), "done")
}

// Guards against trailers that are lost, and against reserved ones that pass.
func TestTrailers(t *testing.T) {
	is := is.New(t)
	var got http.Header
	address := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Trailer", "X-Sum, "+wagoutcome.OutcomeHeader)
		_, _ = io.Copy(w, r.Body)
		got = r.Trailer
		w.Header().Set("X-Sum", "down")
		w.Header().Set(wagoutcome.OutcomeHeader, "not-run")
	}))
	h := newHost(t, "a", "", servers(address))
	answer := exchange(t, h.caller, "POST /lots/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum, Wagtailspar-Hop\r\n\r\n"+
		"2\r\nhi\r\n0\r\nX-Sum: up\r\nWagtailspar-Hop: owner\r\n\r\n")
	is.Equal(got, http.Header{"X-Sum": {"up"}})
	is.True(strings.Contains(answer, "2\r\nhi\r\n0\r\nX-Sum: down\r\n\r\n"))
	is.True(!strings.Contains(answer, "not-run"))
}

// Guards against a body that is sent before the server asked for it.
func TestExpectContinue(t *testing.T) {
	is := is.New(t)
	address := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusForbidden) }))
	h := newHost(t, "a", "", servers(address))
	answer := exchange(t, h.caller, "POST /lots/x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n")
	is.True(strings.HasPrefix(answer, "HTTP/1.1 403"))
}

// Guards against short answers that look whole and against false outcomes.
func TestServerFaults(t *testing.T) {
	closing := func(text string) func(net.Conn, int) bool {
		return func(c net.Conn, n int) bool { return write(text)(c, n) && false }
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
		{"dies before the answer", closing(""), false, "unknown"},
		{"sends no length", closing("HTTP/1.1 200 OK\r\n\r\nshort"), false, "unknown"},
		{"switches protocols", closing("HTTP/1.1 101 Go\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nmore"), false, "unknown"},
		{"sends no HTTP", closing("garbage\r\n\r\n"), false, "unknown"},
		{"proves not run", write("HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), false, "not-run"},
		{"503 without proof", write("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), false, "done"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, tt.respond)
			h := newHost(t, "a", "attempts = 1", servers(s.address))
			resp, _, err := do(t, "POST", h.caller, "/lots/x", "")
			is.Equal(err != nil, tt.broken)
			if !tt.broken {
				is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), tt.outcome)
			}
			is.Equal(s.requests(), 1)
		})
	}
}

// Guards against http.Transport sending one attempt twice when a kept connection
// is closed after the server has read the request.
func TestNoSilentReplay(t *testing.T) {
	for _, headers := range [][]string{{"GET"}, {"POST", "Idempotency-Key", "k"}, {"DELETE", "X-Idempotency-Key", "k"}} {
		t.Run(headers[0], func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, func(c net.Conn, count int) bool { return count == 1 && write(ok)(c, count) })
			h := newHost(t, "a", "attempts = 1", servers(s.address))
			for _, outcome := range []string{"done", "unknown"} {
				resp, _, err := do(t, headers[0], h.caller, "/lots/x", "", headers[1:]...)
				is.NoErr(err)
				is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), outcome)
			}
			is.Equal(s.requests(), 2)
		})
	}
}

// Guards against "not run" being refused although no byte was sent.
func TestRefusedConnection(t *testing.T) {
	is := is.New(t)
	h := newHost(t, "a", "", servers(refusing(t)))
	resp, _, err := do(t, "POST", h.caller, "/lots/x", "body")
	is.NoErr(err)
	is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), "not-run")
	is.Equal(resp.Header.Get(wagoutcome.ReasonHeader), "connection")
}

// Guards against work that runs on after its caller left or its deadline passed.
func TestCancellation(t *testing.T) {
	is := is.New(t)
	began, ended := make(chan struct{}), make(chan struct{})
	address := start(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	}))
	h := newHost(t, "a", "", servers(address))
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.caller+"/lots/x", nil)
	is.NoErr(err)
	beside(t, func() {
		<-began
		cancel()
		<-ended
		<-began
		<-ended
	})
	_, err = http.DefaultTransport.RoundTrip(req)
	is.True(err != nil)
	deadline := time.Now().Add(50 * time.Millisecond).Format(time.RFC3339Nano)
	resp, _, err := do(t, "GET", h.caller, "/lots/x", "", wagoutcome.DeadlineHeader, deadline)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), "unknown")
	is.Equal(resp.Header.Get(wagoutcome.ReasonHeader), "deadline")
}

// Guards against callers that send so slowly that they hold a slot beyond the
// deadline.
func TestSlowCaller(t *testing.T) {
	is := is.New(t)
	address := start(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	h := newHost(t, "a", "", servers(address))
	deadline := time.Now().Add(50 * time.Millisecond).Format(time.RFC3339Nano)
	answer := exchange(t, h.caller, "POST /lots/x HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\nWagtailspar-Deadline: "+deadline+"\r\n\r\nhalf")
	is.True(strings.HasPrefix(answer, "HTTP/1.1 504"))
	is.True(strings.Contains(answer, "Wagtailspar-Outcome: unknown\r\n"))
}

// Guards against reports and hops of peers that are taken for more than they say.
func FuzzHeaders(f *testing.F) {
	for _, s := range []string{"", "inFlight=3; slots=6; draining", "inFlight=-1", "owner,zone", "zone", ",", "slots=99999999999999999999"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		is := is.New(t)
		load, reported := parseLoad(text)
		is.True(load.InFlight >= 0 && load.Slots >= 0)
		is.True(reported || load == wagrouting.Load{})
		hop, known := parseHop(text)
		is.True(!known || hop.any())
	})
}

// Guards against calls that wait in the queue beyond their deadline.
func TestDeadlineWhileWaiting(t *testing.T) {
	is := is.New(t)
	clock := wagclock.NewManual(time.Now())
	h := newHost(t, "a", "", servers("127.0.0.1:1"), WithClock(clock))
	g := h.group("lots")
	call := wagrouting.Request{Class: wagdocument.Short, Deadline: clock.Now().Add(time.Second)}
	// A server without answers gets one call on trial; the next one waits.
	_, decision := g.acquire(t.Context(), call)
	_, sent := decision.(wagrouting.Send)
	is.True(sent)
	waiting := make(chan wagrouting.Decision)
	beside(t, func() {
		_, d := g.acquire(context.Background(), call)
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
