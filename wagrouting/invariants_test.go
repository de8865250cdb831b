package wagrouting

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

// Guards against broken counts in any order of events, for every policy.
func TestInvariants(t *testing.T) {
	all := []Policy{GroupOwner{}, SlotShares{}, Random{}, RoundRobin{}, LeastOutstanding{}, TwoChoices{}, TwoChoicesReports{}}
	for _, p := range all {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%T-%d", p, seed), func(t *testing.T) { randomRun(t, p, seed) })
		}
	}
}

func randomRun(t *testing.T, p Policy, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	c := group(t, 5, "[limits]\nqueue = 20\n", WithPolicy(p), WithSeed(seed))
	for i := range 5 {
		c.AddLeasedSlots(start, address(i), 2, nil)
	}
	flying := make(map[RequestID]bool)
	now := start
	note := func(id RequestID, d Decision) {
		if _, ok := d.(Send); ok {
			flying[id] = true
		}
	}
	for id := RequestID(1); id < 2000; id++ {
		now = now.Add(time.Duration(r.IntN(5000)) * time.Microsecond)
		note(id, c.Submit(now, Request{ID: id, Caller: fmt.Sprint(r.IntN(3)), Route: fmt.Sprint(r.IntN(2)), Class: wagdocument.Class(r.IntN(3)), Deadline: now.Add(time.Duration(r.IntN(300)) * time.Millisecond), Priority: r.IntN(3)}))
		for f := range flying {
			if r.IntN(12) != 0 {
				continue
			}
			delete(flying, f)
			x := Result{Fault: Fault(r.IntN(6) * r.IntN(2)), HasLoad: r.IntN(2) == 0, Load: Load{InFlight: r.IntN(4), Slots: r.IntN(4), Draining: r.IntN(50) == 0}}
			for _, s := range c.FinishAttempt(now, f, x, nil) {
				note(s.Request, s.Decision)
			}
		}
		if r.IntN(20) == 0 {
			c.Cancel(id)
		}
		if r.IntN(100) == 0 {
			l := list(r.IntN(6))
			for i := range l {
				l[i].Started = now
			}
			c.SetServers(now, l)
		}
		for _, s := range c.Tick(now, nil) {
			note(s.Request, s.Decision)
		}
		checkTotals(t, c, len(flying))
	}
}

func checkTotals(t *testing.T, c *Scheduler, flying int) {
	t.Helper()
	inFlight, long := 0, 0
	for _, s := range c.servers {
		inFlight += s.inFlight
		long += s.long
	}
	if inFlight != flying || inFlight != c.inFlight || long != c.long || len(c.sent) != flying {
		t.Fatalf("in flight %d, %d, %d, expected %d; long %d, %d", inFlight, c.inFlight, len(c.sent), flying, long, c.long)
	}
	if n := c.Counters().Violations; n > 0 {
		t.Fatalf("%d violations", n)
	}
}

// benchmarkDecision measures one Submit and one Finished together, with slots
// in use as a share of all; above 1 the rest waits in the queue.
func benchmarkDecision(b *testing.B, servers int, load float64) {
	c := group(b, servers, "[limits]\nqueue = 100000\n", WithDataCentre("a"))
	now := start
	var flying []RequestID
	var starts []DelayedDecision
	free := Summary{Slots: 1, HealthyServers: 1, ExpectedWait: time.Hour}
	callers := make([]string, 100)
	for i := range callers {
		callers[i] = fmt.Sprint("caller", i)
	}
	step := func(i int) {
		now = now.Add(10 * time.Microsecond)
		if i%10000 == 0 {
			c.SetRemoteSummary(now, "b", free)
		}
		x := Request{ID: RequestID(i + 1), Caller: callers[i%len(callers)], Route: "r", Deadline: now.Add(time.Hour)}
		if _, ok := c.Submit(now, x).(Send); ok {
			flying = append(flying, x.ID)
		}
		if float64(i) < load*float64(2*servers) || len(flying) == 0 {
			return
		}
		starts = c.FinishAttempt(now, flying[0], Result{}, starts[:0])
		flying[0] = flying[len(flying)-1]
		flying = flying[:len(flying)-1]
		for _, s := range starts {
			flying = append(flying, s.Request)
		}
	}
	warm := 20 * servers
	for i := range warm {
		step(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		step(warm + i)
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{20, 200, 2000} {
		for _, load := range []float64{0.7, 1.5} {
			b.Run(fmt.Sprintf("servers=%d/load=%g", servers, load), func(b *testing.B) { benchmarkDecision(b, servers, load) })
		}
	}
}
