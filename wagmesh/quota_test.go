package wagmesh

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagquota"
)

const hotCustomer = "hot"

// runQuotaSite runs f with a site of three data centres in which a customer has a limit.
func runQuotaSite(t *testing.T, limit wagquota.Limit, f func(is *is.I, s *site)) {
	t.Helper()
	runSite(t, 3, []string{"a", "b", "c"}, func(s *site) {
		for _, h := range s.hosts {
			h.setCustomers(limit)
		}
		sleep(5 * time.Second)
		f(is.New(t), s)
	})
}

func (h *host) setCustomers(limit wagquota.Limit) {
	h.owner.SetCustomers(wagquota.Limits{hotCustomer: limit}, []string{testService})
}

// placeHot sends requests of the customer at all hosts in turn, one each 2 ms, and returns
// how many are granted and how many are refused because of the quota.
func (s *site) placeHot(d time.Duration) (granted, quota, other int) {
	for i, until := 0, time.Now().Add(d); time.Now().Before(until); i++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		now := time.Now()
		x := s.hosts[i%len(s.hosts)].mesh.Place(ctx, testService, wagplacement.Request{
			Route: "status", Goal: now.Add(250 * time.Millisecond), Deadline: now.Add(time.Second), Customer: hotCustomer,
		})
		cancel()
		switch x := x.(type) {
		case wagowner.Granted:
			granted++
			x.Finish(wagplacement.Result{})
		case wagowner.Refused:
			if x.Reason == wagplacement.ReasonQuota {
				quota++
			} else {
				other++
			}
		}
		sleep(2 * time.Millisecond)
	}
	return granted, quota, other
}

// coordinatorHost returns the host that all hosts take for the coordinator.
func (s *site) coordinatorHost(is *is.I) *host {
	s.t.Helper()
	first, _ := s.hosts[0].mesh.QuotaCoordinator(0)
	var found *host
	for _, h := range s.hosts {
		id, isSelf := h.mesh.QuotaCoordinator(0)
		is.Equal(id, first)
		if isSelf {
			found = h
		}
	}
	is.True(found != nil)
	return found
}

// Guards against a customer that sends more than its limit at several hosts, and against
// refusals of one that sends less.
func TestQuotaOverAllHosts(t *testing.T) {
	runQuotaSite(t, wagquota.Limit{Rate: 40, Burst: 20}, func(is *is.I, s *site) {
		s.coordinatorHost(is)
		granted, quota, other := s.placeHot(5 * time.Second)
		t.Logf("over the limit: %d granted, %d refused", granted, quota)
		is.Equal(other, 0)
		is.True(quota > 0)
		is.True(granted >= 200 && granted <= (40*5+20)*11/10+20)
	})
	runQuotaSite(t, wagquota.Limit{Rate: 1000, Burst: 500}, func(is *is.I, s *site) {
		granted, quota, other := s.placeHot(5 * time.Second)
		t.Logf("below the limit: %d granted, %d refused", granted, quota)
		is.Equal(other, 0)
		is.True(quota*100 <= granted)
	})
}

// Guards against a limit that is lost, or exceeded, when the coordinator ends or stops to
// answer, or when hosts are cut off from other data centres.
func TestQuotaWithoutCoordinator(t *testing.T) {
	for name, fail := range map[string]func(s *site, coordinator *host){
		"stopped": func(s *site, coordinator *host) {
			coordinator.stop()
			s.remove(coordinator)
		},
		"silent":    func(s *site, coordinator *host) { s.setSilent(coordinator, true) },
		"suspended": func(s *site, coordinator *host) { s.setSuspended(coordinator, true) },
		"isolated":  func(s *site, coordinator *host) { s.setIsolated(coordinator, true) },
	} {
		t.Run(name, func(t *testing.T) {
			runQuotaSite(t, wagquota.Limit{Rate: 40, Burst: 20}, func(is *is.I, s *site) {
				coordinator := s.coordinatorHost(is)
				fail(s, coordinator)
				if name == "silent" || name == "suspended" {
					s.remove(coordinator) // callers get no answer from it
					defer func() { s.hosts = append(s.hosts, coordinator) }()
				}
				granted, quota, other := s.placeHot(5 * time.Second)
				t.Logf("first 5 s: %d granted, %d refused, %d otherwise", granted, quota, other)
				is.True(granted <= (40*5+20)*11/10+20)
				granted, quota, other = s.placeHot(5 * time.Second)
				t.Logf("next 5 s: %d granted, %d refused, %d otherwise", granted, quota, other)
				is.True(granted >= 100 && granted <= (40*5+20)*11/10+20)
			})
		})
	}
}

// Guards against a limit that is lost or exceeded when the owner of a server group ends or
// stops to answer, and when a data centre is cut off from the others.
func TestQuotaWithoutOwner(t *testing.T) {
	limit := wagquota.Limit{Rate: 40, Burst: 20}
	check := func(is *is.I, s *site, least int) {
		granted, quota, other := s.placeHot(5 * time.Second)
		s.t.Logf("first 5 s: %d granted, %d refused, %d otherwise", granted, quota, other)
		is.True(granted <= (40*5+20)*11/10+20)
		granted, quota, other = s.placeHot(5 * time.Second)
		s.t.Logf("next 5 s: %d granted, %d refused, %d otherwise", granted, quota, other)
		is.True(granted >= least && granted <= (40*5+20)*11/10+20)
	}
	owner := func(s *site, dataCentre string) *host {
		m, _ := s.ranked(dataCentre)[0].mesh.roster.Owner(testService, dataCentre)
		return s.findHost(m.Name)
	}
	for _, dataCentre := range []string{"a", "b", "c"} {
		t.Run("stopped/"+dataCentre, func(t *testing.T) {
			runQuotaSite(t, limit, func(is *is.I, s *site) {
				h := owner(s, dataCentre)
				h.stop()
				s.remove(h)
				check(is, s, 150)
			})
		})
		t.Run("suspended/"+dataCentre, func(t *testing.T) {
			runQuotaSite(t, limit, func(is *is.I, s *site) {
				h := owner(s, dataCentre)
				s.setSuspended(h, true)
				s.remove(h) // callers get no answer from it
				defer func() { s.hosts = append(s.hosts, h) }()
				check(is, s, 150)
			})
		})
		t.Run("cutOff/"+dataCentre, func(t *testing.T) {
			runQuotaSite(t, limit, func(is *is.I, s *site) {
				for _, h := range s.ranked(dataCentre) {
					s.setIsolated(h, true)
				}
				check(is, s, 100)
				for _, h := range s.ranked(dataCentre) {
					s.setIsolated(h, false)
				}
				check(is, s, 100)
			})
		})
	}
}

// Guards against messages for sites whose customers have no limit.
func TestNoQuotaMessagesWithoutLimits(t *testing.T) {
	runSite(t, 2, []string{"a", "b"}, func(s *site) {
		is := is.New(t)
		for _, h := range s.hosts {
			h.owner.SetCustomers(nil, []string{testService})
		}
		sleep(2 * time.Second)
		_, quota, _ := s.placeHot(time.Second)
		is.Equal(quota, 0)
		for _, h := range s.hosts {
			is.Equal(h.owner.QuotaStats(), wagowner.QuotaStats{})
		}
	})
}

// Guards against a field of a report or a reply that gets lost on the wire.
func TestQuotaMessages(t *testing.T) {
	is := is.New(t)
	report := wagquota.Report{Part: "lots/a", Sender: "a0/7", Number: 3, IsOwner: true, Echo: 5, Charges: []wagquota.Charge{
		{Customer: hotCustomer, Total: 9, Acknowledged: 7, Demand: 4, Left: 2, Waiting: 1},
	}}
	message := chargeMessage(2, "lots", "a", report)
	is.Equal(reportFromMessage(message, "a0/7"), report)
	is.Equal(message.GetShard(), uint32(2))
	reply := wagquota.Reply{Number: 3, Stamp: 12, Acks: []wagquota.Ack{{Customer: hotCustomer, Total: 9, Credit: 6, OutFor: 20 * time.Millisecond}}}
	is.Equal(replyFromMessage(ackMessage(message, reply)), reply)
	t.Logf("a report of one customer takes %d bytes, its reply %d", proto.Size(message), proto.Size(ackMessage(message, reply)))
}

// Guards against messages between data centres for each request: 840 requests a second of
// 81 customers over 6 parts.
func TestQuotaTraffic(t *testing.T) {
	measure := func(limits wagquota.Limits) (bytes int, reports uint64) {
		runSite(t, 2, []string{"a", "b", "c"}, func(s *site) {
			services := []string{testService, "other"}
			for _, h := range s.hosts {
				list := testServers()
				for _, instance := range testServers() {
					instance.ID, instance.Service = instance.ID+"other", "other"
					list = append(list, instance)
				}
				h.owner.SetServers(list)
				h.mesh.SetServices(services)
				h.owner.SetCustomers(limits, services)
			}
			sleep(3 * time.Second)
			sum := func() (bytes int, reports uint64) {
				s.network.mu.Lock()
				for pair, n := range s.network.bytes {
					if pair[0].As4()[1] != pair[1].As4()[1] {
						bytes += n
					}
				}
				s.network.mu.Unlock()
				for _, h := range s.hosts {
					reports += h.owner.QuotaStats().ReportsSent
				}
				return bytes, reports
			}
			bytesBefore, reportsBefore := sum()
			random := rand.New(rand.NewPCG(1, 1))
			for began := time.Now(); time.Since(began) < 10*time.Second; {
				now, customer := time.Now(), fmt.Sprint("customer", int(math.Pow(81, random.Float64()))-1)
				x := s.hosts[random.IntN(len(s.hosts))].mesh.Place(context.Background(), services[random.IntN(2)], wagplacement.Request{
					Route: "status", Goal: now.Add(250 * time.Millisecond), Deadline: now.Add(time.Second), Customer: customer,
				})
				if g, ok := x.(wagowner.Granted); ok {
					g.Finish(wagplacement.Result{})
				}
				sleep(time.Second / 840)
			}
			bytes, reports = sum()
			bytes, reports = bytes-bytesBefore, reports-reportsBefore
		})
		return bytes, reports
	}
	limits := make(wagquota.Limits)
	for i := range 81 {
		limits[fmt.Sprint("customer", i)] = wagquota.Limit{Rate: 1000, Burst: 1000}
	}
	with, reports := measure(limits)
	without, _ := measure(nil)
	t.Logf("10 s: %d reports between hosts, %d bytes between data centres for quotas, %d without", reports, with-without, without)
	if reports > 8400 {
		t.Errorf("%d reports for 8400 requests", reports)
	}
}
