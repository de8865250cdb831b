package wagrouting

import (
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagserver"
)

const (
	// observedLife is how long an observed drain outweighs a host list that
	// still shows the server as live.
	observedLife = time.Minute
	// maxReported bounds the slots that a server may report, as a multiple of
	// what the document states. Reports are not trusted.
	maxReported = 4
)

type server struct {
	address netip.AddrPort
	// send is the decision for this server, made once so that no decision
	// allocates.
	send Decision
	// inFlight counts the calls sent by this core that have not finished; it is
	// never negative.
	inFlight int
	// long counts the calls of long work among them.
	long  int
	slots int
	// slotsReported tells that slots is the server's own number.
	slotsReported bool
	// capacity is how many calls the server may hold now; it is 1 while the
	// server is on trial.
	capacity int
	// external counts calls at the server that other hosts sent, as its last
	// report showed.
	external int
	// share is the number of slots leased to this host; SlotShares only.
	share int

	listed  bool
	leaving bool
	// leavingSince is when the drain was observed; zero when only listed.
	leavingSince time.Time
	started      time.Time

	// reported is the load on the last answer at reportedAt; sinceReport counts
	// own placements since.
	reported    int
	reportedAt  time.Time
	sinceReport int

	// slowness is the mean of service times as multiples of the route's mean.
	slowness    float64
	failing     bool
	errors      float64
	consecutive int
	lastAnswer  time.Time
	lastFailure time.Time
	// exclusions counts the repetitions that excludedUntil grows with.
	exclusions    int
	excluded      bool
	excludedUntil time.Time
	// cold is the cost of a server that ramps up until rampUntil; at least 1.
	cold      float64
	rampUntil time.Time
	// trial limits the server to one call until it answered.
	trial bool

	watched bool
	// counted holds what the server adds to the totals of the group.
	counted, countedFast, countedFastLong, countedSound int
	spots                                               [3]spot
}

func (s *server) isOpen() bool { return s.listed && !s.leaving && !s.excluded }

// SetServers replaces the list of servers.
func (c *Scheduler) SetServers(now time.Time, list []wagserver.Server) {
	for _, s := range c.servers {
		s.listed = false
	}
	for _, l := range list {
		s := c.find(l.Address)
		if s == nil {
			s = c.add(now, l)
		}
		c.merge(now, s, l)
	}
	for i := len(c.servers) - 1; i >= 0; i-- {
		c.refresh(c.servers[i])
		c.dropIdle(c.servers[i])
	}
	c.listedOnce = true
}

func (c *Scheduler) find(a netip.AddrPort) *server { return c.byAddress[a] }

func (c *Scheduler) add(now time.Time, l wagserver.Server) *server {
	s := &server{
		address: l.Address, send: Send{Server: l.Address}, slots: c.document.Service.Slots,
		slowness: 1, cold: 1, started: l.Started, lastAnswer: now,
	}
	// The servers of the first list may have run for long; only their start
	// tells.
	switch {
	case c.listedOnce && l.Started.IsZero():
		c.ramp(now, s)
	case now.Sub(l.Started) < c.document.Service.RampTime:
		c.ramp(now, s)
	}
	c.byAddress[l.Address] = s
	c.servers = append(c.servers, s)
	return s
}

func (c *Scheduler) merge(now time.Time, s *server, l wagserver.Server) {
	s.listed = true
	if l.State == wagserver.Leaving {
		s.leaving = true
		return
	}
	renewed := l.Started.After(s.started)
	if renewed {
		s.started = l.Started
		s.slowness, s.errors, s.consecutive, s.failing = 1, 0, 0, false
		c.ramp(now, s)
	}
	observed := s.leaving && !s.leavingSince.IsZero() && now.Sub(s.leavingSince) < observedLife
	if observed && !renewed {
		return
	}
	s.leaving, s.leavingSince = false, time.Time{}
}

// SetLeaving records that a server was observed to drain, by this host or by a
// peer. It outweighs the host list, which lags.
func (c *Scheduler) SetLeaving(now time.Time, a netip.AddrPort) {
	s := c.find(a)
	if s == nil || s.leaving {
		return
	}
	s.leaving, s.leavingSince = true, now
	c.refresh(s)
}

// dropIdle forgets a server that is neither listed nor busy.
func (c *Scheduler) dropIdle(s *server) {
	if s.listed || s.inFlight > 0 {
		return
	}
	if s.excluded {
		s.excluded = false
		c.excluded--
	}
	delete(c.byAddress, s.address)
	for i, o := range c.servers {
		if o == s {
			last := len(c.servers) - 1
			c.servers[i] = c.servers[last]
			c.servers[last] = nil
			c.servers = c.servers[:last]
			return
		}
	}
}

// refresh brings the indexes and totals in line with a server's state.
func (c *Scheduler) refresh(s *server) {
	open := s.isOpen()
	c.setOpen(s, open)
	s.capacity = c.capacityOf(s)
	counted, fast, fastLong, sound := 0, 0, 0, 0
	if open {
		counted = s.capacity
		if !s.failing {
			sound = 1
		}
		if s.level() == 0 {
			fast, fastLong = s.capacity, min(s.long, s.capacity)
		}
	}
	c.capacity += counted - s.counted
	c.fast += fast - s.countedFast
	c.fastLong += fastLong - s.countedFastLong
	c.sound += sound - s.countedSound
	s.counted, s.countedFast, s.countedFastLong, s.countedSound = counted, fast, fastLong, sound
	if _, ok := c.policy.(LeastOutstanding); ok {
		c.place(0, s, open, min(s.inFlight*occupancies/s.slots, buckets-1))
		return
	}
	if !c.queues() {
		return
	}
	load := s.inFlight + s.external
	free := open && load < s.capacity
	bucket := 0
	if free {
		bucket = s.level()*occupancies + load*occupancies/s.capacity
	}
	c.place(0, s, free, bucket)
	c.place(1, s, free && s.long < c.longLimit(s.slots), bucket)
}

func (c *Scheduler) place(id int, s *server, inside bool, bucket int) {
	if !inside {
		c.free[id].remove(s)
		return
	}
	c.free[id].set(s, bucket)
}

// openSpot is the place in spots that tells where a server stands in open.
const openSpot = 2

func (c *Scheduler) setOpen(s *server, open bool) {
	p := &s.spots[openSpot]
	if p.inside == open {
		return
	}
	p.inside = open
	if open {
		p.at = len(c.open)
		c.open = append(c.open, s)
		return
	}
	last := len(c.open) - 1
	moved := c.open[last]
	c.open[p.at] = moved
	moved.spots[openSpot].at = p.at
	c.open[last] = nil
	c.open = c.open[:last]
}

func (c *Scheduler) capacityOf(s *server) int {
	if _, ok := c.policy.(SlotShares); ok {
		return s.share
	}
	if s.trial {
		return 1
	}
	return s.slots
}

// longLimit returns how many of a number of slots long work may hold.
func (c *Scheduler) longLimit(slots int) int {
	if c.without[ReserveSlots] {
		return slots
	}
	return max(1, int(c.document.Limits.LongShare*float64(slots)))
}

// AddLeasedSlots gives this host n slots of a server and appends the calls that start
// now; SlotShares only.
func (c *Scheduler) AddLeasedSlots(now time.Time, a netip.AddrPort, n int, starts []DelayedDecision) []DelayedDecision {
	if s := c.find(a); s != nil {
		s.share = min(max(s.share+n, 0), s.slots)
		c.refresh(s)
	}
	return c.Tick(now, starts)
}

// ReleaseLeasedSlot gives up a slot that is not in use; SlotShares only.
func (c *Scheduler) ReleaseLeasedSlot() (netip.AddrPort, bool) {
	s := c.free[0].first(c.random, netip.AddrPort{})
	if s == nil {
		return netip.AddrPort{}, false
	}
	s.share--
	c.refresh(s)
	return s.address, true
}
