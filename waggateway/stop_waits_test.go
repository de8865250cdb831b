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

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
)

// slotPlacer grants the servers of a fakePlacer, and then lets requests wait for a slot until
// their context ends.
type slotPlacer struct {
	*fakePlacer
	// waits receives an element when a request begins to wait.
	waits chan struct{}
}

func (p slotPlacer) Place(ctx context.Context, service string, r wagplacement.Request) wagowner.Outcome {
	p.mu.Lock()
	none := len(p.servers) == 0
	p.mu.Unlock()
	if !none {
		return p.fakePlacer.Place(ctx, service, r)
	}
	p.waits <- struct{}{}
	<-ctx.Done()
	return wagowner.Refused{Reason: wagplacement.ReasonDeadline, RetryAt: time.Now()}
}

// stopGrace is shorter than testTimeout, so that the deadlines of requests lie beyond it.
const stopGrace = testTimeout / 2

// Guards against a planned stop that closes the connection of a request without an answer,
// although no server works on it: it waits for a slot (case 8 of the review), for another
// try, for a second server, or for its own body, or an answer of a server is kept meanwhile.
func TestWaitsDuringPlannedStop(t *testing.T) {
	const get, post = "GET /status/1 HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n\r\n", "POST /commit/1 HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nContent-Length: 4\r\n\r\n"
	for name, c := range map[string]struct {
		text string
		// responses are those of the servers; an empty text holds the response.
		responses []string
		// hedgeAfter is that of each grant.
		hedgeAfter time.Duration
		// withheld makes the gateway give each grant back.
		withheld bool
		// work is how long the shortest earlier request of the route took; 0 if not known.
		work time.Duration
		// endsBy is when the response must be there, as a part of the time until answerBy.
		endsBy float64
		status int
		body   string
	}{
		"slot":                           {text: get, endsBy: 1, status: 503, body: reasonShuttingDown},
		"slot, work is known":            {text: get, work: stopGrace / 2, endsBy: 0.6, status: 503, body: reasonShuttingDown},
		"slot of an order":               {text: post + "body", endsBy: 1, status: 503, body: reasonShuttingDown},
		"slot after a rejection":         {text: get, responses: []string{responseFull}, endsBy: 1, status: 503, body: reasonShuttingDown},
		"slot after a broken connection": {text: get, responses: []string{responseTruncated}, endsBy: 1, status: 502, body: reasonShuttingDown},
		"slot while an error is kept":    {text: get, responses: []string{responseError}, endsBy: 1, status: 500, body: "no"},
		"server while an error is kept":  {text: get, responses: []string{responseError, ""}, endsBy: 1, status: 500, body: "no"},
		"hedge while an error is kept":   {text: get, responses: []string{"", responseError}, hedgeAfter: time.Millisecond, endsBy: 1, status: 500, body: "no"},
		"slot of a hedge":                {text: get, responses: []string{""}, hedgeAfter: time.Millisecond, endsBy: 1, status: 502, body: reasonShuttingDown},
		"server":                         {text: get, responses: []string{""}, endsBy: 1, status: 502, body: reasonShuttingDown},
		"pause between tries":            {text: get, responses: []string{responseOK, responseOK, responseOK, responseOK, responseOK, responseOK, responseOK, responseOK, responseOK}, withheld: true, endsBy: 1, status: 503, body: reasonShuttingDown},
		"body":                           {text: post + "bo", endsBy: 1, status: 503, body: reasonShuttingDown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var servers []*testServer
			for n, response := range c.responses {
				if response == "" {
					servers = append(servers, newHeldServer(t, fmt.Sprint("s", n)))
				} else {
					servers = append(servers, newTestServer(t, fmt.Sprint("s", n), response))
				}
			}
			var opts []Option
			if c.withheld {
				opts = append(opts, WithSendCheck(func(string) bool { return false }))
			}
			f := newFixtureWith(t, opts, servers...)
			f.placer.hedgeAfter = c.hedgeAfter
			placer := slotPlacer{f.placer, make(chan struct{}, 10)}
			f.gateway.placer = placer
			r := run(t, stopGrace, f)
			if c.work > 0 {
				f.gateway.durations.record(r.clock.Now(), "status", c.work, true)
			}
			conn := r.dial()
			_, err := io.WriteString(conn, c.text)
			is.NoErr(err)
			awaitTrue(t, "the request does not arrive", func() bool {
				return len(f.gateway.callers.all()) == 1 && (f.gateway.callers.all()[0].isReadingBody() || f.gateway.inFlight.count() == 1)
			})
			start := r.clock.Now()
			r.shutDown()
			<-r.announced
			is.NoErr(conn.SetReadDeadline(time.Now().Add(30 * time.Second)))
			r.advanceTo(start.Add(time.Duration(c.endsBy * float64(newShutdownTimes(start, stopGrace).answerBy.Sub(start)))))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err) // otherwise the connection was closed without an answer
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			if !strings.Contains(string(body), c.body) {
				t.Errorf("the body is %q", body)
			}
			is.Equal(resp.Header.Get("Retry-After") != "", c.status == 503)
			is.Equal(resp.Header.Get("Signed") != "", c.status == 500)
			is.True(resp.Close)
			r.awaitEnd()
		})
	}
}

// advanceTo advances the clock to a time in steps that the gateway sees.
func (r *runningGateway) advanceTo(end time.Time) {
	for now := r.clock.Now(); now.Before(end); now = r.clock.Now() {
		r.clock.Advance(min(drainCheckInterval, end.Sub(now)))
		<-time.After(2 * time.Millisecond)
	}
}

func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

// Guards against answers of servers that are lost in a planned stop, because a request before
// them on the connection is not answered.
func TestPipelinedAnswersDuringPlannedStop(t *testing.T) {
	is := is.New(t)
	a, b := newHeldServer(t, "a"), newTestServer(t, "b", responseOK)
	f := newFixture(t, a, b)
	f.gateway.placer = slotPlacer{f.placer, make(chan struct{}, 10)}
	r := run(t, stopGrace, f)
	conn := r.dial()
	_, err := io.WriteString(conn, get("/status/1", "r1"))
	is.NoErr(err)
	awaitTrue(t, "the first request is not sent", func() bool { return a.requestCount() == 1 })
	_, err = io.WriteString(conn, get("/status/2", "r2"))
	is.NoErr(err)
	awaitTrue(t, "the second request is not answered", func() bool { return len(f.placer.reportedResults()) == 1 })
	start := r.clock.Now()
	r.shutDown()
	<-r.announced
	r.advanceTo(newShutdownTimes(start, stopGrace).answerBy)
	reader := bufio.NewReader(conn)
	for _, want := range []int{http.StatusBadGateway, http.StatusOK} {
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, want)
	}
	r.awaitEnd()
}

// Guards against a wait of many requests that the shutdown ends late, or one after the other.
func TestManyWaitsDuringPlannedStop(t *testing.T) {
	is := is.New(t)
	const callers = 50
	f := newFixture(t)
	f.gateway.placer = slotPlacer{f.placer, make(chan struct{}, callers)}
	r := run(t, stopGrace, f)
	conns := make([]net.Conn, callers)
	for n := range conns {
		conns[n] = r.dial()
		_, err := io.WriteString(conns[n], get("/status/1", fmt.Sprint("r", n)))
		is.NoErr(err)
	}
	awaitTrue(t, "not all requests wait", func() bool { return f.gateway.inFlight.count() == callers })
	start := r.clock.Now()
	r.shutDown()
	<-r.announced
	r.advanceTo(newShutdownTimes(start, stopGrace).answerBy)
	for _, conn := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	}
	r.awaitEnd()
}
