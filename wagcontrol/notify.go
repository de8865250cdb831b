package wagcontrol

import (
	"context"
	"time"

	"github.com/wagtailspar/wagtailspar/wagmember"
)

// notifyPause is the time between two notices for each host that is notified,
// so that the notices of many changes take few bytes also in large data centres.
const notifyPause = 100 * time.Millisecond

// notify tells the data centre of a delegate what came into force, so that its
// hosts need not wait for the next heartbeat; c.mu is held.
func (c *Control) notify(ctx context.Context, now time.Time) {
	if !c.news || now.Before(c.nextNotice) {
		return
	}
	c.news = false
	if !c.table.IsDelegate() {
		return
	}
	m := c.ownHeartbeat(now)
	// A shorter interval than that of the heartbeats would make others suspect
	// this host too soon.
	m.NextAt = now.Add(max(c.interval, answerTime))
	notified := 0
	for _, to := range c.recipients() {
		if to.DataCentre != c.self.DataCentre {
			continue
		}
		notified++
		c.spawn(func() { c.beat(ctx, to, m) })
	}
	c.nextNotice = now.Add(time.Duration(notified) * notifyPause)
}

// sending notes the interval of the heartbeats of this host; c.mu is held.
func (c *Control) sending(h wagmember.Heartbeat) {
	c.interval = h.NextAt.Sub(h.SentAt)
}
