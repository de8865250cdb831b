package wagcontrol

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagpeer"
)

// maxLoadBytes is an upper bound of the size of one load in a heartbeat.
const maxLoadBytes = 160

// replyHeartbeatInterval is the time to the next heartbeat that replies announce.
// The peer does not use it, because it does not count replies as heartbeats.
const replyHeartbeatInterval = time.Second

// heartbeatSize estimates the size of a heartbeat with the loads that are added to
// it, in bytes.
func (c *Control) heartbeatSize(h wagmember.Heartbeat) int {
	return wagmember.EstimateSize(h) + min(len(c.groupLoads), maxLoads)*maxLoadBytes
}

// completeHeartbeat adds the state of the documents and the loads to a heartbeat.
// c.mu must be held.
func (c *Control) completeHeartbeat(h wagmember.Heartbeat) wagpeer.Heartbeat {
	return wagpeer.Heartbeat{Heartbeat: h, Digest: c.catalog.Snapshot().Digest, Confirmed: c.catalog.ConfirmedAt(), Loads: c.loadsToSend()}
}

// ownHeartbeat returns a heartbeat about this host only. It carries no loads: the
// regular heartbeats do, whose interval is chosen by their size. c.mu must be
// held.
func (c *Control) ownHeartbeat(now time.Time) wagpeer.Heartbeat {
	h := wagmember.Heartbeat{From: wagmember.Entry{Member: c.table.Self()}, SentAt: now, NextAt: now.Add(replyHeartbeatInterval)}
	return wagpeer.Heartbeat{Heartbeat: h, Digest: c.catalog.Snapshot().Digest, Confirmed: c.catalog.ConfirmedAt()}
}
