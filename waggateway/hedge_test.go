package waggateway

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagplacement"
)

// newHeldServer returns a server that does not respond until the end of the test.
func newHeldServer(t *testing.T, name string) *testServer {
	b := newTestServer(t, name, responseOK)
	b.hold = make(chan struct{})
	t.Cleanup(func() { close(b.hold) })
	return b
}

// Guards against a caller who waits for a silent or slow server although a second one
// would respond, and against a first server that goes on working.
func TestSecondServerAnswers(t *testing.T) {
	const tries = 20
	for range tries {
		is := is.New(t)
		a, b := newHeldServer(t, "a"), newTestServer(t, "b", responseOK)
		f := newFixture(t, a, b)
		f.placer.hedgeAfter = time.Millisecond
		resp, body := f.send(t, http.MethodGet, "/status/1", nil)
		is.Equal(resp.StatusCode, 200)
		is.Equal(body, "ok")
		is.True(f.placer.requests[1].Hedge && f.placer.requests[1].Repeat)
		is.Equal(f.placer.requests[1].Avoid, []string{"a"})
		if a.requestCount() == 0 {
			continue // the second server responded before the request reached the first one
		}
		<-a.closedWhileHeld
		for len(f.placer.reportedResults()) < 2 {
			<-time.After(time.Millisecond)
		}
		is.Equal(f.placer.reportedResults()[0].Fault, wagplacement.FaultNone)
		is.Equal(f.placer.reportedResults()[1].Fault, wagplacement.FaultOvertaken)
		return
	}
	t.Fatalf("no request reached the first server in %d tries", tries)
}

// Guards against an answer that is withheld, and a slot that stays taken, while a second
// server is awaited: hedges that wait for each other's slots held answers for 8 s. A second
// server that is granted too late is given back.
func TestAnswerDoesNotWaitForSecondServer(t *testing.T) {
	is := is.New(t)
	a := newTestServer(t, "a", responseOK)
	a.hold = make(chan struct{})
	f := newFixture(t, a, newTestServer(t, "b", responseOK))
	f.placer.hedgeAfter = time.Millisecond
	f.placer.hedgeWaits, f.placer.hedgeEnds = make(chan struct{}), make(chan error, 1)
	var g errgroup.Group
	g.Go(func() error {
		<-f.placer.hedgeWaits
		close(a.hold)
		return nil
	})
	resp, _ := f.send(t, http.MethodGet, "/status/1", nil)
	is.Equal(resp.StatusCode, 200)
	is.NoErr(g.Wait())
	is.Equal(<-f.placer.hedgeEnds, context.Canceled) // not the deadline of the request
	awaitTrue(t, "the second server is not given back", func() bool { return len(f.placer.reportedResults()) == 2 })
	faults := []wagplacement.Fault{f.placer.reportedResults()[0].Fault, f.placer.reportedResults()[1].Fault}
	is.True(slices.Contains(faults, wagplacement.FaultNone) && slices.Contains(faults, wagplacement.FaultCanceled))
}

// Guards against requests that are hedged although they are not idempotent, although
// their route allows one attempt only, or although their body cannot be sent again.
func TestNotHedged(t *testing.T) {
	long := bytes.Repeat([]byte("x"), maxBufferedBody+1)
	for name, request := range map[string]struct {
		path string
		body []byte
	}{"once": {"/commit/1", nil}, "one attempt": {"/single/1", nil}, "long body": {"/status/1", long}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := newHeldServer(t, "a"), newTestServer(t, "b", responseOK)
			f := newFixture(t, a, b)
			f.placer.hedgeAfter = time.Millisecond
			f.gateway.SetConfig(testConfig(t, 2, 100*time.Millisecond))
			resp, _ := f.send(t, http.MethodPost, request.path, bytes.NewReader(request.body))
			is.Equal(resp.StatusCode, 504)
			is.Equal(b.requestCount(), 0)
		})
	}
}

// Guards against a request that fails because one of two servers failed, and against a
// refusal which says that the request was not run although one of them may have run it.
func TestOneOfTwoHedgedServersFails(t *testing.T) {
	for _, x := range []struct {
		name, second string
		refused      bool
		status       int
	}{
		{"second breaks", responseNone, false, 200},
		{"second fails", responseError, false, 200},
		{"second rejects", responseFull, false, 200},
		{"no second", "", true, 200},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			a := newTestServer(t, "a", responseOK)
			a.hold = make(chan struct{})
			servers := []*testServer{a}
			if !x.refused {
				servers = append(servers, newTestServer(t, "b", x.second))
			}
			f := newFixture(t, servers...)
			f.placer.hedgeAfter = time.Millisecond
			time.AfterFunc(50*time.Millisecond, func() { close(a.hold) })
			resp, _ := f.send(t, http.MethodGet, "/status/1", nil)
			is.Equal(resp.StatusCode, x.status)
		})
	}
	t.Run("both break", func(t *testing.T) {
		is := is.New(t)
		a := newTestServer(t, "a", responseNone)
		a.hold = make(chan struct{})
		f := newFixture(t, a, newTestServer(t, "b", responseFull))
		f.placer.hedgeAfter = time.Millisecond
		time.AfterFunc(50*time.Millisecond, func() { close(a.hold) })
		resp, _ := f.send(t, http.MethodGet, "/status/1", strings.NewReader(""))
		is.Equal(resp.StatusCode, 502) // the first may have run it
	})
}

// Guards against an error response that is final although another server would succeed,
// and against one that is lost when there is no other server.
func TestServerErrorIsRetried(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, newTestServer(t, "a", responseError), newTestServer(t, "b", responseOK))
	resp, _ := f.send(t, http.MethodGet, "/status/1", nil)
	is.Equal(resp.StatusCode, 200)
	f = newFixture(t, newTestServer(t, "a", responseError))
	resp, body := f.send(t, http.MethodGet, "/status/1", nil)
	is.Equal(resp.StatusCode, 500)
	is.Equal(resp.Header.Get("Signed"), "1")
	is.Equal(body, "no")
}
