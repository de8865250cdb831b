package wagrouting

import "time"

// Orders that a waiting call stands in.
const (
	byTurn = iota
	byDeadline
	orders
)

// waiting is a call in the queue.
type waiting struct {
	call  Request
	long  bool
	route *route
	// turn orders the queue of a class: the deadline, moved by the caller's
	// place and by the calls that the caller already has in the queue.
	turn   time.Time
	caller *caller
	// at holds the position in each order.
	at [orders]int
}

// caller counts the waiting calls of a caller.
type caller struct {
	name    string
	waiting int
}

// heap is a binary heap of waiting calls that supports removal.
type heap struct {
	order int
	list  []*waiting
}

func (h *heap) less(a, b *waiting) bool {
	if h.order == byTurn {
		return a.turn.Before(b.turn)
	}
	return a.call.Deadline.Before(b.call.Deadline)
}

func (h *heap) put(i int, w *waiting) {
	h.list[i] = w
	w.at[h.order] = i
}

func (h *heap) push(w *waiting) {
	h.list = append(h.list, w)
	h.up(len(h.list)-1, w)
}

func (h *heap) up(i int, w *waiting) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(w, h.list[parent]) {
			break
		}
		h.put(i, h.list[parent])
		i = parent
	}
	h.put(i, w)
}

func (h *heap) down(i int, w *waiting) {
	n := len(h.list)
	for {
		child := 2*i + 1
		if child >= n {
			break
		}
		if child+1 < n && h.less(h.list[child+1], h.list[child]) {
			child++
		}
		if !h.less(h.list[child], w) {
			break
		}
		h.put(i, h.list[child])
		i = child
	}
	h.put(i, w)
}

func (h *heap) remove(w *waiting) {
	i, n := w.at[h.order], len(h.list)-1
	last := h.list[n]
	h.list[n] = nil
	h.list = h.list[:n]
	if i == n {
		return
	}
	h.down(i, last)
	if last.at[h.order] == i {
		h.up(i, last)
	}
}

func (h *heap) head() *waiting {
	if len(h.list) == 0 {
		return nil
	}
	return h.list[0]
}

// queue holds the waiting calls of a group.
type queue struct {
	// turns has one order for each class: short, long.
	turns     [2]heap
	deadlines heap
	byID      map[RequestID]*waiting
	callers   map[string]*caller
	// idle and idleCallers are kept for reuse, so that waiting allocates nothing.
	idle        []*waiting
	idleCallers []*caller
}

func newQueue() queue {
	return queue{
		turns:     [2]heap{{order: byTurn}, {order: byTurn}},
		deadlines: heap{order: byDeadline},
		byID:      make(map[RequestID]*waiting),
		callers:   make(map[string]*caller),
	}
}

func (q *queue) len() int { return len(q.deadlines.list) }

// waitingOf returns how many calls of a caller wait.
func (q *queue) waitingOf(name string) int {
	if c, ok := q.callers[name]; ok {
		return c.waiting
	}
	return 0
}

func (q *queue) take(name string) *caller {
	c, ok := q.callers[name]
	if !ok {
		if n := len(q.idleCallers); n > 0 {
			c, q.idleCallers = q.idleCallers[n-1], q.idleCallers[:n-1]
		} else {
			c = &caller{}
		}
		c.name = name
		q.callers[name] = c
	}
	c.waiting++
	return c
}

func (q *queue) add(call Request, r *route, long bool, turn time.Time) {
	var w *waiting
	if n := len(q.idle); n > 0 {
		w, q.idle = q.idle[n-1], q.idle[:n-1]
	} else {
		w = &waiting{}
	}
	*w = waiting{call: call, long: long, route: r, turn: turn, caller: q.take(call.Caller)}
	q.byID[call.ID] = w
	q.turns[classOf(long)].push(w)
	q.deadlines.push(w)
}

func (q *queue) remove(w *waiting) {
	q.turns[classOf(w.long)].remove(w)
	q.deadlines.remove(w)
	delete(q.byID, w.call.ID)
	w.caller.waiting--
	if w.caller.waiting == 0 {
		delete(q.callers, w.caller.name)
		q.idleCallers = append(q.idleCallers, w.caller)
	}
	w.caller = nil
	q.idle = append(q.idle, w)
}

func classOf(long bool) int {
	if long {
		return 1
	}
	return 0
}
