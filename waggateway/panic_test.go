package waggateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
)

// responsePoison is a response that makes poisonedProtocol panic.
const responsePoison = "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nPoison: 1\r\nContent-Length: 2\r\n\r\nok"

// poisonedProtocol panics at certain responses.
type poisonedProtocol struct{ testProtocol }

func (p poisonedProtocol) LoadReport(h http.Header) (wagplacement.Report, bool) {
	if h.Get("Poison") != "" {
		panic("poisoned response")
	}
	return p.testProtocol.LoadReport(h)
}

// Guards against one response of a server that ends the process of a host, leaves the
// server's slot taken, or leaves the caller without a response.
func TestPanicDuringAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		method, path string
		hedgeAfter   time.Duration
		status       int
	}{
		"alone":       {http.MethodGet, "/status/1", 0, http.StatusOK},
		"hedged":      {http.MethodGet, "/status/1", time.Minute, http.StatusOK},
		"second":      {http.MethodGet, "/status/1", time.Nanosecond, http.StatusOK},
		"at most one": {http.MethodPost, "/commit/1", 0, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, newTestServer(t, "a", responsePoison), newTestServer(t, "b", responseOK))
			f.gateway.protocol, f.placer.hedgeAfter = poisonedProtocol{}, c.hedgeAfter
			resp, _ := f.send(t, c.method, c.path, nil)
			is.Equal(resp.StatusCode, c.status)
			awaitTrue(t, "an attempt is not reported", func() bool { return len(f.placer.reportedResults()) >= 1 })
			if c.hedgeAfter != time.Nanosecond { // otherwise either attempt may end first
				is.Equal(f.placer.reportedResults()[0].Fault, wagplacement.FaultBroken)
			}
		})
	}
}

// hedgePanicPlacer panics when a second server is wanted.
type hedgePanicPlacer struct{ *fakePlacer }

func (p hedgePanicPlacer) Place(ctx context.Context, service string, r wagplacement.Request) wagowner.Outcome {
	if r.Hedge {
		panic("unexpected")
	}
	return p.fakePlacer.Place(ctx, service, r)
}

// Guards against a process that ends while a second server is wanted.
func TestPanicWhileSecondServerIsPlaced(t *testing.T) {
	is := is.New(t)
	a := newTestServer(t, "a", responseOK)
	a.hold = make(chan struct{})
	f := newFixture(t, a)
	f.placer.hedgeAfter = time.Millisecond
	f.gateway.placer = hedgePanicPlacer{f.placer}
	time.AfterFunc(20*time.Millisecond, func() { close(a.hold) })
	resp, body := f.send(t, http.MethodGet, "/status/1", nil)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "ok")
}

// Guards against bytes of a caller that end the process in the search for pipelined
// requests: net/http reads in a goroutine that does not recover.
func TestPanicInSearchForRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	c := newCallerConn(nil, f.gateway)
	c.waiting = make([]pipelinedRequest, 1) // without a request, which the search does not expect
	c.waiting[0].number = 1
	c.mu.Lock()
	c.receive([]byte("GET / HTTP/1.1\r\n"))
	c.mu.Unlock()
	is.True(!c.tracking)
}
