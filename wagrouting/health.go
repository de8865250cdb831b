package wagrouting

import "time"

const (
	// reviewInterval is how often ramps, exclusions and spill shares move.
	reviewInterval = 100 * time.Millisecond
	// slowWeight is the weight of a new answer in a server's slowness. With
	// service times that vary by half of their mean, the estimate then varies by
	// 0.18, a third of the distance to the first level.
	slowWeight = 0.2
	// maxSlowStep bounds what one answer adds, so that a single long call on a
	// short route does not move a normal server to the first level.
	maxSlowStep = 2.5
	// errorWeight is the weight of a new answer in a server's share of errors.
	errorWeight = 0.1
	// maxErrors is the share of errors from which a server is excluded.
	maxErrors = 0.5
	// maxConsecutive failures in a row exclude a server; refused connections
	// need fewer, because nothing but the server's state causes them.
	maxConsecutive = 3
	maxRefused     = 2
	// Exclusions last firstExclusion, doubled with each repetition up to
	// maxDoublings times. They are forgotten after exclusionMemory without
	// failure.
	firstExclusion  = time.Second
	maxDoublings    = 6
	exclusionMemory = time.Minute
	// slowMemory is how long a slow server that gets no calls keeps its
	// estimate; from then on it falls by slowDecay per review, until the server
	// gets a trial call.
	slowMemory = 300 * time.Millisecond
	slowDecay  = 0.85
	// reportedLife is how long calls of other hosts on a report count.
	reportedLife = 500 * time.Millisecond
)

// slowLevels are the limits of slowness between levels.
var slowLevels = [levels - 2]float64{1.6, 2.2, 3, 4, 5, 5.8}

// level ranks a server; 0 is a normal one, the last one a failing one.
func (s *server) level() int {
	if s.failing {
		return levels - 1
	}
	for i, limit := range slowLevels {
		if s.cost() < limit {
			return i
		}
	}
	return levels - 2
}

// cost is how many times longer a call is expected to run than at a normal
// server.
func (s *server) cost() float64 { return max(s.slowness, s.cold) }

// coldCost is what a server is taken to cost when it starts cold. It falls to 1
// in the ramp time, so that the server gets calls mainly when the others are
// busy. Giving it fewer slots instead made calls wait for slots that were free:
// p99 of short work in a rolling drain of 2-slot servers was 91 ms against
// 63 ms without any ramp.
const coldCost = 2

// ramp begins the ramp of a cold or returning server: one call until it
// answered, then a cost that falls with time.
func (c *Scheduler) ramp(now time.Time, s *server) {
	if c.without[RampUp] || c.document.Service.RampTime <= 0 {
		return
	}
	s.rampUntil = now.Add(c.document.Service.RampTime)
	s.cold, s.trial = coldCost, true
	c.watch(s)
}

func (c *Scheduler) watch(s *server) {
	if s.watched {
		return
	}
	s.watched = true
	c.watched = append(c.watched, s)
}

// observe learns from the end of a call at a server.
func (c *Scheduler) observe(now time.Time, f *flight, r Result) {
	s := f.server
	sent := f.sent
	if !r.SentAt.IsZero() {
		sent = r.SentAt
	}
	switch r.Fault {
	case FaultCanceled:
	case FaultNone:
		answered := r.HeaderReceivedAt
		if answered.IsZero() {
			answered = now
		}
		c.succeeded(now, f, now.Sub(sent), answered.Sub(sent), r.Bytes)
	case FaultTimeout:
		c.slower(s, maxRatio)
	case FaultConnect, FaultStatus, FaultBroken:
		c.failed(now, s, r.Fault)
	}
	if r.HasLoad {
		c.report(now, s, r.Load)
	}
}

func (c *Scheduler) succeeded(now time.Time, f *flight, service, answer time.Duration, bytes int64) {
	s := f.server
	c.meanOf(f.long, service)
	ratio := c.learn(f.route, service, answer, bytes)
	s.lastAnswer, s.trial, s.failing, s.consecutive = now, false, false, 0
	s.errors -= errorWeight * s.errors
	if s.exclusions > 0 && now.Sub(s.lastFailure) > exclusionMemory {
		s.exclusions = 0
	}
	c.slower(s, ratio)
}

func (c *Scheduler) slower(s *server, ratio float64) {
	if c.without[RankBySlowness] {
		return
	}
	s.slowness += slowWeight * (min(ratio, s.slowness+maxSlowStep) - s.slowness)
	if s.slowness >= slowLevels[0] {
		c.watch(s)
	}
}

// failed counts a failure against a server. A failing server ranks last at
// once, so that its empty queue attracts no calls.
func (c *Scheduler) failed(now time.Time, s *server, f Fault) {
	if c.without[ExcludeFailing] {
		return
	}
	s.lastFailure = now
	s.consecutive++
	s.errors += errorWeight * (1 - s.errors)
	limit := maxConsecutive
	if f == FaultConnect {
		limit = maxRefused
	}
	s.failing = true
	c.watch(s)
	if s.consecutive >= limit || s.errors > maxErrors {
		c.exclude(now, s)
	}
}

// exclude takes a server out of service, unless a third of the group is out
// already: the rest could not carry the load, and the fault may be elsewhere.
func (c *Scheduler) exclude(now time.Time, s *server) {
	if s.excluded || c.excluded >= max(1, len(c.servers)/3) || len(c.servers) < 2 {
		return
	}
	s.exclusions++
	s.excluded = true
	s.excludedUntil = now.Add(firstExclusion << min(s.exclusions-1, maxDoublings))
	c.excluded++
	c.counters.Exclusions++
	c.watch(s)
}

// report takes over what a server says of itself, within bounds.
func (c *Scheduler) report(now time.Time, s *server, l Load) {
	if l.Draining && !s.leaving {
		s.leaving, s.leavingSince = true, now
	}
	if l.Slots > 0 {
		s.slots, s.slotsReported = min(l.Slots, maxReported*c.document.Service.Slots), true
	}
	s.reported, s.reportedAt, s.sinceReport = max(l.InFlight, 0), now, 0
	if _, ok := c.policy.(GroupOwner); !ok {
		return
	}
	// Own calls on their way are in the own count but not in the report, so
	// that the excess can only be calls of other hosts. A server that claims
	// more keeps one slot, for a false report must not shut it out.
	s.external = min(max(l.InFlight-s.inFlight, 0), s.slots-1)
	if s.external > 0 {
		c.watch(s)
	}
}

// review moves everything that depends on time alone.
func (c *Scheduler) review(now time.Time) {
	c.nextReview = now.Add(reviewInterval)
	kept := c.watched[:0]
	for _, s := range c.watched {
		s.watched = c.reviewServer(now, s)
		if s.watched {
			kept = append(kept, s)
		}
		if c.byAddress[s.address] == s {
			c.refresh(s)
		}
	}
	clear(c.watched[len(kept):])
	c.watched = kept
	c.reviewZones()
}

// reviewServer tells whether the server needs another review.
func (c *Scheduler) reviewServer(now time.Time, s *server) bool {
	if c.byAddress[s.address] != s {
		return false
	}
	if s.excluded && !now.Before(s.excludedUntil) {
		s.excluded = false
		c.excluded--
		// One more failure excludes it again.
		s.consecutive, s.errors = maxConsecutive-1, 0
		s.failing, s.trial = false, true
		c.ramp(now, s)
	}
	if s.failing && !s.excluded && now.Sub(s.lastFailure) > firstExclusion {
		s.failing, s.trial = false, true
	}
	if s.external > 0 && now.Sub(s.reportedAt) > reportedLife {
		s.external = 0
	}
	slow := s.slowness >= slowLevels[0]
	if slow && !s.failing && s.inFlight == 0 && now.Sub(s.lastAnswer) > slowMemory {
		s.slowness = 1 + (s.slowness-1)*slowDecay
		s.trial = s.slowness < slowLevels[0]
	}
	ramping := now.Before(s.rampUntil)
	s.cold = 1
	if ramping {
		left := s.rampUntil.Sub(now).Seconds() / c.document.Service.RampTime.Seconds()
		s.cold += (coldCost - 1) * min(left, 1)
	}
	return s.excluded || s.external > 0 || s.level() > 0 || ramping
}
