package wagowner

import (
	"slices"
	"time"

	"github.com/wagtailspar/wagtailspar/wagplacement"
)

// StartupWaitTimeout bounds how long after its start a host lets requests wait for the
// configuration, which is small.
const StartupWaitTimeout = 400 * time.Millisecond

// serversWaitTimeout bounds how long after its start a host lets requests wait for the
// list of servers. Other hosts send it, or the store in several pages.
const serversWaitTimeout = time.Second

// heldRequest is a request that waits for a list of servers, the first one or a current one.
type heldRequest struct {
	group   *group
	request wagplacement.Request
	until   time.Time
}

// Hold makes requests wait until a time, or until EndHold, because the list of servers may
// be out of date. Each waits for half of its time at most.
func (o *Owner) Hold(until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.holdUntil = until
}

// EndHold submits the requests that wait because of Hold.
func (o *Owner) EndHold() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.holdUntil.IsZero() {
		return
	}
	o.holdUntil = time.Time{}
	if o.startupDone {
		o.submitAllHeld(o.clock.Now())
	}
}

// finishStartup submits the held requests, unless Hold is in force. The caller must hold
// o.mu.
func (o *Owner) finishStartup(now time.Time) {
	o.startupDone = true
	if !now.Before(o.holdUntil) {
		o.submitAllHeld(now)
	}
}

// submitAllHeld submits the held requests. The caller must hold o.mu.
func (o *Owner) submitAllHeld(now time.Time) {
	for _, e := range o.heldRequests {
		o.submitHeld(now, e)
	}
	o.heldRequests = nil
}

// submitHeld submits a held request unless it was cancelled. The caller must hold o.mu.
func (o *Owner) submitHeld(now time.Time, e heldRequest) {
	if _, waiting := e.group.waiters[e.request.ID]; waiting {
		e.group.scheduler.Submit(now, e.request)
		o.executeCommands(e.group)
	}
}

// submitExpired submits the held requests that have waited long enough. It returns when
// the next one has, or the zero time. The caller must hold o.mu.
func (o *Owner) submitExpired(now time.Time) (next time.Time) {
	o.heldRequests = slices.DeleteFunc(o.heldRequests, func(e heldRequest) bool {
		if !now.Before(e.until) {
			o.submitHeld(now, e)
			return true
		}
		if next.IsZero() || e.until.Before(next) {
			next = e.until
		}
		return false
	})
	o.startupDone = o.startupDone || !now.Before(o.startupDeadline)
	return next
}
