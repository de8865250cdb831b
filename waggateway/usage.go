package waggateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagbudget"
)

const (
	// unreadByteCost is the memory in bytes of a byte that is read ahead: one copy for
	// net/http and one for the search for requests.
	unreadByteCost = 2
	// readBufferBytes is the size of the read buffer of net/http, which may be filled with
	// bytes beyond the end of a head.
	readBufferBytes = 4 << 10
	// writeChunkBytes is the size of one write, so that progress of a long one is seen.
	writeChunkBytes = 16 << 10
	// refusalTimeout bounds the time for which a connection is kept after a refusal, and
	// refusalReadBytes the bytes that are read meanwhile. A connection that is closed with
	// unread bytes is reset, and the caller might not see the response.
	refusalTimeout   = 500 * time.Millisecond
	refusalReadBytes = 256 << 10
)

// activity is what happens on a connection between two requests and during one.
type activity int

const (
	// receiving means that the next head is awaited or received.
	receiving activity = iota
	// handling means that the handler runs.
	handling
	// readingBody means that the handler reads the body.
	readingBody
	// finishing means that the response is written without waiting for a server, and the
	// rest of the body is read.
	finishing
)

// usage is what a connection takes up. The fields without atomic types are protected by
// the mutex of the connection.
type usage struct {
	id wagbudget.ConnID
	// evicted is set when the connection has lost its reservations.
	evicted atomic.Bool
	// progress counts reads and writes, and writing is set during a write.
	progress atomic.Uint64
	writing  atomic.Bool

	activity activity
	counter  headCounter
	// headCost is the memory that is reserved for the heads of the current request until
	// its response has been written.
	headCost int64
	// bodyUntil is the deadline of the body that is being read.
	bodyUntil time.Time
	// expired is why the read deadline of the connection was set to the past, or empty.
	expired RefusalCause
	// mark is the state at the latest change that the sweeper has seen, at markedAt. That
	// is zero while nothing has to change.
	mark     progressMark
	markedAt time.Time
}

// headLimit returns how many bytes net/http may read for one head.
func (g *Gateway) headLimit() int {
	if c := g.config.Load(); c != nil && c.Limits.HeaderBytes > 0 {
		return min(c.Limits.HeaderBytes, maxHeaderBytes) + readBufferBytes
	}
	return maxHeaderBytes
}

// countHead counts bytes that are handed to net/http while a head is being received. It
// returns why the connection must be closed, or an empty cause.
func (c *callerConn) countHead(p []byte) RefusalCause {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.activity != receiving || c.isNextAhead() {
		// The head of a request that runs ahead is complete and its memory reserved. It must
		// not be refused: a server may have run the request.
		return ""
	}
	if c.counter.bytes == 0 {
		// Line ends before a request belong to none (RFC 9112, section 2.2).
		if p = bytes.TrimLeft(p, "\r\n"); len(p) == 0 {
			return ""
		}
		c.gateway.callers.budget.SetPhase(c.id, wagbudget.Receiving)
	}
	cost := c.counter.add(p)
	if c.counter.bytes > c.gateway.headLimit() {
		return CauseHeadTooLong
	}
	if !c.reserve(cost) {
		return CauseMemory
	}
	c.headCost += cost
	return ""
}

// endHead records that a head has been received completely; c.mu is held.
func (c *callerConn) endHead() {
	c.activity, c.counter = handling, headCounter{}
	c.gateway.callers.budget.SetPhase(c.id, wagbudget.Busy)
	c.liftExpiry()
}

// liftExpiry lifts the deadline of a head or a body that was complete before the deadline
// took effect; c.mu is held.
func (c *callerConn) liftExpiry() {
	if c.expired == "" {
		return
	}
	c.expired = ""
	if errors.Is(c.readErr, os.ErrDeadlineExceeded) {
		c.readErr = nil
	}
	_ = c.setReadDeadline(time.Time{}) // fails only on a closed connection
}

// isReceivingHead reports whether a part of a head has been received.
func (c *callerConn) isReceivingHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activity == receiving && c.counter.bytes > 0
}

// isHeadExpired reports whether a read failed because a head was not complete in time.
// net/http would respond with 400.
func (c *callerConn) isHeadExpired(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired == CauseHeadTimeout && c.activity == receiving && errors.Is(err, os.ErrDeadlineExceeded)
}

// becomeIdle records that the response and the rest of the body are done with.
func (c *callerConn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activity, c.counter, c.expired = receiving, headCounter{}, ""
	c.boundary.endRequest()
	c.release(c.headCost)
	c.headCost = 0
	if !c.isNextAhead() { // otherwise the connection stays Busy
		c.gateway.callers.budget.SetPhase(c.id, wagbudget.Idle)
	}
}

// isNextAhead reports whether the next request whose handler is called runs ahead; c.mu
// is held.
func (c *callerConn) isNextAhead() bool { return c.ahead[c.begun+1] != nil }

func (c *callerConn) setActivity(a activity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activity = a
}

// beginBody records that the body of a request is read until a deadline.
func (c *callerConn) beginBody(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activity, c.bodyUntil = readingBody, until
}

// endBody records that the body, or the beginning that is kept, has been read, and the
// error of its last read. Without an error, a deadline that was set meanwhile is lifted:
// net/http would take it for the end of the connection and cancel the request.
func (c *callerConn) endBody(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activity = handling
	if err == nil {
		c.liftExpiry()
	}
}

// reserve reserves memory and closes the connections that are evicted for it. It may be
// called with c.mu held: closing another connection does not take its mutex.
func (c *callerConn) reserve(n int64) bool {
	if n == 0 {
		return true
	}
	evicted, ok := c.gateway.callers.budget.Reserve(c.id, n)
	c.gateway.callers.closeEvicted(evicted, CauseMemory)
	return ok
}

// release gives reserved memory back.
func (c *callerConn) release(n int64) {
	if n > 0 {
		c.gateway.callers.budget.Release(c.id, n)
	}
}

// abort closes the connection to the caller and cancels its requests, without c.mu.
// net/http then fails to read or write and closes the connection.
func (c *callerConn) abort() {
	c.cancel()
	_ = c.Conn.Close() // an error means that it is closed already
}

// refusedError returns an error for which net/http closes the connection and writes
// nothing.
func (c *callerConn) refusedError() error {
	return &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the connection is refused")}
}

// refuse writes a response to a request whose head has not been received completely, and
// reads for a short time so that the caller sees it. scratch is overwritten.
func (c *callerConn) refuse(cause RefusalCause, scratch []byte) {
	if c.evicted.Load() {
		return // the connection is closed already
	}
	status, retry := http.StatusRequestHeaderFieldsTooLarge, ""
	switch cause {
	case CauseHeadTimeout:
		status = http.StatusRequestTimeout
	case CauseMemory:
		status = http.StatusServiceUnavailable
		retry = "Retry-After: " + strconv.FormatFloat(memoryRetryDelay.Seconds(), 'f', 3, 64) + "\r\n"
	}
	body := fmt.Sprintf("%s: %s\n", http.StatusText(status), cause)
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), retry, len(body), body)
	c.mu.Lock()
	c.release(c.headCost)
	c.headCost = 0
	c.mu.Unlock()
	// All of these fail only on a connection that the caller has closed.
	_ = c.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := io.WriteString(c.Conn, text); err != nil {
		return
	}
	c.mu.Lock()
	c.noLinger = true
	c.mu.Unlock()
	_ = c.CloseWrite()
	for n := 0; n < refusalReadBytes; {
		m, err := c.Conn.Read(scratch)
		if err != nil {
			return
		}
		n += m
	}
}

// Write writes to the connection.
func (c *callerConn) Write(p []byte) (n int, err error) {
	c.hasWritten.Store(true)
	c.writing.Store(true)
	defer c.writing.Store(false)
	for {
		m, err := c.Conn.Write(p[n:min(n+writeChunkBytes, len(p))])
		n += m
		c.progress.Add(1)
		if err != nil || n == len(p) {
			return n, err
		}
	}
}

// reserveResponse reserves memory for a part of the body of a response. Without it the
// rest of the body is streamed, so that a response is delivered also when memory is short.
func (q *request) reserveResponse(size int64) bool {
	conn := callerConnOf(q.incoming)
	if conn == nil {
		return true
	}
	if q.responseDone.Load() || !conn.reserve(size) {
		return false
	}
	q.responseReserved.Add(size)
	if q.responseDone.Load() {
		q.releaseResponse()
		return false
	}
	return true
}

// releaseResponse gives the memory for the bodies of responses back. Attempts that still
// end in the background get none afterwards.
func (q *request) releaseResponse() {
	q.responseDone.Store(true)
	if conn := callerConnOf(q.incoming); conn != nil {
		conn.release(q.responseReserved.Swap(0))
	}
}
