package wagplacement

import "time"

const (
	// hedgeFactor is after how many mean work times a second server is asked: of 100
	// requests 95 have their answer by then, and about 3 take seven times as long as
	// the others.
	hedgeFactor = 2.0
	// hedgeMargin is how many mean work times have to be left until the goal.
	hedgeMargin = 1.4
	// hedgeLeast is the least number of mean work times that are waited for.
	hedgeLeast = 1.2
	// hedgeLate is after how many of them a second server is asked when the goal is
	// out of reach: the server may have failed without a word.
	hedgeLate = 5.0
	// hedgeReserve is the part of the slots that hedges leave free.
	hedgeReserve = 0.1
	// hedgeSeen is how many requests of a route have to be known.
	hedgeSeen = 20
)

// hedgeAfter returns after how long a second server may be asked for a request that
// starts now, or 0.
func (c *Scheduler) hedgeAfter(now time.Time, w *waiter, g *grant) time.Duration {
	if w.route.seen < hedgeSeen || c.without[MechanismHedge] {
		return 0
	}
	work := float64(w.route.work)
	after := min(hedgeFactor*work, float64(w.Goal.Sub(now))-hedgeMargin*work)
	if after < hedgeLeast*work {
		after = hedgeLate * work * g.slowness
	}
	return time.Duration(after)
}

// admitHedge decides on a request that runs at a server already. It returns false
// when the request was refused.
func (c *Scheduler) admitHedge(now time.Time, w *waiter) bool {
	all, free := c.slots(now)
	if free-float64(len(c.waiting.list)) >= 1+hedgeReserve*all {
		return true
	}
	c.refuse(&w.Request, ReasonOverload, now.Add(minRetry), 0)
	return false
}
