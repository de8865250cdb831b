package waggateway

import (
	"sync"
	"time"
)

// shutdownTimes are the times of a graceful shutdown.
type shutdownTimes struct {
	// lateFrom is when requests begin to be refused that might not end in time.
	lateFrom time.Time
	// closeAt is when the connections that remain are closed.
	closeAt time.Time
}

const (
	// durationWindow is the time for which the longest work of a route is remembered at
	// least.
	durationWindow = 30 * time.Second
	// durationMargin is by how much longer than the longest remembered work a request may
	// take, because its servers differ and it may wait for a slot.
	durationMargin = 2
	// maxRoutesWithDurations bounds the routes whose work is remembered.
	maxRoutesWithDurations = 4096
	// responseSlack is the time that a response needs on its way from the server to the
	// caller, in addition to the work.
	responseSlack = 100 * time.Millisecond
)

// endsBefore reports whether a request that arrives now is known to end by a time: its
// deadline has passed by then, or the work of its route takes far less.
func (q *request) endsBefore(end time.Time) bool {
	if !q.deadline.After(end) {
		return true
	}
	longest, known := q.gateway.durations.longest(q.arrived, q.route.Name)
	return known && !q.arrived.Add(durationMargin*longest).After(end)
}

// mustRefuse reports whether a request that has not been sent must be refused at a time
// because of a graceful shutdown, so that its caller can ask another host at once: even the
// shortest work of its route would be cut off, or it comes late and might be.
func (q *request) mustRefuse(now time.Time) bool {
	s := q.gateway.shutdown.Load()
	switch {
	case s == nil:
		return false
	case !q.arrived.Before(s.lateFrom):
		return !q.endsBefore(s.closeAt)
	case !q.deadline.After(s.closeAt):
		return false
	default:
		shortest, known := q.gateway.durations.shortest(now, q.route.Name)
		return known && now.Add(shortest+responseSlack).After(s.closeAt)
	}
}

// durationRange holds the shortest work that was answered and the longest work of a route.
type durationRange struct {
	// shortest is 0 before the first answer.
	shortest, longest time.Duration
}

// routeDurations remembers the shortest and the longest work of each route in the latest
// one to two windows of durationWindow.
type routeDurations struct {
	mu sync.Mutex
	// windowEnd is when the current window ends.
	windowEnd         time.Time
	current, previous map[string]durationRange
}

// record records how long a server worked for a request of a route. answered reports
// whether the work ended with an answer.
func (d *routeDurations) record(now time.Time, route string, duration time.Duration, answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	r, ok := d.current[route]
	if !ok && len(d.current) >= maxRoutesWithDurations {
		return
	}
	r.longest = max(r.longest, duration)
	if answered && (r.shortest == 0 || duration < r.shortest) {
		r.shortest = duration
	}
	d.current[route] = r
}

// longest returns the longest work of a route, or false when none is remembered.
func (d *routeDurations) longest(now time.Time, route string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	current, inCurrent := d.current[route]
	previous, inPrevious := d.previous[route]
	return max(current.longest, previous.longest), inCurrent || inPrevious
}

// shortest returns the shortest work of a route that was answered, or false when none is
// remembered.
func (d *routeDurations) shortest(now time.Time, route string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	current, previous := d.current[route].shortest, d.previous[route].shortest
	if current == 0 || previous != 0 && previous < current {
		current = previous
	}
	return current, current != 0
}

// advance begins another window when the current one has ended; d.mu is held.
func (d *routeDurations) advance(now time.Time) {
	if now.Before(d.windowEnd) {
		return
	}
	d.previous = d.current
	if !now.Before(d.windowEnd.Add(durationWindow)) {
		d.previous = nil
	}
	d.current, d.windowEnd = make(map[string]durationRange), now.Add(durationWindow)
}
