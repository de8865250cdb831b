//go:build linux

package main

import (
	"context"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagevent"
)

// Guards against requests with a wrong outcome, or that run twice, when the owner of the
// group dies while they are in flight.
func TestOwnerKilledDuringCall(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "one/east", "two/east")
	s.startHosts("a/east", "b/east", "c/east", "d/west")
	owner, other := s.findOwner("a", "b", "c")
	once := startRequest(t, request{method: http.MethodGet, url: other.serviceURL("/once/x", "id", "once", "work", "20s")})
	read := startRequest(t, request{method: http.MethodGet, url: other.serviceURL("/read/x", "id", "read", "work", "3s")})
	direct := startRequest(t, request{method: http.MethodGet, url: owner.serviceURL("/once/x", "id", "direct", "work", "20s")})
	for _, id := range []string{"once", "read", "direct"} {
		s.waitRunning(id)
	}
	owner.kill()
	r := once.wait()
	is.NoErr(r.err)
	is.Equal(r.outcome, "unknown") // it started, and whether it completed is not known
	is.Equal(r.status, http.StatusBadGateway)
	n, _ := s.countRuns("once")
	is.Equal(n, 1)
	is.True(direct.wait().err != nil) // the caller of the killed host sees a broken connection
	r = read.wait()
	is.NoErr(r.err)
	is.Equal(r.outcome, "done") // the other host retries a repeatable request
	s.waitServing(other)
	s.waitServing(s.hosts["d"])
}

// Guards against a data centre of two hosts that callers of other data centres no longer
// reach after the owner of its group has died.
func TestRemoteCallsAfterOwnerKilled(t *testing.T) {
	s := newSite(t, "one/east")
	s.startHosts("a/east", "b/east", "c/west")
	owner, other := s.findOwner("a", "b")
	s.waitServing(s.hosts["c"])
	owner.kill()
	s.waitServing(other)
	s.waitServing(s.hosts["c"])
}

// Guards against a frozen host that is not detected, that keeps the duties it has lost, or
// that stays dead for the others after it has resumed.
func TestFrozenHost(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "one/east", "two/east")
	s.startHosts("a/east", "b/east", "c/east")
	frozen, observer := s.hosts["b"], s.hosts["a"]
	frozen.freeze()
	for _, name := range []string{"a", "c"} {
		s.waitForEvent(s.hosts[name], wagevent.KindMember, "b is suspect")
		s.waitForEvent(s.hosts[name], wagevent.KindMember, "b is dead")
		s.waitServing(s.hosts[name])
	}
	before, err := observer.countEvents(wagevent.KindMember, "b is alive")
	is.NoErr(err)
	frozen.resume()
	eventually(t, "the suspicion is refuted", func() error {
		n, err := observer.countEvents(wagevent.KindMember, "b is alive")
		if err == nil && n <= before {
			err = errors.New("b is not alive")
		}
		return err
	})
	for _, h := range s.hosts {
		eventually(t, h.name+" knows all hosts", func() error { return h.checkMetric("wagtailspar_live_members", 3) })
		s.waitReady(h)
		s.waitServing(h)
	}
}

// Guards against a graceful shutdown that cuts off a request, leaves the host ready for
// new ones, or ends with a failure.
func TestPlannedStopOfHost(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "one/east", "two/east")
	s.startHosts("a/east", "b/east")
	owner, other := s.findOwner("a", "b")
	forwarded := startRequest(t, request{method: http.MethodGet, url: other.serviceURL("/once/x", "id", "through", "work", "3s")})
	direct := startRequest(t, request{method: http.MethodGet, url: owner.serviceURL("/once/x", "id", "direct", "work", "3s")})
	s.waitRunning("through")
	s.waitRunning("direct")
	owner.signal(syscall.SIGTERM)
	eventually(t, "readiness fails", func() error { return owner.checkReadiness(http.StatusServiceUnavailable) })
	for _, p := range []*pendingRequest{forwarded, direct} {
		r := p.wait()
		is.NoErr(r.err)
		is.Equal(r.outcome, "done")
	}
	is.Equal(owner.wait(), 0)
	s.waitForEvent(other, wagevent.KindMember, owner.name+" is leaving")
	s.waitServing(other)
}

// Guards against a host that an operator cannot end while it waits for requests in flight.
func TestSecondSignalEndsHost(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "one/east")
	s.startHosts("a/east")
	h := s.hosts["a"]
	longRequest := startRequest(t, request{method: http.MethodGet, url: h.serviceURL("/once/x", "id", "long", "work", "20s")})
	s.waitRunning("long")
	h.signal(syscall.SIGTERM)
	eventually(t, "readiness fails", func() error { return h.checkReadiness(http.StatusServiceUnavailable) })
	h.signal(syscall.SIGTERM)
	h.wait()
	status, ok := h.command.ProcessState.Sys().(syscall.WaitStatus)
	is.True(ok)
	is.Equal(status.Signal(), syscall.SIGTERM)
	is.True(longRequest.wait().err != nil) // the request is cut off
}

// Guards against a response to the wrong request, and a request that runs twice, after
// the connection of a caller is cut during a request.
func TestCallerGoneDuringCall(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "one/east")
	s.startHosts("a/east")
	h := s.hosts["a"]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gone := make(chan result, 1)
	p := startRequest(t, request{method: http.MethodGet, url: h.serviceURL("/once/x", "id", "stays", "work", "2s")})
	p.group.Go(func() error {
		gone <- do(ctx, request{method: http.MethodGet, url: h.serviceURL("/once/x", "id", "gone", "work", "20s")})
		return nil
	})
	s.waitRunning("gone")
	cancel()
	is.True((<-gone).err != nil)
	r := p.wait()
	is.NoErr(r.err)
	is.Equal(r.body, "one GET /shop/once/x stays\n")
	n, _ := s.countRuns("gone")
	is.Equal(n, 1)
}
