package wagentry

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

var errAttemptEnded = errors.New("attempt has ended or was written to another connection")

// writeGuard records whether an attempt was written to a connection, and permits only
// one connection per attempt. http.Transport resends a request without a body when a
// kept connection turns out to be closed, although the server may have read the
// request. The guard makes the writes to the second connection fail.
type writeGuard struct {
	cancel context.CancelFunc
	trace  httptrace.ClientTrace
	// mayStart is called immediately before the first write and may forbid it.
	mayStart func() bool

	mu sync.Mutex
	// conn is the connection of the first write.
	conn *serverConn
	// stopped forbids a first write.
	stopped bool
}

// newWriteGuard returns a guard and the context in which its attempt has to be sent.
func newWriteGuard(ctx context.Context, mayStart func() bool) (*writeGuard, context.Context) {
	w := &writeGuard{mayStart: mayStart}
	ctx, w.cancel = context.WithCancel(ctx)
	w.trace.GotConn = w.gotConn
	return w, httptrace.WithClientTrace(ctx, &w.trace)
}

// gotConn is called by http.Transport when the attempt gets a connection.
func (w *writeGuard) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*serverConn)
	if !ok {
		w.cancel()
		return
	}
	if w.written() {
		// http.Transport resends the request on its own.
		w.cancel()
	}
	c.guard.Store(w)
}

func (w *writeGuard) written() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conn != nil
}

// mayWrite reports whether the attempt may write to c. If so, it counts as written
// from then on.
func (w *writeGuard) mayWrite(c *serverConn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn == nil && !w.stopped {
		if !w.mayStart() {
			w.stopped = true
			return false
		}
		w.conn = c
	}
	return w.conn == c
}

// stop cancels the attempt, forbids a first write and reports whether there was one.
func (w *writeGuard) stop() bool {
	w.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	return w.conn != nil
}

// serverConn is a connection to a server or to another host.
type serverConn struct {
	net.Conn
	// guard is that of the attempt that uses the connection.
	guard atomic.Pointer[writeGuard]
	close func() error
}

// Write writes bytes of the attempt that uses the connection, if its guard permits it.
func (c *serverConn) Write(p []byte) (int, error) {
	w := c.guard.Load()
	if w == nil || !w.mayWrite(c) {
		return 0, errAttemptEnded
	}
	return c.Conn.Write(p)
}

// Close closes the connection and frees its slot.
func (c *serverConn) Close() error {
	return c.close()
}
