package wagrouting

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

// Scheduler decides for one server group. It is not safe for concurrent use.
type Scheduler struct {
	document   *wagdocument.Document
	policy     Policy
	dataCentre string
	random     *rand.Rand
	without    map[Mechanism]bool

	// servers holds every server that has requests in flight or may get some.
	servers   []*server
	byAddress map[netip.AddrPort]*server
	// open holds the servers that may get calls, in no order.
	open []*server
	// free orders the servers with a free slot, for short and for long work.
	free [2]index
	// watched holds the servers whose state depends on time.
	watched    []*server
	listedOnce bool
	next       int

	// sent holds the calls in flight; oldest and newest link those that have
	// not reached Limits.LongAfter.
	sent           map[RequestID]*flight
	oldest, newest *flight
	idle           []*flight
	queue          queue
	routes         map[string]*route
	// means are the mean service times of the classes in seconds.
	means [2]float64

	// inFlight, long, capacity and fast are the totals of the open servers.
	inFlight int
	long     int
	// unforeseen is the part of long that was sent as short work.
	unforeseen int
	capacity   int
	fast       int
	// fastLong is the part of fast that long calls hold.
	fastLong int
	// sound counts the open servers that did not fail last.
	sound    int
	excluded int
	// busy is the mean of inFlight as new calls found it.
	busy float64
	// demand is the same of the calls sent as short work, with those that wait.
	// Calls that turned out to be long are in it, for they take slots that long
	// work must leave free.
	demand float64

	remotes []*remote
	// credit is how many calls may spill now. Each call adds Zones.Spill.
	credit float64

	// now is the time of the latest event; it never decreases.
	now        time.Time
	nextReview time.Time
	counters   Counters
	// violated is told of violations, or is nil.
	violated func(Invariant)
}

// New returns a core for the servers of one group.
func New(d *wagdocument.Document, opts ...Option) *Scheduler {
	c := &Scheduler{
		document: d, policy: GroupOwner{}, random: rand.New(rand.NewPCG(1, 0)), without: make(map[Mechanism]bool),
		byAddress: make(map[netip.AddrPort]*server), sent: make(map[RequestID]*flight), queue: newQueue(), routes: make(map[string]*route),
	}
	c.free[1].id = 1
	for _, o := range opts {
		o(c)
	}
	return c
}

// SetDocument puts a document in force for the calls that follow.
func (c *Scheduler) SetDocument(_ time.Time, d *wagdocument.Document) {
	c.document = d
	for _, r := range c.remotes {
		r.cost = 2 * d.Zones.Between(c.dataCentre, r.dataCentre)
	}
	for _, s := range c.servers {
		if !s.slotsReported {
			s.slots = d.Service.Slots
		}
		s.slots = min(s.slots, maxReported*d.Service.Slots)
		c.refresh(s)
	}
}

// busyWeight is the weight of one call in the mean of the calls in flight. Fifty
// calls are about a tenth of a second of a small group at normal load.
const busyWeight = 0.02

// advance moves the time of the core.
func (c *Scheduler) advance(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
	c.age(c.now)
	if !c.now.Before(c.nextReview) {
		c.review(c.now)
	}
}

// Submit decides on a new call.
func (c *Scheduler) Submit(now time.Time, call Request) Decision {
	c.advance(now)
	c.busy += busyWeight * (float64(c.inFlight) - c.busy)
	demand := float64(c.inFlight - c.long + c.unforeseen + len(c.queue.turns[0].list))
	c.demand += busyWeight * (demand - c.demand)
	c.credit = min(c.credit+c.document.Zones.Spill, spillBurst)
	d := c.decide(now, &call)
	if _, refused := d.(Refuse); refused {
		c.counters.Refused++
	}
	return d
}

func (c *Scheduler) decide(now time.Time, call *Request) Decision {
	if !call.Deadline.After(now) {
		return refuseDeadline
	}
	r := c.route(call.Route)
	long := c.isLong(call, r)
	if c.sound == 0 && c.queues() {
		// All servers fail or none is left; another group may still serve.
		if d := c.spill(now, call, long, 0); d != nil {
			return d
		}
	}
	if len(c.queue.turns[classOf(long)].list) == 0 {
		if s := c.choose(now, call, long); s != nil {
			return c.send(now, call.ID, s, r, long)
		}
	}
	if len(c.open) == 0 || !c.queues() {
		return refuseNoServer
	}
	own := c.queue.waitingOf(call.Caller)
	ahead := c.ahead(own, long)
	expected := c.expectedWait(ahead, long)
	if d := c.spill(now, call, long, expected); d != nil {
		return d
	}
	if d := c.admit(now, call, r, long, own, expected); d != nil {
		return d
	}
	c.enqueue(call, r, long, own)
	return wait
}

func (c *Scheduler) send(now time.Time, id RequestID, s *server, r *route, long bool) Decision {
	c.check(s.listed && !s.leaving && !s.excluded, SentToEligible)
	s.inFlight++
	s.sinceReport++
	c.inFlight++
	c.counters.Sent++
	f := c.takeFlight()
	*f = flight{id: id, server: s, route: r, sent: now, long: long}
	c.link(f)
	c.check(c.sent[id] == nil, SentOnce)
	c.sent[id] = f
	if long {
		c.countLong(f, 1)
		return s.send
	}
	c.refresh(s)
	return s.send
}

// FinishAttempt ends the attempt of a call and appends the calls that start now.
func (c *Scheduler) FinishAttempt(now time.Time, id RequestID, r Result, starts []DelayedDecision) []DelayedDecision {
	c.advance(now)
	f, ok := c.sent[id]
	if !ok {
		c.counters.UnknownFinishes++
		return starts
	}
	delete(c.sent, id)
	c.counters.Finished++
	c.unlink(f)
	s := f.server
	s.inFlight--
	c.inFlight--
	c.check(s.inFlight >= 0 && c.inFlight >= 0, InFlightNotNegative)
	if f.counted {
		c.countLong(f, -1)
	}
	c.observe(now, f, r)
	c.refresh(s)
	c.dropIdle(s)
	f.server, f.route = nil, nil
	c.idle = append(c.idle, f)
	return c.dispatch(now, starts)
}

// Cancel removes a waiting call whose caller went away.
func (c *Scheduler) Cancel(id RequestID) {
	if w, ok := c.queue.byID[id]; ok {
		c.counters.Canceled++
		c.queue.remove(w)
	}
}

// Tick starts waiting calls that can be served and refuses the late ones.
func (c *Scheduler) Tick(now time.Time, starts []DelayedDecision) []DelayedDecision {
	c.advance(now)
	return c.dispatch(now, starts)
}

// NextWake returns the earliest time at which Tick has to be called, or the
// zero time when nothing waits.
func (c *Scheduler) NextWake() time.Time {
	w := c.queue.deadlines.head()
	if w == nil {
		return time.Time{}
	}
	if len(c.watched) > 0 && c.nextReview.Before(w.call.Deadline) {
		return c.nextReview
	}
	return w.call.Deadline
}

// QueueLength returns the number of calls in the queue.
func (c *Scheduler) QueueLength() int { return c.queue.len() }
