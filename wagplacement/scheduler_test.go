package wagplacement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagserver"
)

// Guards against requests that are sent to servers which neighbours on the same
// processor slow down, while other servers are idle.
func TestSlowServerIsPassedOver(t *testing.T) {
	is := is.New(t)
	g := newGroup(4, 6)
	g.slowness["s0"], g.slowness["s2"] = 5, 5
	for range 8 {
		id := g.submit(nil)
		is.True(g.granted[id] == "s1" || g.granted[id] == "s3")
	}
}

// Guards against requests that are sent to slow servers although another server gets
// free in time, and against requests that keep waiting when their goal is out of reach
// anyway.
func TestWaitsForNormalServerUntilGoal(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 6)
	g.slowness["s0"], g.slowness["s1"] = 5, 5
	first := g.submit(nil)
	is.Equal(g.granted[first], "")
	g.advance(60 * time.Millisecond)
	is.Equal(g.granted[first], "")
	g.slowness["s1"] = 1
	g.advance(slowReportTTL + dispatchInterval)
	is.Equal(g.granted[first], "s1") // found by a probe soon after it became normal

	g.slowness["s1"] = 5
	second := g.submit(nil)
	g.advance(testGoal)
	is.True(g.granted[second] != "") // late, but served
}

// Guards against decisions on old load reports, and against probes of servers whose
// report is current.
func TestProbesOnlyWhenReportIsOld(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	g.submit(nil)
	is.Equal(g.probes, 1)
	g.submit(nil)
	is.Equal(g.probes, 1) // the report is of this moment
	g.now = g.now.Add(2 * maxReportAge)
	id := g.submit(nil)
	is.Equal(g.probes, 2)
	is.Equal(g.granted[id], "s0")
}

// Guards against requests that wait for load reports of servers which send none, and
// against probes that take slots of such servers.
func TestServersWithoutReports(t *testing.T) {
	is := is.New(t)
	g := newGroup(3, 6)
	g.withoutReports = true
	running := make(map[string]int)
	for range 12 {
		id := g.submit(nil)
		is.True(g.granted[id] != "")
		running[g.granted[id]]++
		g.now = g.now.Add(2 * maxReportAge)
	}
	is.True(g.probes <= 3)
	for _, n := range running {
		is.Equal(n, 4) // counted without reports
	}
	list := instances(4, 6)
	g.scheduler.SetServers(g.now, list)
	g.executeCommands()
	probes := g.probes
	id := g.submit(nil)
	is.Equal(g.granted[id], "s3") // a new server is assumed to send no reports either
	is.Equal(g.probes, probes)
}

// Guards against servers that are probed more often than the limit allows, and against
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
	is.True(g.probes >= rate*seconds) // the limit is used
}

// Guards against a retry budget that counts requests of other data centres twice, and
// against hosts that together exceed it while they cannot reach the owner.
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
	is.Equal(repeats(nil, foreign), 30)     // their own data centre counts them
	is.Equal(repeats(nil, withoutOwner), 3) // 0.3 of 0.2*50
}

// Guards against a group that waits for a server whose probes get lost.
func TestSilentProbeDoesNotBlock(t *testing.T) {
	is := is.New(t)
	g := newGroup(3, 6)
	g.silent["s0"], g.silent["s1"] = true, true
	id := g.submit(nil)
	g.advance(2 * dispatchInterval)
	is.Equal(g.granted[id], "s2")
}

// Guards against more requests on a server than it handles well, and against slots
// that stay unused because the report in a response still counts its request.
func TestConcurrencyLimitAtTheKnee(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	var ids []RequestID
	for range 6 {
		ids = append(ids, g.submit(nil))
	}
	is.Equal(g.scheduler.servers["s0"].running, 4) // 0.8 of 6 slots
	g.advance(testServiceTime)
	g.finish(ids[0], FaultNone)
	is.Equal(g.scheduler.servers["s0"].running, 4)
	is.Equal(g.granted[ids[4]], "s0")
}

// Guards against unused slots on servers without a knee: with 2 slots, an assumed knee
// would take half of the capacity.
func TestKneeIsLearned(t *testing.T) {
	is := is.New(t)
	var k knee
	is.Equal(k.concurrencyLimit(2), 2)
	is.Equal(k.concurrencyLimit(6), 4)
	for range 2 * minKneeSamples {
		k.update(&grant{aboveKnee: false}, 1)
		k.update(&grant{aboveKnee: true}, 1.05)
	}
	is.Equal(k.concurrencyLimit(6), 6)
	for range 200 {
		k.update(&grant{aboveKnee: true}, 1.7)
	}
	is.Equal(k.concurrencyLimit(6), 4)
	is.Equal(k.concurrencyLimit(2), 2) // 2 at 1.7 times the time do more than 1
	for range 200 {
		k.update(&grant{aboveKnee: true}, 2.5)
	}
	is.Equal(k.concurrencyLimit(2), 1)
}

// Guards against requests that are refused although they could be answered in time,
// because the slowdown above the knee was taken for a slow server or a longer service
// time.
func TestKneeSlowdownIsExpected(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 2)
	g.scheduler.knee = knee{meanAbove: 1.7, meanBelow: 1, samples: minKneeSamples}
	first, second := g.submit(nil), g.submit(nil)
	g.advance(testServiceTime)
	g.finish(first, FaultNone)
	g.advance(testServiceTime * 7 / 10)
	g.finish(second, FaultNone)
	is.Equal(g.scheduler.servers["s0"].baseSlowness(g.now), 1.0)
	work := g.scheduler.routes["status"].serviceTime
	is.True(work > testServiceTime-time.Microsecond && work < testServiceTime+time.Microsecond)
	is.True(g.scheduler.knee.meanAbove > 1.69 && g.scheduler.knee.meanAbove < 1.71)
	// With one slot taken, a request that has time for its service time but not for 1.7
	// times as much waits for a server below the knee.
	g.submit(nil)
	tight := g.submit(func(r *Request) { r.Goal = g.now.Add(testServiceTime * 3 / 2) })
	is.Equal(g.granted[tight], "")
}

// Guards against a server that gets too many requests because those of other hosts are
// not seen. Two hosts may act as owner of the group at the same time.
func TestReportsShowWorkOfOthers(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	r := g.request()
	g.scheduler.Submit(g.now, r)
	for _, command := range g.scheduler.TakeCommands() {
		p, ok := command.(Probe)
		is.True(ok)
		g.scheduler.HandleProbeResult(g.now, p.Server.ID, Result{HasReport: true, Report: Report{Running: 5, Slots: 6, Slowness: 1}})
	}
	is.Equal(len(g.scheduler.TakeCommands()), 0)
	is.Equal(g.scheduler.servers["s0"].running, 0)
}

// Guards against an urgent request that waits behind others, and against a request
// that takes a slot although it can no longer meet its goal and another one can.
func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 2)
	g.scheduler.knee.samples = minKneeSamples // no knee
	running := []RequestID{g.submit(nil), g.submit(nil)}
	hopeless := g.submit(func(r *Request) { r.Goal = g.now.Add(testServiceTime) })
	usual := g.submit(nil)
	urgent := g.submit(func(r *Request) { r.Rank = 0 })
	g.advance(30 * time.Millisecond)
	g.finish(running[0], FaultNone)
	is.Equal(g.granted[urgent], "s0")
	g.finish(running[1], FaultNone)
	is.Equal(g.granted[usual], "s0")
	is.Equal(g.granted[hopeless], "")
}

// Guards against requests that wait until their deadline although no server can
// answer them in time.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	refusals := 0
	for range 60 {
		id := g.submit(nil)
		g.scheduler.load.arrivalRate = 1000 // those in time need all slots
		if x, ok := g.refused[id]; ok {
			refusals++
			is.Equal(x.Reason, ReasonOverload)
			is.True(x.RetryAt.After(g.now))
			is.True(!x.RetryAt.After(g.now.Add(maxRetryDelay)))
		}
	}
	is.True(refusals > 30)
	is.True(len(g.scheduler.queue.list) < 20)
	is.Equal(len(g.granted), 4)
}

// Guards against a request that stays in the queue after its last possible start, and
// against a queue that is not checked when its requests are due.
func TestExpiredRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	g.scheduler.SetServers(g.now, nil)
	g.scheduler.load.meanHoldTime = 0
	id := g.submit(nil)
	g.advance(testDeadline)
	_, refused := g.refused[id]
	is.True(refused)
	is.Equal(len(g.scheduler.queue.list), 0)
	is.True(g.scheduler.NextWake().IsZero())
}

// Guards against lost slots when a host ends without reporting the results of its
// grants.
func TestForgottenGrantsExpire(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	for range 4 {
		g.submit(nil)
	}
	is.Equal(g.scheduler.servers["s0"].running, 4)
	g.now = g.now.Add(testDeadline + grantGracePeriod + time.Second)
	g.scheduler.Tick(g.now)
	is.Equal(g.scheduler.servers["s0"].running, 0)
	id := g.submit(nil)
	is.Equal(g.granted[id], "s0")
}

// Guards against requests that are granted twice or refused after a grant, in whatever
// order the events come, and against counters that do not return to zero.
func TestGrantedOnce(t *testing.T) {
	is := is.New(t)
	g := newGroup(5, 2)
	g.scheduler.knee.samples = minKneeSamples
	seen := make(map[RequestID]int)
	for round := range 400 {
		id := g.submit(func(r *Request) { r.Rank = round % 3 })
		seen[id]++
		if round%7 == 0 {
			g.scheduler.Cancel(g.now, id-1)
		}
		if round%5 == 0 {
			for id := range g.scheduler.grants {
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
	for id := range g.scheduler.grants {
		g.finish(id, FaultNone)
	}
	g.scheduler.queue.list = nil
	for id := range g.scheduler.grants {
		g.finish(id, FaultNone)
	}
	for _, s := range g.scheduler.servers {
		is.Equal(s.running, 0)
		is.Equal(s.stuckCount, 0)
	}
}

// Guards against a leaving server that gets new requests, and against one whose
// in-flight requests are forgotten.
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
	g.scheduler.SetServers(g.now, list)
	for range 4 {
		id := g.submit(nil)
		is.True(g.granted[id] != leaving)
	}
	is.Equal(g.scheduler.servers[leaving].running, 1)
	g.scheduler.SetServers(g.now, nil)
	is.Equal(len(g.scheduler.servers), 2) // both still run requests
	g.finish(first, FaultNone)
	_, known := g.scheduler.servers[leaving]
	is.True(!known)
}

// Guards against a restarted server that stays excluded because of failures before its
// restart.
func TestNewStartOfServer(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	id := g.submit(nil)
	g.finish(id, FaultBroken)
	is.True(g.scheduler.servers["s0"].excludedUntil.After(g.now))
	list := instances(1, 6)
	list[0].Started = start.Add(time.Hour)
	g.scheduler.SetServers(g.now, list)
	id = g.submit(nil)
	is.Equal(g.granted[id], "s0")
}

// Guards against hedges that take slots which waiting requests need, and against hedges
// that use up the retry budget of failed requests.
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

// Guards against a hedge that starts before the first server could have answered, or
// too late to meet the goal.
func TestHedgeAfter(t *testing.T) {
	is := is.New(t)
	sc := New()
	r := &routeStats{serviceTime: testServiceTime, requests: 1000}
	after := func(goal time.Duration) time.Duration {
		w := &waiter{Request: Request{Goal: start.Add(goal)}, route: r}
		return sc.hedgeDelay(start, w, &grant{route: r, slowness: 1})
	}
	is.Equal(after(time.Second), 130*time.Millisecond)
	is.Equal(after(200*time.Millisecond), 109*time.Millisecond)
	is.Equal(after(150*time.Millisecond), 325*time.Millisecond) // a hedge could not meet the goal
	r.requests = 1
	is.Equal(after(time.Second), time.Duration(0))
}

// Guards against a route that gets no server any more because its first request took
// almost as long as its deadline allows.
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

// Guards against a server that never gets requests again because it was slow for a
// while.
func TestSlowServerIsTriedAgain(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	s := g.scheduler.servers["s0"]
	for range 20 {
		s.updateLatencyRatio(g.now, maxLatencyRatio)
	}
	is.True(s.baseSlowness(g.now) > 0.9*maxLatencyRatio)
	short := func(r *Request) { r.Deadline = g.now.Add(maxLatencyRatio * testServiceTime * 4 / 5) }
	id := g.submit(short)
	g.advance(testDeadline)
	is.Equal(g.granted[id], "") // it could not be answered in time
	g.advance(10 * time.Second)
	id = g.submit(short)
	is.Equal(g.granted[id], "s0")
}

// Guards against a route whose requests are all refused because its estimated service
// time exceeds their deadline, and against trying each of them.
func TestRouteBeyondDeadlineIsTriedPeriodically(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	g.scheduler.routes["status"].serviceTime = 2 * testDeadline
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

// Guards against a healthy server that is excluded because a long request ran into its
// deadline there. With few slots, that takes away a large part of the capacity at a
// peak.
func TestTimeoutBesideAnswersExcludesNoServer(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 2)
	s := g.scheduler.servers["s0"]
	long, other := g.submit(nil), g.submit(nil)
	g.advance(testServiceTime)
	g.finish(other, FaultNone)
	g.advance(testDeadline - testServiceTime)
	g.finish(long, FaultTimeout)
	is.True(s.isUsable(g.now))
	// Nothing was answered after the next request was sent.
	silent := g.submit(nil)
	g.advance(testDeadline)
	g.finish(silent, FaultTimeout)
	is.True(!s.isUsable(g.now))
}

// Guards against refusals that are logged without the estimated service time of the
// route. Incident inc-bb5b could not be explained without it.
func TestRefusalContainsServiceTime(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	id := g.submit(func(r *Request) { r.Deadline = g.now.Add(testServiceTime / 2) })
	is.Equal(g.refused[id].Inputs.ServiceTime, testServiceTime)
}

// Guards against a group that refuses all requests because each of its servers failed
// a single one, and against requests for servers that fail repeatedly.
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
		g.scheduler.servers[name].recordFailure(g.now)
		g.scheduler.servers[name].recordFailure(g.now)
	}
	for range 6 {
		id := g.submit(nil)
		is.Equal(g.granted[id], "s3")
		g.finish(id, FaultNone)
	}
}

// Guards against further requests to a server that stated on a response that it is
// leaving while its entry still says that it is live, also after that entry is read
// again; and against a new start of the server that gets none.
func TestLeavingStatedOnResponse(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 6)
	id := g.submit(nil)
	leaving := g.granted[id]
	g.scheduler.FinishAttempt(g.now, id, Result{Leaving: true, Latency: testServiceTime})
	g.executeCommands()
	list := instances(2, 6)
	g.scheduler.SetServers(g.now, list)
	for range 4 {
		is.True(g.granted[g.submit(nil)] != leaving)
	}
	for i := range list {
		if list[i].ID == leaving {
			list[i].Started = g.now
		}
	}
	g.scheduler.SetServers(g.now, list)
	is.Equal(g.granted[g.submit(nil)], leaving)
}

// Guards against a request that waits although no server of the group may take it from
// its host.
func TestAllServersAvoided(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 6)
	id := g.submit(func(r *Request) { r.Avoid = []string{"s0", "s1"} })
	is.Equal(g.refused[id].Reason, ReasonOverload)
	id = g.submit(func(r *Request) { r.Avoid = []string{"s0", "gone"} })
	is.Equal(g.granted[id], "s1")
}

// Guards against a server that is probed again and again while it turns the host away,
// and against requests of other hosts that wait for such a probe.
func TestProbesOfBusyServer(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	g.silent["s0"] = true
	id := g.submit(nil)
	is.Equal(g.probes, 1)
	g.scheduler.HandleProbeResult(g.now, "s0", Result{Fault: FaultCanceled, BusyUntil: g.now.Add(time.Second)})
	g.executeCommands()
	is.Equal(g.granted[id], "s0")
	for range 20 {
		g.submit(nil)
		g.advance(20 * time.Millisecond)
	}
	is.Equal(g.probes, 1)
}

// Guards against a healthy server that is excluded for a growing time because it resets
// connections while all its slots are taken, and against a crashed one that is not
// excluded because it was full.
func TestResetOfFullServer(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	report := func(running int) Result {
		return Result{Fault: FaultOvertaken, HasReport: true, Report: Report{Running: running + 1, Slots: 6, Slowness: 1}}
	}
	for range 5 {
		first, second := g.submit(nil), g.submit(nil)
		g.scheduler.FinishAttempt(g.now, first, report(6))
		g.scheduler.FinishAttempt(g.now, second, Result{Fault: FaultBroken})
		g.executeCommands()
		is.True(!g.scheduler.servers["s0"].isUsable(g.now))
		g.advance(resetCooldown)
		is.True(g.scheduler.servers["s0"].isUsable(g.now))
	}
	is.Equal(g.scheduler.servers["s0"].failures, 0)
	var ids []RequestID
	for range 3 {
		ids = append(ids, g.submit(nil))
	}
	g.scheduler.servers["s0"].report = Report{Running: 1, Slots: 6, Slowness: 1}
	for _, id := range ids {
		g.finish(id, FaultBroken)
	}
	is.True(g.scheduler.servers["s0"].failures > 0)
	is.True(g.scheduler.servers["s0"].isExcluded(g.now))
}

// Guards against an owner that blames all servers for its own slowness: just after a
// power failure, hundreds of requests wait, and probes of all servers at once time out
// together.
func TestProbesTimeOutTogether(t *testing.T) {
	is := is.New(t)
	const servers = 84
	g := newGroup(servers, 6)
	for n := range servers {
		g.silent[fmt.Sprint("s", n)] = true
	}
	for range 200 {
		g.submit(nil)
	}
	timeOut := func() (unanswered int) {
		for _, s := range g.scheduler.byID {
			if s.probing {
				unanswered++
			}
		}
		is.True(unanswered <= maxUnansweredProbes)
		g.now = g.now.Add(probeTimeout)
		for _, s := range g.scheduler.byID {
			if s.probing && g.now.Sub(s.probedAt) >= probeTimeout {
				g.scheduler.HandleProbeResult(g.now, s.ID, Result{Fault: FaultTimeout})
			}
		}
		g.executeCommands()
		return unanswered
	}
	is.True(timeOut() > 0)
	is.True(timeOut() > 0)
	clear(g.silent)
	for _, s := range g.scheduler.byID {
		is.True(!s.isExcluded(g.now))
		if s.probing {
			g.replyToProbe(Probe{Server: s.Instance})
		}
	}
	g.executeCommands()
	g.advance(50 * time.Millisecond)
	is.Equal(len(g.granted), 200)
}

// Guards against requests for a silent server while others answer, and for a group that
// has been silent for long.
func TestSilentServerIsExcluded(t *testing.T) {
	is := is.New(t)
	g := newGroup(3, 6)
	g.silent["s1"] = true
	g.submit(nil)
	g.submit(nil)
	s := g.scheduler.servers["s1"]
	is.True(s.probing)
	g.now = g.now.Add(time.Millisecond)
	g.replyToProbe(Probe{Server: g.scheduler.servers["s0"].Instance})
	g.now = g.now.Add(probeTimeout)
	g.scheduler.HandleProbeResult(g.now, "s1", Result{Fault: FaultTimeout})
	is.True(s.excludedUntil.After(g.now))

	g = newGroup(1, 6)
	s = g.scheduler.servers["s0"]
	for n := range maxUnconfirmedTimeouts + 1 {
		is.Equal(s.failures, 0)
		s.probing, s.probedAt = true, g.now
		g.now = g.now.Add(probeTimeout)
		g.scheduler.HandleProbeResult(g.now, "s0", Result{Fault: FaultTimeout})
		is.Equal(s.failures > 0, n == maxUnconfirmedTimeouts)
	}
}
