package wagrouting

import "time"

// Orders of the heaps that a queued request is in.
const (
	orderVirtualDeadline = iota
	orderDeadline
	orderCount
)

// queuedRequest is a request in the queue.
type queuedRequest struct {
	request Request
	long    bool
	route   *routeStats
	// virtualDeadline orders the queue of a class. It is the deadline, moved by
	// the priority of the request and by the requests that its caller already has
	// in the queue.
	virtualDeadline time.Time
	caller          *callerCount
	// positions holds the position in the heap of each order.
	positions [orderCount]int
}

// callerCount counts the queued requests of a caller.
type callerCount struct {
	name   string
	queued int
}

// requestHeap is a binary heap of queued requests that supports removal.
type requestHeap struct {
	order int
	list  []*queuedRequest
}

func (h *requestHeap) less(a, b *queuedRequest) bool {
	if h.order == orderVirtualDeadline {
		return a.virtualDeadline.Before(b.virtualDeadline)
	}
	return a.request.Deadline.Before(b.request.Deadline)
}

func (h *requestHeap) put(i int, w *queuedRequest) {
	h.list[i] = w
	w.positions[h.order] = i
}

func (h *requestHeap) push(w *queuedRequest) {
	h.list = append(h.list, w)
	h.up(len(h.list)-1, w)
}

func (h *requestHeap) up(i int, w *queuedRequest) {
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

func (h *requestHeap) down(i int, w *queuedRequest) {
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

func (h *requestHeap) remove(w *queuedRequest) {
	i, n := w.positions[h.order], len(h.list)-1
	last := h.list[n]
	h.list[n] = nil
	h.list = h.list[:n]
	if i == n {
		return
	}
	h.down(i, last)
	if last.positions[h.order] == i {
		h.up(i, last)
	}
}

func (h *requestHeap) head() *queuedRequest {
	if len(h.list) == 0 {
		return nil
	}
	return h.list[0]
}

// queue holds the queued requests of a group.
type queue struct {
	// byClass has one heap for each class: short, long.
	byClass    [2]requestHeap
	byDeadline requestHeap
	byID       map[RequestID]*queuedRequest
	callers    map[string]*callerCount
	// freeRequests and freeCallers are kept for reuse, so that queueing does not
	// allocate.
	freeRequests []*queuedRequest
	freeCallers  []*callerCount
}

func newQueue() queue {
	return queue{
		byClass:    [2]requestHeap{{order: orderVirtualDeadline}, {order: orderVirtualDeadline}},
		byDeadline: requestHeap{order: orderDeadline},
		byID:       make(map[RequestID]*queuedRequest),
		callers:    make(map[string]*callerCount),
	}
}

func (q *queue) len() int { return len(q.byDeadline.list) }

// queuedBy returns how many requests of a caller are queued.
func (q *queue) queuedBy(name string) int {
	if c, ok := q.callers[name]; ok {
		return c.queued
	}
	return 0
}

// countCaller counts one more queued request of a caller.
func (q *queue) countCaller(name string) *callerCount {
	c, ok := q.callers[name]
	if !ok {
		if n := len(q.freeCallers); n > 0 {
			c, q.freeCallers = q.freeCallers[n-1], q.freeCallers[:n-1]
		} else {
			c = &callerCount{}
		}
		c.name = name
		q.callers[name] = c
	}
	c.queued++
	return c
}

func (q *queue) add(req Request, r *routeStats, long bool, virtualDeadline time.Time) {
	var w *queuedRequest
	if n := len(q.freeRequests); n > 0 {
		w, q.freeRequests = q.freeRequests[n-1], q.freeRequests[:n-1]
	} else {
		w = &queuedRequest{}
	}
	*w = queuedRequest{request: req, long: long, route: r, virtualDeadline: virtualDeadline, caller: q.countCaller(req.Caller)}
	q.byID[req.ID] = w
	q.byClass[classIndex(long)].push(w)
	q.byDeadline.push(w)
}

func (q *queue) remove(w *queuedRequest) {
	q.byClass[classIndex(w.long)].remove(w)
	q.byDeadline.remove(w)
	delete(q.byID, w.request.ID)
	w.caller.queued--
	if w.caller.queued == 0 {
		delete(q.callers, w.caller.name)
		q.freeCallers = append(q.freeCallers, w.caller)
	}
	w.caller = nil
	q.freeRequests = append(q.freeRequests, w)
}

// classIndex returns the position of a class in arrays by class.
func classIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}
