package wagplacement

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// Scheduler schedules the requests of one service in one data centre on its servers.
// It is not safe for concurrent use.
type Scheduler struct {
	servers map[string]*server
	// byID holds the servers that may get requests, sorted by ID.
	byID   []*server
	routes map[string]*routeStats
	grants map[RequestID]*grant
	queue  queue
	// estimatedSlots is how many requests the group can run at once, as of the latest
	// estimate.
	estimatedSlots float64
	budget         retryBudget
	// probeRate limits the probes of each server per second.
	probeRate float64
	load      loadEstimate
	knee      knee
	cold      coldLimit
	remotes   []remoteDataCentre
	// evacuating is set while some data centre is evacuated.
	evacuating bool
	// answeredAt is when a server of the group last answered a request or a probe.
	answeredAt time.Time
	// searchOffset is where the search for a server starts. It moves on, so that equal
	// servers take turns.
	searchOffset int
	commands     []Command
	// disabled holds the mechanisms that are disabled.
	disabled map[Mechanism]bool
	// nextWake is when Tick is due; zero if nothing is.
	nextWake time.Time
}

// grant is a request that runs on a server.
type grant struct {
	request   Request
	server    *server
	route     *routeStats
	grantedAt time.Time
	// slowness is the estimate for the server at the time of the grant, and aboveKnee is
	// set if the server was above the knee then.
	slowness  float64
	aboveKnee bool
	// kneeFactor is the slowdown that is expected because of aboveKnee; 1 without it.
	kneeFactor float64
	// stuck is set when the request has run for much longer than expected.
	stuck bool
}

// grantGracePeriod is how long after its deadline a request keeps its slot when no
// result is reported, because its host has ended.
const grantGracePeriod = 2 * time.Second

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithRetryBudget limits the repeats of requests: within any window to a ratio of the
// requests plus a slack.
func WithRetryBudget(ratio, slack float64, window time.Duration) Option {
	return func(sc *Scheduler) { sc.budget = newRetryBudget(ratio, slack, window) }
}

// WithProbeRate limits the probes of each server per second.
func WithProbeRate(rate float64) Option { return func(sc *Scheduler) { sc.probeRate = rate } }

// New returns a scheduler without servers.
func New(opts ...Option) *Scheduler {
	sc := &Scheduler{
		servers: make(map[string]*server), routes: make(map[string]*routeStats), grants: make(map[RequestID]*grant),
		budget: newRetryBudget(defaultRetryRatio, defaultRetrySlack, defaultRetryWindow), probeRate: defaultProbeRate, load: loadEstimate{slowShare: initialSlowShare},
		disabled: make(map[Mechanism]bool),
	}
	for _, o := range opts {
		o(sc)
	}
	sc.queue.unordered = sc.disabled[MechanismOrder]
	return sc
}

// Submit grants a new request, queues it or refuses it.
func (sc *Scheduler) Submit(now time.Time, r Request) {
	switch {
	case r.Foreign:
		// Its own data centre counts the request in its retry budget.
	case r.PlacedAgain:
		// The retry budget has counted it.
	case !r.Repeat:
		sc.budget.countRequest(now)
	case !sc.budget.takeRepeat(now, r):
		sc.refuse(&r, ReasonBudget, now, 0)
		return
	}
	w := &waiter{Request: r, route: sc.routeStats(r.Route, r.Goal.Sub(now)), arrivedAt: now}
	w.unreliable = w.route.isUnreliable(now)
	if !w.isLate(now) {
		sc.load.recordArrival(now)
	}
	sc.limitExclusions(now)
	if !r.decidesAlone() {
		sc.cold.recordOwnerRequest(now)
	}
	if sc.admit(now, w) {
		sc.queue.add(w)
	}
	sc.dispatch(now)
}

// FinishAttempt records the result of a granted request and frees its slot.
func (sc *Scheduler) FinishAttempt(now time.Time, id RequestID, r Result) {
	g, ok := sc.grants[id]
	if !ok {
		return
	}
	sc.releaseSlot(g)
	r.HasReport = r.HasReport && !sc.disabled[MechanismReports]
	g.server.recordResult(now, g, r)
	if r.isAnswer() {
		sc.answeredAt = now
	}
	if r.HasReport {
		sc.load.recordReport(g.server.report.Slowness >= slowThreshold)
	}
	switch held := now.Sub(g.grantedAt); r.Fault {
	case FaultConnect, FaultRejected, FaultMisdirected:
	case FaultCanceled:
		// The request would have held the slot for at least that long, or was not sent.
		if sc.load.meanHoldTime > 0 && held > sc.load.meanHoldTime {
			sc.load.recordHoldTime(held)
		}
	default:
		sc.load.recordHoldTime(held)
	}
	if r.Fault == FaultNone {
		sc.updateEstimates(g, r.Latency)
	}
	sc.dispatch(now)
}

// releaseSlot removes a request from its server. A server that is not listed any more
// is removed with its last request.
func (sc *Scheduler) releaseSlot(g *grant) {
	delete(sc.grants, g.request.ID)
	g.server.running--
	g.server.grantedSinceReport = max(g.server.grantedSinceReport-1, 0)
	if g.stuck {
		g.server.stuckCount--
	}
	if !g.server.listed && g.server.running == 0 {
		delete(sc.servers, g.server.ID)
	}
}

// Cancel removes a waiting request whose caller has gone.
func (sc *Scheduler) Cancel(_ time.Time, id RequestID) { sc.queue.remove(id) }

// HandleProbeResult records the result of a probe.
func (sc *Scheduler) HandleProbeResult(now time.Time, serverID string, r Result) {
	s, ok := sc.servers[serverID]
	if !ok {
		return
	}
	s.probing = false
	r.HasReport = r.HasReport && !sc.disabled[MechanismReports]
	s.recordProbe(now, r, sc.answeredAt.After(s.probedAt))
	if r.isAnswer() {
		sc.answeredAt = now
	}
	if r.HasReport {
		sc.load.recordReport(s.report.Slowness >= slowThreshold)
	}
	sc.dispatch(now)
}

// Tick frees the slots of expired grants, marks stuck requests and dispatches.
func (sc *Scheduler) Tick(now time.Time) {
	for _, g := range sc.grants {
		if !now.Before(g.request.Deadline.Add(grantGracePeriod)) {
			sc.releaseSlot(g)
			continue
		}
		if !g.stuck && !sc.disabled[MechanismStuck] && now.Sub(g.grantedAt) >= g.expectedLatency(stuckFactor) {
			g.stuck = true
			g.server.stuckCount++
		}
	}
	sc.dispatch(now)
}

// expectedLatency returns a multiple of the latency that is expected of the request.
func (g *grant) expectedLatency(multiple float64) time.Duration {
	return wagclock.FromNanoseconds(multiple * g.slowness * g.kneeFactor * float64(g.route.serviceTime))
}

// latencyRatio returns a latency as a multiple of the expected latency, at most
// maxLatencyRatio.
func (g *grant) latencyRatio(latency time.Duration) float64 {
	return min(float64(latency)/max(float64(g.expectedLatency(1)), 1), maxLatencyRatio)
}

// NextWake returns when Tick is due, or the zero time.
func (sc *Scheduler) NextWake() time.Time { return sc.nextWake }

// TakeCommands returns the commands since the last call.
func (sc *Scheduler) TakeCommands() []Command {
	list := sc.commands
	sc.commands = nil
	return list
}

// refuse ends a request. expectedWait is how long it was expected to wait.
func (sc *Scheduler) refuse(r *Request, reason Reason, retryAt time.Time, expectedWait time.Duration) {
	inputs := DecisionInputs{Waiting: len(sc.queue.list), Slots: sc.estimatedSlots, ExpectedWait: expectedWait}
	if stats, ok := sc.routes[r.Route]; ok {
		inputs.ServiceTime = stats.serviceTime
	}
	sc.commands = append(sc.commands, Refuse{Request: *r, Reason: reason, RetryAt: retryAt, Inputs: inputs})
}

// SetServers replaces the servers that may get requests. A server with another start
// time or address is a new one. Servers that are not listed any more finish the
// requests that they run.
func (sc *Scheduler) SetServers(now time.Time, list []wagserver.Instance) {
	for _, s := range sc.servers {
		s.listed = false
	}
	for _, instance := range list {
		s, ok := sc.servers[instance.ID]
		if !ok || !s.Started.Equal(instance.Started) || s.Address != instance.Address {
			s = &server{probeLimiter: rate.NewLimiter(rate.Limit(sc.probeRate), max(int(sc.probeRate*probeBurstWindow.Seconds()), 1)), withoutReports: sc.serviceWithoutReports(), disabled: sc.disabled}
			sc.servers[instance.ID] = s
		}
		if s.cold.listedAt.IsZero() {
			s.cold.listedAt = now
		}
		if !instance.ColdUntil.Equal(s.ColdUntil) {
			s.cold.setFromEntry(now, instance.ColdUntil)
		}
		s.Instance, s.listed = instance, true
	}
	for id, s := range sc.servers {
		switch {
		case s.listed:
		case s.running == 0:
			delete(sc.servers, id)
		default:
			// It may become cold until it is listed again.
			s.cold.listedAt, s.cold.isConfirmed = time.Time{}, false
		}
	}
	sc.sortServers()
	sc.dispatch(now)
}
