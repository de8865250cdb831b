// Package wagload plays patterns of load on the servers of one service in one data
// centre, on virtual time. It compares wagplacement with an omniscient baseline and
// with hosts that decide alone, and tells what single mechanisms give.
package wagload

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagvirtual"
)

// Names of policies.
const (
	// PolicyPlacement is wagplacement.Core.
	PolicyPlacement = "placement"
	// PolicyOmniscient knows the work of each request and the state of each server.
	PolicyOmniscient = "omniscient"
	// PolicyInformed knows the state of each server, and of requests only their route.
	PolicyInformed = "informed"
	// PolicyAlone sends each request at once to the server with the fewest requests in
	// flight, as far as one of several hosts knows.
	PolicyAlone = "alone"
)

// Policies lists the names of all policies.
func Policies() []string {
	return []string{PolicyOmniscient, PolicyInformed, PolicyPlacement, PolicyAlone}
}

// Config describes one run.
type Config struct {
	Pattern Pattern
	// Policy is one of the names above.
	Policy string
	Seed   uint64
	// Without holds mechanisms that Placement leaves out.
	Without []wagplacement.Mechanism
}

// start is the virtual time at which a run begins.
var start = time.Unix(1_700_000_000, 0)

// policy decides on the requests of a run.
type policy interface {
	// submit takes a request that has just arrived or has come again.
	submit(r *request)
}

var (
	_ policy = (*placement)(nil)
	_ policy = (*omniscient)(nil)
	_ policy = (*alone)(nil)
)

// run is one run of a pattern.
type run struct {
	*wagvirtual.Clock
	pattern *Pattern
	servers []*server
	policy  policy
	// work and choices are the random numbers of the load and those of a policy; the
	// load of a seed is the same for all policies.
	work, choices *rand.Rand
	requests      []*request
}

// request is one request of a caller.
type request struct {
	route   *Route
	arrived time.Time
	// work is how long it takes at a server that is not slow.
	work time.Duration
	// goal and deadline are until when an answer is of full and of any use.
	goal, deadline time.Time
	// attempts counts the servers that it was sent to.
	attempts int
	// returned tells that the caller has come again after a refusal.
	returned bool
	// answered is when the answer came; zero without one.
	answered time.Time
	ended    bool
}

// Run plays a pattern. The same configuration gives the same result.
func Run(c Config) (r Result, err error) {
	defer func() { err = errors.WithMessagef(err, "play pattern %s", c.Pattern.Name) }()
	x := &run{
		Clock: wagvirtual.New(start), pattern: &c.Pattern,
		work: rand.New(rand.NewPCG(c.Seed, 1)), choices: rand.New(rand.NewPCG(c.Seed, 2)),
	}
	for n := range c.Pattern.Servers {
		x.servers = append(x.servers, newServer(x, n))
	}
	switch c.Policy {
	case PolicyPlacement:
		x.policy = newPlacement(x, c.Without)
	case PolicyOmniscient:
		x.policy = newOmniscient(x, true)
	case PolicyInformed:
		x.policy = newOmniscient(x, false)
	case PolicyAlone:
		x.policy = newAlone(x)
	default:
		return r, errors.Errorf("unknown policy %q (allowed: %s)", c.Policy, strings.Join(Policies(), ", "))
	}
	for n := range c.Pattern.Routes {
		x.arrivals(&c.Pattern.Routes[n])
	}
	for x.Step() {
	}
	return x.result(), nil
}

// arrivals plans the requests of a route, which come independently of each other.
func (x *run) arrivals(route *Route) {
	end := start.Add(x.pattern.Duration)
	for at := start; ; {
		rate := route.PerSecond * x.pattern.demand(at.Sub(start))
		at = at.Add(time.Duration(x.work.ExpFloat64() / rate * float64(time.Second)))
		if !at.Before(end) {
			return
		}
		r := &request{
			route: route, arrived: at, work: time.Duration(float64(route.ServiceTime) * x.variation()),
			goal: at.Add(route.Goal), deadline: at.Add(route.Deadline),
		}
		x.requests = append(x.requests, r)
		x.ScheduleAt(at, func() { x.policy.submit(r) })
	}
}

const (
	// workSpread is the standard deviation of the logarithm of the work.
	workSpread = 0.25
	// longShare is the share of requests that take longFactor times as long.
	longShare  = 0.03
	longFactor = 7.0
)

// variation returns the work of a request as a multiple of that of its route.
func (x *run) variation() float64 {
	v := logNormal(x.work, workSpread)
	if x.work.Float64() < longShare {
		v *= longFactor
	}
	return v
}

// answer ends a request with an answer.
func (x *run) answer(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	r.answered = x.Now()
}

// refuse ends a request that has not run. Callers come again once, at the time that
// they are told.
func (x *run) refuse(r *request, again time.Time) {
	if r.ended {
		return
	}
	if r.returned || !again.Before(r.deadline) {
		r.ended = true
		return
	}
	r.returned = true
	x.ScheduleAt(again, func() { x.policy.submit(r) })
}

// fail ends a request that failed.
func (x *run) fail(r *request) { r.ended = true }
