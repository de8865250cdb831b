package wagbudget

// mayEvict reports whether a connection whose reservations will be size bytes may evict
// another one. One that is larger than ordinary evicts only larger ones of its own phase,
// so that two of them do not evict each other in turn.
func mayEvict(c, other *conn, size int64) bool {
	switch {
	case other == c || other.phase == Busy || other.phase > c.phase:
		return false
	case other.phase < c.phase:
		return true
	default:
		return size-c.base <= OrdinaryBytes || other.size() > size
	}
}

// victim returns the next connection that one whose reservations will be size bytes may
// evict, or nil; b.mu is held.
func (b *Budget) victim(c *conn, size int64) *conn {
	for phase := Receiving; phase <= Idle && phase <= c.phase; phase++ {
		if other := b.evictable[phase].largestExcept(c); other != nil && mayEvict(c, other, size) {
			return other
		}
	}
	return nil
}

// available returns an upper bound of the memory that evictions for a connection give
// back, so that none is evicted for a reservation that cannot fit anyway; b.mu is held.
func (b *Budget) available(c *conn, size int64) (n int64) {
	for phase := Receiving; phase <= Idle && phase <= c.phase; phase++ {
		for _, other := range b.evictable[phase] {
			if mayEvict(c, other, size) {
				n += other.size()
			}
		}
	}
	return n
}

// queue is a heap of connections with the one that is evicted first at its beginning.
type queue []*conn

// Len returns the number of connections.
func (q queue) Len() int { return len(q) }

// Less reports whether a connection is evicted before another one: the larger one, and
// of equal ones the one that was opened first, because an ordinary request is received
// completely soon after the connection is opened.
func (q queue) Less(i, j int) bool {
	if a, b := q[i].size(), q[j].size(); a != b {
		return a > b
	}
	return q[i].number < q[j].number
}

// Swap swaps two connections.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].position, q[j].position = i, j
}

// Push adds a connection at the end.
func (q *queue) Push(x any) {
	c := x.(*conn)
	c.position = len(*q)
	*q = append(*q, c)
}

// Pop removes the connection at the end.
func (q *queue) Pop() any {
	last := len(*q) - 1
	c := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return c
}

// largestExcept returns the connection that is evicted first apart from c, or nil.
func (q queue) largestExcept(c *conn) *conn {
	if len(q) > 0 && q[0] != c {
		return q[0]
	}
	switch {
	case len(q) < 2:
		return nil
	case len(q) == 2 || q.Less(1, 2):
		return q[1]
	default:
		return q[2]
	}
}
