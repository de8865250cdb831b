//go:build review

package standins

import (
	"fmt"
	"time"
)

func init() { cases["11"] = storeComesBackFromCopy }

// Times of the case, from the moment at which all hosts are ready. The bounds are those of
// zalna-nit.
const (
	copiedAt   = 3 * time.Second
	awayAt     = 7 * time.Second
	backAt     = 8 * time.Second
	heartbeat  = 1500 * time.Millisecond
	stable     = 3 * time.Second
	changedAt  = 14 * time.Second
	applyTime  = 2 * time.Second
	drainTime  = 2 * time.Second
	lastSentAt = 24 * time.Second
)

// storeComesBackFromCopy plays a drill: the store is away for a second and comes back from a
// copy that is 4 s old. The operator and the servers write again what they wrote. Six seconds
// later the operator moves a route to another service.
func storeComesBackFromCopy(s *site) (held bool, err error) {
	if s.store, err = newStore(); err != nil {
		return false, err
	}
	s.bounds, s.zones = smallBounds(), []string{"lj-a", "lj-b", "lj-c"}
	services := []string{"narocila", "vzorci"}
	servers := make(map[string]*server)
	addServer := func(id, service, zone string) error {
		x, err := newServer(s.record, id, service, zone, 2, 20*time.Millisecond)
		if err != nil {
			return err
		}
		servers[id] = x
		s.record.add("store", "server %s registers at revision %d", id, s.store.write("servers", id, x.entry("ready")))
		return nil
	}
	for _, service := range services {
		for _, zone := range s.zones {
			for n := range 2 {
				if err := addServer(fmt.Sprintf("i-%s-%s-%d", service, zone, n), service, zone); err != nil {
					return false, err
				}
			}
		}
	}
	// Each version holds the routes of the one before and a further one. The route /stock/
	// moves to the other service with the last version.
	config := func(version int) map[string]any {
		service := "narocila"
		if version == 4 {
			service = "vzorci"
		}
		rules := []map[string]any{rule("stock", "/stock/", "idempotent", service, 800*time.Millisecond, 300*time.Millisecond, 2)}
		for n := 2; n <= min(version, 3); n++ {
			rules = append(rules, rule(fmt.Sprintf("added-%d", n), fmt.Sprintf("/added-%d/", n), "idempotent", "narocila", 800*time.Millisecond, 300*time.Millisecond, 2))
		}
		return configuration(version, services, rules...)
	}
	configure := func(version int) {
		s.record.add("store", "the operator writes version %d, acknowledged at revision %d", version, s.store.write("config", "main", config(version)))
	}
	configure(1)
	if err := s.addHosts("lj-a", "lj-a", "lj-b", "lj-c"); err != nil {
		return false, err
	}
	start := time.Now()
	at := func(t time.Duration) { s.waitUntil(start.Add(t)) }
	sent := 0
	// check sends one request to each host and returns how many were run by each service.
	check := func() map[string]int {
		counts := make(map[string]int)
		for _, h := range s.hosts {
			sent++
			id := fmt.Sprintf("%016x", sent)
			s.call(h, "GET", "/stock/1", id, 800*time.Millisecond, "")
			for _, service := range s.record.runsOf(id) {
				counts[service]++
			}
		}
		return counts
	}
	at(2 * time.Second)
	s.record.add("check", "runs under version 1 by service: %v", check())

	at(copiedAt)
	copied := s.store.copy()
	s.record.add("store", "the copy is made at revision %d", copied.revision)
	// A server is replaced, and the operator changes the configuration twice.
	if err := addServer("i-new", "narocila", "lj-a"); err != nil {
		return false, err
	}
	at(copiedAt + 500*time.Millisecond)
	configure(2)
	old := servers["i-narocila-lj-a-0"]
	s.record.add("store", "server %s says that it is draining, at revision %d", old.id, s.store.write("servers", old.id, old.entry("draining")))
	at(copiedAt + 500*time.Millisecond + drainTime + 500*time.Millisecond)
	s.record.add("store", "server %s has left, its entry is removed at revision %d", old.id, s.store.remove("servers", old.id))
	_ = old.http.Close()
	at(awayAt - 500*time.Millisecond)
	configure(3)

	at(awayAt)
	if s.trouble {
		s.store.leave()
		s.record.add("trouble", "the store is away")
		at(backAt)
		s.store.comeBack(copied)
		s.record.add("trouble", "the store is back from the copy, at revision %d with Store-Era 2", copied.revision)
		// What was written since the copy is written again, in the same order.
		s.record.add("store", "server i-new registers again at revision %d", s.store.write("servers", "i-new", servers["i-new"].entry("ready")))
		configure(2)
		configure(3)
		// The server that has left writes nothing any more.
		at(backAt + 3*heartbeat)
		s.record.add("store", "the entry of %s is removed after three heartbeats of silence, at revision %d", old.id, s.store.remove("servers", old.id))
	}
	at(changedAt)
	configure(4)
	acknowledged := time.Now()
	s.record.add("check", "runs right after version 4 by service: %v", check())
	stale, total := 0, 0
	for t := changedAt + applyTime + 500*time.Millisecond; t <= lastSentAt; t += 500 * time.Millisecond {
		at(t)
		counts := check()
		s.record.add("check", "%.1f s after the acknowledgement of version 4, runs by service: %v", time.Since(acknowledged).Seconds(), counts)
		stale += counts["narocila"]
		total += counts["narocila"] + counts["vzorci"]
	}
	s.record.add("check", "%d of %d requests that were sent later than configApplyMs after the acknowledgement ran at the former service", stale, total)
	if total == 0 {
		return false, fmt.Errorf("no request was run")
	}
	return stale == 0, nil
}
