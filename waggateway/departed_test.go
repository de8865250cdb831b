package waggateway

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagplacement"
)

// Guards against a request that is sent to a server although this host knows that it has left
// or is leaving, because an owner that stood still has granted it (review/13).
func TestGrantOfDepartedServer(t *testing.T) {
	for _, path := range []string{"/status/1", "/commit/1", "/single/1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			a, b, c := newTestServer(t, "a", responseOK), newTestServer(t, "b", responseOK), newTestServer(t, "c", responseOK)
			hasLeft := func(id string) bool { return id != "c" }
			f := newFixtureWith(t, []Option{WithDepartureCheck(hasLeft)}, a, b, c)
			resp, _ := f.send(t, http.MethodGet, path, nil)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(a.requestCount()+b.requestCount(), 0)
			is.Equal(len(f.placer.requests), 3)
			is.Equal(f.placer.requests[2].Avoid, []string{"a", "b"})
			is.True(f.placer.requests[2].PlacedAgain && !f.placer.requests[2].Repeat)
			for _, r := range f.placer.reportedResults()[:2] {
				is.Equal(r, wagplacement.Result{Fault: wagplacement.FaultCanceled})
			}
		})
	}
}

// Guards against a request that is refused for good because an owner that stood still knows
// only servers that have left, and against one that is placed again without end.
func TestOwnerKnowsOnlyDepartedServers(t *testing.T) {
	is := is.New(t)
	a := newTestServer(t, "a", responseOK)
	f := newFixtureWith(t, []Option{WithDepartureCheck(func(string) bool { return true })}, a)
	resp, _ := f.send(t, http.MethodGet, "/status/1", nil) // granted once, then refused
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(a.requestCount(), 0)
	is.Equal(len(f.placer.requests), 3)
	is.Equal(len(f.placer.requests[2].Avoid), 0)
}

// Guards against a hedge that is sent to a server that has left.
func TestHedgeAtDepartedServer(t *testing.T) {
	is := is.New(t)
	a, b := newTestServer(t, "a", responseOK), newTestServer(t, "b", responseOK)
	a.hold = make(chan struct{})
	f := newFixtureWith(t, []Option{WithDepartureCheck(func(id string) bool { return id == "b" })}, a, b)
	f.placer.hedgeAfter = 1
	var g errgroup.Group
	g.Go(func() error {
		awaitTrue(t, "the hedge is not given back", func() bool { return len(f.placer.reportedResults()) == 1 })
		close(a.hold)
		return nil
	})
	resp, _ := f.send(t, http.MethodGet, "/status/1", nil)
	is.NoErr(g.Wait())
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(b.requestCount(), 0)
}
