package waggateway

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtailspar/wagtailspar/wagbudget"
)

const (
	// defaultMemoryBytes and defaultConnections apply unless Limits sets others.
	defaultMemoryBytes = 64 << 20
	defaultConnections = 4096
	// connBaseBytes is the memory of a connection without a request: the stacks of its
	// goroutines and the buffers of net/http. BenchmarkConnections measured 20.8 to 21.9 KB
	// of an idle connection together with its caller in the same process.
	connBaseBytes = 20 << 10
	// memoryRetryDelay is the Retry-After of a refusal for lack of memory. Most requests
	// end within it.
	memoryRetryDelay = time.Second
)

// Limits bound what the gateway holds on behalf of all callers together.
type Limits struct {
	// MemoryBytes bounds the accounted memory; 0 for 64 MB.
	MemoryBytes int64
	// Connections bounds the connections of callers; 0 for 4096.
	Connections int
}

// WithLimits sets the limits for all callers together.
func WithLimits(l Limits) Option { return func(g *Gateway) { g.limits = l } }

// BudgetStats returns what is held on behalf of callers.
func (g *Gateway) BudgetStats() wagbudget.Stats { return g.callers.budget.Stats() }

// memoryRefusal returns the response to a request that is not run for lack of memory.
func (g *Gateway) memoryRefusal() response {
	return response{status: http.StatusServiceUnavailable, outcome: OutcomeRefused, reason: string(CauseMemory), retryAt: g.clock.Now().Add(memoryRetryDelay)}
}

// callers holds the connections of callers and closes those that the budget evicts.
type callers struct {
	gateway *Gateway
	budget  *wagbudget.Budget
	limits  Limits

	// lingering counts the connections that wait for acknowledgements before they close.
	lingering atomic.Int64

	mu     sync.Mutex
	conns  map[wagbudget.ConnID]*callerConn
	lastID wagbudget.ConnID
}

func (s *callers) open(g *Gateway, l Limits) {
	if l.MemoryBytes <= 0 {
		l.MemoryBytes = defaultMemoryBytes
	}
	if l.Connections <= 0 {
		l.Connections = defaultConnections
	}
	s.gateway, s.limits, s.conns = g, l, make(map[wagbudget.ConnID]*callerConn)
	s.budget = wagbudget.New(l.MemoryBytes, wagbudget.WithMaxConnections(l.Connections))
}

// add adds a connection. It returns false when the connection must be closed.
func (s *callers) add(c *callerConn) bool {
	s.mu.Lock()
	s.lastID++
	c.id = s.lastID
	s.conns[c.id] = c
	s.mu.Unlock()
	cause := CauseMemory
	if s.budget.Stats().Connections >= s.limits.Connections {
		cause = CauseConnections
	}
	evicted, ok := s.budget.Open(c.id, connBaseBytes)
	s.closeEvicted(evicted, cause)
	if !ok {
		s.remove(c)
		s.gateway.observer.CallerRefused(cause)
	}
	return ok
}

// remove removes a connection that is closed.
func (s *callers) remove(c *callerConn) {
	s.budget.Close(c.id)
	s.mu.Lock()
	delete(s.conns, c.id)
	s.mu.Unlock()
}

// all returns the open connections.
func (s *callers) all() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*callerConn, 0, len(s.conns))
	for _, c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// closeEvicted closes connections that the budget has evicted.
func (s *callers) closeEvicted(ids []wagbudget.ConnID, cause RefusalCause) {
	for _, id := range ids {
		s.mu.Lock()
		c := s.conns[id]
		s.mu.Unlock()
		if c == nil {
			continue
		}
		c.evicted.Store(true)
		c.abort()
		s.gateway.observer.CallerRefused(cause)
	}
}

// connState records that a connection waits for another request, as the ConnState
// function of a server.
func connState(conn net.Conn, s http.ConnState) {
	if c, ok := conn.(*callerConn); ok && s == http.StateIdle {
		c.becomeIdle()
	}
}
