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

// freePort returns a loopback address that was free a moment ago.
func freePort(t *testing.T) netip.AddrPort {
	return netip.MustParseAddrPort(refusing(t))
}

// Guards against a planned stop that cuts off a call, stays ready, refuses new
// connections during the readiness delay, or is not announced.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	began, finish := make(chan struct{}, 2), make(chan struct{})
	address := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/lots/slow" {
			began <- struct{}{}
			<-finish
		}
		_, _ = io.WriteString(w, "whole")
	}))
	clock, announced := wagclock.NewManual(time.Now()), make(chan struct{}, 1)
	h := newHost(t, "a", "", servers(address), WithClock(clock), WithShutdownHook(func(context.Context) { announced <- struct{}{} }))
	l := &h.settings.Listen
	l.Caller, l.Forward, l.Operator = freePort(t), freePort(t), freePort(t)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	p, err := h.open()
	is.NoErr(err)
	beside(t, func() { ended <- h.serve(ctx, p) })

	// An answer ends the trial of the server, which then takes several calls.
	_, _, err = do(t, "GET", l.Caller.String(), "/lots/quick", "")
	is.NoErr(err)
	slow := make(chan string, 2)
	call := func(address string, headers ...string) {
		_, text, err := do(t, "GET", address, "/lots/slow", "", headers...)
		is.NoErr(err)
		slow <- text
	}
	beside(t, func() { call(l.Caller.String()) })
	beside(t, func() {
		call(l.Forward.String(), wagoutcome.HopHeader, "owner", wagoutcome.ServiceHeader, "lots", wagoutcome.RevisionHeader, "1",
			wagoutcome.CallerHeader, "c", wagoutcome.DeadlineHeader, clock.Now().Add(time.Minute).Format(time.RFC3339Nano))
	})
	<-began
	<-began
	stop()
	<-announced
	resp, _, err := do(t, "GET", l.Operator.String(), "/ready", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	fresh, err := net.Dial("tcp", l.Caller.String())
	is.NoErr(err) // new connections are served during the delay
	is.NoErr(fresh.Close())
	_, text, err := do(t, "GET", l.Caller.String(), "/lots/quick", "")
	is.NoErr(err)
	is.Equal(text, "whole")
	for connects(l.Caller) {
		clock.Advance(h.settings.Host.ReadyDelay)
	}
	is.True(connects(l.Forward)) // calls of other hosts are in flight
	close(finish)
	is.Equal(<-slow, "whole")
	is.Equal(<-slow, "whole")
	is.NoErr(<-ended)
	is.True(!connects(l.Forward))
}

func connects(a netip.AddrPort) bool {
	c, err := net.Dial("tcp", a.String())
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
