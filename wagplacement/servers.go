package wagplacement

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/wagtailspar/wagtailspar/wagserver"
)

const (
	// maxReportAge is the age up to which a load report counts as current. Servers share
	// processors with others, and their speed changes many times a second: of 100
	// reports that are 5 ms old about 1 is wrong.
	maxReportAge = 5 * time.Millisecond
	// defaultProbeRate limits the probes of a server per second unless another limit is
	// set. probeBurstWindow is the time for which unused probes accumulate.
	defaultProbeRate = 60.0
	probeBurstWindow = time.Second
	// slowReportTTL is how long a reported slowness counts. A server that reported to be
	// slow is not probed again in that time: neighbours keep a processor busy for a tenth
	// of a second or more.
	slowReportTTL = 25 * time.Millisecond
	// slowThreshold is the slowness from which a server counts as slow.
	slowThreshold = 1.5
	// coldStartSlowness is the assumed slowness of a server that has just started, until
	// it is measured.
	coldStartSlowness = 2.0
	// rejectCooldown is how long a server gets no requests after it rejected one as
	// full, and how long the counts in its load reports are used.
	rejectCooldown = 20 * time.Millisecond
	// resetCooldown is how long a full server gets no requests after it broke a
	// connection, and how long a report shows that it is full.
	resetCooldown = 100 * time.Millisecond
	// stuckFactor is the multiple of the expected latency from which a request counts as
	// stuck. About 3 in 100 requests take seven times as long as the others.
	stuckFactor = 4
	// maxUnconfirmedTimeouts is how many probes in a row may time out, while no server of
	// the group answers, before the server counts as failed.
	maxUnconfirmedTimeouts = 2
	// minExclusionTime and maxExclusionTime bound how long a server gets no requests
	// after a failure. The time doubles with each failure in a row.
	minExclusionTime = 300 * time.Millisecond
	maxExclusionTime = 5 * time.Second
	// maxExcludedShare is the share of failed servers above which a single failure
	// excludes no server. When most servers lose some responses, all servers of a small
	// group would be excluded at the same time, although they answer other requests.
	maxExcludedShare = 1.0 / 3
	// latencyRatioWeight is the weight of one request in the latency ratio of a server.
	latencyRatioWeight = 0.3
	// latencyRatioTTL is how long the latency ratio of a server holds without another
	// response, so that a server that was slow gets requests again. Slow phases of
	// servers last for seconds.
	latencyRatioTTL = 4 * time.Second
	// maxLatencyRatio caps the latency ratio of one request. Of 100 requests 3 take seven
	// times as long as the others, which says nothing about the server.
	maxLatencyRatio = 3.0
)

// server is the state of one server. A server that starts again gets a new one.
type server struct {
	wagserver.Instance
	// listed is set if the server may get requests. Other servers only finish theirs.
	listed bool
	// running counts the requests that this scheduler granted on the server.
	running int
	// stuckCount counts the stuck ones of them.
	stuckCount int
	// report is the latest load report, received at reportedAt; zero before the first.
	report     Report
	reportedAt time.Time
	// grantedSinceReport counts the grants since the report, less the requests that have
	// ended since.
	grantedSinceReport int
	// probing is set while a probe that was sent at probedAt is in flight.
	probing  bool
	probedAt time.Time
	// latencyRatio is a damped estimate of the latency relative to the expected latency; 0
	// before the first response. The expectation includes the estimate itself, so that one
	// long request on a normal server has little effect.
	latencyRatio float64
	// latencyRatioAt is when latencyRatio was last updated.
	latencyRatioAt time.Time
	// unconfirmedTimeouts counts the probes since the latest answer to one that timed out.
	unconfirmedTimeouts int
	// withoutReports is set if the server reports no load. A probe would only take one of
	// its slots.
	withoutReports bool
	// probeLimiter limits the probes of the server.
	probeLimiter *rate.Limiter
	// respondedAt is when the server last answered a request; zero before.
	respondedAt time.Time
	// failures counts the failures since the latest success. Because of them the server
	// gets no requests until excludedUntil.
	failures      int
	excludedUntil time.Time
	// exclusionLifted lets the server get requests in spite of excludedUntil.
	exclusionLifted bool
	// The server counts as full until rejectedUntil.
	rejectedUntil time.Time
	// leaving is set when the server stated on a response that it is leaving, which its
	// entry may show much later or never.
	leaving bool
	// The server takes no probes from this host until probesBlockedUntil.
	probesBlockedUntil time.Time
	disabled           map[Mechanism]bool
	cold               coldState
}

// sortServers rebuilds byID.
func (sc *Scheduler) sortServers() {
	sc.byID = sc.byID[:0]
	for _, s := range sc.servers {
		if s.listed {
			sc.byID = append(sc.byID, s)
		}
	}
	slices.SortFunc(sc.byID, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// occupiedSlots estimates the requests on the server. A recent load report includes
// requests of other hosts that this scheduler does not know of.
func (s *server) occupiedSlots(now time.Time) int {
	if now.Sub(s.reportedAt) > rejectCooldown {
		return s.running
	}
	return max(s.running, s.report.Running+s.report.Waiting+s.grantedSinceReport)
}

// isExcluded reports whether the server gets no requests because it failed.
func (s *server) isExcluded(now time.Time) bool {
	return s.excludedUntil.After(now) && !s.exclusionLifted
}

// limitExclusions lets servers that failed once get requests while more than
// maxExcludedShare of the servers are excluded. Servers that failed repeatedly stay
// excluded.
func (sc *Scheduler) limitExclusions(now time.Time) {
	failed := 0
	for _, s := range sc.byID {
		if s.excludedUntil.After(now) {
			failed++
		}
	}
	liftExclusions := float64(failed) > max(1, maxExcludedShare*float64(len(sc.byID)))
	for _, s := range sc.byID {
		s.exclusionLifted = liftExclusions && s.failures <= 1
	}
}

// isLive reports whether the server is listed and not leaving.
func (s *server) isLive() bool { return s.listed && s.State == wagserver.Live && !s.leaving }

// isUsable reports whether the server may get requests, whatever its load is.
func (s *server) isUsable(now time.Time) bool {
	return s.isLive() && !s.isExcluded(now) && !s.rejectedUntil.After(now)
}

// hasFreshReport reports whether the latest load report is current.
func (s *server) hasFreshReport(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) <= maxReportAge
}

// isLoadKnown reports whether as much is known of the server's load as can be: the
// latest report is current, or the server cannot be probed for another one.
func (s *server) isLoadKnown(now time.Time) bool {
	return s.hasFreshReport(now) || s.withoutReports || s.probesBlockedUntil.After(now) || !s.probing && s.probeLimiter.TokensAt(now) < 1
}

// serviceWithoutReports reports whether no server has sent a load report and at least
// one is known to send none. New servers are assumed to do the same, because either all
// servers of a service send reports or none.
func (sc *Scheduler) serviceWithoutReports() bool {
	found := false
	for _, s := range sc.servers {
		if !s.reportedAt.IsZero() {
			return false
		}
		found = found || s.withoutReports
	}
	return found
}

// reportsSlow reports whether the server recently reported to be slow.
func (s *server) reportsSlow(now time.Time) bool {
	return s.report.Slowness >= slowThreshold && now.Sub(s.reportedAt) < slowReportTTL
}

// slowness estimates the service time as a multiple of the usual one.
func (s *server) slowness(now time.Time) float64 {
	return s.reportedSlowness(now) * s.baseSlowness(now)
}

// reportedSlowness returns the slowness that the server recently reported, or 1.
func (s *server) reportedSlowness(now time.Time) float64 {
	if now.Sub(s.reportedAt) > slowReportTTL {
		return 1
	}
	return max(s.report.Slowness, 1)
}

// baseSlowness returns the slowness that load reports do not show.
func (s *server) baseSlowness(now time.Time) float64 {
	if s.latencyRatio == 0 && s.ColdUntil.After(now) {
		return coldStartSlowness
	}
	if now.Sub(s.latencyRatioAt) > latencyRatioTTL {
		return 1
	}
	return max(s.latencyRatio, 1)
}

// recordResult updates the server with the result of a request.
func (s *server) recordResult(now time.Time, g *grant, r Result) {
	// The load report in a response still counts the request of the response.
	r.Report.Running = max(r.Report.Running-1, 0)
	s.recordReport(now, r)
	s.leaving = s.leaving || r.Leaving
	switch r.Fault {
	case FaultNone:
		s.failures, s.respondedAt = 0, now
		s.updateLatencyRatio(now, g.latencyRatio(r.Latency))
	case FaultOvertaken:
		// The response would have taken at least as long.
		if ratio := g.latencyRatio(r.Latency); ratio > s.baseSlowness(now) {
			s.updateLatencyRatio(now, ratio)
		}
	case FaultCanceled:
	case FaultRejected:
		s.rejectedUntil = now.Add(rejectCooldown)
	case FaultTimeout:
		// A server that has answered another request meanwhile works: the request itself is
		// long and ran into its deadline.
		if !s.respondedAt.After(g.grantedAt) {
			s.recordFailure(now)
		}
	case FaultConnect, FaultBroken:
		if s.wasFull(now) {
			// Some servers reset connections when they are full.
			s.rejectedUntil = now.Add(resetCooldown)
			return
		}
		s.recordFailure(now)
	default:
		s.recordFailure(now)
	}
}

// wasFull reports whether all slots of the server were taken while the request ran that
// has just been removed from it: by the requests of this scheduler, or by a recent
// report.
func (s *server) wasFull(now time.Time) bool {
	isReported := !s.reportedAt.IsZero() && now.Sub(s.reportedAt) <= resetCooldown
	return s.running+1 >= s.Slots || isReported && s.report.Running+s.report.Waiting >= s.Slots
}

// updateLatencyRatio adds the latency ratio of a request to the moving average.
func (s *server) updateLatencyRatio(now time.Time, ratio float64) {
	if s.disabled[MechanismPace] {
		return
	}
	if s.latencyRatio == 0 || now.Sub(s.latencyRatioAt) > latencyRatioTTL {
		s.latencyRatio = 1
	}
	s.latencyRatio += latencyRatioWeight * (ratio - s.latencyRatio)
	s.latencyRatioAt = now
}

// recordProbe records the result of a probe. groupAnswers means that some server of the
// group has answered since the probe was sent; otherwise the host itself may be too slow
// or cut off, so that a timeout says little about the server.
func (s *server) recordProbe(now time.Time, r Result, groupAnswers bool) {
	s.recordReport(now, r)
	s.leaving = s.leaving || r.Leaving
	s.probesBlockedUntil = r.BusyUntil
	s.cold.setFromProbe(now, &r)
	switch r.Fault {
	case FaultNone, FaultCanceled, FaultError:
		// Health checks are unreliable both ways, so that only responses to requests count.
	case FaultRejected:
		s.rejectedUntil = now.Add(rejectCooldown)
	case FaultTimeout:
		if s.unconfirmedTimeouts++; groupAnswers || s.unconfirmedTimeouts > maxUnconfirmedTimeouts {
			s.recordFailure(now)
		}
	default:
		s.recordFailure(now)
	}
	if r.isAnswer() {
		s.unconfirmedTimeouts = 0
	}
}

// recordReport stores the load report of a response, or that the server sends none.
func (s *server) recordReport(now time.Time, r Result) {
	if !r.HasReport {
		s.withoutReports = s.withoutReports || r.Fault == FaultNone && s.reportedAt.IsZero()
		return
	}
	s.withoutReports = false
	s.report, s.reportedAt, s.grantedSinceReport = r.Report.bounded(), now, 0
}

const (
	// maxReported bounds the requests and slots that a server reports, so that sums of
	// them stay numbers of requests. Servers have at most some thousand slots.
	maxReported = 1 << 20
	// maxReportedSlowness bounds the reported slowness. No request waits for a server that
	// is so slow.
	maxReportedSlowness = 1e4
)

// bounded returns the report with each figure in its range. A slowness that is missing or
// no number is 1.
func (r Report) bounded() Report {
	bound := func(n int) int { return min(max(n, 0), maxReported) }
	r.Running, r.Waiting, r.Slots = bound(r.Running), bound(r.Waiting), bound(r.Slots)
	if !(r.Slowness > 0) {
		r.Slowness = 1
	}
	r.Slowness = min(r.Slowness, maxReportedSlowness)
	return r
}

// recordFailure excludes the server for a while.
func (s *server) recordFailure(now time.Time) {
	if s.disabled[MechanismExclusion] {
		return
	}
	s.excludedUntil = now.Add(min(minExclusionTime<<min(s.failures, 8), maxExclusionTime))
	s.failures++
}
