package wagrouting

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

const (
	// maxRatio bounds what one answer can say about a route or a server, so
	// that a single long call on a short route changes neither.
	maxRatio = 6.0
	// routeWeight is the weight of a new answer in the mean of a route.
	routeWeight = 0.02
	// longBytes is the size of answers from which a route counts as long: such
	// answers hold a connection for as long as the caller's link needs.
	longBytes = 256 << 10
	// maxRoutes bounds the routes that are told apart. Routes come from the
	// document, so that more are a fault of the shell.
	maxRoutes = 1000
)

// route is what was learned of the calls of a route.
type route struct {
	// service is the mean service time in seconds; 0 before the first answer.
	service float64
	// answer is the mean time to the head of the answer in seconds.
	answer  float64
	bytes   float64
	answers int
	long    bool
}

func (c *Scheduler) route(name string) *route {
	r, ok := c.routes[name]
	if !ok {
		if len(c.routes) >= maxRoutes {
			name = ""
			if r, ok = c.routes[name]; ok {
				return r
			}
		}
		r = &route{}
		c.routes[name] = r
	}
	return r
}

// isLong returns the class of a call.
func (c *Scheduler) isLong(call *Request, r *route) bool {
	switch call.Class {
	case wagdocument.Long:
		return true
	case wagdocument.Short:
		return false
	default:
		return r.long && !c.without[LearnClasses]
	}
}

// learn adds an answer to a route and returns the time to its head as a multiple
// of the route's mean.
func (c *Scheduler) learn(r *route, service, answer time.Duration, bytes int64) float64 {
	r.answers++
	weight := max(routeWeight, 1/float64(r.answers))
	toward(&r.service, service, weight)
	ratio := toward(&r.answer, answer, weight)
	r.bytes += weight * (float64(bytes) - r.bytes)
	c.classify(r)
	return ratio
}

// toward moves a mean in seconds and returns the new value as a multiple of it.
func toward(mean *float64, d time.Duration, weight float64) float64 {
	s := max(d.Seconds(), 1e-6)
	if *mean == 0 {
		*mean = s
	}
	ratio := min(s / *mean, maxRatio)
	*mean += weight * (ratio - 1) * *mean
	return ratio
}

func (c *Scheduler) classify(r *route) {
	limit := c.document.Limits.LongAfter.Seconds()
	switch {
	case r.service > limit || r.bytes > longBytes:
		r.long = true
	case r.service < limit/2 && r.bytes < longBytes/2:
		r.long = false
	}
}

// meanOf keeps the mean service time of a class in seconds.
func (c *Scheduler) meanOf(long bool, service time.Duration) {
	toward(&c.means[classOf(long)], service, routeWeight)
}

// flight is a call at a server. Flights are linked in the order they were sent.
type flight struct {
	id     RequestID
	server *server
	route  *route
	// counted tells that the flight holds a slot of long work.
	counted    bool
	long       bool
	aged       bool
	sent       time.Time
	prev, next *flight
}

func (c *Scheduler) takeFlight() *flight {
	if n := len(c.idle); n > 0 {
		f := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return f
	}
	return &flight{}
}

func (c *Scheduler) link(f *flight) {
	f.prev, f.next = c.newest, nil
	if c.newest != nil {
		c.newest.next = f
	} else {
		c.oldest = f
	}
	c.newest = f
}

func (c *Scheduler) unlink(f *flight) {
	if f.aged {
		return
	}
	if f.prev != nil {
		f.prev.next = f.next
	} else {
		c.oldest = f.next
	}
	if f.next != nil {
		f.next.prev = f.prev
	} else {
		c.newest = f.prev
	}
	f.prev, f.next = nil, nil
}

// age counts calls as long that have run for longer than short work does.
func (c *Scheduler) age(now time.Time) {
	for f := c.oldest; f != nil && now.Sub(f.sent) > c.document.Limits.LongAfter; f = c.oldest {
		c.unlink(f)
		f.aged = true
		if !f.counted && !c.without[ReclassifyByAge] {
			c.countLong(f, 1)
		}
	}
}

// countLong counts a flight as long work, or takes it off again.
func (c *Scheduler) countLong(f *flight, by int) {
	f.counted = by > 0
	f.server.long += by
	c.long += by
	if !f.long {
		c.unforeseen += by
	}
	c.check(c.long >= 0 && f.server.long >= 0, LongNotNegative)
	c.refresh(f.server)
}
