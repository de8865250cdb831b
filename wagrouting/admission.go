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
func (sc *Scheduler) requestsAhead(ownQueued int, long bool) int {
	n := len(sc.queue.byClass[classIndex(long)].list)
	if sc.disabled[FairQueueing] {
		return n
	}
	return min(n, (ownQueued+1)*max(len(sc.queue.callers), 1))
}

// longSlots returns how many slots of the group long requests may hold now. This
// is their share, without the slots that short requests need: the mean demand and
// shortHeadroom times its square root, because demand varies by about that.
func (sc *Scheduler) longSlots() int {
	limit := sc.longLimit(sc.capacity)
	if sc.disabled[ReserveSlots] || sc.disabled[LendSlots] {
		return limit
	}
	need := int(math.Ceil(sc.meanShortDemand + shortHeadroom*math.Sqrt(sc.meanShortDemand)))
	least := int(math.Ceil(guaranteedLongShare * float64(limit)))
	return max(1, least, min(limit, sc.capacity-need))
}

// slotsFor returns how many slots a class can have now.
func (sc *Scheduler) slotsFor(long bool) int {
	if long {
		return sc.longSlots()
	}
	return max(1, sc.capacity-sc.longInFlight)
}

// slowSlotWeight is what a slot of a slow server is assumed to serve, as a part
// of what a slot of a normal server does.
const slowSlotWeight = 0.33

// fastSlots returns how many slots of normal servers a class can have now. The
// slots of long requests are assumed to be spread evenly over all servers. For
// short requests that would be too inaccurate: in a group of 8 slots, long
// requests often hold most of the fast ones.
func (sc *Scheduler) fastSlots(long bool) float64 {
	if !long {
		return float64(sc.fastCapacity - sc.fastLongInFlight)
	}
	return float64(sc.fastCapacity) * float64(sc.slotsFor(long)) / float64(max(sc.capacity, 1))
}

// expectedWait returns how long a request waits behind the given number of
// others.
func (sc *Scheduler) expectedWait(ahead int, long bool) time.Duration {
	mean := sc.classMeanSeconds[classIndex(long)]
	fast := sc.fastSlots(long)
	slots := fast + slowSlotWeight*(float64(sc.slotsFor(long))-fast)
	return time.Duration(float64(ahead+1) * mean / max(slots, 1) * float64(time.Second))
}

// admit returns a refusal, or nil when the request may wait.
func (sc *Scheduler) admit(now time.Time, req *Request, r *routeStats, long bool, ownQueued int, expected time.Duration) Decision {
	n := sc.queue.len()
	if n >= sc.document.Limits.Queue {
		return refuseFull
	}
	if sc.disabled[AdmissionControl] {
		return nil
	}
	margin := time.Duration(admissionMargin * r.meanServiceSeconds * float64(time.Second))
	if now.Add(expected + margin).After(req.Deadline) {
		return refuseDeadline
	}
	if !sc.disabled[FairQueueing] && sc.exceedsFairShare(ownQueued, long) {
		return refuseOverload
	}
	return nil
}

// exceedsFairShare reports whether a caller has its full part of the queue.
func (sc *Scheduler) exceedsFairShare(ownQueued int, long bool) bool {
	if ownQueued >= max(minQueuedPerCaller, sc.document.Limits.Queue/2) {
		return true
	}
	queued := len(sc.queue.byClass[classIndex(long)].list)
	callers := max(len(sc.queue.callers), 1)
	return queued > sc.slotsFor(long) && ownQueued >= max(minQueuedPerCaller, fairShareFactor*queued/callers)
}

// enqueue puts a request into the queue.
func (sc *Scheduler) enqueue(req *Request, r *routeStats, long bool, ownQueued int) {
	virtualDeadline := req.Deadline.Add(-time.Duration(req.Priority) * priorityStep)
	if queued := len(sc.queue.byClass[classIndex(long)].list); !sc.disabled[FairQueueing] && queued > sc.slotsFor(long) {
		// Each queued request of a caller moves its next one back by one round of
		// all callers. In a short queue, the order by deadline keeps waits even.
		round := float64(len(sc.queue.callers)) * sc.classMeanSeconds[classIndex(long)] / float64(sc.slotsFor(long))
		virtualDeadline = virtualDeadline.Add(time.Duration(float64(ownQueued) * round * float64(time.Second)))
	}
	sc.queue.add(*req, r, long, virtualDeadline)
	sc.counters.Queued++
	sc.check(sc.queue.len() <= sc.document.Limits.Queue, QueueBounded)
}

// dispatch refuses queued requests that are late and sends those that can be
// served.
func (sc *Scheduler) dispatch(now time.Time, decisions []DelayedDecision) []DelayedDecision {
	for w := sc.queue.byDeadline.head(); w != nil && !w.request.Deadline.After(now); w = sc.queue.byDeadline.head() {
		decisions = sc.expire(w, decisions)
	}
	for sc.queue.len() > 0 {
		w, s := sc.nextToSend(now)
		if w == nil {
			return decisions
		}
		if sc.cannotMeetDeadline(now, w) {
			decisions = sc.expire(w, decisions)
			continue
		}
		id, r, long := w.request.ID, w.route, w.long
		sc.queue.remove(w)
		decisions = append(decisions, DelayedDecision{Request: id, Decision: sc.send(now, id, s, r, long)})
	}
	return decisions
}

// expire refuses a queued request because of its deadline.
func (sc *Scheduler) expire(w *queuedRequest, decisions []DelayedDecision) []DelayedDecision {
	decisions = append(decisions, DelayedDecision{Request: w.request.ID, Decision: refuseDeadline})
	sc.counters.Expired++
	sc.queue.remove(w)
	return decisions
}

// cannotMeetDeadline reports whether a queued request is not expected to end
// before its deadline, so that its slot is better given to another.
func (sc *Scheduler) cannotMeetDeadline(now time.Time, w *queuedRequest) bool {
	if sc.disabled[AdmissionControl] {
		return false
	}
	margin := time.Duration(dispatchMargin * w.route.meanServiceSeconds * float64(time.Second))
	return now.Add(margin).After(w.request.Deadline)
}

// nextToSend returns the queued request that is sent next and its server. Short
// requests go first, unless long ones hold less than minLongShare of the slots.
func (sc *Scheduler) nextToSend(now time.Time) (*queuedRequest, *server) {
	order := [2]int{0, 1}
	if sc.disabled[ReserveSlots] {
		a, b := sc.queue.byClass[0].head(), sc.queue.byClass[1].head()
		if a == nil || (b != nil && b.virtualDeadline.Before(a.virtualDeadline)) {
			order = [2]int{1, 0}
		}
	} else if sc.longInFlight < max(1, int(minLongShare*float64(sc.capacity))) {
		order = [2]int{1, 0}
	}
	for _, class := range order {
		w := sc.queue.byClass[class].head()
		if w == nil {
			continue
		}
		if s := sc.chooseServer(now, &w.request, w.long); s != nil {
			return w, s
		}
	}
	return nil, nil
}

// chooseFreeServer returns the cheapest server with a free slot, or nil when
// there is none or the request does better to wait.
func (sc *Scheduler) chooseFreeServer(req *Request, long bool) *server {
	class := classIndex(long)
	if sc.disabled[ReserveSlots] {
		class = 0
	} else if long && sc.longInFlight >= sc.longSlots() {
		return nil
	}
	s := sc.freeServers[class].cheapest(sc.random, req.Avoid)
	if s == nil || s.level() == 0 || sc.fastCapacity == 0 || sc.disabled[WaitForFastServer] {
		return s
	}
	// With k requests queued, a slot of a fast server becomes free for this one
	// after about (k+1)/fastSlots mean service times. The slow server needs
	// cost-1 mean service times more than a fast one.
	queued := len(sc.queue.byClass[classIndex(long)].list)
	if s.failing || (s.cost()-1)*sc.fastSlots(long) > float64(queued+1) {
		return nil
	}
	return s
}
