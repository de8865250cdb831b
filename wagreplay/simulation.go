package wagreplay

import (
	"math/rand/v2"
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagtrace"
	"github.com/wagtailspar/wagtailspar/wagvirtual"
)

// router takes the arriving requests; it is the fleet of entry hosts or the
// omniscient baseline.
type router interface {
	arrive(r *request)
}

var (
	_ router = (*fleet)(nil)
	_ router = (*omniscient)(nil)
)

// simulation holds the virtual time and the simulated servers.
type simulation struct {
	Config
	*wagvirtual.Clock
	random  *rand.Rand
	servers []*server
	router  router
	stats   *stats
}

// request is a request of the trace on its way through the simulation.
type request struct {
	*wagtrace.Request
	// returnDelay is the delay from the host that decides to the host where the
	// request arrived.
	returnDelay time.Duration
	// host is where the request arrived; owner is the host that decides.
	host, owner *host
	attempts    int
	pinned      bool
	// onResponse is called when the response to a spilled request leaves; nil for
	// others.
	onResponse func()
	// started is when a server began to run the request; zero before.
	started time.Time
	ended   bool
}

func newSimulation(c Config) *simulation {
	s := &simulation{Config: c, Clock: wagvirtual.New(c.Trace.Header.Start), random: rand.New(rand.NewPCG(c.Seed, 2))}
	s.stats = newStats(c)
	for i, t := range c.Trace.Header.Servers {
		s.servers = append(s.servers, newServer(s, i, t))
	}
	return s
}

// run replays the requests until no event is left.
func (s *simulation) run(name string) *Result {
	requests := s.Trace.Requests
	for {
		next, planned := s.NextEventTime()
		if len(requests) > 0 && (!planned || !next.Before(requests[0].At)) {
			s.AdvanceTo(requests[0].At)
			s.router.arrive(&request{Request: &requests[0]})
			requests = requests[1:]
			continue
		}
		if !s.Step() {
			break
		}
	}
	if f, ok := s.router.(*fleet); ok {
		f.sumCounters()
	}
	return s.stats.result(name)
}

// endRequest records how a request ended.
func (s *simulation) endRequest(r *request, status requestStatus, reason string) {
	if r.ended {
		s.stats.endedTwice++
		return
	}
	r.ended = true
	latency := s.Now().Add(r.returnDelay).Sub(r.At)
	if status == statusDone && s.Now().Add(r.returnDelay).After(r.Deadline) {
		status = statusLate
	}
	s.stats.record(r, status, reason, s.Now(), latency)
	if status == statusDone && r.onResponse != nil {
		r.onResponse()
	}
}

// linkDelay returns the delay of one message between two data centres, with the
// faults of the links at this time.
func (s *simulation) linkDelay(a, b string) time.Duration {
	d := s.Trace.Header.LinkDelay(a, b)
	factor, loss := 1.0, 0.0
	for _, f := range s.Trace.Faults {
		if f.Kind != wagtrace.FaultSlowLinks || (f.DataCentre != a && f.DataCentre != b) || s.Now().Before(f.From) || !s.Now().Before(f.Until) {
			continue
		}
		factor, loss = max(factor, f.Factor), max(loss, f.Loss)
	}
	d = time.Duration(float64(d) * factor)
	for loss > 0 && s.random.Float64() < min(loss, 0.9) {
		d += minRetransmitTimeout
	}
	return d
}

const (
	// minRetransmitTimeout is the least time after which TCP sends a lost message
	// again.
	minRetransmitTimeout = 200 * time.Millisecond
	// connectTime and probeTime are those of docs/design.md, section 1.2.
	connectTime = time.Millisecond
	probeTime   = 6 * time.Millisecond
	// headerBytes is the assumed size of the headers of a forwarded request and
	// its response.
	headerBytes = 600
	// summaryBytes and messageBytes are the sizes of control messages with
	// their framing.
	summaryBytes = 120
	messageBytes = 120
	// slotRetryInterval is the time after which a host asks for a slot again when
	// none was free.
	slotRetryInterval = 2 * time.Millisecond
)

func isLong(r *request) bool { return r.ActualClass == wagdocument.Long }
