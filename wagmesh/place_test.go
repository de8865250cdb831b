package wagmesh

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagroster"
)

// Guards against servers that several hosts assign requests to: the requests of all
// hosts of a data centre have to be placed by the owner.
func TestOnlyOwnersPlaceRequests(t *testing.T) {
	runSite(t, 5, threeDataCentres, func(s *site) {
		is := is.New(t)
		sleep(5 * time.Second)
		var finish []func(wagplacement.Result)
		for _, h := range s.hosts {
			x, ok := h.placeRequest().(wagowner.Granted)
			is.True(ok)
			is.True(strings.HasPrefix(x.Server.ID, h.member.DataCentre))
			finish = append(finish, x.Finish)
		}
		is.Equal(len(s.probes), len(threeDataCentres)) // only owners probe servers
		for _, f := range finish {
			f(wagplacement.Result{})
		}
		sleep(time.Second)
	})
}

// Guards against hosts that take themselves for the owner of a group while they start,
// and probe all servers at the same time: after a power failure of a site with hundreds
// of hosts, the probes of the owners failed by that, and so did the requests.
func TestOnlyOwnersPlaceRequestsAtStart(t *testing.T) {
	runSite(t, 0, nil, func(s *site) {
		is := is.New(t)
		s.isFirstStart = false
		var requests errgroup.Group
		for n := range 5 {
			for i, dataCentre := range threeDataCentres {
				h := s.startHost(testMember(dataCentre, i, n))
				for range 2 {
					requests.Go(func() error {
						if x, ok := h.placeRequest().(wagowner.Granted); ok {
							x.Finish(wagplacement.Result{})
							return nil
						}
						return errors.Errorf("%s refused a request", h.member.Name)
					})
				}
			}
		}
		is.NoErr(requests.Wait())
		s.mu.Lock()
		defer s.mu.Unlock()
		is.True(len(s.probes) <= len(threeDataCentres)+1) // an owner may hand over to another
	})
}

// Guards against requests that wait for long at a host that has just started: without
// other hosts and without the store, half of their time at most, and no longer than
// their callers.
func TestWaitForOwnerAtStartIsBounded(t *testing.T) {
	runSite(t, 0, nil, func(s *site) {
		is := is.New(t)
		m := testMember("a", 0, 0)
		s.store.setRefused(m.Name, true)
		h := s.startHost(m)
		began := time.Now()
		_, granted := h.placeRequest().(wagowner.Granted) // it may know servers from other hosts
		is.True(granted)
		is.Equal(time.Since(began), time.Second/2)

		h.stop()
		s.remove(h)
		h = s.startHost(m)
		ctx, leave := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer leave()
		began = time.Now()
		_, refused := h.mesh.Place(ctx, testService, wagplacement.Request{Route: "status", Goal: began.Add(time.Second), Deadline: began.Add(time.Second)}).(wagowner.Refused)
		is.True(refused)
		is.Equal(time.Since(began), 20*time.Millisecond)
	})
}

// owner returns the host that places the requests of a data centre.
func (s *site) owner(dataCentre string) *host {
	for _, h := range s.hosts {
		if h.member.DataCentre != dataCentre {
			continue
		}
		h.mesh.mu.Lock()
		m, _ := h.mesh.roster.Owner(testService, dataCentre)
		h.mesh.mu.Unlock()
		return s.findHost(m.Name)
	}
	return nil
}

// Guards against requests that wait for an owner that was killed or is silent.
func TestOwnerIsLost(t *testing.T) {
	for _, silent := range []bool{false, true} {
		runSite(t, 4, threeDataCentres, func(s *site) {
			is := is.New(t)
			sleep(5 * time.Second)
			lost := s.owner("a")
			if silent {
				s.setSilent(lost, true)
			} else {
				lost.stop()
				s.remove(lost)
			}
			for range 50 {
				for _, h := range s.hosts {
					if h == lost || h.member.DataCentre != "a" {
						continue
					}
					began := time.Now()
					x, ok := h.placeRequest().(wagowner.Granted)
					is.True(ok)
					is.True(time.Since(began) <= 2*ackTimeout)
					x.Finish(wagplacement.Result{})
				}
				sleep(100 * time.Millisecond)
			}
			s.setSilent(lost, false)
			sleep(30 * time.Second)
			if silent {
				is.Equal(s.owner("a"), lost) // it owns the group again
			}
		})
	}
}

// Guards against slots that stay occupied after the host that they were granted to was
// killed, and against slots that are freed while their requests still run.
func TestGrantsOfALostHost(t *testing.T) {
	runSite(t, 4, []string{"a"}, func(s *site) {
		is := is.New(t)
		sleep(5 * time.Second)
		owner := s.owner("a")
		var other *host
		for _, h := range s.hosts {
			if h != owner {
				other = h
			}
		}
		for range 8 { // the capacity of two servers
			_, ok := other.placeRequest().(wagowner.Granted)
			is.True(ok)
		}
		_, refused := owner.placeRequest().(wagowner.Refused)
		is.True(refused)
		other.stop()
		s.remove(other)
		sleep(100 * time.Millisecond)
		x, ok := owner.placeRequest().(wagowner.Granted)
		is.True(ok)
		x.Finish(wagplacement.Result{})
	})
}

// Guards against a request that is refused although another data centre has free slots,
// and against one that is sent to another data centre without need.
func TestSpillsWhenFull(t *testing.T) {
	runSite(t, 3, threeDataCentres, func(s *site) {
		is := is.New(t)
		sleep(5 * time.Second)
		seen := make(map[string]int)
		for range 20 {
			x, ok := s.findHost("a1").placeRequest().(wagowner.Granted)
			is.True(ok)
			seen[x.Server.ID[:1]]++
		}
		is.Equal(seen["a"], 8)
		is.Equal(seen["b"]+seen["c"], 12)
	})
}

// Guards against a log line about an unacknowledged request that identifies neither the
// request nor the owner (inc-852c).
func TestUnansweredRequestIsLogged(t *testing.T) {
	is := is.New(t)
	logger, hook := logtest.NewNullLogger()
	l := &link{mesh: &Mesh{log: logger}, peer: wagroster.Member{Name: "b1", DataCentre: "b"}}
	l.markStalled("lots", "9c41")
	l.markStalled("lots", "9c42") // logged once until the peer sends a frame
	is.Equal(len(hook.AllEntries()), 1)
	is.Equal(hook.LastEntry().Data, logrus.Fields{"peer": "b1", "dataCentre": "b", "service": "lots", "request": "9c41", "waitedMs": int64(40)})
}
