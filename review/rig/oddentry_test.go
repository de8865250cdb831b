//go:build review

package rig

import (
	"fmt"
	"time"
)

func init() { cases["oddentry"] = oddEntry }

// drainTime is drainMs of the settings.
const drainTime = 2000 * time.Millisecond

// oddEntry drains a server after another writer has put an entry of the kind servers into
// the store. With the disruption, that entry has a byte that cannot be read; without it,
// its spec is a text.
func oddEntry(r *rig, trouble bool) (broken bool, err error) {
	if err := r.startStore(); err != nil {
		return false, err
	}
	for i := range 8 {
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
	r.sleep(4 * time.Second)
	l := r.startLoad(r.gateways, "GET", "/status/lot", 25*time.Millisecond, 800)
	r.sleep(2 * time.Second)
	spec := rawSpec(`"an entry of another writer"`)
	if trouble {
		spec = "\"an entry of another writer\x00\""
	}
	rev := r.store.put("servers", "i-other", spec)
	r.logf("another writer puts the entry i-other with the spec %q, revision %d", string(spec), rev)
	r.sleep(time.Second)
	x := r.servers[0]
	x.setState("draining")
	rev = x.beat()
	acknowledged := time.Now()
	r.logf("the store acknowledged that server %s is draining, revision %d", x.id, rev)
	r.sleep(12 * time.Second)
	close(l.stop)
	r.sleep(time.Second)
	before, late := 0, 0
	var last time.Duration
	for _, a := range x.arrived() {
		since := a.at.Sub(acknowledged)
		if since <= drainTime {
			before++
			continue
		}
		late, last = late+1, since
		l.mu.Lock()
		r.logf("server %s runs request %s, sent to %s, %.3f s after its draining was acknowledged", x.id, a.id, l.via[a.id], since.Seconds())
		l.mu.Unlock()
	}
	r.logf("server %s ran %d requests up to 2 s after the acknowledgement, and %d later, the last one %.3f s after it", x.id, before, late, last.Seconds())
	r.logf("answers by status: %v", l.status)
	return late > 0, nil
}
