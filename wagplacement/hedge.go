package wagplacement

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	// hedgeDelayFactor is the delay before a hedge in mean service times. By then 95 of
	// 100 requests have their response, and about 3 take seven times as long as the
	// others.
	hedgeDelayFactor = 2.0
	// hedgeGoalMargin is how many mean service times must be left until the goal when
	// the hedge starts.
	hedgeGoalMargin = 1.4
	// minHedgeDelayFactor is the shortest delay before a hedge in mean service times.
	minHedgeDelayFactor = 1.2
	// lateHedgeDelayFactor is the delay before a hedge in mean service times when a
	// hedge cannot meet the goal. The server may have failed without closing the
	// connection.
	lateHedgeDelayFactor = 5.0
	// hedgeReservedShare is the share of the slots that hedges leave free.
	hedgeReservedShare = 0.1
	// minHedgeRequests is how many requests of a route must be measured before its
	// requests are hedged.
	minHedgeRequests = 20
)

// hedgeDelay returns how long to wait before a second server may be asked for a
// request that starts now; 0 means never.
func (sc *Scheduler) hedgeDelay(now time.Time, w *waiter, g *grant) time.Duration {
	if w.route.requests < minHedgeRequests || sc.disabled[MechanismHedge] {
		return 0
	}
	serviceTime := float64(w.route.serviceTime)
	delay := min(hedgeDelayFactor*serviceTime, float64(w.Goal.Sub(now))-hedgeGoalMargin*serviceTime)
	if delay < minHedgeDelayFactor*serviceTime {
		delay = lateHedgeDelayFactor * serviceTime * g.slowness
	}
	return wagclock.FromNanoseconds(delay)
}

// admitHedge decides on a second attempt of a request that still runs on another
// server. It returns false if the attempt was refused.
func (sc *Scheduler) admitHedge(now time.Time, w *waiter) bool {
	slots := sc.countSlots(now, w)
	if slots.free-float64(len(sc.queue.list)) >= 1+hedgeReservedShare*slots.all {
		return true
	}
	sc.refuse(&w.Request, ReasonOverload, now.Add(minRetryDelay), 0)
	return false
}
