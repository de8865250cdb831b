//go:build linux

package main

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagkeyed"
	"github.com/wagtailspar/wagtailspar/waglease"
	"github.com/wagtailspar/wagtailspar/wagstandin"
)

// orderRequest returns a request with an idempotency key, which the server runs for the
// duration work.
func (h *host) orderRequest(key, work string) request {
	return request{method: http.MethodPost, url: h.serviceURL("/orders", "id", key, "work", work), header: http.Header{"Idempotency-Key": {key}}}
}

// repeatOrder is repeatOrderWithWork for an order of short work.
func (s *site) repeatOrder(h *host, key string) (final result) {
	s.t.Helper()
	return s.repeatOrderWithWork(h, key, "1ms")
}

// repeatOrderWithWork sends an order until its outcome is final for a caller: done or
// unknown. The work is part of the request, which must be the same for the same key.
func (s *site) repeatOrderWithWork(h *host, key, work string) (final result) {
	s.t.Helper()
	eventually(s.t, "order "+key+" has a final outcome at "+h.name, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		defer cancel()
		final = do(ctx, h.orderRequest(key, work))
		if final.err != nil || final.outcome == "not-run" {
			return errors.Errorf("%+v", final)
		}
		return nil
	})
	return final
}

// checkRanAtMostOnce checks in the logs of all servers that no order ran twice.
func (s *site) checkRanAtMostOnce(keys ...string) {
	s.t.Helper()
	for _, key := range keys {
		n := 0
		for _, server := range s.servers {
			l, err := server.fetchLog()
			if err != nil {
				s.t.Fatal(err)
			}
			n += l.RunsByKey[key]
		}
		if n > 1 {
			s.t.Errorf("order %s ran %d times", key, n)
		}
	}
}

// Guards against an order that runs twice because it is repeated at another host, or after
// it was done.
func TestKeyedRepeats(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "one/east", "two/east")
	s.startHosts("a/east", "b/east", "c/west")
	first := s.repeatOrder(s.hosts["a"], "order-1")
	is.Equal(first.outcome, "done")
	for range 2 {
		for _, h := range s.hosts {
			is.Equal(s.repeatOrder(h, "order-1").outcome, "done") // the recorded outcome
		}
	}
	s.checkRanAtMostOnce("order-1")
}

// Guards against an order that runs again after the host that dispatched it, or
// the one that received it, was killed.
func TestKeyedHostKilled(t *testing.T) {
	s := newSite(t, "one/east", "two/east")
	s.startHosts("a/east", "b/east", "c/east")
	owner, other := s.findOwner("a", "b", "c")
	keys := []string{"order-1", "order-2"}
	direct := startRequest(t, owner.orderRequest(keys[0], "2s"))
	forwarded := startRequest(t, other.orderRequest(keys[1], "2s"))
	for _, key := range keys {
		s.waitRunning(key)
	}
	owner.kill()
	direct.wait()
	forwarded.wait()
	for name, h := range s.hosts {
		if name == owner.name {
			continue
		}
		for _, key := range keys {
			s.repeatOrderWithWork(h, key, "2s")
		}
	}
	s.checkRanAtMostOnce(keys...)
}

// Guards against an order that a host sends to a server after it was frozen and other hosts
// took over its duties.
func TestKeyedHostFrozen(t *testing.T) {
	s := newSite(t, "one/east", "two/east")
	s.startHosts("a/east", "b/east", "c/east")
	owner, other := s.findOwner("a", "b", "c")
	keys := []string{"order-1", "order-2", "order-3", "order-4"}
	requests := make([]*pendingRequest, 0, len(keys))
	for _, key := range keys[:2] {
		requests = append(requests, startRequest(t, owner.orderRequest(key, "2s")))
		s.waitRunning(key)
	}
	for _, key := range keys[2:] {
		// These requests may be in any state when the host freezes.
		requests = append(requests, startRequest(t, owner.orderRequest(key, "1ms")), startRequest(t, other.orderRequest(key, "1ms")))
	}
	owner.freeze()
	s.waitForEvent(other, wagevent.KindMember, owner.name+" is dead")
	workByKey := map[string]string{keys[0]: "2s", keys[1]: "2s", keys[2]: "1ms", keys[3]: "1ms"}
	for _, key := range keys {
		s.repeatOrderWithWork(other, key, workByKey[key])
	}
	owner.resume()
	for _, c := range requests {
		c.wait()
	}
	eventually(t, "the host knows all hosts again", func() error { return owner.checkMetric("wagtailspar_live_members", 3) })
	for _, key := range keys {
		s.repeatOrderWithWork(owner, key, workByKey[key])
	}
	s.checkRanAtMostOnce(keys...)
}

// Guards against an order that runs twice, or is reported as not run after it ran, because
// the store executed a write and its response was lost.
func TestKeyedLostAnswer(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "one/east", "two/east")
	s.startHosts("a/east", "b/east")
	for round, key := range []string{"order-1", "order-2", "order-3"} {
		s.setStoreFaults(wagstandin.StoreFaults{LoseResponses: round + 1})
		h := s.hosts["a"]
		if round%2 == 1 {
			h = s.hosts["b"]
		}
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		r := do(ctx, h.orderRequest(key, "1ms"))
		cancel()
		is.NoErr(r.err)
		if n, _ := s.countRuns(key); n > 0 {
			is.True(r.outcome != "not-run")
		}
		for _, other := range s.hosts {
			s.repeatOrder(other, key)
		}
		s.checkRanAtMostOnce(key)
	}
}

// waitPartitionsSettled waits until the owner of each partition of claims holds its lease.
// While partitions change owners, the outcome of a new key may be unknown.
func (s *site) waitPartitionsSettled() {
	s.t.Helper()
	var names []string
	for _, h := range s.hosts {
		names = append(names, h.dataCentre+"/"+h.name)
	}
	eventually(s.t, "the owners hold all partitions", func() error {
		settled := 0
		for _, h := range s.hosts {
			events, err := h.events()
			if err != nil {
				return err
			}
			leaseStates := make(map[string]string)
			for _, e := range events {
				if key, state, ok := strings.Cut(e.Detail, " "); ok && e.Kind == wagevent.KindLease && strings.HasPrefix(key, wagkeyed.LeaseKeyPrefix) {
					leaseStates[key] = state
				}
			}
			for key, state := range leaseStates {
				owns := waglease.Choose(key, names) == h.dataCentre+"/"+h.name
				if owns != (state == "held") {
					return errors.Errorf("partition %s at %s: %s", key, h.name, state)
				}
				if owns {
					settled++
				}
			}
		}
		if settled != wagkeyed.PartitionCount {
			return errors.Errorf("%d of %d partitions are held", settled, wagkeyed.PartitionCount)
		}
		return nil
	})
}

// Guards against an order that runs without a durable claim during an outage of the store,
// and against one that is still refused after it.
func TestKeyedStoreOutage(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "one/east")
	s.startHosts("a/east", "b/east")
	s.repeatOrder(s.hosts["a"], "before")
	s.waitPartitionsSettled()
	s.setStoreFaults(wagstandin.StoreFaults{Down: true})
	for _, h := range s.hosts {
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		r := do(ctx, h.orderRequest("during-"+h.name, "1ms"))
		cancel()
		is.NoErr(r.err)
		is.Equal(r.outcome, "not-run")
		n, _ := s.countRuns("during-" + h.name)
		is.Equal(n, 0)
	}
	s.setStoreFaults(wagstandin.StoreFaults{})
	for _, h := range s.hosts {
		is.Equal(s.repeatOrder(h, "during-"+h.name).outcome, "done")
	}
	s.checkRanAtMostOnce("before", "during-a", "during-b")
}
