package waggateway

import (
	"sync"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

// shutdownTimes are the times of a graceful shutdown.
type shutdownTimes struct {
	// lateFrom is from when on requests are refused that are not certain to end by answerBy.
	lateFrom time.Time
	// answerBy is when the last responses have to be written.
	answerBy time.Time
	// closeAt is when the connections that remain are closed.
	closeAt time.Time
}

const (
	// durationWindow is the time for which the longest work of a route is remembered at
	// least.
	durationWindow = 30 * time.Second
	// maxRoutesWithDurations bounds the routes whose work is remembered.
	maxRoutesWithDurations = 4096
	// responseSlack is the time that a response needs on its way from the server to the
	// caller, in addition to the work. It lies between answerBy and closeAt.
	responseSlack = 100 * time.Millisecond
)

// newShutdownTimes returns the times of a graceful shutdown that begins at a time.
func newShutdownTimes(start time.Time, gracePeriod time.Duration) *shutdownTimes {
	closeAt := start.Add(fraction(gracePeriod, finishFraction))
	answerBy := wagclock.Later(closeAt.Add(-responseSlack), start)
	return &shutdownTimes{lateFrom: wagclock.Earlier(start.Add(lateAfter-signalSlack), answerBy), answerBy: answerBy, closeAt: closeAt}
}

// mustRefuse reports whether a request that is not at a server must not be sent to one at a
// time because of a graceful shutdown, so that its caller can ask another host at once.
// Other callers have long been sent to other hosts when it comes late, so that it is sent
// only if its deadline lies within the grace period: whatever is known of earlier work, its
// own may take longer. A request that comes in time is sent unless the work of its route is
// known to be cut off: even the shortest, or the longest when only one attempt is allowed,
// as the caller could not tell whether the request ran.
func (q *request) mustRefuse(now time.Time) bool {
	s := q.gateway.shutdown.Load()
	if s == nil || !q.deadline.After(s.answerBy) {
		return false
	}
	if !q.received.Before(s.lateFrom) || q.hasLongBody() {
		return true
	}
	work, _ := q.gateway.durations.shortest(now, q.route.Name) // 0 if it is not known
	if !q.route.Idempotent {
		work, _ = q.gateway.durations.longest(now, q.route.Name)
	}
	return !now.Add(work).Before(s.answerBy)
}

// hasLongBody reports whether the body is passed on while it arrives, so that its end may
// come late.
func (q *request) hasLongBody() bool {
	return q.bodyRest != nil || q.incoming.ContentLength > maxBufferedBody
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
