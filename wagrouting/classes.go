package wagrouting

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

const (
	// maxServiceRatio bounds the time of one response as a multiple of the mean,
	// so that a single long request on a short route changes neither the route
	// nor the server much.
	maxServiceRatio = 6.0
	// routeMeanWeight is the weight of a new response in the means of its route
	// and class.
	routeMeanWeight = 0.02
	// longResponseBytes is the mean response size above which a route counts as
	// long: such responses hold a connection for as long as the link of the
	// caller needs.
	longResponseBytes = 256 << 10
	// maxRoutes bounds the routes with statistics of their own. Routes come from
	// the document, so more of them mean a bug in the user of this package.
	maxRoutes = 1000
)

// routeStats holds what is known about the requests of a route.
type routeStats struct {
	// meanServiceSeconds is 0 before the first response.
	meanServiceSeconds float64
	// meanHeaderSeconds is the mean time until the header of the response
	// arrives.
	meanHeaderSeconds float64
	meanBytes         float64
	responses         int
	long              bool
}

// routeFor returns the statistics of a route. Routes beyond maxRoutes share those
// of the empty name.
func (sc *Scheduler) routeFor(name string) *routeStats {
	r, ok := sc.routes[name]
	if !ok {
		if len(sc.routes) >= maxRoutes {
			name = ""
			if r, ok = sc.routes[name]; ok {
				return r
			}
		}
		r = &routeStats{}
		sc.routes[name] = r
	}
	return r
}

// isLongRequest reports whether a request is routed as a long one.
func (sc *Scheduler) isLongRequest(req *Request, r *routeStats) bool {
	switch req.Class {
	case wagdocument.Long:
		return true
	case wagdocument.Short:
		return false
	default:
		return r.long && !sc.disabled[LearnClasses]
	}
}

// updateRoute adds a response to the statistics of its route. It returns the time
// until the header as a multiple of the mean of the route.
func (sc *Scheduler) updateRoute(r *routeStats, service, untilHeader time.Duration, bytes int64) float64 {
	r.responses++
	weight := max(routeMeanWeight, 1/float64(r.responses))
	updateMean(&r.meanServiceSeconds, service, weight)
	ratio := updateMean(&r.meanHeaderSeconds, untilHeader, weight)
	r.meanBytes += weight * (float64(bytes) - r.meanBytes)
	sc.classifyRoute(r)
	return ratio
}

// updateMean moves a mean in seconds towards a new value. It returns the value as
// a multiple of the former mean, maxServiceRatio at most.
func updateMean(mean *float64, d time.Duration, weight float64) float64 {
	s := max(d.Seconds(), 1e-6)
	if *mean == 0 {
		*mean = s
	}
	ratio := min(s / *mean, maxServiceRatio)
	*mean += weight * (ratio - 1) * *mean
	return ratio
}

// classifyRoute decides whether a route counts as long. A long route becomes
// short again only below half of the limits, so that it does not alternate.
func (sc *Scheduler) classifyRoute(r *routeStats) {
	limit := sc.document.Limits.LongAfter.Seconds()
	switch {
	case r.meanServiceSeconds > limit || r.meanBytes > longResponseBytes:
		r.long = true
	case r.meanServiceSeconds < limit/2 && r.meanBytes < longResponseBytes/2:
		r.long = false
	}
}

// updateClassMean adds a service time to the mean of a class.
func (sc *Scheduler) updateClassMean(long bool, service time.Duration) {
	updateMean(&sc.classMeanSeconds[classIndex(long)], service, routeMeanWeight)
}

// attempt is a request at a server. Attempts are linked in the order in which
// they were sent.
type attempt struct {
	id     RequestID
	server *server
	route  *routeStats
	// countedLong is set while the attempt counts as long.
	countedLong bool
	// long is the class with which the request was sent.
	long bool
	// aged is set once the attempt has run for longer than Limits.LongAfter. Then
	// it is no longer linked.
	aged       bool
	sentAt     time.Time
	prev, next *attempt
}

// newAttempt returns an attempt for reuse, or a new one.
func (sc *Scheduler) newAttempt() *attempt {
	if n := len(sc.freeAttempts); n > 0 {
		a := sc.freeAttempts[n-1]
		sc.freeAttempts = sc.freeAttempts[:n-1]
		return a
	}
	return &attempt{}
}

// linkAttempt appends an attempt to the list that starts at oldest.
func (sc *Scheduler) linkAttempt(a *attempt) {
	a.prev, a.next = sc.newest, nil
	if sc.newest != nil {
		sc.newest.next = a
	} else {
		sc.oldest = a
	}
	sc.newest = a
}

// unlinkAttempt removes an attempt from the list that starts at oldest.
func (sc *Scheduler) unlinkAttempt(a *attempt) {
	if a.aged {
		return
	}
	if a.prev != nil {
		a.prev.next = a.next
	} else {
		sc.oldest = a.next
	}
	if a.next != nil {
		a.next.prev = a.prev
	} else {
		sc.newest = a.prev
	}
	a.prev, a.next = nil, nil
}

// reclassifyAged counts attempts as long that have run for longer than
// Limits.LongAfter.
func (sc *Scheduler) reclassifyAged(now time.Time) {
	for a := sc.oldest; a != nil && now.Sub(a.sentAt) > sc.document.Limits.LongAfter; a = sc.oldest {
		sc.unlinkAttempt(a)
		a.aged = true
		if !a.countedLong && !sc.disabled[ReclassifyByAge] {
			sc.countLong(a, 1)
		}
	}
}

// countLong counts an attempt as long (delta 1), or takes it off again (delta
// -1).
func (sc *Scheduler) countLong(a *attempt, delta int) {
	a.countedLong = delta > 0
	a.server.longInFlight += delta
	sc.longInFlight += delta
	if !a.long {
		sc.longSentAsShort += delta
	}
	sc.check(sc.longInFlight >= 0 && a.server.longInFlight >= 0, LongNotNegative)
	sc.refresh(a.server)
}
