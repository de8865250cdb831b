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

// holding is a server whose calls of /lots/hold last until release is closed.
type holding struct {
	wagserver.Server
	held, release chan struct{}
}

func newHolding(t *testing.T, clock *wagclock.Manual, dataCentre string) *holding {
	s := &holding{held: make(chan struct{}), release: make(chan struct{})}
	s.Server = server(start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		clock.Advance(100 * time.Millisecond)
		if r.URL.Path == "/lots/hold" {
			s.held <- struct{}{}
			<-s.release
		}
		_, _ = io.WriteString(w, dataCentre)
	})))
	s.DataCentre = dataCentre
	return s
}

// fill occupies all slots of the server through a host of its data centre. The
// function it returns ends the calls.
func (s *holding) fill(t *testing.T, h *host) (release func()) {
	var g errgroup.Group
	for range 6 {
		g.Go(func() error {
			_, _, err := do(t, "GET", h.caller, "/lots/hold", "")
			return err
		})
		<-s.held
	}
	return func() {
		close(s.release)
		is.New(t).NoErr(g.Wait())
	}
}

// raiseSpill makes the core of a full group want to spill for a second, after
// which it spills every call.
func raiseSpill(h *host, clock *wagclock.Manual, to string, s wagrouting.Summary) {
	for range 10 {
		clock.Advance(100 * time.Millisecond)
		h.SetRemote("lots", to, s)
		h.group("lots").acquireNow(wagrouting.Request{Class: wagdocument.Short, Deadline: clock.Now().Add(time.Hour)})
	}
}

// Guards against full groups that keep their calls while another data centre has
// free slots, and against spilled calls that are sent on once more.
func TestSpillWhenFull(t *testing.T) {
	is := is.New(t)
	clock := wagclock.NewManual(time.Now())
	nearServer, farServer := newHolding(t, clock, "dc1"), newHolding(t, clock, "dc2")
	list := []wagserver.Server{nearServer.Server, farServer.Server}
	const zones = "[zones]\nspill = 1\ncost = 1ms"
	nobody := refusing(t)
	far := newHostIn(t, "dc2", "z", zones, list, WithClock(clock), WithMembers(table{member("a", "dc1", nobody), member("z", "dc2", nobody)}))
	near := newHost(t, "a", zones, list, WithClock(clock), WithMembers(table{member("a", "dc1", nobody), member("z", "dc2", far.forward)}))
	call := func() string {
		resp, body, err := do(t, "GET", near.caller, "/lots/x", "")
		is.NoErr(err)
		is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), "done")
		return body
	}
	is.Equal(call(), "dc1")
	free := near.Summaries()["lots"]
	releaseNear := nearServer.fill(t, near)
	raiseSpill(near, clock, "dc2", far.Summaries()["lots"])
	is.Equal(call(), "dc2")
	is.Equal(total(t, near, "wagtailspar_forwards_total"), 1.0)

	// The other data centre is full as well and would like to spill to this one,
	// but a call that has left its data centre waits where it is.
	releaseFar := farServer.fill(t, far)
	raiseSpill(far, clock, "dc1", free)
	near.SetRemote("lots", "dc2", free)
	waits, waiting := far.group("lots").waits, make(chan struct{}, 2)
	far.group("lots").waits = func(change int) {
		waits(change)
		waiting <- struct{}{}
	}
	beside(t, func() {
		<-waiting
		releaseFar()
	})
	is.Equal(call(), "dc2")
	is.Equal(total(t, far, "wagtailspar_forwards_total"), 0.0)

	// Once the calls here have ended, calls stay here again.
	releaseNear()
	is.Equal(call(), "dc1")
}
