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

// largeAnswer is more than the buffers of all connections of a call hold.
const largeAnswer = 64 << 20

// Guards against a short answer that looks whole after a server died while it
// was sending, also when another host passed the answer on.
func TestServerKilledDuringAnswer(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "one/east")
	s.start("a/east", "b/east")
	owner, other := s.owner("a", "b")
	ctx, cancel := context.WithTimeout(context.Background(), eventTime)
	defer cancel()
	var answers []*http.Response
	for _, h := range []*host{owner, other} {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.query("/read/x", "bytes", itoa(largeAnswer)), nil)
		is.NoErr(err)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer func() { _ = resp.Body.Close() }()
		is.Equal(resp.StatusCode, http.StatusOK)
		_, err = io.ReadFull(resp.Body, make([]byte, 1))
		is.NoErr(err)
		answers = append(answers, resp)
	}
	s.servers["one"].kill()
	for _, resp := range answers {
		n, err := io.Copy(io.Discard, resp.Body)
		is.True(n+1 < largeAnswer)
		is.True(err != nil) // broken, and not at its end
	}
	for _, h := range []*host{owner, other} {
		s.shows(h, wagevent.KindOutcome, "broken")
	}
}

// Guards against a call to a frozen server that hangs or is told as not run, and
// against a server that gets no calls after it resumed.
func TestFrozenServer(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "one/east")
	s.start("a/east")
	h := s.hosts["a"]
	s.serves(h)
	s.servers["one"].freeze()
	for _, path := range []string{"/once/x", "/read/x"} {
		r := h.deadline(path, time.Second)
		is.NoErr(r.err)
		is.Equal(r.outcome, "unknown")
		is.Equal(r.reason, "deadline")
		is.Equal(r.status, http.StatusGatewayTimeout)
	}
	s.servers["one"].resume()
	s.serves(h)
}

// cutter is a server that reads a request in part and cuts the connection.
type cutter struct {
	listener net.Listener
	group    errgroup.Group
	cuts     chan struct{}
}

func newCutter(t *testing.T) *cutter {
	t.Helper()
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	c := &cutter{listener: l, cuts: make(chan struct{}, 1024)}
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

// Guards against a request told as not run after a part of it was sent, and
// against repeatable work that is not tried at another server.
func TestConnectionCutDuringRequest(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	c := newCutter(t)
	s.announce(wagserver.Server{Service: "shop", DataCentre: "east", Address: netip.MustParseAddrPort(c.listener.Addr().String())})
	s.start("a/east")
	h := s.hosts["a"]
	ctx, cancel := context.WithTimeout(context.Background(), eventTime)
	defer cancel()
	r := do(ctx, request{method: http.MethodPost, url: h.query("/once/x"), body: strings.NewReader(strings.Repeat("x", 100_000))})
	is.NoErr(r.err)
	is.Equal(r.outcome, "unknown")
	<-c.cuts
	server := s.standin("server", "--listen", loopback, "--name", "whole", "--slots", "4")
	s.announce(wagserver.Server{Service: "shop", DataCentre: "east", Address: netip.MustParseAddrPort(server.address)})
	// Each call either finds the whole server first or is tried there after a cut.
	for len(c.cuts) == 0 {
		eventually(t, "a repeatable call is served", func() error {
			if r := h.get("/read/x"); r.outcome != "done" {
				return errors.Errorf("%+v", r)
			}
			return nil
		})
		if ctx.Err() != nil {
			t.Fatal("no call was cut")
		}
	}
	<-c.cuts
}

// Guards against new work at a leaving server, and against calls in flight that
// a planned stop of their server cuts off.
func TestPlannedStopOfServer(t *testing.T) {
	for _, sign := range []string{"header", "host list"} {
		t.Run(sign, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, "one/east", "two/east")
			s.start("a/east", "b/east")
			call := begin(t, request{method: http.MethodGet, url: s.hosts["a"].query("/once/x", "id", "long", "work", "6s")})
			leaving := s.running("long")
			// A server with a long call looks slow and would be spared anyway, so
			// both get one.
			even := begin(t, request{method: http.MethodGet, url: s.hosts["b"].query("/once/x", "id", "even", "work", "6s")})
			is.True(s.running("even") != leaving)
			eventually(t, "both servers get work", func() error {
				before, err := s.attempts(leaving)
				if err != nil {
					return err
				}
				if err := s.saturate(); err != nil {
					return err
				}
				if after, err := s.attempts(leaving); err != nil || after == before {
					return errors.Errorf("no attempt at %s (%v)", leaving.address, err)
				}
				return nil
			})
			if sign == "header" {
				s.send(http.MethodPost, "http://"+leaving.address+"/faults", wagstandin.ServerFaults{Draining: true})
			} else {
				leaving.listing.State = wagserver.Leaving
				s.announce(leaving.listing)
			}
			s.spared(leaving)
			for _, p := range []*pending{call, even} {
				r := p.end()
				is.NoErr(r.err)
				is.Equal(r.outcome, "done")
			}
			l, err := leaving.log()
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

// spared waits until many calls in a row through all hosts are done without an
// attempt at the leaving server.
func (s *site) spared(leaving *standin) {
	s.t.Helper()
	eventually(s.t, leaving.address+" gets no new work", func() error {
		before, err := s.attempts(leaving)
		if err != nil {
			return err
		}
		for range 3 {
			if err := s.saturate(); err != nil {
				return err
			}
		}
		after, err := s.attempts(leaving)
		if err == nil && after > before {
			err = errors.Errorf("%d attempts of 180 calls", after-before)
		}
		return err
	})
}

// saturate makes calls through all hosts, as many at once as both servers have
// slots, since a single call goes to the idle server in any case.
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

// attempts counts what all hosts sent to a server, refused requests included.
func (s *site) attempts(server *standin) (n int, err error) {
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
