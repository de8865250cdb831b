package wagplacement

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/wagtailspar/wagtailspar/wagserver"
)

// Scheduler decides for the servers of one service in one data centre. It is not
// safe for concurrent use.
type Scheduler struct {
	servers map[string]*server
	// order holds the servers in the order of their IDs.
	order   []*server
	routes  map[string]*route
	granted map[RequestID]*grant
	waiting queue
	// allSlots is how many requests the group can run at once, as of the latest
	// estimate.
	allSlots float64
	budget   budget
	// probes is how often a second each server may be probed.
	probes  float64
	load    load
	knee    knee
	remotes []remote
	// turn moves the start of the search on, so that equal servers take turns.
	turn     int
	commands []Command
	// without holds the mechanisms that are left out.
	without map[Mechanism]bool
	// wake is when Tick has to be called next; zero when nothing waits.
	wake time.Time
}

// grant is a request that runs on a server.
type grant struct {
	request Request
	server  *server
	route   *route
	at      time.Time
	// slowness is the estimate for the server when the request was sent, and
	// nearlyFull whether it was above the knee.
	slowness   float64
	nearlyFull bool
	// knee is how much longer the request takes because nearlyFull is set; 1 without.
	knee float64
	// stuck tells that the request runs for much longer than usual.
	stuck bool
}

// grantGrace is how long after its deadline a request that was granted is still
// expected to finish. Hosts that end lose their grants.
const grantGrace = 2 * time.Second

// Option sets a property of a Core.
type Option func(*Scheduler)

// WithRetryBudget bounds the repeats of requests: in any window, a ratio of the
// requests and a slack.
func WithRetryBudget(ratio, slack float64, window time.Duration) Option {
	return func(c *Scheduler) { c.budget = newBudget(ratio, slack, window) }
}

// WithProbeRate bounds how often a second each server is probed.
func WithProbeRate(rate float64) Option { return func(c *Scheduler) { c.probes = rate } }

// New returns a core without servers.
func New(opts ...Option) *Scheduler {
	c := &Scheduler{
		servers: make(map[string]*server), routes: make(map[string]*route), granted: make(map[RequestID]*grant),
		budget: newBudget(defaultRatio, defaultSlack, defaultWindow), probes: defaultProbes, load: load{slow: firstSlowShare},
		without: make(map[Mechanism]bool),
	}
	for _, o := range opts {
		o(c)
	}
	c.waiting.unordered = c.without[MechanismOrder]
	return c
}

// Submit takes a request that needs a server.
func (c *Scheduler) Submit(now time.Time, r Request) {
	switch {
	case r.Foreign:
		// The budget of its own data centre counts the request.
	case !r.Repeat:
		c.budget.first(now)
	case !c.budget.take(now, r):
		c.refuse(&r, ReasonBudget, now, 0)
		return
	}
	w := &waiter{Request: r, route: c.route(r.Route, r.Goal.Sub(now)), arrived: now}
	w.unsure = w.route.unsure(now)
	if !w.isLate(now) {
		c.load.arrived(now)
	}
	c.limitExclusions(now)
	if c.admit(now, w) {
		c.waiting.add(w)
	}
	c.dispatch(now)
}

// FinishAttempt ends the attempt of a request.
func (c *Scheduler) FinishAttempt(now time.Time, id RequestID, r Result) {
	g, ok := c.granted[id]
	if !ok {
		return
	}
	c.release(g)
	r.HasReport = r.HasReport && !c.without[MechanismReports]
	g.server.observe(now, g, r)
	if r.HasReport {
		c.load.reported(g.server.report.Slowness >= slowFrom)
	}
	if r.Fault != FaultConnect && r.Fault != FaultRejected && r.Fault != FaultMisdirected {
		c.load.held(now.Sub(g.at))
	}
	if r.Fault == FaultNone {
		c.learn(g, r.Latency)
	}
	c.dispatch(now)
}

// release takes a request off its server.
func (c *Scheduler) release(g *grant) {
	delete(c.granted, g.request.ID)
	g.server.running--
	g.server.since = max(g.server.since-1, 0)
	if g.stuck {
		g.server.stuck--
	}
	if !g.server.listed && g.server.running == 0 {
		delete(c.servers, g.server.ID)
	}
}

// Cancel removes a waiting request whose caller went away.
func (c *Scheduler) Cancel(_ time.Time, id RequestID) { c.waiting.remove(id) }

// HandleProbeResult takes the answer to a probe.
func (c *Scheduler) HandleProbeResult(now time.Time, serverID string, r Result) {
	s, ok := c.servers[serverID]
	if !ok {
		return
	}
	s.probing = false
	r.HasReport = r.HasReport && !c.without[MechanismReports]
	s.probed(now, r)
	if r.HasReport {
		c.load.reported(s.report.Slowness >= slowFrom)
	}
	c.dispatch(now)
}

// Tick does what is due.
func (c *Scheduler) Tick(now time.Time) {
	for _, g := range c.granted {
		if !now.Before(g.request.Deadline.Add(grantGrace)) {
			c.release(g)
			continue
		}
		if !g.stuck && !c.without[MechanismStuck] && now.Sub(g.at) >= g.usual(stuckFactor) {
			g.stuck = true
			g.server.stuck++
		}
	}
	c.dispatch(now)
}

// usual returns a multiple of the time that the request was expected to take.
func (g *grant) usual(times float64) time.Duration {
	return time.Duration(times * g.slowness * g.knee * float64(g.route.work))
}

// pace is the time of the request as a multiple of what was expected.
func (g *grant) pace(took time.Duration) float64 {
	return min(float64(took)/max(float64(g.usual(1)), 1), maxPace)
}

// NextWake returns when Tick has to be called, or the zero time.
func (c *Scheduler) NextWake() time.Time { return c.wake }

// TakeCommands returns and clears what the core asks for.
func (c *Scheduler) TakeCommands() []Command {
	list := c.commands
	c.commands = nil
	return list
}

// refuse ends a request that was expected to wait for a time.
func (c *Scheduler) refuse(r *Request, reason Reason, retryAt time.Time, expected time.Duration) {
	inputs := DecisionInputs{Waiting: len(c.waiting.list), Slots: c.allSlots, ExpectedWait: expected}
	if known, ok := c.routes[r.Route]; ok {
		inputs.ServiceTime = known.work
	}
	c.commands = append(c.commands, Refuse{Request: *r, Reason: reason, RetryAt: retryAt, Inputs: inputs})
}

// SetServers replaces the servers that may get work.
func (c *Scheduler) SetServers(now time.Time, list []wagserver.Instance) {
	for _, s := range c.servers {
		s.listed = false
	}
	for _, i := range list {
		s, ok := c.servers[i.ID]
		if !ok || !s.Started.Equal(i.Started) || s.Address != i.Address {
			s = &server{probes: rate.NewLimiter(rate.Limit(c.probes), max(int(c.probes*probeBurst.Seconds()), 1)), unreported: c.unreported(), without: c.without}
			c.servers[i.ID] = s
		}
		s.Instance, s.listed = i, true
	}
	for id, s := range c.servers {
		if !s.listed && s.running == 0 {
			delete(c.servers, id)
		}
	}
	c.sortServers()
	c.dispatch(now)
}
