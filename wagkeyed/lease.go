package wagkeyed

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagclaim"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/waglease"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// owner returns the live host of any data centre that is to own a partition.
func owner(members []wagmember.Member, key string) (wagmember.Member, bool) {
	names := make([]string, 0, len(members))
	for i := range members {
		if members[i].State == wagmember.Alive {
			names = append(names, fullName(&members[i]))
		}
	}
	chosen := waglease.Choose(key, names)
	for i := range members {
		if chosen != "" && fullName(&members[i]) == chosen {
			return members[i], true
		}
	}
	return wagmember.Member{}, false
}

func fullName(m *wagmember.Member) string {
	return m.DataCentre + "/" + m.Name
}

func (c *Claims) owns(members []wagmember.Member, n int) bool {
	m, ok := owner(members, c.slots[n].key)
	return ok && m.Name == c.self.Name && m.DataCentre == c.self.DataCentre
}

// tickLease wants or gives up a lease and tells the cores of it; c.mu is held.
func (c *Claims) tickLease(now time.Time, s *slot, owns bool) {
	switch {
	case owns && !s.wanted:
		s.wanted = true
		c.driveLease(s, waglease.Acquire{})
	case owns:
		s.releaseBy = time.Time{}
	case s.wanted && s.releaseBy.IsZero():
		s.releaseBy = now.Add(releaseTime)
	case s.wanted && s.releaseDue(now):
		if !s.deadline.IsZero() {
			c.recordLease(s, "released")
		}
		s.wanted, s.releaseBy, s.deadline = false, time.Time{}, time.Time{}
		c.stepAll(s, wagclaim.LeaseLost{})
		c.driveLease(s, waglease.Release{})
	}
	if at := s.holder.NextWake(); !at.IsZero() && !now.Before(at) {
		c.driveLease(s, waglease.Tick{})
	}
	c.follow(now, s)
}

// releaseDue tells whether the calls in flight have ended and their outcomes had
// time to be written.
func (s *slot) releaseDue(now time.Time) bool {
	if !now.Before(s.releaseBy) {
		return true
	}
	for _, k := range s.cores {
		if k.running > 0 {
			return false
		}
	}
	return !now.Before(s.settled)
}

// follow tells the cores what became of the lease; c.mu is held. A lease that
// lapsed leaves them what they remember: recorded outcomes never change, and
// the core tells nothing else without authority. A lease that is held again is
// a new one, because another host may have held it in between.
func (c *Claims) follow(now time.Time, s *slot) {
	if !s.wanted || !s.holder.IsHeld(now) {
		if !s.deadline.IsZero() {
			c.recordLease(s, "no longer held")
		}
		s.deadline = time.Time{}
		return
	}
	deadline := s.holder.Record().Deadline
	switch {
	case s.deadline.IsZero():
		s.deadline = deadline
		c.recordLease(s, "held")
		c.stepAll(s, wagclaim.LeaseAcquired{Deadline: deadline})
		c.prepare(s)
	case !deadline.Equal(s.deadline):
		s.deadline = deadline
		c.stepAll(s, wagclaim.LeaseRenewed{Deadline: deadline})
	}
}

func (c *Claims) recordLease(s *slot, state string) {
	c.events.Record(wagevent.Event{Kind: wagevent.KindLease, Detail: s.key + " " + state})
}

// driveLease passes an event to a lease and carries out its commands; c.mu is
// held.
func (c *Claims) driveLease(s *slot, event waglease.Event) {
	ctx := c.ctx
	for _, command := range s.holder.Handle(c.clock.Now(), event) {
		// Without a task the holder gives the command up by itself.
		c.tasks.TryGo(func() error {
			answer := wagstore.ExecuteLeaseCommand(ctx, c.store, s.key, command)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.driveLease(s, answer)
			c.follow(c.clock.Now(), s)
			return nil
		})
	}
}
