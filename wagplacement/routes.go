package wagplacement

import (
	"time"
)

const (
	// workWeight is the weight of one request in the mean work of a route.
	workWeight = 0.05
	// firstShare is the part of the time until the goal that the work of a route is
	// taken to need before it was measured.
	firstShare = 0.33
	// maxRatio bounds what one request says of its route: 3 in 100 requests take
	// seven times as long.
	maxRatio = 3.0
	// sureSeen is how many requests make an estimate of the work, and sureTime how
	// long it holds without another request. Slow phases of servers last for seconds.
	sureSeen = 20
	sureTime = 2 * time.Second
	// margin is how many mean work times are kept free before a goal or a deadline.
	margin = 1.3
)

// route is what was learned of the requests of a route.
type route struct {
	// work is the mean time of a request at a server that is not slow.
	work time.Duration
	seen int
	// granted is when a request was last sent to a server.
	granted time.Time
}

// unsure tells whether the estimate of the work is not trusted: few requests were
// seen, or none for so long that the servers may have changed.
func (r *route) unsure(now time.Time) bool {
	return r.seen < sureSeen || now.Sub(r.granted) > sureTime
}

// route returns what is known of a route. goal is the time that its requests have.
func (c *Scheduler) route(name string, goal time.Duration) *route {
	r, ok := c.routes[name]
	if !ok {
		r = &route{work: max(time.Duration(firstShare*float64(goal)), time.Millisecond)}
		c.routes[name] = r
	}
	return r
}

// expected is the time that most requests need at a server that is not slow.
func (r *route) expected() time.Duration {
	return time.Duration(margin * float64(r.work))
}

// learn takes the time of a request that was answered.
func (c *Scheduler) learn(g *grant, took time.Duration) {
	r := g.route
	work := float64(took) / (g.slowness * g.knee)
	r.seen++
	weight := max(workWeight, 1/float64(r.seen))
	if r.seen > 1 {
		work = min(work, maxRatio*float64(r.work))
	}
	r.work += time.Duration(weight * (work - float64(r.work)))
	c.knee.learn(g, g.knee*float64(took)/max(float64(g.usual(1)), 1))
}
