package waggateway

import "time"

// progressMark is what has to change on a connection within a timeout.
type progressMark struct {
	activity activity
	writing  bool
	// number counts the requests of the connection.
	number int
	// progress is 0 while a head is received: it has to be complete within its timeout
	// however many bytes arrive.
	progress uint64
	// unacknowledged is the number of written bytes that the caller has not acknowledged;
	// 0 unless writing is set.
	unacknowledged int
}

// endStalled ends heads, bodies and writes that take too long. It compares with what the
// previous call has seen, so that a request needs no timer of its own.
func (g *Gateway) endStalled(now time.Time) {
	header, idle := g.timeouts()
	s := g.shutdown.Load()
	for _, c := range g.callers.all() {
		if s != nil && !now.Before(s.lateFrom) {
			c.endLateBody(s.answerBy)
		}
		c.endStalled(now, now.Add(-header), now.Add(-idle))
	}
}

// endLateBody ends a body that will be complete too late in a graceful shutdown, unless the
// deadline of its request lies before answerBy.
func (c *callerConn) endLateBody(answerBy time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.activity == readingBody && c.bodyUntil.After(answerBy) {
		c.expire(CauseShutdown)
	}
}

// endStalled ends what has made no progress since headBefore or idleBefore.
func (c *callerConn) endStalled(now, headBefore, idleBefore time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.activity == receiving && c.counter.bytes == 0 {
		c.markedAt = time.Time{}
		return // connTracker closes unused connections
	}
	m := progressMark{activity: c.activity, writing: c.writing.Load(), number: c.begun}
	if c.activity != receiving {
		m.progress = c.progress.Load()
	}
	if m.writing {
		m.unacknowledged, _ = c.unacknowledgedBytes()
	}
	if m != c.mark || c.markedAt.IsZero() {
		c.mark, c.markedAt = m, now
	}
	isIdle := !c.markedAt.After(idleBefore)
	switch {
	case c.activity == receiving && !c.markedAt.After(headBefore):
		c.expire(CauseHeadTimeout)
	case c.activity == receiving:
	case m.writing:
		if isIdle {
			c.gateway.observer.CallerRefused(CauseWriteTimeout)
			c.abort()
		}
	case c.activity == readingBody && (isIdle || !now.Before(c.bodyUntil)), c.activity == finishing && isIdle:
		c.expire(CauseBodyTimeout)
	}
}

// expire makes reads fail; c.mu is held. net/http may reset the deadline in between, so
// that it is set again each time.
func (c *callerConn) expire(cause RefusalCause) {
	if c.expired == "" {
		c.expired = cause
		c.gateway.observer.CallerRefused(cause)
	}
	_ = c.setReadDeadline(pastDeadline) // fails only on a closed connection
}
