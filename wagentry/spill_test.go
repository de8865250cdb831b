package wagentry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagrouting"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// blockingServer is a server whose requests to /lots/hold last until release is closed.
type blockingServer struct {
	wagserver.Server
	arrived, release chan struct{}
}

func newBlockingServer(t *testing.T, clock *wagclock.Manual, dataCentre string) *blockingServer {
	s := &blockingServer{arrived: make(chan struct{}), release: make(chan struct{})}
	s.Server = liveServer(startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		clock.Advance(100 * time.Millisecond)
		if r.URL.Path == "/lots/hold" {
			s.arrived <- struct{}{}
			<-s.release
		}
		_, _ = io.WriteString(w, dataCentre)
	})))
	s.DataCentre = dataCentre
	return s
}

// fillSlots occupies all slots of the server through a host of its data centre. The
// function that it returns ends the requests.
func (s *blockingServer) fillSlots(t *testing.T, h *testHost) (release func()) {
	var g errgroup.Group
	for range 6 {
		g.Go(func() error {
			_, _, err := doRequest(t, "GET", h.caller, "/lots/hold", "")
			return err
		})
		<-s.arrived
	}
	return func() {
		close(s.release)
		is.New(t).NoErr(g.Wait())
	}
}

// triggerSpill makes spilling worthwhile for a full group for one second, after which its
// scheduler spills every request.
func triggerSpill(h *testHost, clock *wagclock.Manual, to string, s wagrouting.Summary) {
	for range 10 {
		clock.Advance(100 * time.Millisecond)
		h.SetRemoteSummary("lots", to, s)
		h.group("lots").tryAcquire(wagrouting.Request{Class: wagdocument.Short, Deadline: clock.Now().Add(time.Hour)})
	}
}

// Guards against full groups that keep their requests while another data centre has free
// slots, and against spilled requests that spill again.
func TestSpillWhenFull(t *testing.T) {
	is := is.New(t)
	clock := wagclock.NewManual(time.Now())
	nearServer, farServer := newBlockingServer(t, clock, "dc1"), newBlockingServer(t, clock, "dc2")
	servers := []wagserver.Server{nearServer.Server, farServer.Server}
	const zones = "[zones]\nspill = 1\ncost = 1ms"
	unreachable := refusingAddress(t)
	far := newTestHostIn(t, "dc2", "z", zones, servers, WithClock(clock), WithMembers(staticMembership{member("a", "dc1", unreachable), member("z", "dc2", unreachable)}))
	near := newTestHost(t, "a", zones, servers, WithClock(clock), WithMembers(staticMembership{member("a", "dc1", unreachable), member("z", "dc2", far.forward)}))
	get := func() string {
		resp, body, err := doRequest(t, "GET", near.caller, "/lots/x", "")
		is.NoErr(err)
		is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), "done")
		return body
	}
	is.Equal(get(), "dc1")
	freeSummary := near.Summaries()["lots"]
	releaseNear := nearServer.fillSlots(t, near)
	triggerSpill(near, clock, "dc2", far.Summaries()["lots"])
	is.Equal(get(), "dc2")
	is.Equal(sumMetric(t, near, "wagtailspar_forwards_total"), 1.0)

	// The other data centre is full as well and would spill to this one, but a request
	// that has spilled already waits where it is.
	releaseFar := farServer.fillSlots(t, far)
	triggerSpill(far, clock, "dc1", freeSummary)
	near.SetRemoteSummary("lots", "dc2", freeSummary)
	countWaiting, waiting := far.group("lots").onWaitingChange, make(chan struct{}, 2)
	far.group("lots").onWaitingChange = func(change int) {
		countWaiting(change)
		waiting <- struct{}{}
	}
	runInBackground(t, func() {
		<-waiting
		releaseFar()
	})
	is.Equal(get(), "dc2")
	is.Equal(sumMetric(t, far, "wagtailspar_forwards_total"), 0.0)

	// Requests stay in this data centre again after its slots have become free.
	releaseNear()
	is.Equal(get(), "dc1")
}
