package wagmesh

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// grantTimes records when requests were granted, by server.
type grantTimes struct {
	mu    sync.Mutex
	times map[string][]time.Time
}

func (g *grantTimes) add(server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.times[server] = append(g.times[server], time.Now())
}

// mostInSecond returns the most grants of a server within a second.
func (g *grantTimes) mostInSecond(server string) (most int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := slices.Clone(g.times[server])
	slices.SortFunc(list, time.Time.Compare)
	first := 0
	for last := range list {
		for list[last].Sub(list[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against the crash of cold servers while hosts decide at the same time that do not
// reach each other: the owner of the group and other hosts are cut off, each from all
// others, the rest elects a new owner, and all have a queue. The cut-off hosts come back
// later.
func TestCutOffHostsSpareColdServers(t *testing.T) {
	for cutOff := range 5 {
		t.Run(fmt.Sprint(cutOff), func(t *testing.T) { testCutOffHosts(t, cutOff) })
	}
}

func testCutOffHosts(t *testing.T, cutOff int) {
	t.Helper()
	const (
		overage, slack = 1.5, 8.0
		hosts          = 9
	)
	runSite(t, 0, nil, func(s *site) {
		is := is.New(t)
		s.ownerOptions = []wagowner.Option{wagowner.WithLimits(wagowner.Limits{ColdOverage: overage, ColdSlack: slack})}
		s.isFirstStart = true
		for n := range hosts {
			s.startHost(testMember("a", 0, n))
		}
		sleep(5 * time.Second)
		servers := s.setColdServers(testColdRate)
		is.Equal(s.hosts[0].owner.ColdServers(), len(servers))
		owner, _ := s.hosts[0].mesh.ownerOf(testService)
		granted := grantTimes{times: make(map[string][]time.Time)}
		var requests errgroup.Group
		s.placeUntil(&requests, time.Now().Add(8*time.Second), &granted)
		sleep(2 * time.Second)
		slices.SortStableFunc(s.hosts, func(a, b *host) int { return boolOrder(b.member.Name == owner) - boolOrder(a.member.Name == owner) })
		for _, h := range s.hosts[:cutOff] {
			s.setSilent(h, true)
		}
		sleep(4 * time.Second)
		for _, h := range s.hosts[:cutOff] {
			s.setSilent(h, false)
		}
		is.NoErr(requests.Wait())
		for _, server := range servers {
			most := granted.mostInSecond(server.ID)
			t.Logf("%s: %d grants, at most %d in a second", server.ID, len(granted.times[server.ID]), most)
			is.True(float64(most) <= testColdRate*overage+slack)
			is.True(len(granted.times[server.ID]) >= 20) // the new owner uses its rate
		}
	})
}

// Guards against the crash of cold servers after a power failure of hosts and servers, when
// hosts that do not know each other yet take themselves for the owner.
func TestHostsThatStartTogetherSpareColdServers(t *testing.T) {
	const (
		overage, slack = 1.5, 8.0
		hosts          = 9
	)
	runSite(t, 0, nil, func(s *site) {
		is := is.New(t)
		s.ownerOptions = []wagowner.Option{wagowner.WithLimits(wagowner.Limits{ColdOverage: overage, ColdSlack: slack})}
		for n := range hosts {
			s.startHost(testMember("a", 0, n))
		}
		servers := s.setColdServers(testColdRate)
		granted := grantTimes{times: make(map[string][]time.Time)}
		var requests errgroup.Group
		s.placeUntil(&requests, time.Now().Add(4*time.Second), &granted)
		is.NoErr(requests.Wait())
		for _, server := range servers {
			most := granted.mostInSecond(server.ID)
			t.Logf("%s: %d grants, at most %d in a second", server.ID, len(granted.times[server.ID]), most)
			is.True(float64(most) <= testColdRate*overage+slack)
			is.True(len(granted.times[server.ID]) >= 10) // of 17 that the rate permits
		}
	})
}

const testColdRate = 4.3

// setColdServers gives all hosts two servers that stay cold for a minute.
func (s *site) setColdServers(rate float64) []wagserver.Instance {
	servers := testServers()[:2]
	for n := range servers {
		servers[n].ColdUntil = time.Now().Add(time.Minute)
	}
	for _, h := range s.hosts {
		h.owner.SetColdRates(map[string]float64{testService: rate})
		h.owner.SetServers(servers)
	}
	return servers
}

// placeUntil places requests at all hosts until a time, three at once at each, and records
// the grants.
func (s *site) placeUntil(requests *errgroup.Group, end time.Time, granted *grantTimes) {
	for _, h := range s.hosts {
		for range 3 {
			requests.Go(func() error {
				for time.Now().Before(end) {
					if x, ok := h.placeRequest().(wagowner.Granted); ok {
						granted.add(x.Server.ID)
						x.Finish(wagplacement.Result{})
					}
					time.Sleep(20 * time.Millisecond) //nolint:forbidigo // The time of a bubble passes at once.
				}
				return nil
			})
		}
	}
}

func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ownerOf returns the name of the owner of a group in the data centre of this host.
func (m *Mesh) ownerOf(service string) (name string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	owner, ok := m.roster.Owner(service, m.self.DataCentre)
	return owner.Name, ok
}
