package wagkeyed

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagclaim"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/waglease"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// partitionOwner returns the live host, of any data centre, that should own a
// partition.
func partitionOwner(members []wagmember.Member, key string) (wagmember.Member, bool) {
	names := make([]string, 0, len(members))
	for i := range members {
		if members[i].State == wagmember.Alive {
			names = append(names, qualifiedName(&members[i]))
		}
	}
	chosen := waglease.Choose(key, names)
	for i := range members {
		if chosen != "" && qualifiedName(&members[i]) == chosen {
			return members[i], true
		}
	}
	return wagmember.Member{}, false
}

// qualifiedName returns the name of a host with its data centre.
func qualifiedName(m *wagmember.Member) string {
	return m.DataCentre + "/" + m.Name
}

// owns reports whether this host should own partition n.
func (c *Claims) owns(members []wagmember.Member, n int) bool {
	m, ok := partitionOwner(members, c.partitions[n].leaseKey)
	return ok && m.Name == c.self.Name && m.DataCentre == c.self.DataCentre
}

// tickLease acquires or releases a lease when the owner of its partition changes,
// and passes ticks that are due to its holder; c.mu is held. A planned release
// waits for requests in flight, up to releaseTimeout.
func (c *Claims) tickLease(now time.Time, lp *leasedPartition, owns bool) {
	switch {
	case owns && !lp.wanted:
		lp.wanted = true
		c.handleLeaseEvent(lp, waglease.Acquire{})
	case owns:
		lp.releaseBy = time.Time{}
	case lp.wanted && lp.releaseBy.IsZero():
		lp.releaseBy = now.Add(releaseTimeout)
	case lp.wanted && lp.isReleaseDue(now):
		if !lp.leaseDeadline.IsZero() {
			c.recordLeaseEvent(lp, "released")
		}
		lp.wanted, lp.releaseBy, lp.leaseDeadline = false, time.Time{}, time.Time{}
		c.stepAll(lp, wagclaim.LeaseLost{})
		c.handleLeaseEvent(lp, waglease.Release{})
	}
	if at := lp.holder.NextWake(); !at.IsZero() && !now.Before(at) {
		c.handleLeaseEvent(lp, waglease.Tick{})
	}
	c.applyLeaseState(now, lp)
}

// isReleaseDue reports whether a planned release need not wait any longer: the
// requests in flight have ended and their outcomes had time to be written, or
// releaseBy has passed.
func (lp *leasedPartition) isReleaseDue(now time.Time) bool {
	if !now.Before(lp.releaseBy) {
		return true
	}
	for _, sp := range lp.servicePartitions {
		if sp.inFlight > 0 {
			return false
		}
	}
	return !now.Before(lp.flushedAt)
}

// applyLeaseState passes changes of the lease to the service partitions; c.mu is
// held. When a lease lapses, they keep their claims: recorded outcomes never
// change, and without authority they report every other outcome as unknown. A
// lease that is held again counts as newly acquired, because another host may
// have held it in between.
func (c *Claims) applyLeaseState(now time.Time, lp *leasedPartition) {
	if !lp.wanted || !lp.holder.IsHeld(now) {
		if !lp.leaseDeadline.IsZero() {
			c.recordLeaseEvent(lp, "no longer held")
		}
		lp.leaseDeadline = time.Time{}
		return
	}
	deadline := lp.holder.Record().Deadline
	switch {
	case lp.leaseDeadline.IsZero():
		lp.leaseDeadline = deadline
		c.recordLeaseEvent(lp, "held")
		c.stepAll(lp, wagclaim.LeaseAcquired{Deadline: deadline})
		c.createPartitions(lp)
	case !deadline.Equal(lp.leaseDeadline):
		lp.leaseDeadline = deadline
		c.stepAll(lp, wagclaim.LeaseRenewed{Deadline: deadline})
	}
}

// recordLeaseEvent records a change of a lease.
func (c *Claims) recordLeaseEvent(lp *leasedPartition, state string) {
	c.events.Record(wagevent.Event{Kind: wagevent.KindLease, Detail: lp.leaseKey + " " + state})
}

// handleLeaseEvent passes an event to the holder of a lease and executes its
// commands; c.mu is held.
func (c *Claims) handleLeaseEvent(lp *leasedPartition, event waglease.Event) {
	ctx := c.ctx
	for _, command := range lp.holder.Handle(c.clock.Now(), event) {
		// If no task can be started, the command of the holder times out.
		c.tasks.TryGo(func() error {
			result := wagstore.ExecuteLeaseCommand(ctx, c.store, lp.leaseKey, command)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.handleLeaseEvent(lp, result)
			c.applyLeaseState(c.clock.Now(), lp)
			return nil
		})
	}
}
