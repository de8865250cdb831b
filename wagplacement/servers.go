package wagplacement

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/wagtailspar/wagtailspar/wagserver"
)

const (
	// freshTime is the age up to which a report stands for the present. Servers
	// share processors with others, and their speed changes many times a second: of 100
	// reports that are 5 ms old about 1 is wrong.
	freshTime = 5 * time.Millisecond
	// defaultProbes is how often a second a server may be probed without another
	// bound, and probeBurst the time for which probes may be saved up.
	defaultProbes = 60.0
	probeBurst    = time.Second
	// slowPause is how long a server that reported to be slow is not probed again.
	// Neighbours keep a processor busy for a tenth of a second or more.
	slowPause = 25 * time.Millisecond
	// slowFrom is the slowness from which a server counts as slow.
	slowFrom = 1.5
	// coldSlowness is how much longer work takes at a server that has just started,
	// until it was measured.
	coldSlowness = 2.0
	// rejectPause is how long a server that rejected a request as full gets no other.
	rejectPause = 20 * time.Millisecond
	// stuckFactor is the multiple of the usual time from which a request counts as
	// stuck. About 3 in 100 requests take seven times as long as the others.
	stuckFactor = 4
	// firstExclusion and maxExclusion bound how long a server gets no work after
	// failures in a row.
	firstExclusion = 300 * time.Millisecond
	maxExclusion   = 5 * time.Second
	// excludedShare is the share of the servers above which a single failure excludes no
	// server. When most servers lose some answers, all of a small group would be
	// excluded at the same time, although they answer other requests.
	excludedShare = 1.0 / 3
	// paceWeight is the weight of one request in the pace of a server.
	paceWeight = 0.3
	// paceLife is after how long without an answer a pace is forgotten, so that a
	// server that was slow gets work again. Slow phases of servers last for seconds.
	paceLife = 4 * time.Second
	// maxPace bounds what one request says of the pace. Of 100 requests 3 take seven
	// times as long as the others, which says nothing about the server.
	maxPace = 3.0
)

// server is what a Core knows of one start of a server.
type server struct {
	wagserver.Instance
	// listed tells that the server may get work; others finish what they run.
	listed bool
	// running counts the requests that this core granted.
	running int
	// stuck counts those of them that run for much longer than usual.
	stuck int
	// report is what the server said of itself at reportedAt; zero before.
	report     Report
	reportedAt time.Time
	// since counts the requests granted after the report.
	since int
	// probing tells that a probe is under way, since probedAt.
	probing  bool
	probedAt time.Time
	// pace is a damped estimate of how long requests take compared with what the
	// reports led to expect; 0 before the first. Each request is compared with the
	// estimate before it, so that one long run of a usual server weighs little.
	pace float64
	// pacedAt is when pace was measured.
	pacedAt time.Time
	// unreported tells that the server does not report its load. A probe would take a
	// slot of it for nothing.
	unreported bool
	// probes bounds the probes of the server.
	probes *rate.Limiter
	// answeredAt is when a request was last answered; zero before.
	answeredAt time.Time
	// failures counts the failures since the latest success, and excludedUntil is
	// until when the server gets no work because of them.
	failures      int
	excludedUntil time.Time
	// exclusionLifted tells that the server gets work in spite of excludedUntil.
	exclusionLifted bool
	// rejectedUntil is until when the server is taken to be full.
	rejectedUntil time.Time
	without       map[Mechanism]bool
}

func (c *Scheduler) sortServers() {
	c.order = c.order[:0]
	for _, s := range c.servers {
		if s.listed {
			c.order = append(c.order, s)
		}
	}
	slices.SortFunc(c.order, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// occupied estimates the requests at the server. Other hosts may have sent some
// that this core does not know of.
func (s *server) occupied(now time.Time) int {
	if now.Sub(s.reportedAt) > rejectPause {
		return s.running
	}
	return max(s.running, s.report.Running+s.report.Waiting+s.since)
}

// excluded tells whether the server gets no work because it failed.
func (s *server) excluded(now time.Time) bool {
	return s.excludedUntil.After(now) && !s.exclusionLifted
}

// limitExclusions lets servers that failed once take work while more than
// excludedShare of the servers are excluded. Servers that failed repeatedly stay
// excluded.
func (c *Scheduler) limitExclusions(now time.Time) {
	failed := 0
	for _, s := range c.order {
		if s.excludedUntil.After(now) {
			failed++
		}
	}
	many := float64(failed) > max(1, excludedShare*float64(len(c.order)))
	for _, s := range c.order {
		s.exclusionLifted = many && s.failures <= 1
	}
}

// usable tells whether the server may get work at all.
func (s *server) usable(now time.Time, avoid []string) bool {
	return s.listed && s.State == wagserver.Live && !s.excluded(now) && !s.rejectedUntil.After(now) && !slices.Contains(avoid, s.ID)
}

// fresh tells whether the latest report stands for the present.
func (s *server) fresh(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) <= freshTime
}

// known tells whether as much is known of the server's load as can be: the latest
// report stands for the present, or the server cannot be asked for another one.
func (s *server) known(now time.Time) bool {
	return s.fresh(now) || s.unreported || !s.probing && s.probes.TokensAt(now) < 1
}

// unreported tells whether all servers of which something is known report no load, as
// it is with whole services.
func (c *Scheduler) unreported() bool {
	heard := false
	for _, s := range c.servers {
		if !s.reportedAt.IsZero() {
			return false
		}
		heard = heard || s.unreported
	}
	return heard
}

// reportsSlow tells whether the server said lately that work takes long.
func (s *server) reportsSlow(now time.Time) bool {
	return s.report.Slowness >= slowFrom && now.Sub(s.reportedAt) < slowPause
}

// slowness estimates how much longer work takes than usual.
func (s *server) slowness(now time.Time) float64 { return s.reported(now) * s.base(now) }

// reported is the slowness that the server told lately.
func (s *server) reported(now time.Time) float64 {
	if now.Sub(s.reportedAt) > slowPause {
		return 1
	}
	return max(s.report.Slowness, 1)
}

// base is the slowness apart from what reports tell.
func (s *server) base(now time.Time) float64 {
	if s.pace == 0 && s.ColdUntil.After(now) {
		return coldSlowness
	}
	if now.Sub(s.pacedAt) > paceLife {
		return 1
	}
	return max(s.pace, 1)
}

// observe takes the end of a request.
func (s *server) observe(now time.Time, g *grant, r Result) {
	// The report on an answer still counts the request that it answers.
	r.Report.Running = max(r.Report.Running-1, 0)
	s.hear(now, r)
	switch r.Fault {
	case FaultNone:
		s.failures, s.answeredAt = 0, now
		s.keepPace(now, g.pace(r.Latency))
	case FaultOvertaken:
		// The request would have taken at least as long.
		if ratio := g.pace(r.Latency); ratio > s.base(now) {
			s.keepPace(now, ratio)
		}
	case FaultCanceled:
	case FaultRejected:
		s.rejectedUntil = now.Add(rejectPause)
	case FaultTimeout:
		// A long request runs into its deadline at a server that answers others.
		if !s.answeredAt.After(g.at) {
			s.fail(now)
		}
	default:
		s.fail(now)
	}
}

// keepPace adds the time of a request, as a multiple of what was expected.
func (s *server) keepPace(now time.Time, ratio float64) {
	if s.without[MechanismPace] {
		return
	}
	if s.pace == 0 || now.Sub(s.pacedAt) > paceLife {
		s.pace = 1
	}
	s.pace += paceWeight * (ratio - s.pace)
	s.pacedAt = now
}

// probed takes the answer to a probe.
func (s *server) probed(now time.Time, r Result) {
	s.hear(now, r)
	switch r.Fault {
	case FaultNone, FaultCanceled, FaultError:
		// Health checks lie either way, so that only answers to requests count.
	case FaultRejected:
		s.rejectedUntil = now.Add(rejectPause)
	default:
		s.fail(now)
	}
}

// hear takes what an answer tells of the server's load, or that it tells nothing.
func (s *server) hear(now time.Time, r Result) {
	if !r.HasReport {
		s.unreported = s.unreported || r.Fault == FaultNone && s.reportedAt.IsZero()
		return
	}
	s.unreported = false
	s.report, s.reportedAt, s.since = r.Report, now, 0
	if r.Report.Slowness == 0 {
		s.report.Slowness = 1
	}
}

func (s *server) fail(now time.Time) {
	if s.without[MechanismExclusion] {
		return
	}
	s.excludedUntil = now.Add(min(firstExclusion<<min(s.failures, 8), maxExclusion))
	s.failures++
}
