package waggateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagplacement"
)

// evacuation is a send check that withholds requests from some servers.
type evacuation struct {
	mu       sync.Mutex
	withheld map[string]bool
}

func (e *evacuation) maySend(serverID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.withheld[serverID]
}

func (e *evacuation) set(serverID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.withheld = map[string]bool{serverID: true}
}

// Guards against a request with a grant from before an evacuation that is sent, that loses
// one of its attempts, or that is placed as a repeat or without the servers withheld.
func TestOlderGrantIsGivenBack(t *testing.T) {
	for _, path := range []string{"/status/1", "/commit/1", "/single/1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			a, b := newTestServer(t, "a", responseOK), newTestServer(t, "b", responseOK)
			e := &evacuation{withheld: map[string]bool{"a": true}}
			f := newFixtureWith(t, []Option{WithSendCheck(e.maySend)}, a, a, a, b)
			resp, body := f.send(t, http.MethodGet, path, nil)
			is.Equal(resp.StatusCode, 200)
			is.Equal(body, "ok")
			is.Equal(a.requestCount(), 0)
			is.Equal(len(f.placer.requests), 4)
			for n, r := range f.placer.requests {
				is.True(!r.Repeat)
				is.Equal(r.PlacedAgain, n > 0)
				is.Equal(len(r.Avoid), 0)
			}
			for _, r := range f.placer.reportedResults()[:3] {
				is.Equal(r, wagplacement.Result{Fault: wagplacement.FaultCanceled})
			}
		})
	}
}

// Guards against a hedge that is sent into an evacuated data centre, and against a first
// attempt that is lost with it.
func TestHedgeIsWithheld(t *testing.T) {
	is := is.New(t)
	a, b := newTestServer(t, "a", responseOK), newTestServer(t, "b", responseOK)
	a.hold = make(chan struct{})
	e := &evacuation{withheld: map[string]bool{"b": true}}
	f := newFixtureWith(t, []Option{WithSendCheck(e.maySend)}, a, b)
	f.placer.hedgeAfter = time.Millisecond
	var g errgroup.Group
	g.Go(func() error {
		for len(f.placer.reportedResults()) == 0 {
			<-time.After(time.Millisecond)
		}
		close(a.hold)
		return nil
	})
	resp, _ := f.send(t, http.MethodGet, "/status/1", nil)
	is.NoErr(g.Wait())
	is.Equal(resp.StatusCode, 200)
	is.Equal(b.requestCount(), 0)
	is.Equal(f.placer.reportedResults()[0], wagplacement.Result{Fault: wagplacement.FaultCanceled})
}

// Guards against a request in flight that is cut off when its data centre is evacuated.
func TestRequestInFlightFinishes(t *testing.T) {
	is := is.New(t)
	a := newTestServer(t, "a", responseOK)
	a.hold = make(chan struct{})
	e := &evacuation{}
	f := newFixtureWith(t, []Option{WithSendCheck(e.maySend)}, a)
	var g errgroup.Group
	g.Go(func() error {
		for a.requestCount() == 0 {
			<-time.After(time.Millisecond)
		}
		e.set("a")
		close(a.hold)
		return nil
	})
	resp, _ := f.send(t, http.MethodGet, "/status/1", nil)
	is.NoErr(g.Wait())
	is.Equal(resp.StatusCode, 200)
}

// Guards against a host that floods an owner which does not know of the evacuation yet, and
// against a request that is sent or unanswered at its deadline then.
func TestOwnerWithoutTheEvacuation(t *testing.T) {
	is := is.New(t)
	a := newTestServer(t, "a", responseOK)
	e := &evacuation{withheld: map[string]bool{"a": true}}
	var grants []*testServer
	for range 1000 {
		grants = append(grants, a)
	}
	f := newFixtureWith(t, []Option{WithSendCheck(e.maySend)}, grants...)
	f.gateway.SetConfig(testConfig(t, 2, 500*time.Millisecond))
	resp, _ := f.send(t, http.MethodGet, "/status/1", nil)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(a.requestCount(), 0)
	is.True(len(f.placer.requests) <= 8) // 2, then after 20, 60, 140, 300 and 460 ms
}
