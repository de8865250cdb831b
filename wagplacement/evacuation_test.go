package wagplacement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// evacuate leaves all servers of a group out because of an evacuation.
func (g *group) evacuate() {
	g.scheduler.SetServers(g.now, nil)
	g.scheduler.SetEvacuating(g.now, true)
	g.executeCommands()
}

// Guards against requests that wait until their deadline when all servers of the service
// are in evacuated data centres: those that waited already, late ones too, and new ones.
func TestAllServersEvacuated(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 1)
	running := g.submit(nil)
	waiting, late := g.submit(nil), g.submit(func(r *Request) { r.Goal = g.now.Add(testServiceTime / 2) })
	is.Equal(len(g.granted), 1)
	is.Equal(len(g.refused), 0)
	g.evacuate()
	arriving, foreign := g.submit(nil), g.submit(func(r *Request) { r.Foreign = true })
	hedge := g.submit(func(r *Request) { r.Hedge = true })
	for _, id := range []RequestID{waiting, late, arriving, foreign} {
		is.Equal(g.refused[id].Reason, ReasonNoServer)
		is.Equal(g.refused[id].RetryAt, g.now.Add(time.Second))
	}
	is.Equal(g.refused[hedge].Reason, ReasonOverload)
	g.finish(running, FaultNone)
	is.Equal(len(g.granted), 1)
	is.Equal(len(g.scheduler.servers), 0)
}

// Guards against an evacuation of another data centre that changes how requests are refused
// by a group that has servers.
func TestEvacuationElsewhere(t *testing.T) {
	for _, evacuating := range []bool{false, true} {
		is := is.New(t)
		g := newGroup(1, 1)
		g.scheduler.SetEvacuating(g.now, evacuating)
		for range 20 {
			g.submit(nil)
		}
		is.Equal(len(g.granted), 1)
		is.True(len(g.refused) > 0)
		for _, x := range g.refused {
			is.Equal(x.Reason, ReasonOverload)
		}
	}
}

// Guards against servers that are taken back and get more requests than they have slots:
// those that waited meanwhile, beside those that still run from before the evacuation.
func TestTakenBackServersAreNotFlooded(t *testing.T) {
	const servers, slots = 3, 4
	is := is.New(t)
	g := newGroup(servers, slots)
	for range 5 {
		g.submit(nil)
	}
	is.Equal(len(g.granted), 5)
	g.scheduler.SetRemoteDataCentres([]string{"b"})
	g.evacuate()
	for range 60 {
		g.submit(nil) // wait for the reply of the other data centre
	}
	is.Equal(len(g.spills), 60)
	g.scheduler.SetServers(g.now, instances(servers, slots))
	g.scheduler.SetEvacuating(g.now, false)
	g.executeCommands()
	g.advance(100 * time.Millisecond)
	running := make(map[string]int)
	for _, x := range g.scheduler.grants {
		running[x.server.ID]++
	}
	is.True(len(g.granted) > 5)
	for n := range servers {
		is.True(running[fmt.Sprint("s", n)] <= slots)
	}
	is.True(len(g.scheduler.grants) <= servers*slots)
}

// Guards against one round trip for each request and full data centre while all requests of
// a data centre go elsewhere: only those that are asked for before the first reply, or
// again after a data centre may have room, cost one.
func TestFullDataCentresAreRemembered(t *testing.T) {
	const (
		roundTrip = 20 * time.Millisecond
		requests  = 2000
		retryIn   = 100 * time.Millisecond
	)
	is := is.New(t)
	g := newGroup(1, 1)
	g.scheduler.SetRemoteDataCentres([]string{"b", "c"})
	g.evacuate()
	type reply struct {
		at time.Time
		Spill
	}
	var replies []reply
	asked := 0
	for range requests {
		g.submit(nil)
		g.advance(time.Millisecond)
		for _, x := range g.spills[asked:] {
			replies = append(replies, reply{g.now.Add(roundTrip), x})
		}
		asked = len(g.spills)
		for len(replies) > 0 && !replies[0].at.After(g.now) {
			x := replies[0]
			replies = replies[1:]
			g.scheduler.HandleSpillRefusal(g.now, x.Request.ID, x.DataCentre, g.now.Add(retryIn))
			g.executeCommands()
		}
	}
	t.Logf("%d requests in 2 s to two full data centres: %d round trips", requests, asked)
	is.True(len(g.refused) >= requests-2*int(roundTrip/time.Millisecond))
	is.True(asked <= requests/2) // 2 for each request without the memory
	for _, x := range g.refused {
		is.Equal(x.Reason, ReasonOverload)
		is.True(x.RetryAt.Sub(start) > 0)
	}
}

// Guards against a late request, which each other data centre refuses, that closes them for
// the requests that could still meet their goal there, and against a data centre that does
// not reply and is asked for each late request.
func TestLateRequestDoesNotCloseOtherDataCentres(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 1)
	g.scheduler.SetRemoteDataCentres([]string{"b"})
	g.evacuate()
	lateGoal := func(r *Request) { r.Goal = g.now.Add(testServiceTime / 2) }
	late := g.submit(lateGoal)
	g.scheduler.HandleSpillRefusal(g.now, late, "b", g.now.Add(time.Second))
	g.executeCommands()
	is.Equal(g.refused[late].Reason, ReasonOverload)
	is.Equal(g.refused[late].RetryAt, g.now.Add(minRetryDelay))
	g.submit(nil)
	is.Equal(len(g.spills), 2)
	late = g.submit(lateGoal)
	is.Equal(len(g.spills), 3)
	g.scheduler.HandleSpillSilence(g.now, late, "b", g.now.Add(time.Second))
	g.submit(nil)
	is.Equal(len(g.spills), 3)
}

// Guards against late requests of an evacuated data centre that are refused although other
// data centres have unused capacity, and against late ones that are taken there otherwise
// or that displace others.
func TestLateForeignRequest(t *testing.T) {
	is := is.New(t)
	late := func(r *Request) { r.Foreign, r.Goal = true, r.Goal.Add(-testGoal) }
	g := newGroup(1, 4)
	is.Equal(g.refused[g.submit(late)].Reason, ReasonOverload)
	g.scheduler.SetEvacuating(g.now, true)
	id := g.submit(late)
	is.True(g.granted[id] != "")
	is.Equal(len(g.spills), 0)
	for range 70 {
		g.submit(nil)
	}
	is.Equal(g.refused[g.submit(late)].Reason, ReasonOverload)
}

// Guards against a request that is placed again, because its grant was given back unsent,
// and that permits or takes a further repeat each time.
func TestPlacedAgainCountsOnce(t *testing.T) {
	const requests, permitted = 10, 2
	is := is.New(t)
	g := newGroup(4, 50, WithRetryBudget(0.25, 0, 10*time.Second)) // the owner uses 0.8 of it
	for range requests {
		g.finish(g.submit(nil), FaultCanceled)
		for range 5 {
			g.finish(g.submit(func(r *Request) { r.PlacedAgain = true }), FaultCanceled)
		}
	}
	repeat := func(r *Request) { r.Repeat = true }
	for range permitted {
		id := g.submit(repeat)
		is.True(g.granted[id] != "")
		g.finish(id, FaultCanceled)
		is.True(g.granted[g.submit(func(r *Request) { r.Repeat, r.PlacedAgain = true, true })] != "")
	}
	is.Equal(g.refused[g.submit(repeat)].Reason, ReasonBudget)
}
