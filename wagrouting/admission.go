package wagrouting

import (
	"math"
	"time"
)

const (
	// admissionMargin is how many mean service times must remain between the
	// expected wait of a request and its deadline. Service times with a standard
	// deviation of half of the mean stay below three means in 99 of 100 requests.
	admissionMargin = 3
	// dispatchMargin is the same for a request that leaves the queue. It is
	// lower, so that an estimate which was a little too low does not waste an
	// admitted request.
	dispatchMargin = 2
	// fairShareFactor is how many times the mean of all callers one caller may
	// have in a queue that is longer than the group has slots.
	fairShareFactor = 2
	// minQueuedPerCaller is how many requests a caller may have in the queue in
	// any case.
	minQueuedPerCaller = 4
	// priorityStep is the time by which a unit of Request.Priority moves a
	// request forward in the queue.
	priorityStep = 20 * time.Millisecond
	// minLongShare is the share of slots that long requests get although short
	// ones wait, so that they progress at peak.
	minLongShare = 0.1
	// shortHeadroom is the number of slots kept free for short requests beyond
	// their mean demand, as a multiple of its square root. At this value, fewer
	// than about one in seven short requests find no free slot (by the Erlang C
	// formula, at 4 to 30 slots).
	shortHeadroom = 1.2
	// guaranteedLongShare is the part of longLimit that long requests may hold,
	// however many slots short ones need.
	guaranteedLongShare = 0.6
)

// requestsAhead estimates how many queued requests are served before a new
// request of a caller that has ownQueued requests in the queue.
func (c *Core) requestsAhead(ownQueued int, long bool) int {
	n := len(c.queue.byClass[classIndex(long)].list)
	if c.disabled[FairQueueing] {
		return n
	}
	return min(n, (ownQueued+1)*max(len(c.queue.callers), 1))
}

// longSlots returns how many slots of the group long requests may hold now. This
// is their share, without the slots that short requests need: the mean demand and
// shortHeadroom times its square root, because demand varies by about that.
func (c *Core) longSlots() int {
	limit := c.longLimit(c.capacity)
	if c.disabled[ReserveSlots] || c.disabled[LendSlots] {
		return limit
	}
	need := int(math.Ceil(c.meanShortDemand + shortHeadroom*math.Sqrt(c.meanShortDemand)))
	least := int(math.Ceil(guaranteedLongShare * float64(limit)))
	return max(1, least, min(limit, c.capacity-need))
}

// slotsFor returns how many slots a class can have now.
func (c *Core) slotsFor(long bool) int {
	if long {
		return c.longSlots()
	}
	return max(1, c.capacity-c.longInFlight)
}

// slowSlotWeight is what a slot of a slow server is assumed to serve, as a part
// of what a slot of a normal server does.
const slowSlotWeight = 0.33

// fastSlots returns how many slots of normal servers a class can have now. The
// slots of long requests are assumed to be spread evenly over all servers. For
// short requests that would be too inaccurate: in a group of 8 slots, long
// requests often hold most of the fast ones.
func (c *Core) fastSlots(long bool) float64 {
	if !long {
		return float64(c.fastCapacity - c.fastLongInFlight)
	}
	return float64(c.fastCapacity) * float64(c.slotsFor(long)) / float64(max(c.capacity, 1))
}

// expectedWait returns how long a request waits behind the given number of
// others.
func (c *Core) expectedWait(ahead int, long bool) time.Duration {
	mean := c.classMeanSeconds[classIndex(long)]
	fast := c.fastSlots(long)
	slots := fast + slowSlotWeight*(float64(c.slotsFor(long))-fast)
	return time.Duration(float64(ahead+1) * mean / max(slots, 1) * float64(time.Second))
}

// admit returns a refusal, or nil when the request may wait.
func (c *Core) admit(now time.Time, req *Request, r *routeStats, long bool, ownQueued int, expected time.Duration) Decision {
	n := c.queue.len()
	if n >= c.document.Limits.Queue {
		return refuseFull
	}
	if c.disabled[AdmissionControl] {
		return nil
	}
	margin := time.Duration(admissionMargin * r.meanServiceSeconds * float64(time.Second))
	if now.Add(expected + margin).After(req.Deadline) {
		return refuseDeadline
	}
	if !c.disabled[FairQueueing] && c.exceedsFairShare(ownQueued, long) {
		return refuseOverload
	}
	return nil
}

// exceedsFairShare reports whether a caller has its full part of the queue.
func (c *Core) exceedsFairShare(ownQueued int, long bool) bool {
	if ownQueued >= max(minQueuedPerCaller, c.document.Limits.Queue/2) {
		return true
	}
	queued := len(c.queue.byClass[classIndex(long)].list)
	callers := max(len(c.queue.callers), 1)
	return queued > c.slotsFor(long) && ownQueued >= max(minQueuedPerCaller, fairShareFactor*queued/callers)
}

// enqueue puts a request into the queue.
func (c *Core) enqueue(req *Request, r *routeStats, long bool, ownQueued int) {
	virtualDeadline := req.Deadline.Add(-time.Duration(req.Priority) * priorityStep)
	if queued := len(c.queue.byClass[classIndex(long)].list); !c.disabled[FairQueueing] && queued > c.slotsFor(long) {
		// Each queued request of a caller moves its next one back by one round of
		// all callers. In a short queue, the order by deadline keeps waits even.
		round := float64(len(c.queue.callers)) * c.classMeanSeconds[classIndex(long)] / float64(c.slotsFor(long))
		virtualDeadline = virtualDeadline.Add(time.Duration(float64(ownQueued) * round * float64(time.Second)))
	}
	c.queue.add(*req, r, long, virtualDeadline)
	c.counters.Queued++
	c.check(c.queue.len() <= c.document.Limits.Queue, QueueBounded)
}

// dispatch refuses queued requests that are late and sends those that can be
// served.
func (c *Core) dispatch(now time.Time, decisions []DelayedDecision) []DelayedDecision {
	for w := c.queue.byDeadline.head(); w != nil && !w.request.Deadline.After(now); w = c.queue.byDeadline.head() {
		decisions = c.expire(w, decisions)
	}
	for c.queue.len() > 0 {
		w, s := c.nextToSend(now)
		if w == nil {
			return decisions
		}
		if c.cannotMeetDeadline(now, w) {
			decisions = c.expire(w, decisions)
			continue
		}
		id, r, long := w.request.ID, w.route, w.long
		c.queue.remove(w)
		decisions = append(decisions, DelayedDecision{Request: id, Decision: c.send(now, id, s, r, long)})
	}
	return decisions
}

// expire refuses a queued request because of its deadline.
func (c *Core) expire(w *queuedRequest, decisions []DelayedDecision) []DelayedDecision {
	decisions = append(decisions, DelayedDecision{Request: w.request.ID, Decision: refuseDeadline})
	c.counters.Expired++
	c.queue.remove(w)
	return decisions
}

// cannotMeetDeadline reports whether a queued request is not expected to end
// before its deadline, so that its slot is better given to another.
func (c *Core) cannotMeetDeadline(now time.Time, w *queuedRequest) bool {
	if c.disabled[AdmissionControl] {
		return false
	}
	margin := time.Duration(dispatchMargin * w.route.meanServiceSeconds * float64(time.Second))
	return now.Add(margin).After(w.request.Deadline)
}

// nextToSend returns the queued request that is sent next and its server. Short
// requests go first, unless long ones hold less than minLongShare of the slots.
func (c *Core) nextToSend(now time.Time) (*queuedRequest, *server) {
	order := [2]int{0, 1}
	if c.disabled[ReserveSlots] {
		a, b := c.queue.byClass[0].head(), c.queue.byClass[1].head()
		if a == nil || (b != nil && b.virtualDeadline.Before(a.virtualDeadline)) {
			order = [2]int{1, 0}
		}
	} else if c.longInFlight < max(1, int(minLongShare*float64(c.capacity))) {
		order = [2]int{1, 0}
	}
	for _, class := range order {
		w := c.queue.byClass[class].head()
		if w == nil {
			continue
		}
		if s := c.chooseServer(now, &w.request, w.long); s != nil {
			return w, s
		}
	}
	return nil, nil
}

// chooseFreeServer returns the cheapest server with a free slot, or nil when
// there is none or the request does better to wait.
func (c *Core) chooseFreeServer(req *Request, long bool) *server {
	class := classIndex(long)
	if c.disabled[ReserveSlots] {
		class = 0
	} else if long && c.longInFlight >= c.longSlots() {
		return nil
	}
	s := c.freeServers[class].cheapest(c.random, req.Avoid)
	if s == nil || s.level() == 0 || c.fastCapacity == 0 || c.disabled[WaitForFastServer] {
		return s
	}
	// With k requests queued, a slot of a fast server becomes free for this one
	// after about (k+1)/fastSlots mean service times. The slow server needs
	// cost-1 mean service times more than a fast one.
	queued := len(c.queue.byClass[classIndex(long)].list)
	if s.failing || (s.cost()-1)*c.fastSlots(long) > float64(queued+1) {
		return nil
	}
	return s
}
