//go:build linux

package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagstandin"
)

// largeResponseBytes is more than the buffers of all connections of a request hold.
const largeResponseBytes = 64 << 20

// Guards against a truncated response that looks complete after a server died while it was
// sending, also when a second host forwards the response.
func TestServerKilledDuringAnswer(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "one/east")
	s.startHosts("a/east", "b/east")
	owner, other := s.findOwner("a", "b")
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	var responses []*http.Response
	for _, h := range []*host{owner, other} {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.serviceURL("/read/x", "bytes", itoa(largeResponseBytes)), nil)
		is.NoErr(err)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer func() { _ = resp.Body.Close() }()
		is.Equal(resp.StatusCode, http.StatusOK)
		_, err = io.ReadFull(resp.Body, make([]byte, 1))
		is.NoErr(err)
		responses = append(responses, resp)
	}
	s.servers["one"].kill()
	for _, resp := range responses {
		n, err := io.Copy(io.Discard, resp.Body)
		is.True(n+1 < largeResponseBytes)
		is.True(err != nil) // cut off, and not at its end
	}
	for _, h := range []*host{owner, other} {
		s.waitForEvent(h, wagevent.KindOutcome, "broken")
	}
}

// Guards against a request to a frozen server that hangs or is reported as not run, and
// against a server that gets no requests after it has resumed.
func TestFrozenServer(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "one/east")
	s.startHosts("a/east")
	h := s.hosts["a"]
	s.waitServing(h)
	s.servers["one"].freeze()
	for _, path := range []string{"/once/x", "/read/x"} {
		r := h.getWithDeadline(path, time.Second)
		is.NoErr(r.err)
		is.Equal(r.outcome, "unknown")
		is.Equal(r.reason, "deadline")
		is.Equal(r.status, http.StatusGatewayTimeout)
	}
	s.servers["one"].resume()
	s.waitServing(h)
}

// cuttingServer is a server that reads a part of a request and closes the connection.
type cuttingServer struct {
	listener net.Listener
	group    errgroup.Group
	// cuts receives a value for each connection that was closed.
	cuts chan struct{}
}

func newCuttingServer(t *testing.T) *cuttingServer {
	t.Helper()
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	c := &cuttingServer{listener: l, cuts: make(chan struct{}, 1024)}
	c.group.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return err
			}
			_, _ = conn.Read(make([]byte, 16))
			_ = conn.Close()
			c.cuts <- struct{}{}
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		_ = c.group.Wait()
	})
	return c
}

// Guards against a request that is reported as not run after a part of it was sent, and
// against a repeatable request that is not retried at another server.
func TestConnectionCutDuringRequest(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	c := newCuttingServer(t)
	s.putOnHostList(wagserver.Server{Service: "shop", DataCentre: "east", Address: netip.MustParseAddrPort(c.listener.Addr().String())})
	s.startHosts("a/east")
	h := s.hosts["a"]
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	r := do(ctx, request{method: http.MethodPost, url: h.serviceURL("/once/x"), body: strings.NewReader(strings.Repeat("x", 100_000))})
	is.NoErr(r.err)
	is.Equal(r.outcome, "unknown")
	<-c.cuts
	server := s.startStandin("server", "--listen", loopback, "--name", "whole", "--slots", "4")
	s.putOnHostList(wagserver.Server{Service: "shop", DataCentre: "east", Address: netip.MustParseAddrPort(server.address)})
	// Each request is either sent to the intact server first or retried there after a cut.
	for len(c.cuts) == 0 {
		eventually(t, "a repeatable request is served", func() error {
			if r := h.get("/read/x"); r.outcome != "done" {
				return errors.Errorf("%+v", r)
			}
			return nil
		})
		if ctx.Err() != nil {
			t.Fatal("no request was cut")
		}
	}
	<-c.cuts
}

// Guards against new work at a leaving server, and against requests in flight that a
// graceful shutdown of their server cuts off.
func TestPlannedStopOfServer(t *testing.T) {
	for _, announcement := range []string{"header", "host list"} {
		t.Run(announcement, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, "one/east", "two/east")
			s.startHosts("a/east", "b/east")
			longRequest := startRequest(t, request{method: http.MethodGet, url: s.hosts["a"].serviceURL("/once/x", "id", "long", "work", "6s")})
			leaving := s.waitRunning("long")
			// A server with a long request looks slow and would be avoided anyway, so both
			// servers get one.
			otherRequest := startRequest(t, request{method: http.MethodGet, url: s.hosts["b"].serviceURL("/once/x", "id", "even", "work", "6s")})
			is.True(s.waitRunning("even") != leaving)
			eventually(t, "both servers get work", func() error {
				before, err := s.countAttempts(leaving)
				if err != nil {
					return err
				}
				if err := s.saturate(); err != nil {
					return err
				}
				if after, err := s.countAttempts(leaving); err != nil || after == before {
					return errors.Errorf("no attempt at %s (%v)", leaving.address, err)
				}
				return nil
			})
			if announcement == "header" {
				s.sendJSON(http.MethodPost, "http://"+leaving.address+"/faults", wagstandin.ServerFaults{Draining: true})
			} else {
				leaving.hostListEntry.State = wagserver.Leaving
				s.putOnHostList(leaving.hostListEntry)
			}
			s.waitAvoided(leaving)
			for _, p := range []*pendingRequest{longRequest, otherRequest} {
				r := p.wait()
				is.NoErr(r.err)
				is.Equal(r.outcome, "done")
			}
			l, err := leaving.fetchLog()
			is.NoErr(err)
			is.Equal(l.LateRequests, 0)
			leaving.signal(syscall.SIGTERM)
			is.Equal(leaving.wait(), 0)
			for _, h := range s.hosts {
				for range 20 {
					is.Equal(h.get("/once/x").outcome, "done")
				}
			}
		})
	}
}

// waitAvoided waits until many requests in a row through all hosts are done without an
// attempt at the leaving server.
func (s *site) waitAvoided(leaving *standinProcess) {
	s.t.Helper()
	eventually(s.t, leaving.address+" gets no new work", func() error {
		before, err := s.countAttempts(leaving)
		if err != nil {
			return err
		}
		for range 3 {
			if err := s.saturate(); err != nil {
				return err
			}
		}
		after, err := s.countAttempts(leaving)
		if err == nil && after > before {
			err = errors.Errorf("%d attempts during 180 requests", after-before)
		}
		return err
	})
}

// saturate sends requests through all hosts, as many at once as both servers have slots,
// because a single request goes to an idle server in any case.
func (s *site) saturate() error {
	var g errgroup.Group
	g.SetLimit(8)
	for range 30 {
		for _, h := range s.hosts {
			g.Go(func() error {
				if r := h.get("/once/x", "work", "20ms"); r.outcome != "done" {
					return errors.Errorf("%+v", r)
				}
				return nil
			})
		}
	}
	return g.Wait()
}

// countAttempts returns the number of attempts of all hosts at a server, refused ones
// included.
func (s *site) countAttempts(server *standinProcess) (n int, err error) {
	for _, h := range s.hosts {
		events, err := h.events()
		if err != nil {
			return 0, err
		}
		for _, e := range events {
			if e.Kind == wagevent.KindAttempt && e.Server == server.address {
				n++
			}
		}
	}
	return n, nil
}
