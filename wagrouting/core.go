package wagrouting

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

// Core makes the routing decisions of one server group. It is not safe for
// concurrent use.
type Core struct {
	document   *wagdocument.Document
	policy     Policy
	dataCentre string
	random     *rand.Rand
	disabled   map[Mechanism]bool

	// servers holds every server that is listed or has requests in flight.
	servers   []*server
	byAddress map[netip.AddrPort]*server
	// eligible holds the servers that may get requests, in no order.
	eligible []*server
	// freeServers orders the servers with a free slot by cost: the first index
	// for short requests, the second one for long requests. With
	// LeastOutstanding, the first index holds all eligible servers by load.
	freeServers [2]serverIndex
	// underReview holds the servers whose state changes with time alone.
	underReview    []*server
	hasServerList  bool
	roundRobinNext int

	// inFlightByID holds the attempts in flight. oldest and newest link those
	// that have not yet run for Limits.LongAfter.
	inFlightByID   map[RequestID]*attempt
	oldest, newest *attempt
	// freeAttempts are kept for reuse, so that sending does not allocate.
	freeAttempts []*attempt
	queue        queue
	routes       map[string]*routeStats
	// classMeanSeconds holds the mean service times of the classes.
	classMeanSeconds [2]float64

	// inFlight and longInFlight count the requests and the long requests in
	// flight at all servers.
	inFlight     int
	longInFlight int
	// longSentAsShort is the part of longInFlight that was sent as short.
	longSentAsShort int
	// capacity is the sum of the capacities of the eligible servers; fastCapacity
	// is the part of it at servers of level 0.
	capacity     int
	fastCapacity int
	// fastLongInFlight is the part of fastCapacity that long requests hold.
	fastLongInFlight int
	// healthy counts the eligible servers that are not failing.
	healthy       int
	excludedCount int
	// meanInFlight is the moving average of inFlight at the arrival of requests.
	meanInFlight float64
	// meanShortDemand is the same for requests in flight that were sent as short
	// ones, and for those in the queue. Requests that turned out to be long are
	// included, because they take slots that long requests must leave free.
	meanShortDemand float64

	remotes []*remoteGroup
	// spillCredit is how many requests may spill now. Each new request adds
	// Zones.Spill, up to spillBurst.
	spillCredit float64

	// now is the time of the latest event; it never decreases.
	now        time.Time
	nextReview time.Time
	counters   Counters
	// onViolation is called for each violated invariant; it may be nil.
	onViolation func(Invariant)
}

// New returns a core for the servers of one group.
func New(d *wagdocument.Document, opts ...Option) *Core {
	c := &Core{
		document: d, policy: GroupOwner{}, random: rand.New(rand.NewPCG(1, 0)), disabled: make(map[Mechanism]bool),
		byAddress: make(map[netip.AddrPort]*server), inFlightByID: make(map[RequestID]*attempt), queue: newQueue(), routes: make(map[string]*routeStats),
	}
	c.freeServers[1].id = 1
	for _, o := range opts {
		o(c)
	}
	return c
}

// SetDocument replaces the document for the requests that follow.
func (c *Core) SetDocument(_ time.Time, d *wagdocument.Document) {
	c.document = d
	for _, r := range c.remotes {
		r.linkCost = 2 * d.Zones.Between(c.dataCentre, r.dataCentre)
	}
	for _, s := range c.servers {
		if !s.slotsReported {
			s.slots = d.Service.Slots
		}
		s.slots = min(s.slots, maxSlotsFactor*d.Service.Slots)
		c.refresh(s)
	}
}

// loadMeanWeight is the weight of a new request in the moving averages of the
// load. They cover about fifty requests, which a small group gets in a tenth of a
// second at normal load.
const loadMeanWeight = 0.02

// advance moves the time of the core forward and updates what depends on it.
func (c *Core) advance(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
	c.reclassifyAged(c.now)
	if !c.now.Before(c.nextReview) {
		c.reviewServers(c.now)
	}
}

// Submit decides on a new request.
func (c *Core) Submit(now time.Time, req Request) Decision {
	c.advance(now)
	c.meanInFlight += loadMeanWeight * (float64(c.inFlight) - c.meanInFlight)
	demand := float64(c.inFlight - c.longInFlight + c.longSentAsShort + len(c.queue.byClass[0].list))
	c.meanShortDemand += loadMeanWeight * (demand - c.meanShortDemand)
	c.spillCredit = min(c.spillCredit+c.document.Zones.Spill, spillBurst)
	d := c.decide(now, &req)
	if _, refused := d.(Refuse); refused {
		c.counters.Refused++
	}
	return d
}

// decide returns the decision on a new request.
func (c *Core) decide(now time.Time, req *Request) Decision {
	if !req.Deadline.After(now) {
		return refuseDeadline
	}
	r := c.routeFor(req.Route)
	long := c.isLongRequest(req, r)
	if c.healthy == 0 && c.queuesRequests() {
		// No healthy server is left here; another data centre may have one.
		if d := c.spill(now, req, long, 0); d != nil {
			return d
		}
	}
	if len(c.queue.byClass[classIndex(long)].list) == 0 {
		if s := c.chooseServer(now, req, long); s != nil {
			return c.send(now, req.ID, s, r, long)
		}
	}
	if len(c.eligible) == 0 || !c.queuesRequests() {
		return refuseNoServer
	}
	ownQueued := c.queue.queuedBy(req.Caller)
	ahead := c.requestsAhead(ownQueued, long)
	expected := c.expectedWait(ahead, long)
	if d := c.spill(now, req, long, expected); d != nil {
		return d
	}
	if d := c.admit(now, req, r, long, ownQueued, expected); d != nil {
		return d
	}
	c.enqueue(req, r, long, ownQueued)
	return waitDecision
}

// send assigns a request to a server and counts it as in flight.
func (c *Core) send(now time.Time, id RequestID, s *server, r *routeStats, long bool) Decision {
	c.check(s.listed && !s.leaving && !s.excluded, SentToEligible)
	s.inFlight++
	s.sentSinceReport++
	c.inFlight++
	c.counters.Sent++
	a := c.newAttempt()
	*a = attempt{id: id, server: s, route: r, sentAt: now, long: long}
	c.linkAttempt(a)
	c.check(c.inFlightByID[id] == nil, SentOnce)
	c.inFlightByID[id] = a
	if long {
		c.countLong(a, 1)
		return s.sendDecision
	}
	c.refresh(s)
	return s.sendDecision
}

// FinishAttempt ends the attempt of a request. It appends the decisions on queued
// requests that follow from it.
func (c *Core) FinishAttempt(now time.Time, id RequestID, r Result, decisions []DelayedDecision) []DelayedDecision {
	c.advance(now)
	a, ok := c.inFlightByID[id]
	if !ok {
		c.counters.UnknownFinishes++
		return decisions
	}
	delete(c.inFlightByID, id)
	c.counters.Finished++
	c.unlinkAttempt(a)
	s := a.server
	s.inFlight--
	c.inFlight--
	c.check(s.inFlight >= 0 && c.inFlight >= 0, InFlightNotNegative)
	if a.countedLong {
		c.countLong(a, -1)
	}
	c.recordResult(now, a, r)
	c.refresh(s)
	c.removeIfUnused(s)
	a.server, a.route = nil, nil
	c.freeAttempts = append(c.freeAttempts, a)
	return c.dispatch(now, decisions)
}

// Cancel removes a request from the queue because its caller went away.
func (c *Core) Cancel(id RequestID) {
	if w, ok := c.queue.byID[id]; ok {
		c.counters.Canceled++
		c.queue.remove(w)
	}
}

// Tick sends queued requests that can be served now and refuses late ones. It
// appends these decisions.
func (c *Core) Tick(now time.Time, decisions []DelayedDecision) []DelayedDecision {
	c.advance(now)
	return c.dispatch(now, decisions)
}

// NextWake returns the earliest time at which Tick has to be called, or the zero
// time when the queue is empty.
func (c *Core) NextWake() time.Time {
	w := c.queue.byDeadline.head()
	if w == nil {
		return time.Time{}
	}
	if len(c.underReview) > 0 && c.nextReview.Before(w.request.Deadline) {
		return c.nextReview
	}
	return w.request.Deadline
}

// QueueLength returns the number of requests in the queue.
func (c *Core) QueueLength() int { return c.queue.len() }
