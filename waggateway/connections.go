package waggateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connTracker tracks the connections of callers, to close those that are unused.
type connTracker struct {
	mu    sync.Mutex
	conns map[net.Conn]trackedConn
}

type trackedConn struct {
	state http.ConnState
	// since is when the connection entered its state.
	since time.Time
	// closing reports whether the read deadline of the connection has been set to the
	// past.
	closing bool
}

func newConnTracker() *connTracker { return &connTracker{conns: make(map[net.Conn]trackedConn)} }

// setState records a change of the state of a connection.
func (c *connTracker) setState(now time.Time, conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	if s == http.StateActive && c.conns[conn].closing {
		// The request was read before the deadline took effect, so the connection stays
		// open. The call fails only on a closed connection.
		_ = conn.SetReadDeadline(time.Time{})
	}
	c.conns[conn] = trackedConn{state: s, since: now}
}

// closeUnused closes the connections on which no request has arrived since a time:
// newBefore applies to connections that never carried a request, idleBefore to those
// that did. It returns how many connections are open. It sets the read deadline instead
// of closing the connection, which would lose a request that is being read at that
// moment.
func (c *connTracker) closeUnused(newBefore, idleBefore time.Time) (open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, tracked := range c.conns {
		if caller, ok := conn.(*callerConn); ok && caller.isReceivingHead() {
			continue // the head has a timeout of its own, from its first byte
		}
		if tracked.state == http.StateNew && tracked.since.Before(newBefore) || tracked.state == http.StateIdle && tracked.since.Before(idleBefore) {
			tracked.closing = true
			c.conns[conn] = tracked
			_ = conn.SetReadDeadline(pastDeadline) // fails only on a closed connection
		}
	}
	return len(c.conns)
}
