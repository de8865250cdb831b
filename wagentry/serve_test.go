package wagentry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// Guards against a graceful shutdown that cuts off a request, stays ready, refuses new
// connections during the readiness delay, or is not announced to peers.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	started, finish := make(chan struct{}, 2), make(chan struct{})
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/lots/slow" {
			started <- struct{}{}
			<-finish
		}
		_, _ = io.WriteString(w, "whole")
	}))
	clock, announced := wagclock.NewManual(time.Now()), make(chan struct{}, 1)
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	listeners, err := Listen(anyPort, anyPort, anyPort)
	is.NoErr(err)
	h := newTestHost(t, "a", "", liveServers(address), WithClock(clock), WithListeners(listeners),
		WithShutdownHook(func(context.Context) { announced <- struct{}{} }))
	l := &h.settings.Listen
	l.Caller, l.Forward, l.Operator = ListenerAddress(listeners.Caller), ListenerAddress(listeners.Forward), ListenerAddress(listeners.Operator)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	servers, err := h.openPorts()
	is.NoErr(err)
	runInBackground(t, func() { ended <- h.serve(ctx, servers) })

	// The first response ends the trial of the server, which then gets several requests.
	_, _, err = doRequest(t, "GET", l.Caller.String(), "/lots/quick", "")
	is.NoErr(err)
	slowBodies := make(chan string, 2)
	get := func(address string, headers ...string) {
		_, text, err := doRequest(t, "GET", address, "/lots/slow", "", headers...)
		is.NoErr(err)
		slowBodies <- text
	}
	runInBackground(t, func() { get(l.Caller.String()) })
	runInBackground(t, func() {
		get(l.Forward.String(), wagoutcome.HopHeader, "owner", wagoutcome.ServiceHeader, "lots", wagoutcome.RevisionHeader, "1",
			wagoutcome.CallerHeader, "c", wagoutcome.DeadlineHeader, clock.Now().Add(time.Minute).Format(time.RFC3339Nano))
	})
	<-started
	<-started
	stop()
	<-announced
	resp, _, err := doRequest(t, "GET", l.Operator.String(), "/ready", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	conn, err := net.Dial("tcp", l.Caller.String())
	is.NoErr(err) // new connections are served during the delay
	is.NoErr(conn.Close())
	_, text, err := doRequest(t, "GET", l.Caller.String(), "/lots/quick", "")
	is.NoErr(err)
	is.Equal(text, "whole")
	delayEnds := clock.Now().Add(h.settings.Host.ReadyDelay)
	waitUntil(func() bool { return clock.HasTimer(delayEnds) })
	is.True(acceptsConnections(l.Caller))
	clock.Advance(h.settings.Host.ReadyDelay)
	waitUntil(func() bool { return !acceptsConnections(l.Caller) })
	is.True(acceptsConnections(l.Forward)) // forwarded requests are in flight
	close(finish)
	is.Equal(<-slowBodies, "whole")
	is.Equal(<-slowBodies, "whole")
	is.NoErr(<-ended)
	is.True(!acceptsConnections(l.Forward))
}

func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond) //nolint:forbidigo // Ports open and close by real time.
	}
}

func acceptsConnections(a netip.AddrPort) bool {
	c, err := net.Dial("tcp", a.String())
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
