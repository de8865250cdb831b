package wagrouting

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

// Guards against wrong counts after any order of events, for every policy.
func TestInvariants(t *testing.T) {
	all := []Policy{GroupOwner{}, SlotShares{}, Random{}, RoundRobin{}, LeastOutstanding{}, TwoChoices{}, TwoChoicesReports{}}
	for _, p := range all {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%T-%d", p, seed), func(t *testing.T) { runRandomEvents(t, p, seed) })
		}
	}
}

// runRandomEvents drives a scheduler with random events and checks its counts
// after each step.
func runRandomEvents(t *testing.T, p Policy, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	sc := newScheduler(t, 5, "[limits]\nqueue = 20\n", WithPolicy(p), WithSeed(seed))
	for i := range 5 {
		sc.AddLeasedSlots(start, address(i), 2, nil)
	}
	inFlight := make(map[RequestID]bool)
	now := start
	record := func(id RequestID, d Decision) {
		if _, ok := d.(Send); ok {
			inFlight[id] = true
		}
	}
	for id := RequestID(1); id < 2000; id++ {
		now = now.Add(time.Duration(r.IntN(5000)) * time.Microsecond)
		record(id, sc.Submit(now, Request{ID: id, Caller: fmt.Sprint(r.IntN(3)), Route: fmt.Sprint(r.IntN(2)), Class: wagdocument.Class(r.IntN(3)), Deadline: now.Add(time.Duration(r.IntN(300)) * time.Millisecond), Priority: r.IntN(3)}))
		for f := range inFlight {
			if r.IntN(12) != 0 {
				continue
			}
			delete(inFlight, f)
			result := Result{Fault: Fault(r.IntN(6) * r.IntN(2)), HasLoad: r.IntN(2) == 0, Load: Load{InFlight: r.IntN(4), Slots: r.IntN(4), Draining: r.IntN(50) == 0}}
			for _, s := range sc.FinishAttempt(now, f, result, nil) {
				record(s.Request, s.Decision)
			}
		}
		if r.IntN(20) == 0 {
			sc.Cancel(id)
		}
		if r.IntN(100) == 0 {
			servers := serverList(r.IntN(6))
			for i := range servers {
				servers[i].Started = now
			}
			sc.SetServers(now, servers)
		}
		for _, s := range sc.Tick(now, nil) {
			record(s.Request, s.Decision)
		}
		checkTotals(t, sc, len(inFlight))
	}
}

// checkTotals compares all counts of requests in flight with the wanted number.
func checkTotals(t *testing.T, sc *Scheduler, want int) {
	t.Helper()
	inFlight, longInFlight := 0, 0
	for _, s := range sc.servers {
		inFlight += s.inFlight
		longInFlight += s.longInFlight
	}
	if inFlight != want || inFlight != sc.inFlight || longInFlight != sc.longInFlight || len(sc.inFlightByID) != want {
		t.Fatalf("requests in flight: servers %d, scheduler %d, by ID %d, want %d; long: servers %d, scheduler %d", inFlight, sc.inFlight, len(sc.inFlightByID), want, longInFlight, sc.longInFlight)
	}
	if n := sc.Counters().Violations; n > 0 {
		t.Fatalf("%d invariants violated", n)
	}
}

// benchmarkDecision measures one Submit and one FinishAttempt together. load is
// the share of slots in use; above 1, the rest waits in the queue.
func benchmarkDecision(b *testing.B, servers int, load float64) {
	sc := newScheduler(b, servers, "[limits]\nqueue = 100000\n", WithDataCentre("a"))
	now := start
	var inFlight []RequestID
	var decisions []DelayedDecision
	free := Summary{Slots: 1, HealthyServers: 1, ExpectedWait: time.Hour}
	callers := make([]string, 100)
	for i := range callers {
		callers[i] = fmt.Sprint("caller", i)
	}
	step := func(i int) {
		now = now.Add(10 * time.Microsecond)
		if i%10000 == 0 {
			sc.SetRemoteSummary(now, "b", free)
		}
		req := Request{ID: RequestID(i + 1), Caller: callers[i%len(callers)], Route: "r", Deadline: now.Add(time.Hour)}
		if _, ok := sc.Submit(now, req).(Send); ok {
			inFlight = append(inFlight, req.ID)
		}
		if float64(i) < load*float64(2*servers) || len(inFlight) == 0 {
			return
		}
		decisions = sc.FinishAttempt(now, inFlight[0], Result{}, decisions[:0])
		inFlight[0] = inFlight[len(inFlight)-1]
		inFlight = inFlight[:len(inFlight)-1]
		for _, s := range decisions {
			inFlight = append(inFlight, s.Request)
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
