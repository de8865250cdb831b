package wagplacement

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagserver"
)

var start = time.Unix(1000, 0)

const (
	testServiceTime = 65 * time.Millisecond
	testGoal        = 250 * time.Millisecond
	testDeadline    = time.Second
)

// group drives a Scheduler in tests and replies to its probes.
type group struct {
	scheduler *Scheduler
	now       time.Time
	// slowness is the slowness that each server reports; 1 if it is not set.
	slowness map[string]float64
	// silent holds the servers that do not reply to probes.
	silent map[string]bool
	// withoutReports makes the servers report no load.
	withoutReports bool
	// granted holds the server of each granted request, refused the refusals.
	granted map[RequestID]string
	refused map[RequestID]Refuse
	spills  []Spill
	probes  int
	lastID  RequestID
}

func newGroup(servers, slots int, opts ...Option) *group {
	g := &group{
		scheduler: New(opts...), now: start, slowness: make(map[string]float64), silent: make(map[string]bool),
		granted: make(map[RequestID]string), refused: make(map[RequestID]Refuse),
	}
	g.scheduler.SetServers(g.now, instances(servers, slots))
	// The service time of the route is known from the start.
	g.scheduler.routes["status"] = &routeStats{serviceTime: testServiceTime, requests: 100, lastGrant: g.now}
	g.scheduler.load.meanHoldTime = testServiceTime
	g.scheduler.load.slowShare = 0
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
	g.lastID++
	return Request{ID: g.lastID, Route: "status", Rank: 1, Goal: g.now.Add(testGoal), Deadline: g.now.Add(testDeadline)}
}

// submit submits a request after applying change to it and returns its ID.
func (g *group) submit(change func(*Request)) RequestID {
	r := g.request()
	if change != nil {
		change(&r)
	}
	g.scheduler.Submit(g.now, r)
	g.executeCommands()
	return r.ID
}

// executeCommands replies to probes and records decisions until there are no more
// commands.
func (g *group) executeCommands() {
	for commands := g.scheduler.TakeCommands(); len(commands) > 0; commands = g.scheduler.TakeCommands() {
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
				g.replyToProbe(x)
			}
		}
	}
}

func (g *group) replyToProbe(p Probe) {
	if g.silent[p.Server.ID] {
		return
	}
	if g.withoutReports {
		g.scheduler.HandleProbeResult(g.now, p.Server.ID, Result{})
		return
	}
	running := 0
	for _, x := range g.scheduler.grants {
		if x.server.ID == p.Server.ID {
			running++
		}
	}
	g.scheduler.HandleProbeResult(g.now, p.Server.ID, Result{HasReport: true, Report: Report{Running: running, Slots: p.Server.Slots, Slowness: g.slownessOf(p.Server.ID)}})
}

func (g *group) slownessOf(id string) float64 {
	if x, ok := g.slowness[id]; ok {
		return x
	}
	return 1
}

// advance moves the time on and calls Tick whenever it is due.
func (g *group) advance(d time.Duration) {
	end := g.now.Add(d)
	for {
		at := g.scheduler.NextWake()
		if at.IsZero() || at.After(end) {
			break
		}
		if at.After(g.now) {
			g.now = at
		} else {
			g.now = g.now.Add(time.Millisecond)
		}
		g.scheduler.Tick(g.now)
		g.executeCommands()
	}
	g.now = end
}

// finish ends a request. As in real responses, the load report still counts it.
func (g *group) finish(id RequestID, fault Fault) {
	x, ok := g.scheduler.grants[id]
	if !ok {
		return
	}
	r := Result{Fault: fault, Latency: g.now.Sub(x.grantedAt)}
	if !g.withoutReports && (fault == FaultNone || fault == FaultError) {
		r.HasReport = true
		r.Report = Report{Running: x.server.running, Slots: x.server.Slots, Slowness: g.slownessOf(x.server.ID)}
	}
	g.scheduler.FinishAttempt(g.now, id, r)
	g.executeCommands()
}
