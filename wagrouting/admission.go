package wagrouting

import (
	"math"
	"time"
)

const (
	// admissionMargin is how many mean service times a waiting call needs before
	// its deadline. Service times with a standard deviation of half of the mean
	// stay below three means in 99 of 100 calls.
	admissionMargin = 3
	// dispatchMargin is the same for a call that gets its slot. It is lower, so
	// that an estimate which was a little too low wastes no admitted call.
	dispatchMargin = 2
	// fairFactor is how many times the mean of all callers one caller may have
	// in a queue that is longer than the group has slots.
	fairFactor = 2
	// minPerCaller is what a caller may have in the queue in any case.
	minPerCaller = 4
	// placeStep is what one place from the caller's terms is worth in the queue.
	placeStep = 20 * time.Millisecond
	// longMinimum is the share of slots that long work gets although short work
	// waits, so that it progresses at peak.
	longMinimum = 0.1
	// shortMargin keeps calls of short work that find no free slot below about
	// one in seven (Erlang's delay formula at 4 to 30 slots).
	shortMargin = 1.2
	// longFloor is the part of its share that long work may hold whatever short
	// work needs.
	longFloor = 0.6
)

// ahead estimates how many waiting calls start before a new call of a caller.
func (c *Scheduler) ahead(own int, long bool) int {
	n := len(c.queue.turns[classOf(long)].list)
	if c.without[FairQueueing] {
		return n
	}
	return min(n, (own+1)*max(len(c.queue.callers), 1))
}

// longSlots returns how many slots of the group long work may hold now. Free
// slots of its share are lent to it, but for what short work needs: its mean
// demand and shortMargin times the root of that, by which demand varies.
func (c *Scheduler) longSlots() int {
	limit := c.longLimit(c.capacity)
	if c.without[ReserveSlots] || c.without[LendSlots] {
		return limit
	}
	need := int(math.Ceil(c.demand + shortMargin*math.Sqrt(c.demand)))
	least := int(math.Ceil(longFloor * float64(limit)))
	return max(1, least, min(limit, c.capacity-need))
}

// slotsFor returns the slots that a class can have now.
func (c *Scheduler) slotsFor(long bool) int {
	if long {
		return c.longSlots()
	}
	return max(1, c.capacity-c.long)
}

// slowPart is what a slot of a slow server is taken to serve, as a part of what
// one of a normal server does.
const slowPart = 0.33

// fastSlots returns the slots of normal servers that a class can have now. Those
// of long work are taken to be spread evenly. For short work that would be too
// rough: in a group of 8 slots, long calls often hold most of the fast ones.
func (c *Scheduler) fastSlots(long bool) float64 {
	if !long {
		return float64(c.fast - c.fastLong)
	}
	return float64(c.fast) * float64(c.slotsFor(long)) / float64(max(c.capacity, 1))
}

// expectedWait returns how long a call waits behind that many others.
func (c *Scheduler) expectedWait(ahead int, long bool) time.Duration {
	mean := c.means[classOf(long)]
	fast := c.fastSlots(long)
	slots := fast + slowPart*(float64(c.slotsFor(long))-fast)
	return time.Duration(float64(ahead+1) * mean / max(slots, 1) * float64(time.Second))
}

// admit returns a refusal, or nil when the call may wait.
func (c *Scheduler) admit(now time.Time, call *Request, r *route, long bool, own int, expected time.Duration) Decision {
	n := c.queue.len()
	if n >= c.document.Limits.Queue {
		return refuseFull
	}
	if c.without[AdmissionControl] {
		return nil
	}
	margin := time.Duration(admissionMargin * r.service * float64(time.Second))
	if now.Add(expected + margin).After(call.Deadline) {
		return refuseDeadline
	}
	if !c.without[FairQueueing] && c.greedy(own, long) {
		return refuseOverload
	}
	return nil
}

// greedy tells whether a caller has more than its part of the queue.
func (c *Scheduler) greedy(own int, long bool) bool {
	if own >= max(minPerCaller, c.document.Limits.Queue/2) {
		return true
	}
	queued := len(c.queue.turns[classOf(long)].list)
	callers := max(len(c.queue.callers), 1)
	return queued > c.slotsFor(long) && own >= max(minPerCaller, fairFactor*queued/callers)
}

func (c *Scheduler) enqueue(call *Request, r *route, long bool, own int) {
	turn := call.Deadline.Add(-time.Duration(call.Priority) * placeStep)
	if queued := len(c.queue.turns[classOf(long)].list); !c.without[FairQueueing] && queued > c.slotsFor(long) {
		// Each further call of a caller stands one round of all callers later. In
		// a short queue the order by deadline keeps waits even.
		round := float64(len(c.queue.callers)) * c.means[classOf(long)] / float64(c.slotsFor(long))
		turn = turn.Add(time.Duration(float64(own) * round * float64(time.Second)))
	}
	c.queue.add(*call, r, long, turn)
	c.counters.Queued++
	c.check(c.queue.len() <= c.document.Limits.Queue, QueueBounded)
}

// dispatch refuses calls that are late and starts those that can be served.
func (c *Scheduler) dispatch(now time.Time, starts []DelayedDecision) []DelayedDecision {
	for w := c.queue.deadlines.head(); w != nil && !w.call.Deadline.After(now); w = c.queue.deadlines.head() {
		starts = c.expire(w, starts)
	}
	for c.queue.len() > 0 {
		w, s := c.nextStart(now)
		if w == nil {
			return starts
		}
		if c.hopeless(now, w) {
			starts = c.expire(w, starts)
			continue
		}
		id, r, long := w.call.ID, w.route, w.long
		c.queue.remove(w)
		starts = append(starts, DelayedDecision{Request: id, Decision: c.send(now, id, s, r, long)})
	}
	return starts
}

func (c *Scheduler) expire(w *waiting, starts []DelayedDecision) []DelayedDecision {
	starts = append(starts, DelayedDecision{Request: w.call.ID, Decision: refuseDeadline})
	c.counters.Expired++
	c.queue.remove(w)
	return starts
}

// hopeless tells that a call would not end before its deadline, so that its
// slot is better given to another.
func (c *Scheduler) hopeless(now time.Time, w *waiting) bool {
	if c.without[AdmissionControl] {
		return false
	}
	margin := time.Duration(dispatchMargin * w.route.service * float64(time.Second))
	return now.Add(margin).After(w.call.Deadline)
}

// nextStart returns the waiting call that starts next and its server. Short
// work goes first, but for the minimum of long work.
func (c *Scheduler) nextStart(now time.Time) (*waiting, *server) {
	order := [2]int{0, 1}
	if c.without[ReserveSlots] {
		a, b := c.queue.turns[0].head(), c.queue.turns[1].head()
		if a == nil || (b != nil && b.turn.Before(a.turn)) {
			order = [2]int{1, 0}
		}
	} else if c.long < max(1, int(longMinimum*float64(c.capacity))) {
		order = [2]int{1, 0}
	}
	for _, class := range order {
		w := c.queue.turns[class].head()
		if w == nil {
			continue
		}
		if s := c.choose(now, &w.call, w.long); s != nil {
			return w, s
		}
	}
	return nil, nil
}

// chooseFree returns the best server with a free slot, or nil when the call
// does better to wait.
func (c *Scheduler) chooseFree(call *Request, long bool) *server {
	class := classOf(long)
	if c.without[ReserveSlots] {
		class = 0
	} else if long && c.long >= c.longSlots() {
		return nil
	}
	s := c.free[class].first(c.random, call.Avoid)
	if s == nil || s.level() == 0 || c.fast == 0 || c.without[WaitForFastServer] {
		return s
	}
	// A slot of a fast server frees after mean/fast per call ahead; the slow
	// server costs (slowness-1) means more than a fast one.
	queued := len(c.queue.turns[classOf(long)].list)
	if s.failing || (s.cost()-1)*c.fastSlots(long) > float64(queued+1) {
		return nil
	}
	return s
}
