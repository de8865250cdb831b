package wagplacement

import (
	"time"
)

const (
	// probeWidth is how many servers are probed at once for the requests that
	// could start.
	probeWidth = 2
	// probeTime is how long the answer to a probe is waited for. Within a data
	// centre it takes 0.5 ms.
	probeTime = 30 * time.Millisecond
	// probePatience is after how long without an answer other servers are probed.
	probePatience = 4 * time.Millisecond
	// retryPause is when the search for a server goes on that had to be given up.
	retryPause = 5 * time.Millisecond
	// coldWeight is what the slowness of a server counts compared with its load.
	coldWeight = 0.3
)

// dispatch starts the requests that can start, asks for the reports that are
// needed for others, and refuses those that came too late.
func (c *Scheduler) dispatch(now time.Time) {
	c.wake = time.Time{}
	c.limitExclusions(now)
	c.waiting.sort(now)
	var kept []*waiter
	for _, w := range c.waiting.list {
		if !now.Before(w.last()) {
			c.refuse(&w.Request, ReasonOverload, now.Add(minRetry), 0)
			continue
		}
		if !w.late && w.isLate(now) {
			w.late = true
			if !c.admit(now, w) {
				continue
			}
		}
		if s := c.choose(now, w); s != nil {
			c.grant(now, w, s)
			continue
		}
		kept = append(kept, w)
		c.wakeAt(w.last())
		if at := w.latest(); at.After(now) {
			c.wakeAt(at)
		}
	}
	c.waiting.list = kept
	if len(kept) > 0 {
		c.wakeAt(now.Add(retryPause))
		c.probe(now, len(kept))
	}
	if c.without[MechanismStuck] {
		return
	}
	for _, g := range c.granted {
		if !g.stuck {
			c.wakeAt(g.at.Add(g.usual(stuckFactor)))
		}
	}
}

func (c *Scheduler) wakeAt(at time.Time) {
	if c.wake.IsZero() || at.Before(c.wake) {
		c.wake = at
	}
}

func (c *Scheduler) grant(now time.Time, w *waiter, s *server) {
	g := &grant{request: w.Request, server: s, route: w.route, at: now, slowness: s.slowness(now), knee: 1}
	w.route.granted = now
	s.running++
	s.since++
	if g.nearlyFull = nearlyFull(s.occupied(now), s.Slots); g.nearlyFull {
		g.knee = c.knee.factor()
	}
	c.granted[w.ID] = g
	c.commands = append(c.commands, Grant{Request: w.Request, Server: s.Instance, Inputs: DecisionInputs{
		Running: s.occupied(now), Slowness: g.slowness, ReportAge: now.Sub(s.reportedAt), Waiting: len(c.waiting.list), Slots: c.allSlots,
		ServiceTime: w.route.work, Late: w.isLate(now),
	}, HedgeAfter: c.hedgeAfter(now, w, g)})
}

// choose returns the server on which a request is to start now, or nil.
func (c *Scheduler) choose(now time.Time, w *waiter) *server {
	isLate := w.isLate(now)
	var best *server
	var least float64
	n := len(c.order)
	for i := range n {
		s := c.order[(i+c.turn)%n]
		if !s.usable(now, w.Avoid) || s.stuck > 1 {
			continue
		}
		occupied := s.occupied(now)
		if occupied >= c.limit(s) {
			continue
		}
		if !isLate && (!s.known(now) || s.reportsSlow(now)) {
			continue
		}
		slowness := s.slowness(now)
		if nearlyFull(occupied+1, s.Slots) {
			slowness *= c.knee.factor()
		}
		expected := time.Duration(slowness * float64(w.route.work))
		if !isLate && slowness > slowFrom && now.Add(expected).After(w.Goal) {
			continue
		}
		if now.Add(time.Duration(slowness * float64(w.bounded(w.route.work)))).After(w.Deadline) {
			continue
		}
		cost := float64(occupied)/float64(s.Slots) + coldWeight*(slowness-1)
		if best == nil || cost < least {
			best, least = s, cost
		}
	}
	if best != nil {
		c.turn++
	}
	return best
}

// probe asks for reports of servers that could take waiting requests.
func (c *Scheduler) probe(now time.Time, waiting int) {
	under := 0
	for _, s := range c.order {
		if s.probing && now.Sub(s.probedAt) < probePatience {
			under++
		}
	}
	want := min(probeWidth*waiting, len(c.order)) - under
	for range want {
		s := c.nextProbe(now)
		if s == nil {
			return
		}
		s.probing, s.probedAt = true, now
		s.probes.AllowN(now, 1)
		c.commands = append(c.commands, Probe{Server: s.Instance, Deadline: now.Add(probeTime)})
	}
}

// nextProbe returns the server with room whose report would help most, or nil.
func (c *Scheduler) nextProbe(now time.Time) (best *server) {
	least := 0.0
	n := len(c.order)
	for i := range n {
		s := c.order[(i+c.turn)%n]
		if s.probing || !s.usable(now, nil) || s.known(now) || s.reportsSlow(now) || s.stuck > 1 {
			continue
		}
		occupied := s.occupied(now)
		if occupied >= c.limit(s) {
			continue
		}
		cost := float64(occupied)/float64(s.Slots) + coldWeight*(s.base(now)-1)
		if s.report.Slowness >= slowFrom {
			cost += coldWeight
		}
		if best == nil || cost < least {
			best, least = s, cost
		}
	}
	return best
}
