//go:build review

package rig

import (
	"fmt"
	"time"
)

func init() { cases["latebeat"] = lateBeat }

const (
	// rounds is the number of servers that drain, one after the other.
	rounds = 3
	// heartbeat is heartbeatMs of the settings.
	heartbeat = 1500 * time.Millisecond
	// lateBy is how late the store executes the write whose answer was lost: 1 to 6 s are
	// allowed.
	lateBy = 5500 * time.Millisecond
)

// lateBeat drains a server 3.4 s after the store has lost the answer to one of its
// beats. With the disruption, the store executes that beat 5.5 s after it was sent;
// without it, at once.
func lateBeat(r *rig, trouble bool) (broken bool, err error) {
	if err := r.startStore(); err != nil {
		return false, err
	}
	for i := range 8 + rounds {
		s, err := r.startServer(fmt.Sprintf("i-%04d", i), "narocila", "lj-a", 2, 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		s.beat()
	}
	r.putConfig(7, []route{{"r-status", "/status/", "idempotent", "narocila", 800, 300}})
	if err := r.startGateways([]hostSpec{{"edge-lj-a-1", "lj-a", "127.0.0.11"}, {"edge-lj-a-2", "lj-a", "127.0.0.12"}, {"edge-lj-a-3", "lj-a", "127.0.0.13"}}); err != nil {
		return false, err
	}
	if err := r.launch(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	for i, s := range r.servers[rounds:] {
		r.group.Go(func() error {
			r.sleep(heartbeat * time.Duration(i) / 8)
			for {
				select {
				case <-stop:
					return nil
				case <-r.ctx.Done():
					return nil
				case <-time.After(heartbeat):
				}
				s.beat()
			}
		})
	}
	r.sleep(4 * time.Second)
	l := r.startLoad(r.gateways, "GET", "/status/lot", 15*time.Millisecond, 800)
	for round := range rounds {
		x := r.servers[round]
		x.beat()
		r.logf("round %d: server %s sends a beat (ready, seq %d); acknowledged", round, x.id, x.seq)
		r.sleep(heartbeat)
		entry := x.entry()
		sent := time.Now()
		if trouble {
			r.logf("server %s sends a beat (ready, seq %d); the store does not answer", x.id, x.seq)
		} else {
			r.store.put("servers", x.id, entry)
			r.logf("server %s sends a beat (ready, seq %d); acknowledged", x.id, x.seq)
		}
		r.sleep(heartbeat)
		x.beat()
		r.logf("server %s sends a beat (ready, seq %d); acknowledged", x.id, x.seq)
		r.sleep(time.Until(sent.Add(3400 * time.Millisecond)))
		x.setState("draining")
		x.beat()
		acknowledged := time.Now()
		r.logf("server %s sends a beat (draining, seq %d); acknowledged", x.id, x.seq)
		r.sleep(heartbeat)
		x.beat()
		r.logf("server %s sends a beat (draining, seq %d); acknowledged", x.id, x.seq)
		r.sleep(time.Until(sent.Add(lateBy)))
		if trouble {
			r.store.put("servers", x.id, entry)
			r.logf("the store executes the beat that it did not answer")
		}
		r.sleep(time.Until(acknowledged.Add(2 * heartbeat)))
		x.beat()
		r.logf("server %s sends a beat (draining, seq %d); acknowledged", x.id, x.seq)
		r.sleep(2 * heartbeat)
		n := 0
		for _, a := range x.arrived() {
			if late := a.at.Sub(acknowledged); late > drainTime {
				n++
				l.mu.Lock()
				r.logf("server %s runs request %s, sent to %s, %.3f s after its draining was acknowledged", x.id, a.id, l.via[a.id], late.Seconds())
				l.mu.Unlock()
			}
		}
		r.logf("round %d: %d requests reached server %s more than 2 s after the acknowledgement", round, n, x.id)
		broken = broken || n > 0
	}
	close(stop)
	close(l.stop)
	r.sleep(time.Second)
	r.logf("answers by status: %v", l.status)
	return broken, nil
}
