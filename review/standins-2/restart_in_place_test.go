//go:build review2

package standins2

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["restart-in-place"] = restartInPlace }

// restartServer makes a server leave, and start again under the ID and the address that it had.
func (s *site) restartServer(x *server) {
	const (
		drain = 2 * time.Second
		down  = 1 * time.Second
	)
	s.logf("server %s leaves: it says so in its answers", x.id)
	x.mu.Lock()
	x.spoil = func(_ *http.Request, text string) string {
		return strings.Replace(text, "\r\n", "\r\nServer-Leaving: 1\r\n", 1)
	}
	x.mu.Unlock()
	// The next report to the store, which is due every heartbeatMs.
	time.Sleep(time.Duration(rand.Int64N(int64(1500 * time.Millisecond))))
	x.mu.Lock()
	x.state = "draining"
	x.mu.Unlock()
	s.store.put("servers", x.id, x.entry())
	time.Sleep(drain + 500*time.Millisecond)
	s.store.remove("servers", x.id)
	x.mu.Lock()
	for c := range x.conns {
		_ = c.Close()
	}
	x.mu.Unlock()
	s.logf("server %s has left, and its entry is removed", x.id)
	time.Sleep(down)
	x.mu.Lock()
	x.spoil, x.state, x.seq, x.born = nil, "ready", 0, time.Now().UnixMilli()
	x.mu.Unlock()
	s.store.put("servers", x.id, x.entry())
	s.logf("server %s has started again under its ID", x.id)
}

// restartInPlace restarts the servers of one of two services one after the other, three times.
func restartInPlace(s *site) (broken bool) {
	work := func(string) time.Duration { return 76 * time.Millisecond }
	const perService = 4
	for n := range perService {
		s.addServer("i-0000000"+string(rune('a'+n)), "huvo11a", "lj-a", 2, work)
	}
	for n := range perService {
		s.addServer("i-0000001"+string(rune('a'+n)), "wuno96b", "lj-a", 2, work)
	}
	c := zalnaConfig("00000007")
	c["services"] = append(c["services"].([]any), map[string]any{"name": "wuno96b", "healthPath": "/healthz", "maxConns": 220, "protocol": "h1", "tls": false})
	c["vhosts"] = []any{map[string]any{"host": "ficu95.example", "pathRules": []any{
		map[string]any{"name": "r-stock", "pathPrefix": "/lohu930/", "routeType": "idempotent", "timeoutMs": 800, "goalMs": 300, "priority": 2, "service": "huvo11a", "attempts": 2},
		map[string]any{"name": "r-pattern", "pathPrefix": "/volo102/", "routeType": "idempotent", "timeoutMs": 1500, "goalMs": 600, "priority": 2, "service": "wuno96b", "attempts": 2},
	}}}
	s.store.put("config", "main", c)
	s.addHosts("lj-a", 3)
	for _, h := range s.hosts {
		h.launch()
	}
	s.awaitReady()

	var mu sync.Mutex
	var calls []*call
	done := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 12 {
		clients.Go(func() {
			target, deadline := "/lohu930/2f", 800*time.Millisecond
			if n%2 == 1 {
				target, deadline = "/volo102/2f", 1500*time.Millisecond
			}
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(200+rand.IntN(200)) * time.Millisecond):
				}
				c, err := s.dial(s.hosts[n/2%len(s.hosts)])
				if err != nil {
					continue
				}
				q := c.begin(http.MethodGet, target, "", deadline)
				c.finish(q)
				_ = c.conn.Close()
				mu.Lock()
				calls = append(calls, q)
				mu.Unlock()
				s.logCall(q)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		// Three releases of the service, each of which restarts its servers one by one.
		for range 3 {
			for _, x := range s.servers[:perService] {
				s.restartServer(x)
				time.Sleep(500 * time.Millisecond)
			}
		}
	} else {
		time.Sleep(55 * time.Second)
	}
	// Calm: all servers have been back for a while.
	time.Sleep(5 * time.Second)
	calmFrom := time.Now()
	time.Sleep(15 * time.Second)
	close(done)
	clients.Wait()
	s.logServers()

	type count struct{ asked, served int }
	counts := make(map[string]*count)
	all := &count{}
	for _, q := range calls {
		if q.sentAt.Before(calmFrom) {
			continue
		}
		if counts[q.target] == nil {
			counts[q.target] = &count{}
		}
		for _, n := range []*count{counts[q.target], all} {
			n.asked++
			if q.status == http.StatusOK {
				n.served++
			}
		}
	}
	share := func(n *count) float64 { return float64(n.served) / float64(max(n.asked, 1)) }
	for target, n := range counts {
		s.logf("calm, %s: %d of %d served", target, n.served, n.asked)
		broken = broken || share(n) < share(all)/4
	}
	s.logf("calm, all: %d of %d served", all.served, all.asked)
	return broken
}
