//go:build review

package rig

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["smuggle"] = smuggle }

// smuggle sends status checks with a body on kept connections. With the disruption, the
// body of each is the text of a request; without it, a text of the same length.
func smuggle(r *rig, trouble bool) (broken bool, err error) {
	if err := r.startStore(); err != nil {
		return false, err
	}
	for i := range 4 {
		s, err := r.startServer(fmt.Sprintf("i-%04d", i), "narocila", "lj-a", 2, 40*time.Millisecond)
		if err != nil {
			return false, err
		}
		s.beat()
	}
	r.putConfig(7, []route{{"r-status", "/status/", "idempotent", "narocila", 800, 300}, {"r-order", "/order/", "non_idempotent", "narocila", 1000, 300}})
	if err := r.startGateways([]hostSpec{{"edge-lj-a-1", "lj-a", "127.0.0.11"}, {"edge-lj-a-2", "lj-a", "127.0.0.12"}}); err != nil {
		return false, err
	}
	if err := r.launch(); err != nil {
		return false, err
	}
	r.sleep(2 * time.Second)
	sent := map[string]bool{}
	for i := range 20 {
		g := r.gateways[i%len(r.gateways)]
		id := fmt.Sprintf("c0%014d", i)
		sent[id] = true
		body := head("GET", "/status/of-nobody", fmt.Sprintf("bad0%012d", i), 800) + "\r\n"
		if !trouble {
			body = strings.Repeat("x", len(body))
		}
		request := head("GET", "/status/lot", id, 800, "Connection: keep-alive", fmt.Sprintf("Content-Length: %d", len(body))) + "\r\n" + body
		a := call(g.front, request, 2*time.Second)
		r.logf("sent %s at %s with a body of %d bytes; answered %d for %s, error %v", id, g.name, len(body), a.status, a.id, a.err)
		if a.err != nil || a.status != 200 {
			r.logf("the request itself was not served")
		}
		r.sleep(50 * time.Millisecond)
	}
	r.sleep(time.Second)
	for _, s := range r.servers {
		for _, a := range s.arrived() {
			unasked := !sent[a.id]
			broken = broken || unasked
			r.logf("server %s ran %s %s, id %s, body of %d bytes, sent by a client: %v", a.server, a.method, a.target, a.id, len(a.body), !unasked)
		}
	}
	return broken, nil
}
