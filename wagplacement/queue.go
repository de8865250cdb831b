package wagplacement

import (
	"cmp"
	"slices"
	"time"
)

// waiter is a request that waits for a server.
type waiter struct {
	Request
	route *routeStats
	// arrivedAt is when the request was submitted. unreliable is set if the mean service
	// time of its route was not trusted then.
	arrivedAt  time.Time
	unreliable bool
	// spillPending is set while another data centre is asked for a server. spilledTo
	// holds all data centres that were asked.
	spillPending bool
	spilledTo    []string
	// late is set when the request was admitted again after its goal went out of reach.
	late bool
}

// latestStartForGoal returns the latest start with which a response is expected by the
// goal.
func (w *waiter) latestStartForGoal() time.Time {
	return w.Goal.Add(-w.route.expectedTime())
}

// latestStartForDeadline returns the latest start with which a response is expected by
// the deadline.
func (w *waiter) latestStartForDeadline() time.Time {
	return w.Deadline.Add(-w.capEstimate(w.route.expectedTime()))
}

// capEstimate limits an estimate that is not trusted to half of the time that the
// request had on arrival. Only a request that is tried can correct the estimate.
func (w *waiter) capEstimate(d time.Duration) time.Duration {
	if !w.unreliable {
		return d
	}
	return min(d, w.Deadline.Sub(w.arrivedAt)/2)
}

// isLate reports whether the request can no longer be answered by its goal.
func (w *waiter) isLate(now time.Time) bool { return !now.Before(w.latestStartForGoal()) }

// hasSpilledTo reports whether the data centre was asked for a server.
func (w *waiter) hasSpilledTo(dataCentre string) bool {
	return slices.Contains(w.spilledTo, dataCentre)
}

// queue holds the waiting requests.
type queue struct {
	list []*waiter
	// unordered keeps the requests in the order of arrival.
	unordered bool
}

func (q *queue) add(w *waiter) { q.list = append(q.list, w) }

// remove removes a request and reports whether it was in the queue.
func (q *queue) remove(id RequestID) bool {
	n := len(q.list)
	q.list = slices.DeleteFunc(q.list, func(w *waiter) bool { return w.ID == id })
	return len(q.list) < n
}

func (q *queue) find(id RequestID) *waiter {
	for _, w := range q.list {
		if w.ID == id {
			return w
		}
	}
	return nil
}

// compare orders two requests: first those that can still be answered by their goal,
// then by rank, then by the latest start.
func (q *queue) compare(now time.Time, a, b *waiter) int {
	if q.unordered {
		return 0
	}
	return cmp.Or(lateness(now, a)-lateness(now, b), cmp.Compare(a.Rank, b.Rank), a.latestStartForGoal().Compare(b.latestStartForGoal()))
}

// lateness returns 1 for a request that can no longer be answered by its goal, and 0
// for others.
func lateness(now time.Time, w *waiter) int {
	if w.isLate(now) {
		return 1
	}
	return 0
}

// sort sorts the requests in the order in which they start.
func (q *queue) sort(now time.Time) {
	slices.SortStableFunc(q.list, func(a, b *waiter) int { return q.compare(now, a, b) })
}

// countAhead counts the requests that start before w.
func (q *queue) countAhead(now time.Time, w *waiter) (n int) {
	for _, other := range q.list {
		if other != w && q.compare(now, other, w) <= 0 {
			n++
		}
	}
	return n
}
