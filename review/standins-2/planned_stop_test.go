//go:build review2

package standins2

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["8"] = plannedStop }

// assayConfig is the route assay-lookup of the site ckp-gateway-grown.
func assayConfig(version string) map[string]any {
	return map[string]any{
		"version":  version,
		"services": []any{map[string]any{"name": "assay1a", "healthPath": "/healthz", "maxConns": 980, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"headerBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"vhosts": []any{map[string]any{"host": "ficu95.example", "pathRules": []any{
			map[string]any{"name": "r-assay", "pathPrefix": "/assay/", "routeType": "idempotent", "timeoutMs": 5000, "goalMs": 2500, "priority": 2, "service": "assay1a", "attempts": 2},
		}}},
	}
}

// plannedStop stops one of two hosts while requests wait for a free slot.
func plannedStop(s *site) (broken bool) {
	const (
		grace       = 6 * time.Second
		lossSlack   = 200 * time.Millisecond
		timeout     = 5 * time.Second
		deadline    = 10 * time.Second
		usualWork   = 780 * time.Millisecond
		longestWork = 8300 * time.Millisecond
	)
	work := func(target string) time.Duration {
		if strings.HasSuffix(target, "/long") {
			return longestWork
		}
		return usualWork
	}
	s.addServer("i-0000000a", "assay1a", "lj-a", 2, work)
	s.addServer("i-0000000b", "assay1a", "lj-a", 2, work)
	s.store.put("config", "main", assayConfig("00000007"))
	s.addHosts("lj-a", 2)
	for _, h := range s.hosts {
		h.launch()
	}
	s.awaitReady()

	var mu sync.Mutex
	var calls []*call
	var clients sync.WaitGroup
	send := func(c *caller, target string) *call {
		q := c.begin(http.MethodGet, target, "", deadline)
		keep := c.finish(q)
		mu.Lock()
		calls = append(calls, q)
		mu.Unlock()
		s.logCall(q)
		if !keep {
			_ = c.conn.Close()
		}
		return q
	}
	open := func(h *host) *caller {
		c, err := s.dial(h)
		if err != nil {
			panic(err)
		}
		return c
	}
	stopped, other := s.hosts[0], s.hosts[1]
	// Usual load: two requests at a time on each host.
	var kept []*caller
	for n := range 4 {
		c := open(s.hosts[n%2])
		if c.host == stopped {
			kept = append(kept, c)
		}
		clients.Go(func() {
			for range 8 {
				send(c, "/assay/2f")
			}
		})
	}
	clients.Wait()
	calls = nil

	var stoppedAt time.Time
	if s.trouble {
		s.logf("SIGTERM to %s", stopped.name)
		stopped.signal(syscall.SIGTERM)
	}
	stoppedAt = time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(stoppedAt.Add(d))) }
	// Four long lookups through the other host take all slots, until the timeout of their
	// route.
	at(900 * time.Millisecond)
	for range 4 {
		clients.Go(func() { send(open(other), "/assay/long") })
	}
	// The connections that clients have kept open are in use until the host closes them.
	at(2400 * time.Millisecond)
	var unread []string
	for _, c := range kept {
		clients.Go(func() {
			clients.Go(func() {
				time.Sleep(100 * time.Millisecond)
				if !isReadByHost(c.conn.LocalAddr().String(), stopped.front) {
					mu.Lock()
					unread = append(unread, c.conn.LocalAddr().String())
					mu.Unlock()
				}
			})
			send(c, "/assay/2f")
		})
	}
	clients.Wait()
	if s.trouble {
		<-stopped.exited
	}
	s.logServers()

	// LOST: a whole request was read, and later than lossSlackMs after its last byte the
	// connection ended without a complete answer.
	arrived := make(map[string]bool)
	for _, x := range s.servers {
		for _, a := range x.received() {
			arrived[a.id] = true
		}
	}
	lost := 0
	for _, q := range calls {
		after := q.sentAt.Sub(stoppedAt)
		switch {
		case q.host != stopped || q.status != 0 || isTimeout(q.err):
		case after > grace+time.Second || q.endedAt.Sub(q.sentAt) <= lossSlack || q.endedAt.Sub(q.sentAt) >= timeout:
		case strings.Contains(strings.Join(unread, " "), q.localAddress):
			s.logf("request %s was not read by the host", q.id)
		case arrived[q.id]:
			// The server may have been at work in the last sixth of graceS.
			s.logf("request %s was at work at a server", q.id)
		default:
			lost++
			s.logf("request %s, sent %.3f s after SIGTERM, was read, waited, reached no server, and its connection ended without an answer %.3f s after SIGTERM", q.id, after.Seconds(), q.endedAt.Sub(stoppedAt).Seconds())
		}
	}
	s.logf("%d requests LOST", lost)
	return lost > 0
}

// isReadByHost reports whether the process at a local address has read all bytes that
// arrived on the connection from a client: its receive queue in /proc/net/tcp is empty.
func isReadByHost(client, host string) bool {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) > 4 && f[1] == hexAddress(host) && f[2] == hexAddress(client) {
			return strings.HasSuffix(f[4], ":00000000")
		}
	}
	return false
}

// hexAddress returns an IPv4 address with port as /proc/net/tcp shows it on a little-endian
// machine.
func hexAddress(address string) string {
	a := netip.MustParseAddrPort(address)
	b := a.Addr().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", b[3], b[2], b[1], b[0], a.Port())
}
