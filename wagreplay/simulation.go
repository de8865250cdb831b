package wagreplay

import (
	"math/rand/v2"
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagtrace"
	"github.com/wagtailspar/wagtailspar/wagvirtual"
)

// router takes the arriving calls; it is the fleet of entry hosts or the
// omniscient baseline.
type router interface {
	arrive(c *call)
}

var (
	_ router = (*fleet)(nil)
	_ router = (*omniscient)(nil)
)

// simulation holds the virtual time and the servers.
type simulation struct {
	Config
	*wagvirtual.Time
	random  *rand.Rand
	servers []*server
	route   router
	stats   *stats
}

// call is one call of the trace on its way.
type call struct {
	*wagtrace.Request
	// back is the delay from the host that decides to the host where the call
	// arrived.
	back time.Duration
	// host is where the call arrived; owner is the host that decides.
	host, owner *host
	attempts    int
	pinned      bool
	// returned is called when the answer to a spilled call leaves; nil for others.
	returned func()
	// started is when the service began; zero before.
	started time.Time
	ended   bool
}

func newSimulation(c Config) *simulation {
	s := &simulation{Config: c, Time: wagvirtual.New(c.Trace.Header.Start), random: rand.New(rand.NewPCG(c.Seed, 2))}
	s.stats = newStats(c)
	for i, t := range c.Trace.Header.Servers {
		s.servers = append(s.servers, newServer(s, i, t))
	}
	return s
}

// run replays the calls until nothing is left to happen.
func (s *simulation) run(name string) *Result {
	calls := s.Trace.Requests
	for {
		next, planned := s.Next()
		if len(calls) > 0 && (!planned || !next.Before(calls[0].At)) {
			s.Advance(calls[0].At)
			s.route.arrive(&call{Request: &calls[0]})
			calls = calls[1:]
			continue
		}
		if !s.Step() {
			break
		}
	}
	if f, ok := s.route.(*fleet); ok {
		f.count()
	}
	return s.stats.result(name)
}

// end records what became of a call.
func (s *simulation) end(c *call, o ending, reason string) {
	if c.ended {
		s.stats.twice++
		return
	}
	c.ended = true
	latency := s.Now().Add(c.back).Sub(c.At)
	if o == endDone && s.Now().Add(c.back).After(c.Deadline) {
		o = endLate
	}
	s.stats.add(c, o, reason, s.Now(), latency)
	if o == endDone && c.returned != nil {
		c.returned()
	}
}

// linkDelay returns the delay of one message between two data centres.
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
		d += resend
	}
	return d
}

const (
	// resend is the least time after which TCP sends a lost message again.
	resend = 200 * time.Millisecond
	// connectCost and probeCost are stated in docs/design.md, section 1.2.
	connectCost = time.Millisecond
	probeCost   = 6 * time.Millisecond
	// headBytes stands for the headers of a forwarded call and its answer.
	headBytes = 600
	// summaryBytes and messageBytes are the sizes of control messages with
	// their framing.
	summaryBytes = 120
	messageBytes = 120
	// askAgain is the time between two requests for a slot when none is free.
	askAgain = 2 * time.Millisecond
)

func isLong(c *call) bool { return c.ActualClass == wagdocument.Long }
