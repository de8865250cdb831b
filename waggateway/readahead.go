package waggateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagpanic"
)

const (
	// maxAhead bounds the requests of a connection that run ahead of their turn.
	maxAhead = 8
	// maxWaiting bounds the parsed requests of a connection that wait to run ahead.
	maxWaiting = 8
	// maxUnreadBytes bounds the bytes that are read from a connection before net/http
	// asks for them, and the size of a request that runs ahead.
	maxUnreadBytes = 64 << 10
	// readAheadSize is the size of one read in bytes.
	readAheadSize = 4 << 10
)

// callerConn is a connection of a caller. net/http serves the requests of a connection
// one after the other; requests that a caller pipelines would wait for those before
// them. A callerConn finds such requests in the bytes that it reads and runs them ahead
// of their turn: the handler of a later request then takes over an execution that has
// begun already. net/http still decides what a request is, answers in order and ends
// connections. Only safe requests without a body on idempotent routes run ahead
// (RFC 9112, section 9.3.2).
type callerConn struct {
	net.Conn
	gateway *Gateway
	// ctx ends with the connection.
	ctx    context.Context
	cancel context.CancelFunc
	// forced ends when the connection is closed without waiting any longer.
	forced context.Context
	force  context.CancelFunc
	// hasWritten is set when something was written.
	hasWritten atomic.Bool
	// tasks runs the executions and readAhead.
	tasks errgroup.Group

	mu sync.Mutex
	// changed is signalled when the fields below change.
	changed *sync.Cond
	// tracking is set until something is received whose end only net/http can tell.
	tracking bool
	// head holds the received bytes of the next request while tracking is set.
	head []byte
	// received counts the requests that were received completely, and begun those whose
	// handler has been called.
	received, begun int
	// handling is set while a handler runs.
	handling bool
	// ahead holds the requests that run ahead, by their number on the connection.
	// waiting holds those that exceed maxAhead, in order, and at most maxWaiting. Bytes of
	// further ones stay in head.
	ahead   map[int]*execution
	waiting []pipelinedRequest
	// reading is set while readAhead runs. Read then takes what that has received from
	// unread, and afterwards returns readErr.
	reading bool
	unread  []byte
	readErr error
	// readDeadline is the deadline of reads; zero for none.
	readDeadline time.Time
	closed       bool
	// noLinger is set if a close must not wait: after refuse, which has read for a while
	// already, or because it has to reset the connection.
	noLinger bool
	boundary boundary
	usage
}

// pipelinedRequest is a request with its number on the connection, which begins at 1.
type pipelinedRequest struct {
	number  int
	request *http.Request
	// cost is the memory in bytes that is reserved for the request.
	cost int64
}

// callerListener accepts the connections of callers.
type callerListener struct {
	net.Listener
	gateway *Gateway
}

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newCallerConn(raw, l.gateway)
		if l.gateway.callers.add(c) {
			return c, nil
		}
		_ = raw.Close() // the connection is refused
	}
}

func newCallerConn(raw net.Conn, g *Gateway) *callerConn {
	c := &callerConn{Conn: raw, gateway: g, tracking: true, ahead: make(map[int]*execution)}
	c.changed = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.forced, c.force = context.WithCancel(context.Background())
	return c
}

type connContextKey struct{}

// connContext returns the context of the requests of a connection, as the ConnContext
// function of a server.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	c, ok := conn.(*callerConn)
	if !ok {
		return ctx
	}
	return context.WithValue(c.ctx, connContextKey{}, c)
}

// callerConnOf returns the connection of a request, or nil.
func callerConnOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(connContextKey{}).(*callerConn)
	return c
}

// Read reads from the connection.
func (c *callerConn) Read(p []byte) (n int, err error) {
	n, err = c.read(p)
	if err != nil && c.isHeadExpired(err) {
		c.refuse(CauseHeadTimeout, p)
		return 0, c.refusedError()
	}
	if n == 0 {
		return n, err
	}
	c.progress.Add(1)
	c.mu.Lock()
	c.boundary.add(p[:n])
	c.mu.Unlock()
	if cause := c.countHead(p[:n]); cause != "" {
		c.gateway.observer.CallerRefused(cause)
		c.refuse(cause, p)
		return 0, c.refusedError()
	}
	return n, err
}

func (c *callerConn) read(p []byte) (n int, err error) {
	c.mu.Lock()
	for c.reading && len(c.unread) == 0 {
		c.changed.Wait()
	}
	if len(c.unread) > 0 {
		n = copy(p, c.unread)
		if c.unread = c.unread[n:]; len(c.unread) == 0 {
			c.unread = nil // its memory is no longer charged
		}
		c.release(unreadByteCost * int64(n))
		c.changed.Broadcast()
		c.mu.Unlock()
		return n, nil
	}
	if err := c.readErr; err != nil {
		c.mu.Unlock()
		return 0, err
	}
	c.mu.Unlock()
	n, err = c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.receive(p[:n])
		if c.handling && c.tracking && !c.reading && !c.closed {
			// net/http has read the first byte of another request while a handler runs and
			// reads no more before that returns.
			c.reading = true
			c.tasks.Go(c.readAhead)
		}
	}
	return n, err
}

// readAhead reads from the connection until it ends. It shows that a caller has left,
// which net/http does not notice once it has received a byte of another request.
func (c *callerConn) readAhead() error {
	buffer := make([]byte, readAheadSize)
	for {
		n, err := c.Conn.Read(buffer)
		c.mu.Lock()
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.isReadDeadlinePast() {
			// The deadline was lifted before this goroutine ran again. The error would fail a
			// later read, although its caller still waits.
			err = nil
		}
		if !c.reserve(unreadByteCost * int64(n)) {
			// The responses to the requests so far are still written.
			c.stopTracking()
			c.reading, c.readErr = false, c.refusedError()
			c.changed.Broadcast()
			c.mu.Unlock()
			c.gateway.observer.CallerRefused(CauseMemory)
			return nil
		}
		c.unread = append(c.unread, buffer[:n]...)
		c.receive(buffer[:n])
		c.reading = err == nil
		if err != nil {
			c.readErr = err
		}
		c.changed.Broadcast()
		for err == nil && len(c.unread) >= maxUnreadBytes && !c.closed {
			c.changed.Wait()
		}
		c.mu.Unlock()
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.cancel()
			}
			return nil
		}
	}
}

// SetReadDeadline sets the deadline of reads. A read that has exceeded an earlier one
// does not affect the reads that follow.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil // linger sets its own
	}
	if errors.Is(c.readErr, os.ErrDeadlineExceeded) {
		c.readErr = nil
	}
	return c.setReadDeadline(t)
}

// setReadDeadline sets the deadline of reads; c.mu is held.
func (c *callerConn) setReadDeadline(t time.Time) error {
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// isReadDeadlinePast reports whether the deadline of reads has passed; c.mu is held.
func (c *callerConn) isReadDeadlinePast() bool {
	return !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
}

// CloseWrite closes the sending side, which net/http does before it closes a connection
// with unread bytes.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close cancels the requests of the connection and closes it when the caller has
// acknowledged what was written, or at once if it is called a second time.
func (c *callerConn) Close() error {
	c.cancel()
	c.mu.Lock()
	lingers := !c.closed && c.beginLinger()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	if lingers {
		c.linger()
	}
	c.force()
	err := c.Conn.Close()
	if c.gateway != nil {
		c.gateway.callers.remove(c)
	}
	return err
}

// receive looks for complete requests in the received bytes and runs those ahead that
// wait for an earlier one; c.mu is held. A panic ends the search and nothing else: it is
// called by goroutines that would end the process.
func (c *callerConn) receive(p []byte) {
	err := wagpanic.Catch(c.gateway.log, func() error {
		c.findRequests(p)
		return nil
	})
	if err != nil {
		c.stopTracking()
	}
}

func (c *callerConn) findRequests(p []byte) {
	for {
		c.startWaiting() // makes room for others
		found := c.search(p, maxWaiting-len(c.waiting))
		p = nil
		for _, r := range found {
			c.received++
			if c.handling || c.received > c.begun+1 {
				c.addWaiting(r)
			}
		}
		if len(found) == 0 {
			return
		}
	}
}

// addWaiting adds the request that was received last to those that wait to run ahead;
// c.mu is held.
func (c *callerConn) addWaiting(r *http.Request) {
	cost := requestCost(r)
	if c.received <= c.begun || !c.reserve(cost) {
		return // the request waits for its turn
	}
	r.RemoteAddr = c.RemoteAddr().String()
	c.waiting = append(c.waiting, pipelinedRequest{number: c.received, request: r, cost: cost})
}

// search returns up to limit requests that the received bytes complete, and keeps the
// bytes of further ones. It ends for good at anything but a request that parseHead
// accepts; c.mu is held.
func (c *callerConn) search(p []byte, limit int) (found []*http.Request) {
	if !c.tracking {
		return nil
	}
	c.head = append(c.head, p...)
	defer c.shrinkHead()
	if len(c.head) > 2*maxUnreadBytes {
		c.stopTracking()
		return nil
	}
	for len(found) < limit {
		before, rest, complete := bytes.Cut(c.head, []byte("\r\n\r\n"))
		if !complete {
			if len(c.head) > maxUnreadBytes {
				c.stopTracking()
			}
			return found
		}
		r := parseHead(c.head[:len(before)+4])
		if r == nil {
			c.stopTracking()
			return found
		}
		found = append(found, r)
		c.head = append(c.head[:0], rest...)
	}
	return found
}

// shrinkHead gives the memory of a large buffer back that is hardly used; c.mu is held.
func (c *callerConn) shrinkHead() {
	if cap(c.head) > readAheadSize && cap(c.head) > 4*len(c.head) {
		c.head = append([]byte(nil), c.head...)
	}
}

// stopTracking ends the search for pipelined requests on the connection; c.mu is held.
// Requests that run ahead already keep their turn.
func (c *callerConn) stopTracking() { c.tracking, c.head = false, nil }

// startWaiting starts the requests that may run ahead now; c.mu is held.
func (c *callerConn) startWaiting() {
	for len(c.waiting) > 0 && len(c.ahead) < maxAhead && c.ctx.Err() == nil {
		next := c.waiting[0]
		c.waiting[0] = pipelinedRequest{} // the array outlives the request
		if c.waiting = c.waiting[1:]; len(c.waiting) == 0 {
			c.waiting = nil
		}
		if next.number > c.begun {
			if x := c.gateway.startAhead(c, next); x != nil {
				c.ahead[next.number] = x
				continue
			}
		}
		c.release(next.cost)
	}
}

// begin records that the handler of the next request has been called. It returns the
// execution of that request if it runs ahead, and nil otherwise.
func (c *callerConn) begin(r *http.Request) *execution {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun++
	c.handling = true
	c.boundary.bodyLength = r.ContentLength
	c.endHead()
	x := c.ahead[c.begun]
	delete(c.ahead, c.begun)
	if x != nil {
		c.headCost += x.headCost
	}
	isOther := x != nil && !x.isFor(c.gateway.protocol, r)
	// The search ends at a body, so that nothing runs ahead beside or after one.
	isBodyMissed := r.ContentLength != 0 && (x != nil || len(c.ahead) > 0)
	if isOther || isBodyMissed {
		// The search has lost its place. Its executions are those of no request.
		c.stopTracking()
		for _, next := range c.waiting {
			c.release(next.cost)
		}
		c.waiting = nil
		for number, other := range c.ahead {
			c.release(other.headCost)
			delete(c.ahead, number)
			c.abandon(other)
		}
		if x != nil {
			c.abandon(x)
		}
		x = nil
	}
	c.receive(nil)
	return x
}

// abandon cancels an execution that belongs to no request, and gives back what is reserved
// for its response when it has ended.
func (c *callerConn) abandon(x *execution) {
	x.cancel()
	c.tasks.Go(func() error {
		x.release()
		return nil
	})
}

// end records that a handler returns.
func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = false
	c.activity = finishing
}
