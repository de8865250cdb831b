package wagplacement

import (
	"cmp"
	"slices"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	// probesPerRequest is how many servers are probed at once for each waiting request.
	probesPerRequest = 2
	// probeTimeout bounds the wait for the result of a probe. Within a data centre a
	// probe takes 0.5 ms.
	probeTimeout = 30 * time.Millisecond
	// extraProbeDelay is how long a probe may stay unanswered before another server is
	// probed instead.
	extraProbeDelay = 4 * time.Millisecond
	// maxUnansweredProbes bounds the probes in flight, because a busy host reads the
	// answers to many of them too late.
	maxUnansweredProbes = 24
	// dispatchInterval is the interval at which the search for a server is repeated
	// while requests wait.
	dispatchInterval = 5 * time.Millisecond
	// slownessWeight is the weight of a server's slowness relative to its load.
	slownessWeight = 0.3
)

// dispatch starts the waiting requests that can start, probes servers for the others,
// and refuses those that can no longer meet their deadline.
func (sc *Scheduler) dispatch(now time.Time) {
	sc.nextWake = time.Time{}
	sc.limitExclusions(now)
	sc.queue.sort(now)
	candidates := sc.selectCandidates(now)
	var remaining []*waiter
	for _, w := range sc.queue.list {
		if !now.Before(w.latestStartForDeadline()) {
			sc.refuse(&w.Request, ReasonOverload, now.Add(minRetryDelay), 0)
			continue
		}
		if !w.late && w.isLate(now) {
			w.late = true
			if !sc.admit(now, w) {
				continue
			}
		}
		if s := sc.chooseServer(now, w, &candidates); s != nil {
			sc.grantSlot(now, w, s)
			continue
		}
		remaining = append(remaining, w)
		sc.wakeAt(w.latestStartForDeadline())
		if at := w.latestStartForGoal(); at.After(now) {
			sc.wakeAt(at)
		}
	}
	sc.queue.list = remaining
	if len(remaining) > 0 {
		sc.wakeAt(now.Add(dispatchInterval))
		sc.probeServers(now, len(remaining))
	}
	if sc.disabled[MechanismStuck] {
		return
	}
	for _, g := range sc.grants {
		if !g.stuck {
			sc.wakeAt(g.grantedAt.Add(g.expectedLatency(stuckFactor)))
		}
	}
}

// wakeAt makes Tick due at the given time unless it is due earlier.
func (sc *Scheduler) wakeAt(at time.Time) {
	if sc.nextWake.IsZero() || at.Before(sc.nextWake) {
		sc.nextWake = at
	}
}

// grantSlot assigns a slot of a server to a request.
func (sc *Scheduler) grantSlot(now time.Time, w *waiter, s *server) {
	g := &grant{request: w.Request, server: s, route: w.route, grantedAt: now, slowness: s.slowness(now), kneeFactor: 1}
	w.route.lastGrant = now
	cold := sc.isBounded(now, s)
	sc.takeCold(now, s, &w.Request)
	s.running++
	s.grantedSinceReport++
	if g.aboveKnee = isAboveKnee(s.occupiedSlots(now), s.Slots); g.aboveKnee {
		g.kneeFactor = sc.knee.slowdown()
	}
	sc.grants[w.ID] = g
	sc.commands = append(sc.commands, Grant{Request: w.Request, Server: s.Instance, Inputs: DecisionInputs{
		Running: s.occupiedSlots(now), Slowness: g.slowness, ReportAge: now.Sub(s.reportedAt), Waiting: len(sc.queue.list), Slots: sc.estimatedSlots,
		ServiceTime: w.route.serviceTime, Late: w.isLate(now), Cold: cold,
	}, HedgeAfter: sc.hedgeDelay(now, w, g)})
}

// candidate is a server with its index in byID.
type candidate struct {
	*server
	index int
}

// candidates holds the servers that may get requests and had a free slot at the start of
// a dispatch, in the order of byID. While many requests wait, few servers have one.
type candidates struct {
	free []candidate
	// ready holds those whose load is known and that do not report to be slow.
	ready []candidate
}

// selectCandidates returns the candidates, if any request waits.
func (sc *Scheduler) selectCandidates(now time.Time) (c candidates) {
	if len(sc.queue.list) == 0 {
		return c
	}
	sc.cold.recordWaiting(sc.queue.list)
	for n, s := range sc.byID {
		if !s.isUsable(now) || s.stuckCount > 1 || s.occupiedSlots(now) >= sc.concurrencyLimit(s) {
			continue
		}
		if sc.awaitsFirstProbe(now, s) {
			continue
		}
		if at := sc.coldReadyAt(now, s); at.After(now) {
			sc.wakeAt(at)
			continue
		}
		c.free = append(c.free, candidate{s, n})
		if s.isLoadKnown(now) && !s.reportsSlow(now) {
			c.ready = append(c.ready, candidate{s, n})
		}
	}
	return c
}

// chooseServer returns the server on which a request is to start now, or nil.
func (sc *Scheduler) chooseServer(now time.Time, w *waiter, c *candidates) *server {
	isLate := w.isLate(now)
	list := c.ready
	if isLate {
		list = c.free
	}
	if len(list) == 0 {
		return nil
	}
	var best *server
	var lowestCost float64
	first, _ := slices.BinarySearchFunc(list, sc.searchOffset%len(sc.byID), func(x candidate, index int) int { return cmp.Compare(x.index, index) })
	for i := range list {
		s := list[(first+i)%len(list)].server
		if slices.Contains(w.Avoid, s.ID) {
			continue
		}
		occupied := s.occupiedSlots(now)
		if occupied >= sc.concurrencyLimit(s) {
			continue
		}
		if !isLate && !s.isLoadKnown(now) || !sc.allowsCold(now, s, &w.Request) {
			continue
		}
		slowness := s.slowness(now)
		if isAboveKnee(occupied+1, s.Slots) {
			slowness *= sc.knee.slowdown()
		}
		expected := wagclock.FromNanoseconds(slowness * float64(w.route.serviceTime))
		if !isLate && slowness > slowThreshold && now.Add(expected).After(w.Goal) {
			continue
		}
		if now.Add(wagclock.FromNanoseconds(slowness * float64(w.capEstimate(w.route.serviceTime)))).After(w.Deadline) {
			continue
		}
		cost := float64(occupied)/float64(s.Slots) + slownessWeight*(slowness-1)
		if w.decidesAlone() && sc.isBounded(now, s) {
			cost += coldAvoidanceCost
		}
		if best == nil || cost < lowestCost {
			best, lowestCost = s, cost
		}
	}
	if best != nil {
		sc.searchOffset++
	}
	return best
}

// probeServers probes servers that could take waiting requests.
func (sc *Scheduler) probeServers(now time.Time, waiting int) {
	recent, unanswered := 0, 0
	for _, s := range sc.byID {
		if !s.probing {
			continue
		}
		unanswered++
		if now.Sub(s.probedAt) < extraProbeDelay {
			recent++
		}
	}
	wanted := min(min(probesPerRequest*waiting, len(sc.byID))-recent, maxUnansweredProbes-unanswered)
	for range wanted {
		s := sc.chooseProbeTarget(now)
		if s == nil {
			return
		}
		s.probing, s.probedAt = true, now
		s.probeLimiter.AllowN(now, 1)
		sc.commands = append(sc.commands, Probe{Server: s.Instance, Deadline: now.Add(probeTimeout)})
	}
}

// chooseProbeTarget returns the server with a free slot whose load report would help
// most, or nil.
func (sc *Scheduler) chooseProbeTarget(now time.Time) (best *server) {
	lowestCost := 0.0
	n := len(sc.byID)
	for i := range n {
		s := sc.byID[(i+sc.searchOffset)%n]
		if s.probing || !s.isUsable(now) || s.isLoadKnown(now) || s.reportsSlow(now) || s.stuckCount > 1 || s.cold.isConfirmed && sc.coldReadyAt(now, s).After(now) {
			continue
		}
		occupied := s.occupiedSlots(now)
		if occupied >= sc.concurrencyLimit(s) {
			continue
		}
		cost := float64(occupied)/float64(s.Slots) + slownessWeight*(s.baseSlowness(now)-1)
		if s.report.Slowness >= slowThreshold {
			cost += slownessWeight
		}
		if best == nil || cost < lowestCost {
			best, lowestCost = s, cost
		}
	}
	return best
}
