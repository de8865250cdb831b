//go:build review2

package standins2

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["6"] = garbledLength }

// spoiledLength is the length that the spoiled answer states: the largest number that the
// HTTP grammar and a signed 64-bit number can hold.
const spoiledLength = "9223372036854775807"

// zalnaConfig is the configuration of the site zalna-nit with one service.
func zalnaConfig(version string) map[string]any {
	return map[string]any{
		"version":  version,
		"services": []any{map[string]any{"name": "huvo11a", "healthPath": "/healthz", "maxConns": 220, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"headerBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"vhosts": []any{map[string]any{"host": "ficu95.example", "pathRules": []any{
			map[string]any{"name": "r-stock", "pathPrefix": "/lohu930/", "routeType": "idempotent", "timeoutMs": 800, "goalMs": 300, "priority": 2, "service": "huvo11a", "attempts": 2},
			map[string]any{"name": "r-order", "pathPrefix": "/pufi791/", "routeType": "non_idempotent", "timeoutMs": 1000, "goalMs": 300, "priority": 1, "service": "huvo11a", "attempts": 2},
		}}},
	}
}

// withLength returns a response that states another length.
func withLength(text, length string) string {
	head, body, _ := strings.Cut(text, "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "Content-Length:") {
			lines[i] = "Content-Length: " + length
		}
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// garbledLength plays a calm site on which servers spoil some of their answers: these state
// a length of 19 digits.
func garbledLength(s *site) (broken bool) {
	const (
		warmUp   = 6 * time.Second
		spoilFor = 5 * time.Second
		playFor  = 15 * time.Second
	)
	work := func(target string) time.Duration {
		if strings.HasPrefix(target, "/pufi791/") {
			return 100 * time.Millisecond
		}
		return 76 * time.Millisecond
	}
	for n := range 14 {
		s.addServer("i-0000000"+string(rune('a'+n)), "huvo11a", "lj-a", 2, work)
	}
	// As "garble" of the kinds of trouble: half of the servers spoil 2 in 100 of their answers
	// for 5 s.
	const faultyServers, spoiledShare = 7, 0.02
	var spoiling atomic.Bool
	var spoiled atomic.Int64
	faulty := make(map[string]bool)
	for _, x := range s.servers[:faultyServers] {
		faulty[x.id] = true
		x.spoil = func(r *http.Request, text string) string {
			if !spoiling.Load() || r.URL.Path == "/healthz" || !strings.Contains(text, " 200 OK") || rand.Float64() >= spoiledShare {
				return text
			}
			spoiled.Add(1)
			s.logf("server %s spoils the answer to request %s: Content-Length: %s", x.id, r.Header.Get("X-Wagtailspar-Request-Id"), spoiledLength)
			return withLength(text, spoiledLength)
		}
	}
	s.store.put("config", "main", zalnaConfig("00000007"))
	s.addHosts("lj-a", 3)
	done := make(chan struct{})
	for _, h := range s.hosts {
		h.launch()
		h.restartWhenEnded(done)
	}
	s.awaitReady()

	// Per host, the clients keep 12 connections, half of the requests are orders.
	var mu sync.Mutex
	var calls []*call
	var clients sync.WaitGroup
	endAt := time.Now().Add(warmUp + playFor)
	for _, h := range s.hosts {
		for n := range 12 {
			clients.Go(func() {
				method, target, deadline := http.MethodGet, "/lohu930/2f", 800*time.Millisecond
				body := ""
				if n%2 == 1 {
					method, target, deadline, body = http.MethodPost, "/pufi791/2f", time.Second, strings.Repeat("o", 1200)
				}
				var c *caller
				for time.Now().Before(endAt) {
					if c == nil {
						var err error
						if c, err = s.dial(h); err != nil {
							time.Sleep(100 * time.Millisecond)
							continue
						}
					}
					q := c.begin(method, target, body, deadline)
					keep := c.finish(q)
					mu.Lock()
					calls = append(calls, q)
					mu.Unlock()
					s.logCall(q)
					if !keep {
						_ = c.conn.Close()
						c = nil
					}
					time.Sleep(time.Duration(40+7*n) * time.Millisecond)
				}
				if c != nil {
					_ = c.conn.Close()
				}
			})
		}
	}
	time.Sleep(warmUp)
	spoiling.Store(s.trouble)
	time.Sleep(spoilFor)
	spoiling.Store(false)
	clients.Wait()
	close(done)
	s.logServers()

	// LOST: requests on kept connections that were passed on to a sound server, and whose
	// connections were closed without an answer.
	arrived := make(map[string]string)
	for _, x := range s.servers {
		for _, a := range x.received() {
			if !faulty[x.id] {
				arrived[a.id] = x.id
			}
		}
	}
	lost, ended := 0, 0
	for _, q := range calls {
		if q.status == 0 && q.reused && !isTimeout(q.err) && arrived[q.id] != "" {
			lost++
			s.logf("request %s was passed on to the sound server %s, and its kept connection was closed without an answer", q.id, arrived[q.id])
		}
	}
	for _, h := range s.hosts {
		ended += h.ended
	}
	s.logf("%d requests; %d answers spoiled; %d times a process of the system ended by itself; %d requests LOST (more than 3 break the rule)", len(calls), spoiled.Load(), ended, lost)
	return lost > 3
}
