package wagplacement

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a mechanism that can be disabled without any effect, so that
// comparing runs with and without it measures nothing.
func TestWithout(t *testing.T) {
	const slots = 6
	tests := map[Mechanism]func(g *group) any{
		MechanismReports: func(g *group) any {
			g.slowness["s0"] = 5
			return g.granted[g.submit(nil)]
		},
		MechanismPace: func(g *group) any {
			id := g.submit(nil)
			g.advance(3 * testServiceTime)
			g.finish(id, FaultNone)
			return g.scheduler.servers[g.granted[id]].baseSlowness(g.now)
		},
		MechanismExclusion: func(g *group) any {
			id := g.submit(nil)
			g.finish(id, FaultBroken)
			return g.scheduler.servers[g.granted[id]].isUsable(g.now)
		},
		MechanismStuck: func(g *group) any {
			id := g.submit(nil)
			g.advance(6 * testServiceTime)
			return g.scheduler.servers[g.granted[id]].stuckCount
		},
		MechanismKnee: func(g *group) any { return g.scheduler.concurrencyLimit(g.scheduler.servers["s0"]) },
		MechanismHedge: func(g *group) any {
			r := g.request()
			w := &waiter{Request: r, route: g.scheduler.routes["status"]}
			return g.scheduler.hedgeDelay(g.now, w, &grant{slowness: 1})
		},
		MechanismQueue: func(g *group) any {
			for range 2*slots + 1 {
				g.submit(nil)
			}
			return len(g.refused)
		},
		MechanismOrder: func(g *group) any {
			for range 2 * slots {
				g.submit(nil)
			}
			g.submit(func(r *Request) { r.Rank = 2 })
			first := g.submit(func(r *Request) { r.Rank = 0 })
			for id := range g.granted {
				g.finish(id, FaultNone)
				break
			}
			_, ok := g.granted[first]
			return ok
		},
	}
	for _, m := range Mechanisms() {
		t.Run(string(m), func(t *testing.T) {
			is := is.New(t)
			with, without := newGroup(2, slots), newGroup(2, slots, WithoutMechanism(m))
			is.True(tests[m](with) != tests[m](without))
		})
	}
}
