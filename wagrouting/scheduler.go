package wagrouting

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

// Scheduler schedules the requests of one server group onto the slots of its
// servers. It is not safe for concurrent use.
type Scheduler struct {
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

// New returns a scheduler for the servers of one group.
func New(d *wagdocument.Document, opts ...Option) *Scheduler {
	sc := &Scheduler{
		document: d, policy: GroupOwner{}, random: rand.New(rand.NewPCG(1, 0)), disabled: make(map[Mechanism]bool),
		byAddress: make(map[netip.AddrPort]*server), inFlightByID: make(map[RequestID]*attempt), queue: newQueue(), routes: make(map[string]*routeStats),
	}
	sc.freeServers[1].id = 1
	for _, o := range opts {
		o(sc)
	}
	return sc
}

// SetDocument replaces the document for the requests that follow.
func (sc *Scheduler) SetDocument(_ time.Time, d *wagdocument.Document) {
	sc.document = d
	for _, r := range sc.remotes {
		r.linkCost = 2 * d.Zones.DelayBetween(sc.dataCentre, r.dataCentre)
	}
	for _, s := range sc.servers {
		if !s.slotsReported {
			s.slots = d.Service.Slots
		}
		s.slots = min(s.slots, maxSlotsFactor*d.Service.Slots)
		sc.refresh(s)
	}
}

// loadMeanWeight is the weight of a new request in the moving averages of the
// load. They cover about fifty requests, which a small group gets in a tenth of a
// second at normal load.
const loadMeanWeight = 0.02

// advance moves the time of the scheduler forward and updates what depends on it.
func (sc *Scheduler) advance(now time.Time) {
	if now.After(sc.now) {
		sc.now = now
	}
	sc.reclassifyAged(sc.now)
	if !sc.now.Before(sc.nextReview) {
		sc.reviewServers(sc.now)
	}
}

// Submit decides on a new request.
func (sc *Scheduler) Submit(now time.Time, req Request) Decision {
	sc.advance(now)
	sc.meanInFlight += loadMeanWeight * (float64(sc.inFlight) - sc.meanInFlight)
	demand := float64(sc.inFlight - sc.longInFlight + sc.longSentAsShort + len(sc.queue.byClass[0].list))
	sc.meanShortDemand += loadMeanWeight * (demand - sc.meanShortDemand)
	sc.spillCredit = min(sc.spillCredit+sc.document.Zones.Spill, spillBurst)
	d := sc.decide(now, &req)
	if _, refused := d.(Refuse); refused {
		sc.counters.Refused++
	}
	return d
}

// decide returns the decision on a new request.
func (sc *Scheduler) decide(now time.Time, req *Request) Decision {
	if !req.Deadline.After(now) {
		return refuseDeadline
	}
	r := sc.routeFor(req.Route)
	long := sc.isLongRequest(req, r)
	if sc.healthy == 0 && sc.queuesRequests() {
		// No healthy server is left here; another data centre may have one.
		if d := sc.spill(now, req, long, 0); d != nil {
			return d
		}
	}
	if len(sc.queue.byClass[classIndex(long)].list) == 0 {
		if s := sc.chooseServer(now, req, long); s != nil {
			return sc.send(now, req.ID, s, r, long)
		}
	}
	if len(sc.eligible) == 0 || !sc.queuesRequests() {
		return refuseNoServer
	}
	ownQueued := sc.queue.queuedBy(req.Caller)
	ahead := sc.requestsAhead(ownQueued, long)
	expected := sc.expectedWait(ahead, long)
	if d := sc.spill(now, req, long, expected); d != nil {
		return d
	}
	if d := sc.admit(now, req, r, long, ownQueued, expected); d != nil {
		return d
	}
	sc.enqueue(req, r, long, ownQueued)
	return waitDecision
}

// send assigns a request to a server and counts it as in flight.
func (sc *Scheduler) send(now time.Time, id RequestID, s *server, r *routeStats, long bool) Decision {
	sc.check(s.listed && !s.leaving && !s.excluded, SentToEligible)
	s.inFlight++
	s.sentSinceReport++
	sc.inFlight++
	sc.counters.Sent++
	a := sc.newAttempt()
	*a = attempt{id: id, server: s, route: r, sentAt: now, long: long}
	sc.linkAttempt(a)
	sc.check(sc.inFlightByID[id] == nil, SentOnce)
	sc.inFlightByID[id] = a
	if long {
		sc.countLong(a, 1)
		return s.sendDecision
	}
	sc.refresh(s)
	return s.sendDecision
}

// FinishAttempt ends the attempt of a request. It appends the decisions on queued
// requests that follow from it.
func (sc *Scheduler) FinishAttempt(now time.Time, id RequestID, r Result, decisions []DelayedDecision) []DelayedDecision {
	sc.advance(now)
	a, ok := sc.inFlightByID[id]
	if !ok {
		sc.counters.UnknownFinishes++
		return decisions
	}
	delete(sc.inFlightByID, id)
	sc.counters.Finished++
	sc.unlinkAttempt(a)
	s := a.server
	s.inFlight--
	sc.inFlight--
	sc.check(s.inFlight >= 0 && sc.inFlight >= 0, InFlightNotNegative)
	if a.countedLong {
		sc.countLong(a, -1)
	}
	sc.recordResult(now, a, r)
	sc.refresh(s)
	sc.removeIfUnused(s)
	a.server, a.route = nil, nil
	sc.freeAttempts = append(sc.freeAttempts, a)
	return sc.dispatch(now, decisions)
}

// Cancel removes a request from the queue, for example because its caller went
// away.
func (sc *Scheduler) Cancel(id RequestID) {
	if w, ok := sc.queue.byID[id]; ok {
		sc.counters.Canceled++
		sc.queue.remove(w)
	}
}

// Tick sends queued requests that can be served now and refuses late ones. It
// appends these decisions.
func (sc *Scheduler) Tick(now time.Time, decisions []DelayedDecision) []DelayedDecision {
	sc.advance(now)
	return sc.dispatch(now, decisions)
}

// NextWake returns the earliest time at which Tick has to be called, or the zero
// time when the queue is empty.
func (sc *Scheduler) NextWake() time.Time {
	w := sc.queue.byDeadline.head()
	if w == nil {
		return time.Time{}
	}
	if len(sc.underReview) > 0 && sc.nextReview.Before(w.request.Deadline) {
		return sc.nextReview
	}
	return w.request.Deadline
}

// QueueLength returns the number of requests in the queue.
func (sc *Scheduler) QueueLength() int { return sc.queue.len() }
