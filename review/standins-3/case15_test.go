//go:build review

package standins

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["15"] = entryCutShort }

// entryCutShort lets another writer leave one entry among the servers whose bytes are cut short.
// Then a server says that it is leaving.
func entryCutShort(s *site) (held bool, err error) {
	if s.store, err = newStore(); err != nil {
		return false, err
	}
	s.bounds, s.zones = smallBounds(), []string{"lj-a", "lj-b"}
	servers := make(map[string]*server)
	for _, zone := range s.zones {
		for n := range 2 {
			x, err := newServer(s.record, fmt.Sprintf("i-%s-%d", zone, n), "narocila", zone, 2, 20*time.Millisecond)
			if err != nil {
				return false, err
			}
			servers[x.id] = x
			s.store.write("servers", x.id, x.entry("ready"))
		}
	}
	s.store.write("config", "main", configuration(1, []string{"narocila"},
		rule("band-order", "/order/", "non_idempotent", "narocila", time.Second, 300*time.Millisecond, 2)))
	if err := s.addHosts("lj-a", "lj-a", "lj-b"); err != nil {
		return false, err
	}
	// In touch: nothing happens for stableMs.
	s.waitUntil(time.Now().Add(4 * time.Second))
	if s.trouble {
		s.store.writeRaw("servers", "i-odd", json.RawMessage(`{"addr":"127.0.0.1:9","born":1790000000000,"nodeInfo":{"service":"naro`))
		s.record.add("trouble", "another writer leaves the entry i-odd, whose bytes are cut short")
		odd := time.Now().Add(3 * heartbeat)
		background.Go(func() error {
			s.waitUntil(odd)
			s.record.add("store", "the entry i-odd is removed after three heartbeats, at revision %d", s.store.remove("servers", "i-odd"))
			return nil
		})
	}
	s.waitUntil(time.Now().Add(time.Second))
	old := servers["i-lj-a-0"]
	s.record.add("store", "server %s says that it is draining, acknowledged at revision %d", old.id, s.store.write("servers", old.id, old.entry("draining")))
	acknowledged := time.Now()
	sent, late := 0, 0
	for t := drainTime + 500*time.Millisecond; t <= 6*time.Second; t += 100 * time.Millisecond {
		s.waitUntil(acknowledged.Add(t))
		for _, h := range s.hosts {
			sent++
			id := fmt.Sprintf("%016x", sent)
			s.call(h, "POST", "/order/1", id, time.Second, "an order")
			for _, server := range s.record.serversOf(id) {
				if server == old.id {
					late++
				}
			}
		}
	}
	s.record.add("check", "%d of %d requests reached server %s later than drainMs after the acknowledgement", late, sent, old.id)
	return late == 0, nil
}
