package waggateway

import (
	"bytes"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/wagtailspar/wagtailspar/wagbudget"
	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	// lingerTimeout bounds how long a connection that is being closed waits until the caller
	// has acknowledged what was written, and lingerStallTimeout how long without progress.
	lingerTimeout      = 30 * time.Second
	lingerStallTimeout = 5 * time.Second
	// lingerReadAfter is how long a caller may acknowledge nothing before what it sends is
	// read: it may not read before it has sent all of a body.
	lingerReadAfter = 50 * time.Millisecond
	// lingerReadBytes bounds the bytes that are read and discarded.
	lingerReadBytes = 8 << 20
	// lingerFirstPoll and lingerLastPoll are the first and the longest interval at which the
	// acknowledged bytes are checked.
	lingerFirstPoll = time.Millisecond
	lingerLastPoll  = 20 * time.Millisecond
	// maxLingering bounds the connections that wait at a time.
	maxLingering = 512
	// peekBytes is how much of what a caller has sent is looked at.
	peekBytes = 64
)

// boundary finds whether net/http was given bytes beyond the current request. It counts
// only; it decides on no request.
type boundary struct {
	// headDone is set after the empty line that ends the head. hasLine is set after the
	// first line, and lineBytes counts the bytes of the current line without line ends.
	headDone, hasLine bool
	lineBytes         int
	// afterHead counts the bytes after the head, but not line ends at its end.
	afterHead int64
	// bodyLength is the length of the body; -1 if it is not known.
	bodyLength int64
	// pipelined is set for good once bytes of a further request have come before the
	// response to the one before it.
	pipelined bool
}

// add counts bytes that are given to net/http.
func (b *boundary) add(p []byte) {
	for i := 0; i < len(p) && !b.headDone; i++ {
		switch p[i] {
		case '\r':
		case '\n':
			b.headDone = b.hasLine && b.lineBytes == 0
			b.hasLine, b.lineBytes = b.hasLine || b.lineBytes > 0, 0
			if b.headDone {
				p = p[i+1:]
				i = -1
			}
		default:
			b.lineBytes++
		}
	}
	if b.headDone {
		b.afterHead += int64(len(p))
	}
}

// endRequest records that the response has been written.
func (b *boundary) endRequest() {
	*b = boundary{pipelined: b.pipelined || b.hasFurther()}
}

// hasFurther reports whether bytes beyond the request were given to net/http. It is not
// known behind a body of unknown length.
func (b *boundary) hasFurther() bool {
	return b.pipelined || b.bodyLength >= 0 && b.afterHead > b.bodyLength
}

// hasFurther reports whether the caller has sent a further request before the response to
// the current one, so that a close after that response would leave it without one.
func (c *callerConn) hasFurther() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) > 0 || len(c.waiting) > 0 || len(bytes.TrimLeft(c.unread, "\r\n")) > 0 || c.hasQueuedBytes() {
		return true
	}
	if c.tracking {
		return c.received > c.begun || len(bytes.TrimLeft(c.head, "\r\n")) > 0
	}
	return c.boundary.hasFurther()
}

// hasQueuedBytes reports whether the kernel holds bytes of a further request. Line ends
// before a request belong to none (RFC 9112, section 2.2).
func (c *callerConn) hasQueuedBytes() (queued bool) {
	c.control(func(fd int) {
		buffer := make([]byte, peekBytes)
		n, _, err := unix.Recvfrom(fd, buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		queued = err == nil && len(bytes.TrimLeft(buffer[:max(n, 0)], "\r\n")) > 0
	})
	return queued
}

// control calls f with the file descriptor of the connection. It returns false if there is
// none.
func (c *callerConn) control(f func(fd int)) bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// unacknowledgedBytes returns how many written bytes the caller has not acknowledged, and
// false if that is not known. The kernel lets a blocked write go on only after a third of
// its buffer, which may be megabytes, has been acknowledged, so that writes alone do not
// show the progress of a slow caller.
func (c *callerConn) unacknowledgedBytes() (n int, ok bool) {
	var err error
	ok = c.control(func(fd int) { n, err = unix.IoctlGetInt(fd, unix.TIOCOUTQ) })
	return n, ok && err == nil
}

// beginLinger reports whether a connection that is being closed has to wait because a part
// of what was written may still be lost; c.mu is held.
func (c *callerConn) beginLinger() bool {
	if c.gateway == nil || c.gateway.ending.Load() || c.evicted.Load() || c.noLinger || !c.hasWritten.Load() || errors.Is(c.readErr, io.EOF) {
		return false
	}
	if n, ok := c.unacknowledgedBytes(); ok && n == 0 {
		return false
	}
	if c.gateway.callers.lingering.Add(1) > maxLingering {
		c.gateway.callers.lingering.Add(-1)
		return false
	}
	return true
}

// linger closes the sending side and waits until the caller has acknowledged all that was
// written (RFC 9112, section 9.6). A connection that is closed while bytes are unread is
// reset, which drops what was not sent yet. What the caller sends is not read unless that
// keeps it from reading: a request that is not read may be sent again.
func (c *callerConn) linger() {
	defer c.gateway.callers.lingering.Add(-1)
	c.gateway.callers.budget.SetPhase(c.id, wagbudget.Idle)
	c.endReadAhead()
	if c.CloseWrite() != nil {
		return
	}
	clock := c.gateway.clock
	start := clock.Now()
	progressAt, least, discarded := start, -1, 0
	scratch := make([]byte, readAheadSize)
	for poll := lingerFirstPoll; ; poll = min(2*poll, lingerLastPoll) {
		now := clock.Now()
		unacknowledged, isKnown := c.unacknowledgedBytes()
		if isKnown && unacknowledged == 0 || !now.Before(start.Add(lingerTimeout)) {
			return
		}
		stallTimeout := lingerStallTimeout
		if !isKnown {
			stallTimeout = refusalTimeout
		}
		if isKnown && (least < 0 || unacknowledged < least) {
			least, progressAt = unacknowledged, now
		}
		if !now.Before(progressAt.Add(stallTimeout)) || discarded > lingerReadBytes {
			return
		}
		if isKnown && now.Before(progressAt.Add(lingerReadAfter)) {
			if !wagclock.Wait(c.forced, clock, now.Add(poll)) {
				return
			}
			continue
		}
		_ = c.Conn.SetReadDeadline(time.Now().Add(poll)) // fails only on a closed connection
		n, err := c.Conn.Read(scratch)
		discarded += n
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, io.EOF) && isKnown:
			// The caller may have closed its sending side only.
			if !wagclock.Wait(c.forced, clock, now.Add(poll)) {
				return
			}
		case err != nil:
			return
		}
	}
}

// endReadAhead ends readAhead and waits for its end.
func (c *callerConn) endReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading {
		return
	}
	_ = c.setReadDeadline(pastDeadline) // fails only on a closed connection
	for c.reading {
		c.changed.Wait()
	}
}

// resetOnClose makes the close of the connection reset it. A caller of HTTP/1.0 takes the
// end of a connection for that of a response without a length.
func (c *callerConn) resetOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noLinger = true
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0) // fails only on a closed connection
	}
}
