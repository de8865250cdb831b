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

// mustRefuseLate reports whether a request comes so late in a graceful shutdown that it
// might be cut off. It is refused before it is sent to a server, so that its caller can
// ask another host at once.
func (q *request) mustRefuseLate() bool {
	s := q.gateway.shutdown.Load()
	return s != nil && !q.arrived.Before(s.lateFrom) && !q.endsBefore(s.closeAt)
}

// routeDurations remembers the longest work of each route in the latest one to two
// windows of durationWindow.
type routeDurations struct {
	mu sync.Mutex
	// windowEnd is when the current window ends.
	windowEnd         time.Time
	current, previous map[string]time.Duration
}

// record records how long a server worked for a request of a route.
func (d *routeDurations) record(now time.Time, route string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	if _, ok := d.current[route]; ok || len(d.current) < maxRoutesWithDurations {
		d.current[route] = max(d.current[route], duration)
	}
}

// longest returns the longest work of a route, or false when none is remembered.
func (d *routeDurations) longest(now time.Time, route string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	current, inCurrent := d.current[route]
	previous, inPrevious := d.previous[route]
	return max(current, previous), inCurrent || inPrevious
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
	d.current, d.windowEnd = make(map[string]time.Duration), now.Add(durationWindow)
}
