//go:build review

package standins

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["large-storm"] = stormOfLargeConfigurations }

const (
	// addedRoutes is how many routes the configuration has beside the one that moves, and
	// otherServices how many services beside those with servers.
	addedRoutes, otherServices = 1400, 14
	// stormChanges is how many changes the storm has, one each stormGap.
	stormChanges = 25
	stormGap     = 60 * time.Millisecond
	// freezeRest is how much longer than the storm the host is suspended.
	freezeRest = 500 * time.Millisecond
	// valueBytes bounds an object of the store.
	valueBytes = 1_048_576
)

// stormOfLargeConfigurations changes a configuration of about 1 MB in
// quick succession, while the host is suspended that follows the store. The last change moves a
// route to another service.
func stormOfLargeConfigurations(s *site) (held bool, err error) {
	if s.store, err = newStore(); err != nil {
		return false, err
	}
	s.bounds, s.zones = smallBounds(), []string{"lj-a", "lj-b", "lj-c"}
	services := []string{"narocila", "vzorci"}
	for _, service := range services {
		for _, zone := range s.zones {
			for n := range 2 {
				x, err := newServer(s.record, fmt.Sprintf("i-%s-%s-%d", service, zone, n), service, zone, 2, 20*time.Millisecond)
				if err != nil {
					return false, err
				}
				s.store.write("servers", x.id, x.entry("ready"))
			}
		}
	}
	for n := range otherServices {
		services = append(services, fmt.Sprintf("storitev%02d", n))
	}
	const lastVersion = 1 + stormChanges
	config := func(version int) map[string]any {
		service := "narocila"
		if version == lastVersion {
			service = "vzorci"
		}
		rules := []map[string]any{rule("stock", "/stock/", "idempotent", service, 800*time.Millisecond, 300*time.Millisecond, 2)}
		for n := range addedRoutes {
			r := rule(fmt.Sprintf("added-%d", n), fmt.Sprintf("/added-%d-%d/", n, version), "idempotent", "", 800*time.Millisecond, 300*time.Millisecond, 2)
			delete(r, "service")
			var split []map[string]any
			for _, name := range services {
				split = append(split, map[string]any{"service": name, "weight": 10})
			}
			r["trafficSplit"] = split
			rules = append(rules, r)
		}
		return configuration(version, services, rules...)
	}
	configs := make(map[int]map[string]any)
	for version := 1; version <= lastVersion; version++ {
		configs[version] = config(version)
	}
	configure := func(version int) error {
		revision, bytes := s.store.writeSized("config", "main", configs[version])
		s.record.add("store", "the operator writes version %d, %d bytes, acknowledged at revision %d", version, bytes, revision)
		if bytes > valueBytes {
			return fmt.Errorf("the configuration has %d bytes", bytes)
		}
		return nil
	}
	if err := configure(1); err != nil {
		return false, err
	}
	if err := s.addHosts("lj-a", "lj-a", "lj-b", "lj-c"); err != nil {
		return false, err
	}
	// In touch: nothing happens for stableMs.
	s.waitUntil(time.Now().Add(5 * time.Second))
	frozen, err := s.follower()
	if err != nil {
		return false, err
	}
	first := lastVersion
	if s.trouble {
		first = 2
		frozen.signal(syscall.SIGSTOP)
		s.record.add("trouble", "%s, which follows the store, is suspended; a storm of %d changes begins", frozen.name, stormChanges)
	}
	next := time.Now()
	for version := first; version <= lastVersion; version++ {
		s.waitUntil(next)
		next = next.Add(stormGap)
		if err := configure(version); err != nil {
			return false, err
		}
	}
	acknowledged := time.Now()
	if s.trouble {
		s.waitUntil(acknowledged.Add(freezeRest))
		frozen.signal(syscall.SIGCONT)
		s.record.add("trouble", "%s goes on", frozen.name)
	}
	sent, stale, run := 0, 0, 0
	for t := applyTime + 500*time.Millisecond; t <= 26*time.Second; t += time.Second {
		s.waitUntil(acknowledged.Add(t))
		counts := make(map[string]int)
		for _, h := range s.hosts {
			if h == frozen {
				continue // it was not in touch
			}
			sent++
			id := fmt.Sprintf("%016x", sent)
			s.call(h, "GET", "/stock/1", id, 800*time.Millisecond, "")
			for _, service := range s.record.runsOf(id) {
				counts[service]++
			}
		}
		s.record.add("check", "%.1f s after the acknowledgement of version %d, runs by service: %v", time.Since(acknowledged).Seconds(), lastVersion, counts)
		stale += counts["narocila"]
		run += counts["narocila"] + counts["vzorci"]
	}
	s.record.add("check", "%d of %d requests that were sent later than configApplyMs after the acknowledgement ran at the former service", stale, run)
	if run == 0 {
		return false, fmt.Errorf("no request was run")
	}
	return stale == 0, nil
}

// follower returns the host that follows the store for the others, by its metrics.
func (s *site) follower() (*host, error) {
	client := &http.Client{Timeout: time.Second}
	for _, h := range s.hosts {
		resp, err := client.Get("http://" + h.ready + "/metrics")
		if err != nil {
			return nil, err
		}
		found := false
		for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
			found = found || !strings.HasPrefix(lines.Text(), "#") && strings.HasSuffix(lines.Text(), "site_follows_store 1")
		}
		_ = resp.Body.Close()
		if found {
			return h, nil
		}
	}
	return nil, fmt.Errorf("no host follows the store")
}
