package wagplacement

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagserver"
)

var start = time.Unix(1000, 0)

const (
	testWork     = 65 * time.Millisecond
	testGoal     = 250 * time.Millisecond
	testDeadline = time.Second
)

// group drives a Core in tests and answers its probes.
type group struct {
	core *Scheduler
	now  time.Time
	// slowness is what each server reports; 1 when it is not set.
	slowness map[string]float64
	// silent servers do not answer probes.
	silent map[string]bool
	// unreported tells that servers say nothing of their load.
	unreported bool
	// granted holds the server of each request, and refused the refusals.
	granted map[RequestID]string
	refused map[RequestID]Refuse
	spills  []Spill
	probes  int
	next    RequestID
}

func newGroup(servers, slots int, opts ...Option) *group {
	g := &group{
		core: New(opts...), now: start, slowness: make(map[string]float64), silent: make(map[string]bool),
		granted: make(map[RequestID]string), refused: make(map[RequestID]Refuse),
	}
	g.core.SetServers(g.now, instances(servers, slots))
	// The work of the route is known.
	g.core.routes["status"] = &route{work: testWork, seen: 100, granted: g.now}
	g.core.load.hold = testWork
	g.core.load.slow = 0
	return g
}

func instances(servers, slots int) (list []wagserver.Instance) {
	for n := range servers {
		list = append(list, wagserver.Instance{
			ID: fmt.Sprint("s", n), Service: "lots", DataCentre: "a", Slots: slots, State: wagserver.Live,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
		})
	}
	return list
}

func (g *group) request() Request {
	g.next++
	return Request{ID: g.next, Route: "status", Rank: 1, Goal: g.now.Add(testGoal), Deadline: g.now.Add(testDeadline)}
}

// submit submits a request after a change and returns its ID.
func (g *group) submit(change func(*Request)) RequestID {
	r := g.request()
	if change != nil {
		change(&r)
	}
	g.core.Submit(g.now, r)
	g.carryOut()
	return r.ID
}

// carryOut answers probes and notes decisions until there are no commands.
func (g *group) carryOut() {
	for commands := g.core.TakeCommands(); len(commands) > 0; commands = g.core.TakeCommands() {
		for _, command := range commands {
			switch x := command.(type) {
			case Grant:
				g.granted[x.Request.ID] = x.Server.ID
			case Refuse:
				g.refused[x.Request.ID] = x
			case Spill:
				g.spills = append(g.spills, x)
			case Probe:
				g.probes++
				g.answer(x)
			}
		}
	}
}

func (g *group) answer(p Probe) {
	if g.silent[p.Server.ID] {
		return
	}
	if g.unreported {
		g.core.HandleProbeResult(g.now, p.Server.ID, Result{})
		return
	}
	running := 0
	for _, x := range g.core.granted {
		if x.server.ID == p.Server.ID {
			running++
		}
	}
	g.core.HandleProbeResult(g.now, p.Server.ID, Result{HasReport: true, Report: Report{Running: running, Slots: p.Server.Slots, Slowness: g.factor(p.Server.ID)}})
}

func (g *group) factor(id string) float64 {
	if x, ok := g.slowness[id]; ok {
		return x
	}
	return 1
}

// advance moves the time on and ticks when the core asks for it.
func (g *group) advance(d time.Duration) {
	end := g.now.Add(d)
	for {
		at := g.core.NextWake()
		if at.IsZero() || at.After(end) {
			break
		}
		if at.After(g.now) {
			g.now = at
		} else {
			g.now = g.now.Add(time.Millisecond)
		}
		g.core.Tick(g.now)
		g.carryOut()
	}
	g.now = end
}

// finish ends a request; the report counts the request itself as answers do.
func (g *group) finish(id RequestID, fault Fault) {
	x, ok := g.core.granted[id]
	if !ok {
		return
	}
	r := Result{Fault: fault, Latency: g.now.Sub(x.at)}
	if !g.unreported && (fault == FaultNone || fault == FaultError) {
		r.HasReport = true
		r.Report = Report{Running: x.server.running, Slots: x.server.Slots, Slowness: g.factor(x.server.ID)}
	}
	g.core.FinishAttempt(g.now, id, r)
	g.carryOut()
}
