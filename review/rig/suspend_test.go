//go:build review

package rig

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["suspend"] = suspend }

const (
	applyTime = 2000 * time.Millisecond
	// suspended is for how long the machine is suspended.
	suspended = 5 * time.Second
)

// suspend restarts one of 14 entry hosts as planned and adds a route meanwhile. It asks all
// other hosts for the route. With the disruption, one further host is suspended for 5 s.
func suspend(r *rig, trouble bool) (broken bool, err error) {
	if err := r.startStore(); err != nil {
		return false, err
	}
	var hosts []hostSpec
	for z, n := range []int{6, 5, 3} {
		zone := "lj-" + string(rune('a'+z))
		for i := range n {
			hosts = append(hosts, hostSpec{fmt.Sprintf("edge-%s-%d", zone, i+1), zone, fmt.Sprintf("127.0.%d.%d", z+1, 10+i)})
		}
		for i := range 4 {
			service := []string{"narocila", "vzorci"}[i%2]
			s, err := r.startServer(fmt.Sprintf("i-%s-%d", zone, i), service, zone, 2, 20*time.Millisecond)
			if err != nil {
				return false, err
			}
			s.beat()
		}
	}
	routes := []route{{"r-status", "/status/", "idempotent", "narocila", 800, 300}, {"r-pattern", "/pattern/", "idempotent", "vzorci", 1500, 600}}
	r.putConfig(7, routes)
	if err := r.startGateways(hosts); err != nil {
		return false, err
	}
	if err := r.launch(); err != nil {
		return false, err
	}
	r.sleep(6 * time.Second)
	// The relay of lj-a is restarted, while the host that takes over from it is suspended.
	relay, next := r.gateway("edge-lj-a-3"), r.gateway("edge-lj-a-4")
	stopped := map[string]bool{relay.name: true, next.name: true}
	if trouble {
		_ = next.signal(syscall.SIGSTOP)
		r.logf("%s is suspended", next.name)
	}
	begin := time.Now()
	r.sleep(300 * time.Millisecond)
	_ = relay.signal(syscall.SIGTERM)
	r.logf("planned stop of %s", relay.name)
	r.sleep(300 * time.Millisecond)
	r.putConfig(10, append(routes, route{"r-new", "/new/", "idempotent", "narocila", 800, 300}))
	acknowledged := time.Now()
	var mu sync.Mutex
	var group sync.WaitGroup
	for k, g := range r.gateways {
		if stopped[g.name] {
			continue
		}
		group.Go(func() {
			answers := map[int]int{}
			lateCount, last := 0, time.Duration(0)
			for n := 0; time.Since(begin) < suspended; n++ {
				r.sleep(200 * time.Millisecond)
				since := time.Since(acknowledged)
				a := call(g.front, head("GET", "/new/x", fmt.Sprintf("%04x%012x", k, n), 800)+"\r\n", 800*time.Millisecond)
				answers[a.status]++
				if a.status != 404 {
					continue
				}
				last = since
				if since > applyTime {
					lateCount++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			broken = broken || lateCount > 0
			r.logf("%s: answers on the new route by status %v; the last 404 to a request sent %.3f s after the acknowledgement; %d of them to requests sent more than 2 s after it", g.name, answers, last.Seconds(), lateCount)
		})
	}
	group.Wait()
	if trouble {
		_ = next.signal(syscall.SIGCONT)
		r.logf("%s goes on", next.name)
	}
	return broken, nil
}
