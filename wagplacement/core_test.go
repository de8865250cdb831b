package wagplacement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagserver"
)

// Guards against work that goes to a server whose neighbours slow it down at this
// moment, while others are idle.
func TestSlowServerIsPassedOver(t *testing.T) {
	is := is.New(t)
	g := newGroup(4, 6)
	g.slowness["s0"], g.slowness["s2"] = 5, 5
	for range 8 {
		id := g.submit(nil)
		is.True(g.granted[id] == "s1" || g.granted[id] == "s3")
	}
}

// Guards against requests that are sent to slow servers although a server that is
// not slow becomes free in time, and against requests that wait on when the goal is
// out of reach anyway.
func TestWaitsForNormalServerUntilGoal(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 6)
	g.slowness["s0"], g.slowness["s1"] = 5, 5
	first := g.submit(nil)
	is.Equal(g.granted[first], "")
	g.advance(60 * time.Millisecond)
	is.Equal(g.granted[first], "")
	g.slowness["s1"] = 1
	g.advance(slowPause + retryPause)
	is.Equal(g.granted[first], "s1") // found by a probe soon after it became normal

	g.slowness["s1"] = 5
	second := g.submit(nil)
	g.advance(testGoal)
	is.True(g.granted[second] != "") // late, but served
}

// Guards against reports that are used when they are old, and against probes that
// ask again for what is known.
func TestProbesOnlyWhenReportIsOld(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	g.submit(nil)
	is.Equal(g.probes, 1)
	g.submit(nil)
	is.Equal(g.probes, 1) // the report is of this moment
	g.now = g.now.Add(2 * freshTime)
	id := g.submit(nil)
	is.Equal(g.probes, 2)
	is.Equal(g.granted[id], "s0")
}

// Guards against requests that wait for reports from servers which never tell any,
// and against probes that take slots of such servers.
func TestServersWithoutReports(t *testing.T) {
	is := is.New(t)
	g := newGroup(3, 6)
	g.unreported = true
	running := make(map[string]int)
	for range 12 {
		id := g.submit(nil)
		is.True(g.granted[id] != "")
		running[g.granted[id]]++
		g.now = g.now.Add(2 * freshTime)
	}
	is.True(g.probes <= 3)
	for _, n := range running {
		is.Equal(n, 4) // by own counts
	}
	list := instances(4, 6)
	g.core.SetServers(g.now, list)
	g.carryOut()
	probes := g.probes
	id := g.submit(nil)
	is.Equal(g.granted[id], "s3") // a new one is like the others
	is.Equal(g.probes, probes)
}

// Guards against servers that are probed more often than permitted, and against
// requests that wait for reports which no probe may ask for.
func TestProbesStayWithinBound(t *testing.T) {
	is := is.New(t)
	const rate, seconds = 10, 4
	g := newGroup(2, 6, WithProbeRate(rate))
	for range seconds * 100 {
		id := g.submit(nil)
		is.True(g.granted[id] != "")
		g.finish(id, FaultCanceled)
		g.advance(10 * time.Millisecond)
	}
	is.True(g.probes <= 2*(rate*seconds+rate))
	is.True(g.probes >= rate*seconds) // the bound is used
}

// Guards against a retry budget that counts requests of other data centres twice, and
// against hosts without their owner that together exceed it.
func TestBudgetIsCountedOnce(t *testing.T) {
	is := is.New(t)
	repeats := func(prepare, change func(*Request)) (granted int) {
		g := newGroup(8, 6, WithRetryBudget(0.2, 10, 10*time.Second))
		for range 50 {
			id := g.submit(prepare)
			g.finish(id, FaultNone)
		}
		for range 30 {
			id := g.submit(func(r *Request) {
				r.Repeat = true
				if change != nil {
					change(r)
				}
			})
			if g.granted[id] != "" {
				granted++
			}
			g.finish(id, FaultNone)
		}
		return granted
	}
	foreign := func(r *Request) { r.Foreign = true }
	withoutOwner := func(r *Request) { r.OwnerUnreachable = true }
	is.Equal(repeats(nil, nil), 16)         // 0.8 of 0.2*50 + 10
	is.Equal(repeats(foreign, nil), 8)      // 0.8 of 10
	is.Equal(repeats(nil, foreign), 30)     // the own data centre counts them
	is.Equal(repeats(nil, withoutOwner), 3) // 0.3 of 0.2*50
}

// Guards against a server whose probes are lost and that then gets neither probes
// nor work, and against a group that waits for it.
func TestSilentProbeDoesNotBlock(t *testing.T) {
	is := is.New(t)
	g := newGroup(3, 6)
	g.silent["s0"], g.silent["s1"] = true, true
	id := g.submit(nil)
	g.advance(2 * retryPause)
	is.Equal(g.granted[id], "s2")
}

// Guards against more requests at a server than it does well, and against slots
// that stay empty because the report on an answer counts the answered request.
func TestLimitsAtTheKnee(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	var ids []RequestID
	for range 6 {
		ids = append(ids, g.submit(nil))
	}
	is.Equal(g.core.servers["s0"].running, 4) // 0.8 of 6 slots
	g.advance(testWork)
	g.finish(ids[0], FaultNone)
	is.Equal(g.core.servers["s0"].running, 4)
	is.Equal(g.granted[ids[4]], "s0")
}

// Guards against servers without a knee that are used only in part: with 2 slots
// the knee would take half of the capacity.
func TestKneeIsLearned(t *testing.T) {
	is := is.New(t)
	var k knee
	is.Equal(k.limit(2), 2)
	is.Equal(k.limit(6), 4)
	for range 2 * kneeSamples {
		k.learn(&grant{nearlyFull: false}, 1)
		k.learn(&grant{nearlyFull: true}, 1.05)
	}
	is.Equal(k.limit(6), 6)
	for range 200 {
		k.learn(&grant{nearlyFull: true}, 1.7)
	}
	is.Equal(k.limit(6), 4)
	is.Equal(k.limit(2), 2) // 2 at 1.7 times the time do more than 1
	for range 200 {
		k.learn(&grant{nearlyFull: true}, 2.5)
	}
	is.Equal(k.limit(2), 1)
}

// Guards against the slowing above the knee that is taken for a slow server or for
// longer work, so that requests are refused that could be answered in time.
func TestKneeIsExpected(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 2)
	g.core.knee = knee{above: 1.7, below: 1, samples: kneeSamples}
	first, second := g.submit(nil), g.submit(nil)
	g.advance(testWork)
	g.finish(first, FaultNone)
	g.advance(testWork * 7 / 10)
	g.finish(second, FaultNone)
	is.Equal(g.core.servers["s0"].base(g.now), 1.0)
	work := g.core.routes["status"].work
	is.True(work > testWork-time.Microsecond && work < testWork+time.Microsecond)
	is.True(g.core.knee.above > 1.69 && g.core.knee.above < 1.71)
	// With one slot taken, a request that has time for its work but not for 1.7 times
	// as much waits for a server below the knee.
	g.submit(nil)
	tight := g.submit(func(r *Request) { r.Goal = g.now.Add(testWork * 3 / 2) })
	is.Equal(g.granted[tight], "")
}

// Guards against other hosts' work at a server that is not seen: two hosts may
// believe that they own the group.
func TestReportsShowWorkOfOthers(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	r := g.request()
	g.core.Submit(g.now, r)
	for _, command := range g.core.TakeCommands() {
		p, ok := command.(Probe)
		is.True(ok)
		g.core.HandleProbeResult(g.now, p.Server.ID, Result{HasReport: true, Report: Report{Running: 5, Slots: 6, Slowness: 1}})
	}
	is.Equal(len(g.core.TakeCommands()), 0)
	is.Equal(g.core.servers["s0"].running, 0)
}

// Guards against an urgent request that waits behind others, and against one that
// can no longer be answered in time and takes the slot of one that can.
func TestOrderOfTheQueue(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 2)
	g.core.knee.samples = kneeSamples // no knee
	running := []RequestID{g.submit(nil), g.submit(nil)}
	hopeless := g.submit(func(r *Request) { r.Goal = g.now.Add(testWork) })
	usual := g.submit(nil)
	urgent := g.submit(func(r *Request) { r.Rank = 0 })
	g.advance(30 * time.Millisecond)
	g.finish(running[0], FaultNone)
	is.Equal(g.granted[urgent], "s0")
	g.finish(running[1], FaultNone)
	is.Equal(g.granted[usual], "s0")
	is.Equal(g.granted[hopeless], "")
}

// Guards against requests that wait for a server until their deadline although
// nothing can serve them in time.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	refusals := 0
	for range 60 {
		id := g.submit(nil)
		g.core.load.arrivals = 1000 // those in time need all slots
		if x, ok := g.refused[id]; ok {
			refusals++
			is.Equal(x.Reason, ReasonOverload)
			is.True(x.RetryAt.After(g.now))
			is.True(!x.RetryAt.After(g.now.Add(maxRetry)))
		}
	}
	is.True(refusals > 30)
	is.True(len(g.core.waiting.list) < 20)
	is.Equal(len(g.granted), 4)
}

// Guards against a request that is kept although no time is left for it, and
// against a queue that is not looked at when its requests are due.
func TestExpiredRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	g.core.SetServers(g.now, nil)
	g.core.load.hold = 0
	id := g.submit(nil)
	g.advance(testDeadline)
	_, refused := g.refused[id]
	is.True(refused)
	is.Equal(len(g.core.waiting.list), 0)
	is.True(g.core.NextWake().IsZero())
}

// Guards against the loss of slots when a host ends without telling what became of
// its grants.
func TestForgottenGrantsExpire(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	for range 4 {
		g.submit(nil)
	}
	is.Equal(g.core.servers["s0"].running, 4)
	g.now = g.now.Add(testDeadline + grantGrace + time.Second)
	g.core.Tick(g.now)
	is.Equal(g.core.servers["s0"].running, 0)
	id := g.submit(nil)
	is.Equal(g.granted[id], "s0")
}

// Guards against requests that are granted twice or refused after a grant, whatever
// order events come in, and against counts that do not return to zero.
func TestGrantedOnce(t *testing.T) {
	is := is.New(t)
	g := newGroup(5, 2)
	g.core.knee.samples = kneeSamples
	seen := make(map[RequestID]int)
	for round := range 400 {
		id := g.submit(func(r *Request) { r.Rank = round % 3 })
		seen[id]++
		if round%7 == 0 {
			g.core.Cancel(g.now, id-1)
		}
		if round%5 == 0 {
			for id := range g.core.granted {
				g.finish(id, Fault(round%8))
				break
			}
		}
		g.advance(time.Duration(round%11) * time.Millisecond)
		for id := range g.granted {
			_, refused := g.refused[id]
			is.True(!refused)
		}
	}
	for id := range g.core.granted {
		g.finish(id, FaultNone)
	}
	g.core.waiting.list = nil
	for id := range g.core.granted {
		g.finish(id, FaultNone)
	}
	for _, s := range g.core.servers {
		is.Equal(s.running, 0)
		is.Equal(s.stuck, 0)
	}
}

// Guards against a leaving server that gets new work, and against one whose work in
// flight is forgotten.
func TestLeavingServer(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 6)
	first := g.submit(nil)
	list := instances(2, 6)
	for i := range list {
		if list[i].ID == g.granted[first] {
			list[i].State = wagserver.Leaving
		}
	}
	leaving := g.granted[first]
	g.core.SetServers(g.now, list)
	for range 4 {
		id := g.submit(nil)
		is.True(g.granted[id] != leaving)
	}
	is.Equal(g.core.servers[leaving].running, 1)
	g.core.SetServers(g.now, nil)
	is.Equal(len(g.core.servers), 2) // both still run requests
	g.finish(first, FaultNone)
	_, known := g.core.servers[leaving]
	is.True(!known)
}

// Guards against a server that started again under the same name and is judged by
// what its former start did.
func TestNewStartOfServer(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	id := g.submit(nil)
	g.finish(id, FaultBroken)
	is.True(g.core.servers["s0"].excludedUntil.After(g.now))
	list := instances(1, 6)
	list[0].Started = start.Add(time.Hour)
	g.core.SetServers(g.now, list)
	id = g.submit(nil)
	is.Equal(g.granted[id], "s0")
}

// Guards against second attempts that take slots which waiting requests need, and
// against ones that use up the retry budget of requests that failed.
func TestHedgesTakeOnlySpareSlots(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 6, WithRetryBudget(0, 10, 10*time.Second))
	hedge := func(r *Request) { r.Repeat, r.Hedge = true, true }
	id := g.submit(hedge)
	is.True(g.granted[id] != "")
	for range 6 {
		g.submit(nil)
	}
	id = g.submit(hedge) // 1 of 8 slots is free
	_, refused := g.refused[id]
	is.True(refused)

	g = newGroup(4, 6, WithRetryBudget(0, 10, 10*time.Second))
	granted := 0
	for range 10 {
		if id := g.submit(hedge); g.granted[id] != "" {
			granted++
		}
	}
	is.Equal(granted, 5)
	id = g.submit(func(r *Request) { r.Repeat = true })
	is.True(g.granted[id] != "")
}

// Guards against a second server that is asked before the first could have answered,
// or when its answer would come after the goal.
func TestHedgeAfter(t *testing.T) {
	is := is.New(t)
	c := New()
	r := &route{work: testWork, seen: 1000}
	after := func(goal time.Duration) time.Duration {
		w := &waiter{Request: Request{Goal: start.Add(goal)}, route: r}
		return c.hedgeAfter(start, w, &grant{route: r, slowness: 1})
	}
	is.Equal(after(time.Second), 130*time.Millisecond)
	is.Equal(after(200*time.Millisecond), 109*time.Millisecond)
	is.Equal(after(150*time.Millisecond), 325*time.Millisecond) // too late for the goal
	r.seen = 1
	is.Equal(after(time.Second), time.Duration(0))
}

// Guards against a route of which nothing is served any more because its first request
// took almost as long as callers wait.
func TestSlowFirstAnswerDoesNotStarveARoute(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 6)
	change := func(r *Request) { r.Route = "commit" }
	id := g.submit(change)
	is.True(g.granted[id] != "")
	g.advance(testDeadline - 10*time.Millisecond)
	g.finish(id, FaultNone)
	id = g.submit(change)
	is.True(g.granted[id] != "")
}

// Guards against a server that gets no work for ever because it was slow for a while.
func TestSlowServerIsTriedAgain(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	s := g.core.servers["s0"]
	for range 20 {
		s.keepPace(g.now, maxPace)
	}
	is.True(s.base(g.now) > 0.9*maxPace)
	short := func(r *Request) { r.Deadline = g.now.Add(maxPace * testWork * 4 / 5) }
	id := g.submit(short)
	g.advance(testDeadline)
	is.Equal(g.granted[id], "") // it would not be answered
	g.advance(10 * time.Second)
	id = g.submit(short)
	is.Equal(g.granted[id], "s0")
}

// Guards against requests that are refused for ever because their work was estimated
// to be longer than callers wait, and against trying each of them.
func TestHopelessRouteIsTriedNowAndThen(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	g.core.routes["status"].work = 2 * testDeadline
	tried := 0
	for range 40 {
		id := g.submit(nil)
		if g.granted[id] != "" {
			tried++
		}
		g.finish(id, FaultCanceled)
		g.advance(250 * time.Millisecond)
	}
	is.True(tried >= 3)
	is.True(tried <= 5) // one in 2 s
}

// Guards against a healthy server that gets no work because a long request ran into
// its deadline there, which takes a great part of few slots away at a crest.
func TestTimeoutBesideAnswersExcludesNoServer(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 2)
	s := g.core.servers["s0"]
	long, other := g.submit(nil), g.submit(nil)
	g.advance(testWork)
	g.finish(other, FaultNone)
	g.advance(testDeadline - testWork)
	g.finish(long, FaultTimeout)
	is.True(s.usable(g.now, nil))
	// Nothing was answered since the next one was sent.
	silent := g.submit(nil)
	g.advance(testDeadline)
	g.finish(silent, FaultTimeout)
	is.True(!s.usable(g.now, nil))
}

// Guards against refusals whose log lines do not tell what the route was expected to
// need: inc-bb5b could not be explained to the end without it.
func TestRefusalTellsTheWork(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	id := g.submit(func(r *Request) { r.Deadline = g.now.Add(testWork / 2) })
	is.Equal(g.refused[id].Inputs.ServiceTime, testWork)
}

// Guards against a group that refuses all requests because each of its servers failed
// one of many, and against work for servers that fail again and again.
func TestSingleFailuresOfManyServers(t *testing.T) {
	is := is.New(t)
	g := newGroup(4, 6)
	var ids []RequestID
	for len(ids) < 24 {
		ids = append(ids, g.submit(nil))
	}
	failed := make(map[string]bool)
	for _, id := range ids {
		if s := g.granted[id]; !failed[s] {
			failed[s] = true
			g.finish(id, FaultBroken)
			continue
		}
		g.finish(id, FaultNone)
	}
	is.Equal(len(failed), 4)
	id := g.submit(nil)
	is.True(g.granted[id] != "")
	g.finish(id, FaultNone)

	for _, name := range []string{"s0", "s1", "s2"} {
		g.core.servers[name].fail(g.now)
		g.core.servers[name].fail(g.now)
	}
	for range 6 {
		id := g.submit(nil)
		is.Equal(g.granted[id], "s3")
		g.finish(id, FaultNone)
	}
}
