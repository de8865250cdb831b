package wagcontrol

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagpeer"
)

// loadBytes is an upper bound of the bytes of one load in a heartbeat.
const loadBytes = 160

// answerTime is what the answer to a heartbeat gives as the time to the next
// one. Answers do not count as heartbeats.
const answerTime = time.Second

// heartbeatSize counts the loads that ride on heartbeats too.
func (c *Control) heartbeatSize(h wagmember.Heartbeat) int {
	return wagmember.EstimateSize(h) + min(len(c.remotes), maxLoads)*loadBytes
}

// complete adds documents and load to a heartbeat; c.mu is held.
func (c *Control) complete(h wagmember.Heartbeat) wagpeer.Heartbeat {
	return wagpeer.Heartbeat{Heartbeat: h, Digest: c.catalog.Snapshot().Digest, Confirmed: c.catalog.ConfirmedAt(), Loads: c.loads()}
}

// ownHeartbeat tells only of this host. It carries no loads: they go with the
// heartbeats, whose interval allows for their bytes; c.mu is held.
func (c *Control) ownHeartbeat(now time.Time) wagpeer.Heartbeat {
	h := wagmember.Heartbeat{From: wagmember.Entry{Member: c.table.Self()}, SentAt: now, NextAt: now.Add(answerTime)}
	return wagpeer.Heartbeat{Heartbeat: h, Digest: c.catalog.Snapshot().Digest, Confirmed: c.catalog.ConfirmedAt()}
}
