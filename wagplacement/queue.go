package wagplacement

import (
	"cmp"
	"slices"
	"time"
)

// waiter is a request that waits for a server.
type waiter struct {
	Request
	route *route
	since time.Time
}

// latest returns the latest start with which an answer is expected by the goal.
func (w *waiter) latest() time.Time {
	return w.Goal.Add(-w.route.expected())
}

// last returns the latest start with which an answer is expected by the deadline.
func (w *waiter) last() time.Time {
	return w.Deadline.Add(-w.route.expected())
}

// queue holds the requests that wait.
type queue struct {
	list []*waiter
}

func (q *queue) add(w *waiter) { q.list = append(q.list, w) }

func (q *queue) remove(id RequestID) {
	q.list = slices.DeleteFunc(q.list, func(w *waiter) bool { return w.ID == id })
}

// sort orders the requests: those that can still be answered by their goal come
// first, then the urgent ones, then those whose start is due earlier.
func (q *queue) sort(now time.Time) {
	slices.SortStableFunc(q.list, func(a, b *waiter) int {
		return cmp.Or(late(now, a)-late(now, b), cmp.Compare(a.Rank, b.Rank), a.latest().Compare(b.latest()))
	})
}

// late returns 1 for a request that cannot be answered by its goal any more.
func late(now time.Time, w *waiter) int {
	if now.After(w.latest()) {
		return 1
	}
	return 0
}
