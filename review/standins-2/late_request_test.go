//go:build review2

package standins2

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["9"] = lateRequest }

// rotation is the platform's view of the hosts of a data centre: it asks each once a second,
// and two misses in a row take a host out.
type rotation struct {
	misses []atomic.Int64
}

func (s *site) watchRotation(done chan struct{}) *rotation {
	r := &rotation{misses: make([]atomic.Int64, len(s.hosts))}
	for i, h := range s.hosts {
		background.Go(func() {
			for {
				if h.isReady() {
					r.misses[i].Store(0)
				} else if n := r.misses[i].Add(1); n == 2 {
					s.logf("the platform takes %s out of rotation", h.name)
				}
				select {
				case <-done:
					return
				case <-time.After(time.Second):
				}
			}
		})
	}
	return r
}

// in returns how many hosts are in rotation.
func (r *rotation) in() (n int) {
	for i := range r.misses {
		if r.misses[i].Load() < 2 {
			n++
		}
	}
	return n
}

// commitConfig is the route purchase-commit of the site ckp-gateway-grown.
func commitConfig(version string) map[string]any {
	c := assayConfig(version)
	c["vhosts"] = []any{map[string]any{"host": "ficu95.example", "pathRules": []any{
		map[string]any{"name": "r-commit", "pathPrefix": "/commit/", "routeType": "non_idempotent", "timeoutMs": 5000, "goalMs": 1200, "priority": 1, "service": "assay1a", "attempts": 2},
	}}}
	return c
}

// lateRequest stops two of three hosts in turn, and sends requests to the second one on
// connections that it has accepted shortly before it closes its listener.
func lateRequest(s *site) (broken bool) {
	const (
		grace     = 6 * time.Second
		lateAfter = 3 * time.Second
		gap       = time.Second
		deadline  = 5 * time.Second
		usualWork = 410 * time.Millisecond
		longWork  = 7 * usualWork
		warmUps   = 24
		lateCalls = 8
	)
	work := func(target string) time.Duration {
		if strings.HasSuffix(target, "/long") {
			return longWork
		}
		return usualWork
	}
	for n := range 4 {
		s.addServer("i-0000000"+string(rune('a'+n)), "assay1a", "lj-a", 6, work)
	}
	s.store.put("config", "main", commitConfig("00000007"))
	s.addHosts("lj-a", 3)
	for _, h := range s.hosts {
		h.launch()
	}
	s.awaitReady()
	done := make(chan struct{})
	defer close(done)
	platform := s.watchRotation(done)

	first, second := s.hosts[0], s.hosts[1]
	var mu sync.Mutex
	var calls []*call
	var clients sync.WaitGroup
	send := func(c *caller, target string) {
		q := c.begin(http.MethodPost, target, strings.Repeat("c", 1200), deadline)
		c.finish(q)
		_ = c.conn.Close()
		mu.Lock()
		calls = append(calls, q)
		mu.Unlock()
		s.logCall(q)
	}
	open := func(h *host) *caller {
		c, err := s.dial(h)
		if err != nil {
			panic(err)
		}
		return c
	}
	for n := range warmUps {
		clients.Go(func() { send(open(s.hosts[n%len(s.hosts)]), "/commit/2f") })
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	calls = nil

	stop := func(h *host) {
		if !s.trouble {
			return
		}
		s.logf("SIGTERM to %s", h.name)
		h.signal(syscall.SIGTERM)
		exited := h.exited
		background.Go(func() {
			<-exited
			time.Sleep(time.Second)
			select {
			case <-done:
			default:
				h.launch()
			}
		})
	}
	stop(first)
	time.Sleep(gap)
	stop(second)
	stoppedAt := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(stoppedAt.Add(d))) }
	at(lateAfter - 150*time.Millisecond)
	in := platform.in()
	s.logf("%d of %d hosts are in rotation", in, len(s.hosts))
	if s.trouble && 2*in >= len(s.hosts) {
		panic("the platform would not send connections to the host that stops")
	}
	var late []*caller
	for range lateCalls {
		late = append(late, open(second))
	}
	at(lateAfter + 150*time.Millisecond)
	for n, c := range late {
		target := "/commit/2f"
		if n == 0 {
			target = "/commit/long" // one of the requests takes seven times as long
		}
		clients.Go(func() { send(c, target) })
	}
	clients.Wait()
	s.logServers()

	arrived := make(map[string]bool)
	for _, x := range s.servers {
		for _, a := range x.received() {
			arrived[a.id] = arrived[a.id] || a.ran
		}
	}
	lost := 0
	for _, q := range calls {
		after := q.sentAt.Sub(stoppedAt)
		if q.host != second || q.status != 0 || isTimeout(q.err) || !arrived[q.id] || after <= lateAfter || after > grace+time.Second {
			continue
		}
		lost++
		s.logf("request %s, sent %.3f s after SIGTERM, was passed on and ran, and its connection ended without an answer %.3f s after SIGTERM", q.id, after.Seconds(), q.endedAt.Sub(stoppedAt).Seconds())
	}
	s.logf("%d requests LOST", lost)
	return lost > 0
}
