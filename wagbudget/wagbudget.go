// Package wagbudget accounts for the memory that a host holds on behalf of its callers,
// and decides which connections are closed when the memory does not suffice. It performs
// no I/O: its caller closes the connections that are evicted.
package wagbudget

import (
	"container/heap"
	"sync"
)

// OrdinaryBytes is the memory above its base that a connection with an ordinary request
// needs at most. The last quarter of a budget is kept for such connections.
const OrdinaryBytes = 16 << 10

// Phase says what a connection is doing. Connections are evicted in the order of the
// phases.
type Phase int

// Phases of connections.
const (
	// Receiving means that no complete request has been received yet.
	Receiving Phase = iota
	// Idle means that the connection is between two requests.
	Idle
	// Busy means that a request is being handled. Such a connection is never evicted.
	Busy
)

// ConnID identifies a connection.
type ConnID uint64

// Stats describes the state of a budget.
type Stats struct {
	UsedBytes, LimitBytes int64
	Connections           int
	// Evicted counts the connections that were evicted.
	Evicted uint64
}

// Budget is the memory that connections may hold together. It is safe for concurrent use.
type Budget struct {
	limit int64
	// maxConns bounds the connections; 0 for no bound.
	maxConns int

	mu sync.Mutex
	// used is the sum of the reservations of conns, and at most limit.
	used    int64
	conns   map[ConnID]*conn
	evicted uint64
	// opened counts the connections that were opened.
	opened uint64
	// evictable holds the connections of the phases Receiving and Idle.
	evictable [Busy]queue
}

// conn is a connection with its reservations.
type conn struct {
	id         ConnID
	phase      Phase
	base, held int64
	// number counts the connections in the order of their opening.
	number uint64
	// position is the index in the queue of the phase.
	position int
}

// size returns all memory that the connection has reserved.
func (c *conn) size() int64 { return c.base + c.held }

// Option sets a property of a Budget.
type Option func(*Budget)

// WithMaxConnections bounds the number of connections.
func WithMaxConnections(n int) Option { return func(b *Budget) { b.maxConns = n } }

// New returns a budget of a number of bytes without connections.
func New(limit int64, opts ...Option) *Budget {
	b := &Budget{limit: limit, conns: make(map[ConnID]*conn)}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Open adds a connection, in the phase Receiving, and reserves the memory that it takes
// without a request. It returns the connections that were evicted for it, and ok=false
// if the connection must be closed.
func (b *Budget) Open(id ConnID, base int64) (evicted []ConnID, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conns[id] != nil || base < 0 {
		return nil, false
	}
	b.opened++
	c := &conn{id: id, base: base, number: b.opened}
	for b.maxConns > 0 && len(b.conns) >= b.maxConns {
		victim := b.victim(c, base)
		if victim == nil {
			return evicted, false
		}
		evicted = append(evicted, b.evict(victim))
	}
	more, ok := b.makeRoom(c, base, b.limit, base)
	evicted = append(evicted, more...)
	if !ok {
		return evicted, false
	}
	b.used += base
	b.conns[id] = c
	heap.Push(&b.evictable[Receiving], c)
	return evicted, true
}

// Reserve reserves further memory for a connection. It returns the connections that were
// evicted for it, and ok=false if the memory is not available or the connection has been
// evicted itself.
func (b *Budget) Reserve(id ConnID, n int64) (evicted []ConnID, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.conns[id]
	if c == nil || n < 0 || n > b.limit {
		return nil, false
	}
	limit := b.limit
	if c.held+n > OrdinaryBytes {
		limit -= limit / 4
	}
	evicted, ok = b.makeRoom(c, n, limit, c.size()+n)
	if ok {
		b.add(c, n)
	}
	return evicted, ok
}

// Release gives reserved memory of a connection back.
func (b *Budget) Release(id ConnID, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.conns[id]; c != nil && n > 0 {
		b.add(c, -min(n, c.held))
	}
}

// SetPhase records what a connection is doing.
func (b *Budget) SetPhase(id ConnID, p Phase) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.conns[id]
	if c == nil || c.phase == p || p < Receiving || p > Busy {
		return
	}
	if c.phase != Busy {
		heap.Remove(&b.evictable[c.phase], c.position)
	}
	c.phase = p
	if p != Busy {
		heap.Push(&b.evictable[p], c)
	}
}

// Close removes a connection and all its reservations.
func (b *Budget) Close(id ConnID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.conns[id]; c != nil {
		b.remove(c)
	}
}

// Stats returns the state of the budget.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{UsedBytes: b.used, LimitBytes: b.limit, Connections: len(b.conns), Evicted: b.evicted}
}

// add changes the memory that a connection has reserved; b.mu is held.
func (b *Budget) add(c *conn, n int64) {
	c.held += n
	b.used += n
	if c.phase != Busy {
		heap.Fix(&b.evictable[c.phase], c.position)
	}
}

// makeRoom evicts connections until a reservation of a connection fits a limit. size is
// the memory of that connection with the reservation; b.mu is held.
func (b *Budget) makeRoom(c *conn, n, limit, size int64) (evicted []ConnID, ok bool) {
	if b.used+n > limit && b.used+n-b.available(c, size) > limit {
		return nil, false
	}
	for b.used+n > limit {
		victim := b.victim(c, size)
		if victim == nil {
			return evicted, false
		}
		evicted = append(evicted, b.evict(victim))
	}
	return evicted, true
}

// evict removes a connection that makes room for another one; b.mu is held.
func (b *Budget) evict(c *conn) ConnID {
	b.remove(c)
	b.evicted++
	return c.id
}

// remove removes a connection; b.mu is held.
func (b *Budget) remove(c *conn) {
	b.used -= c.size()
	delete(b.conns, c.id)
	if c.phase != Busy {
		heap.Remove(&b.evictable[c.phase], c.position)
	}
}
