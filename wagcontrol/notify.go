package wagcontrol

import (
	"context"
	"time"

	"github.com/wagtailspar/wagtailspar/wagmember"
)

// noticeIntervalPerHost is the time between two notices for each host that is
// notified. It limits the bytes for many changes, also in large data centres.
const noticeIntervalPerHost = 100 * time.Millisecond

// notify sends a heartbeat to the other hosts of the data centre after a document
// came into force, if this host is a delegate, so that they need not wait for the
// next regular heartbeat. c.mu must be held.
func (c *Control) notify(ctx context.Context, now time.Time) {
	if !c.noticePending || now.Before(c.nextNotice) {
		return
	}
	c.noticePending = false
	if !c.table.IsDelegate() {
		return
	}
	m := c.ownHeartbeat(now)
	// Announcing a shorter interval than that of the regular heartbeats would make
	// peers suspect this host too soon.
	m.NextAt = now.Add(max(c.heartbeatInterval, replyHeartbeatInterval))
	notified := 0
	for _, to := range c.recipients() {
		if to.DataCentre != c.self.DataCentre {
			continue
		}
		notified++
		c.spawn(func() { c.sendHeartbeat(ctx, to, m) })
	}
	c.nextNotice = now.Add(time.Duration(notified) * noticeIntervalPerHost)
}

// recordInterval records the interval that a regular heartbeat of this host
// announces. c.mu must be held.
func (c *Control) recordInterval(h wagmember.Heartbeat) {
	c.heartbeatInterval = h.NextAt.Sub(h.SentAt)
}
