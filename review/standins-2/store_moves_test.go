//go:build review2

package standins2

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["10"] = storeMoves }

// gate is a listener whose connections can be closed together with it.
type gate struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

// Accept accepts a connection and remembers it.
func (g *gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err == nil {
		g.mu.Lock()
		g.conns = append(g.conns, c)
		g.mu.Unlock()
	}
	return c, err
}

func (g *gate) shut() {
	_ = g.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		_ = c.Close()
	}
}

// setStoreAddress changes the address of the store in the settings file of a host.
func (h *host) setStoreAddress(address string) {
	text, err := os.ReadFile(h.config)
	var settings map[string]any
	if err == nil {
		err = json.Unmarshal(text, &settings)
	}
	if err == nil {
		settings["provider"].(map[string]any)["addr"] = address
		text, err = json.Marshal(settings)
	}
	if err == nil {
		err = os.WriteFile(h.config+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(h.config+".new", h.config)
	}
	if err != nil {
		panic(err)
	}
}

// storeMoves gives the store another address, by the settings and SIGHUP, and then changes
// the configuration.
func storeMoves(s *site) (broken bool) {
	const (
		configApply = 2 * time.Second
		both        = 15 * time.Second
	)
	work := func(string) time.Duration { return 76 * time.Millisecond }
	for n := range 4 {
		s.addServer("i-0000000"+string(rune('a'+n)), "huvo11a", "lj-a", 2, work)
	}
	for n := range 4 {
		s.addServer("i-0000001"+string(rune('a'+n)), "wuno96b", "lj-a", 2, work)
	}
	config := func(version, service string) map[string]any {
		c := zalnaConfig(version)
		c["services"] = append(c["services"].([]any), map[string]any{"name": "wuno96b", "healthPath": "/healthz", "maxConns": 220, "protocol": "h1", "tls": false})
		c["vhosts"] = []any{map[string]any{"host": "ficu95.example", "pathRules": []any{
			map[string]any{"name": "r-stock", "pathPrefix": "/lohu930/", "routeType": "idempotent", "timeoutMs": 800, "goalMs": 300, "priority": 2, "service": service, "attempts": 2},
		}}}
		return c
	}
	s.store.put("config", "main", config("00000007", "huvo11a"))
	// The store answers at two addresses; the settings name the first one.
	first, second := &gate{Listener: listen()}, listen()
	background.Go(func() { _ = http.Serve(first, s.store) })
	background.Go(func() { _ = http.Serve(second, s.store) })
	s.store.address = first.Addr().String()
	s.addHosts("lj-a", 5)
	for _, h := range s.hosts {
		h.launch()
	}
	s.awaitReady()
	time.Sleep(4 * time.Second) // stableMs
	if s.trouble {
		s.logf("the settings of all hosts name the second address of the store; SIGHUP to 3 of 5")
		for n, h := range s.hosts {
			h.setStoreAddress(second.Addr().String())
			if n < 3 {
				h.signal(syscall.SIGHUP)
			}
		}
	}
	time.Sleep(both)
	if s.trouble {
		s.logf("the store no longer answers at its first address")
		first.shut()
	}
	time.Sleep(4 * time.Second)
	s.store.put("config", "main", config("0000000b", "wuno96b"))
	s.logf("version 0000000b is acknowledged: the route goes to wuno96b")
	time.Sleep(configApply + 500*time.Millisecond)
	var calls []*call
	for n := range 60 {
		c, err := s.dial(s.hosts[n%len(s.hosts)])
		if err != nil {
			panic(err)
		}
		q := c.begin(http.MethodGet, "/lohu930/2f", "", 800*time.Millisecond)
		c.finish(q)
		_ = c.conn.Close()
		calls = append(calls, q)
		s.logCall(q)
		time.Sleep(100 * time.Millisecond)
	}
	s.logServers()
	sent := make(map[string]bool)
	for _, q := range calls {
		sent[q.id] = true
	}
	old, current := 0, 0
	for _, x := range s.servers {
		for _, a := range x.received() {
			switch {
			case !sent[a.id] || !a.ran:
			case x.service == "huvo11a":
				old++
			default:
				current++
			}
		}
	}
	s.logf("of %d requests sent later than configApplyMs after the acknowledgement, %d ran at the old service and %d at the new one", len(calls), old, current)
	return old > 0
}
