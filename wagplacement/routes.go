package wagplacement

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	// serviceTimeWeight is the weight of one request in the mean service time of a
	// route.
	serviceTimeWeight = 0.05
	// initialGoalShare is the part of the time until the goal that is assumed as the
	// service time of a route before it is measured.
	initialGoalShare = 0.33
	// maxServiceTimeRatio caps the service time of one request as a multiple of the mean:
	// 3 in 100 requests take seven times as long.
	maxServiceTimeRatio = 3.0
	// The mean service time of a route is trusted after minEstimateRequests requests, and
	// for estimateTTL after the latest grant. Slow phases of servers last for seconds.
	minEstimateRequests = 20
	estimateTTL         = 2 * time.Second
	// serviceTimeMargin is the time that is reserved before a goal or a deadline, in mean
	// service times.
	serviceTimeMargin = 1.3
)

// routeStats holds the estimates for the requests of a route.
type routeStats struct {
	// serviceTime is the mean service time on a server that is not slow.
	serviceTime time.Duration
	// requests counts the requests that were measured.
	requests int
	// lastGrant is when a request was last granted.
	lastGrant time.Time
}

// isUnreliable reports whether the mean service time is not trusted: few requests were
// measured, or none was granted for so long that the servers may have changed.
func (r *routeStats) isUnreliable(now time.Time) bool {
	return r.requests < minEstimateRequests || now.Sub(r.lastGrant) > estimateTTL
}

// routeStats returns the estimates for a route. A new route starts with an estimate
// derived from timeToGoal, the time that its requests have until their goal.
func (sc *Scheduler) routeStats(name string, timeToGoal time.Duration) *routeStats {
	r, ok := sc.routes[name]
	if !ok {
		r = &routeStats{serviceTime: max(wagclock.FromNanoseconds(initialGoalShare*float64(timeToGoal)), time.Millisecond)}
		sc.routes[name] = r
	}
	return r
}

// expectedTime returns the time that most requests need on a server that is not slow.
func (r *routeStats) expectedTime() time.Duration {
	return wagclock.FromNanoseconds(serviceTimeMargin * float64(r.serviceTime))
}

// updateEstimates adds the latency of a request that was answered.
func (sc *Scheduler) updateEstimates(g *grant, latency time.Duration) {
	r := g.route
	serviceTime := float64(latency) / (g.slowness * g.kneeFactor)
	r.requests++
	weight := max(serviceTimeWeight, 1/float64(r.requests))
	if r.requests > 1 {
		serviceTime = min(serviceTime, maxServiceTimeRatio*float64(r.serviceTime))
	}
	r.serviceTime += wagclock.FromNanoseconds(weight * (serviceTime - float64(r.serviceTime)))
	sc.knee.update(g, g.kneeFactor*float64(latency)/max(float64(g.expectedLatency(1)), 1))
}
