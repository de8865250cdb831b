package wagrouting

import "time"

const (
	// reviewInterval is the time between two updates of ramps, exclusions,
	// slowness and spill losses.
	reviewInterval = 100 * time.Millisecond
	// slownessWeight is the weight of a new response in the slowness of a server.
	// With service times that vary by half of their mean, the estimate then
	// varies by 0.18, a third of the distance to the first level.
	slownessWeight = 0.2
	// maxSlownessStep bounds by how much one response can exceed the current
	// slowness, so that a single long request on a short route does not move a
	// normal server to the first level.
	maxSlownessStep = 2.5
	// errorRateWeight is the weight of a new response in the error rate of a
	// server.
	errorRateWeight = 0.1
	// maxErrorRate is the error rate above which a server is excluded.
	maxErrorRate = 0.5
	// maxConsecutiveFailures is the number of failures in a row that excludes a
	// server. Of refused connections, maxRefusedConnections are enough, because
	// nothing but the state of the server causes them.
	maxConsecutiveFailures = 3
	maxRefusedConnections  = 2
	// baseExclusionTime is how long the first exclusion of a server lasts. Each
	// repetition doubles this time, up to maxExclusionDoublings times. After
	// exclusionResetTime without a failure, the count starts again.
	baseExclusionTime     = time.Second
	maxExclusionDoublings = 6
	exclusionResetTime    = time.Minute
	// slownessHoldTime is how long a slow server without responses keeps its
	// slowness. Then each review multiplies the part above 1 by slownessDecay,
	// until the server gets a trial request.
	slownessHoldTime = 300 * time.Millisecond
	slownessDecay    = 0.85
	// externalLoadLifetime is how long the load of other hosts in a report
	// counts.
	externalLoadLifetime = 500 * time.Millisecond
)

// levelLimits are the costs at which levels 0 to 5 end.
var levelLimits = [levelCount - 2]float64{1.6, 2.2, 3, 4, 5, 5.8}

// level ranks a server by its cost: 0 is a normal server, the last level a
// failing one.
func (s *server) level() int {
	if s.failing {
		return levelCount - 1
	}
	for i, limit := range levelLimits {
		if s.cost() < limit {
			return i
		}
	}
	return levelCount - 2
}

// cost is how many times longer a request is expected to run than at a normal
// server.
func (s *server) cost() float64 { return max(s.slowness, s.rampCost) }

// initialRampCost is the cost of a server that starts cold. It falls to 1 over
// the ramp time, so that the server gets requests mainly when the others are
// busy. Fewer slots instead made requests wait although slots were free: in a
// rolling drain of 2-slot servers, the p99 of short requests was 91 ms, against
// 63 ms without any ramp.
const initialRampCost = 2

// startRamp starts the ramp of a cold or returning server: one request until it
// responds, then a cost that falls with time.
func (sc *Scheduler) startRamp(now time.Time, s *server) {
	if sc.disabled[RampUp] || sc.document.Service.RampTime <= 0 {
		return
	}
	s.rampUntil = now.Add(sc.document.Service.RampTime)
	s.rampCost, s.onTrial = initialRampCost, true
	sc.scheduleReview(s)
}

// scheduleReview adds a server to those that reviewServers updates.
func (sc *Scheduler) scheduleReview(s *server) {
	if s.underReview {
		return
	}
	s.underReview = true
	sc.underReview = append(sc.underReview, s)
}

// recordResult updates the state of the server and the route from the end of an
// attempt.
func (sc *Scheduler) recordResult(now time.Time, a *attempt, r Result) {
	s := a.server
	sent := a.sentAt
	if !r.SentAt.IsZero() {
		sent = r.SentAt
	}
	switch r.Fault {
	case FaultCanceled:
	case FaultNone:
		headerAt := r.HeaderReceivedAt
		if headerAt.IsZero() {
			headerAt = now
		}
		sc.recordSuccess(now, a, now.Sub(sent), headerAt.Sub(sent), r.Bytes)
	case FaultTimeout:
		sc.updateSlowness(s, maxServiceRatio)
	case FaultConnect, FaultStatus, FaultBroken:
		sc.recordFailure(now, s, r.Fault)
	}
	if r.HasLoad {
		sc.applyReport(now, s, r.Load)
	}
}

// recordSuccess counts a response in the means of the route and the class and in
// the health of the server.
func (sc *Scheduler) recordSuccess(now time.Time, a *attempt, service, untilHeader time.Duration, bytes int64) {
	s := a.server
	sc.updateClassMean(a.long, service)
	ratio := sc.updateRoute(a.route, service, untilHeader, bytes)
	s.lastResponse, s.onTrial, s.failing, s.consecutiveFailures = now, false, false, 0
	s.errorRate -= errorRateWeight * s.errorRate
	if s.exclusions > 0 && now.Sub(s.lastFailure) > exclusionResetTime {
		s.exclusions = 0
	}
	sc.updateSlowness(s, ratio)
}

// updateSlowness adds a response to the slowness of a server. ratio is its time
// as a multiple of the mean of the route.
func (sc *Scheduler) updateSlowness(s *server, ratio float64) {
	if sc.disabled[RankBySlowness] {
		return
	}
	s.slowness += slownessWeight * (min(ratio, s.slowness+maxSlownessStep) - s.slowness)
	if s.slowness >= levelLimits[0] {
		sc.scheduleReview(s)
	}
}

// recordFailure counts a failure of a server. A failing server ranks last at
// once, so that its empty queue does not attract requests.
func (sc *Scheduler) recordFailure(now time.Time, s *server, f Fault) {
	if sc.disabled[ExcludeFailing] {
		return
	}
	s.lastFailure = now
	s.consecutiveFailures++
	s.errorRate += errorRateWeight * (1 - s.errorRate)
	limit := maxConsecutiveFailures
	if f == FaultConnect {
		limit = maxRefusedConnections
	}
	s.failing = true
	sc.scheduleReview(s)
	if s.consecutiveFailures >= limit || s.errorRate > maxErrorRate {
		sc.exclude(now, s)
	}
}

// exclude takes a server out of service, unless a third of the group is excluded
// already: the rest could not carry the load, and the cause may be elsewhere.
func (sc *Scheduler) exclude(now time.Time, s *server) {
	if s.excluded || sc.excludedCount >= max(1, len(sc.servers)/3) || len(sc.servers) < 2 {
		return
	}
	s.exclusions++
	s.excluded = true
	s.excludedUntil = now.Add(baseExclusionTime << min(s.exclusions-1, maxExclusionDoublings))
	sc.excludedCount++
	sc.counters.Exclusions++
	sc.scheduleReview(s)
}

// applyReport applies what a server reports about itself, within bounds.
func (sc *Scheduler) applyReport(now time.Time, s *server, l Load) {
	if l.Draining && !s.leaving {
		s.leaving, s.leavingSince = true, now
	}
	if l.Slots > 0 {
		s.slots, s.slotsReported = min(l.Slots, maxSlotsFactor*sc.document.Service.Slots), true
	}
	s.reportedInFlight, s.reportedAt, s.sentSinceReport = max(l.InFlight, 0), now, 0
	if _, ok := sc.policy.(GroupOwner); !ok {
		return
	}
	// Requests of this scheduler that are on their way are in inFlight but not in
	// the report, so an excess can only be requests of other hosts. One slot
	// remains even if the server claims more, because a false report must not
	// shut it out.
	s.externalInFlight = min(max(l.InFlight-s.inFlight, 0), s.slots-1)
	if s.externalInFlight > 0 {
		sc.scheduleReview(s)
	}
}

// reviewServers updates everything that depends on time alone.
func (sc *Scheduler) reviewServers(now time.Time) {
	sc.nextReview = now.Add(reviewInterval)
	kept := sc.underReview[:0]
	for _, s := range sc.underReview {
		s.underReview = sc.reviewServer(now, s)
		if s.underReview {
			kept = append(kept, s)
		}
		if sc.byAddress[s.address] == s {
			sc.refresh(s)
		}
	}
	clear(sc.underReview[len(kept):])
	sc.underReview = kept
	sc.decaySpillLoss()
}

// reviewServer updates a server and reports whether it needs another review.
func (sc *Scheduler) reviewServer(now time.Time, s *server) bool {
	if sc.byAddress[s.address] != s {
		return false
	}
	if s.excluded && !now.Before(s.excludedUntil) {
		s.excluded = false
		sc.excludedCount--
		// One more failure excludes it again.
		s.consecutiveFailures, s.errorRate = maxConsecutiveFailures-1, 0
		s.failing, s.onTrial = false, true
		sc.startRamp(now, s)
	}
	if s.failing && !s.excluded && now.Sub(s.lastFailure) > baseExclusionTime {
		s.failing, s.onTrial = false, true
	}
	if s.externalInFlight > 0 && now.Sub(s.reportedAt) > externalLoadLifetime {
		s.externalInFlight = 0
	}
	slow := s.slowness >= levelLimits[0]
	if slow && !s.failing && s.inFlight == 0 && now.Sub(s.lastResponse) > slownessHoldTime {
		s.slowness = 1 + (s.slowness-1)*slownessDecay
		s.onTrial = s.slowness < levelLimits[0]
	}
	ramping := now.Before(s.rampUntil)
	s.rampCost = 1
	if ramping {
		left := s.rampUntil.Sub(now).Seconds() / sc.document.Service.RampTime.Seconds()
		s.rampCost += (initialRampCost - 1) * min(left, 1)
	}
	return s.excluded || s.externalInFlight > 0 || s.level() > 0 || ramping
}
