//go:build review

package standins

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["13"] = ownerSuspendedWhileServersLeave }

const (
	// freezeTime is how long a host is suspended, and restTime how long nothing happens then.
	freezeTime = 2600 * time.Millisecond
	restTime   = 3200 * time.Millisecond
	// maxRounds bounds the repetitions.
	maxRounds = 14
	// enough ends the case early: the rule is broken by the first late request.
	enough = 10
	// arrivalSlack is left for a request on its way when drainMs ends.
	arrivalSlack = 50 * time.Millisecond
)

// ownerSuspendedWhileServersLeave suspends one host of each data centre while servers say that
// they are draining, and goes on. Clients use the other hosts only.
func ownerSuspendedWhileServersLeave(s *site) (held bool, err error) {
	if s.store, err = newStore(); err != nil {
		return false, err
	}
	s.record.quiet = true
	s.bounds, s.zones = smallBounds(), []string{"lj-a", "lj-b", "lj-c"}
	var services []string
	var rules []map[string]any
	for i := range 8 {
		name := fmt.Sprintf("service-%d", i)
		services = append(services, name)
		rules = append(rules, rule(name, "/"+name+"/", "idempotent", name, 800*time.Millisecond, 300*time.Millisecond, 2))
	}
	type group struct{ service, zone string }
	serving := make(map[group][]*server)
	started := 0
	addServer := func(g group) error {
		started++
		x, err := newServer(s.record, fmt.Sprintf("i-%s-%s-%d", g.service, g.zone, started), g.service, g.zone, 2, 3*time.Millisecond)
		if err != nil {
			return err
		}
		s.store.write("servers", x.id, x.entry("ready"))
		serving[g] = append(serving[g], x)
		return nil
	}
	for _, service := range services {
		for _, zone := range s.zones {
			for range 3 {
				if err := addServer(group{service, zone}); err != nil {
					return false, err
				}
			}
		}
	}
	s.store.write("config", "main", configuration(1, services, rules...))
	if err := s.addHosts("lj-a", "lj-a", "lj-a", "lj-b", "lj-b", "lj-b", "lj-c", "lj-c", "lj-c"); err != nil {
		return false, err
	}
	// The host of each data centre that grants servers for most services is suspended later.
	for n := range 30 {
		for i, service := range services {
			for _, h := range s.hosts {
				s.quietCall(h, "GET", "/"+service+"/1", fmt.Sprintf("first-%d-%d-%s", n, i, h.name), 800*time.Millisecond, "")
			}
		}
	}
	suspended, err := s.grantingHosts()
	if err != nil {
		return false, err
	}
	s.waitUntil(time.Now().Add(4 * time.Second))

	var mu sync.Mutex
	drainingSince := make(map[string]time.Time)
	var sent, late atomic.Int64
	var stop atomic.Bool
	var clients sync.WaitGroup
	for _, h := range s.hosts {
		if suspended[h.zone] == h {
			continue
		}
		for _, service := range services {
			clients.Add(1)
			background.Go(func() error {
				defer clients.Done()
				for !stop.Load() && s.ctx.Err() == nil {
					id := fmt.Sprintf("%016x", sent.Add(1))
					sentAt := time.Now()
					a := s.quietCall(h, "GET", "/"+service+"/1", id, 800*time.Millisecond, "")
					for _, x := range s.record.serversOf(id) {
						mu.Lock()
						since, ok := drainingSince[x]
						mu.Unlock()
						if ok && sentAt.Sub(since) > drainTime+arrivalSlack {
							late.Add(1)
							s.record.add("late", "request %s, sent to %s %.3f s after the acknowledgement, was run by %s; answer: %s", id, h.name, sentAt.Sub(since).Seconds(), x, a)
						}
					}
					time.Sleep(6 * time.Millisecond)
				}
				return nil
			})
		}
	}
	for round := 1; round <= maxRounds && late.Load() < enough && s.ctx.Err() == nil; round++ {
		if s.trouble {
			for _, zone := range s.zones {
				suspended[zone].signal(syscall.SIGSTOP)
				s.record.add("trouble", "round %d: %s is suspended", round, suspended[zone].name)
			}
		}
		begun := time.Now()
		s.waitUntil(begun.Add(100 * time.Millisecond))
		for g, list := range serving {
			x := list[0]
			serving[g] = list[1:]
			s.store.write("servers", x.id, x.entry("draining"))
			mu.Lock()
			drainingSince[x.id] = time.Now()
			mu.Unlock()
			if err := addServer(g); err != nil {
				return false, err
			}
		}
		s.record.add("store", "round %d: a server of each service and data centre says that it is draining, and another one registers", round)
		s.waitUntil(begun.Add(freezeTime))
		if s.trouble {
			for _, zone := range s.zones {
				suspended[zone].signal(syscall.SIGCONT)
			}
			s.record.add("trouble", "round %d: the suspended hosts go on", round)
		}
		s.waitUntil(time.Now().Add(restTime))
	}
	stop.Store(true)
	clients.Wait()
	s.record.add("check", "%d of %d requests reached a server later than drainMs after it said that it was draining", late.Load(), sent.Load())
	return late.Load() == 0, nil
}

// grantingHosts returns, by data centre, the host that has granted servers for most services, by
// the lines in the logs.
func (s *site) grantingHosts() (map[string]*host, error) {
	best, most := make(map[string]*host), make(map[string]int)
	for _, h := range s.hosts {
		text, err := os.ReadFile(filepath.Join(s.dir, h.name+".log"))
		if err != nil {
			return nil, err
		}
		services := make(map[string]int)
		for line := range strings.SplitSeq(string(text), "\n") {
			if _, rest, ok := strings.Cut(line, `"service":"`); ok && strings.Contains(line, `"msg":"grant"`) {
				name, _, _ := strings.Cut(rest, `"`)
				services[name]++
			}
		}
		n := 0
		for _, count := range services {
			if count >= 20 {
				n++
			}
		}
		s.record.add("host", "%s grants servers for %d services", h.name, n)
		if best[h.zone] == nil || n > most[h.zone] {
			best[h.zone], most[h.zone] = h, n
		}
	}
	return best, nil
}
