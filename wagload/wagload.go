// Package wagload simulates load patterns on the servers of one service in one data
// centre, in virtual time. It compares wagplacement with an omniscient baseline and
// with hosts that decide alone, and measures the effect of single mechanisms.
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
	// PolicyPlacement decides with wagplacement.Scheduler.
	PolicyPlacement = "placement"
	// PolicyOmniscient knows the service time of each request and the state of each
	// server.
	PolicyOmniscient = "omniscient"
	// PolicyInformed knows the state of each server, and of requests only their route.
	PolicyInformed = "informed"
	// PolicyAlone sends each request at once to the server with the fewest requests in
	// flight, counting only the requests of one of several hosts.
	PolicyAlone = "alone"
)

// Policies returns the names of all policies.
func Policies() []string {
	return []string{PolicyOmniscient, PolicyInformed, PolicyPlacement, PolicyAlone}
}

// Config configures a run.
type Config struct {
	Pattern Pattern
	// Policy is the name of a policy; see Policies.
	Policy string
	Seed   uint64
	// Without holds the mechanisms that PolicyPlacement disables.
	Without []wagplacement.Mechanism
}

// start is the virtual time at which a run starts.
var start = time.Unix(1_700_000_000, 0)

// policy decides on the requests of a run.
type policy interface {
	// submit handles a request that has just arrived or that its caller retries.
	submit(r *request)
}

var (
	_ policy = (*placementPolicy)(nil)
	_ policy = (*omniscientPolicy)(nil)
	_ policy = (*alonePolicy)(nil)
)

// run is one run of a pattern.
type run struct {
	*wagvirtual.Clock
	pattern *Pattern
	servers []*server
	policy  policy
	// loadRandom draws the load and policyRandom the choices of a policy, so that the
	// load of a seed is the same for all policies.
	loadRandom, policyRandom *rand.Rand
	requests                 []*request
}

// request is one request of a caller.
type request struct {
	route     *Route
	arrivedAt time.Time
	// serviceTime is the service time on a server that is not slow.
	serviceTime time.Duration
	// A response has its full value until goal and none after deadline.
	goal, deadline time.Time
	// attempts counts the servers that the request was sent to.
	attempts int
	// retried is set when the caller has retried the request after a refusal.
	retried bool
	// answeredAt is when the response came; zero without one.
	answeredAt time.Time
	ended      bool
}

// Run plays a pattern. The same configuration gives the same result.
func Run(c Config) (r Result, err error) {
	defer func() { err = errors.WithMessagef(err, "play pattern %s", c.Pattern.Name) }()
	x := &run{
		Clock: wagvirtual.New(start), pattern: &c.Pattern,
		loadRandom: rand.New(rand.NewPCG(c.Seed, 1)), policyRandom: rand.New(rand.NewPCG(c.Seed, 2)),
	}
	for n := range c.Pattern.Servers {
		x.servers = append(x.servers, newServer(x, n))
	}
	switch c.Policy {
	case PolicyPlacement:
		x.policy = newPlacementPolicy(x, c.Without)
	case PolicyOmniscient:
		x.policy = newOmniscientPolicy(x, true)
	case PolicyInformed:
		x.policy = newOmniscientPolicy(x, false)
	case PolicyAlone:
		x.policy = newAlonePolicy(x)
	default:
		return r, errors.Errorf("unknown policy %q (allowed: %s)", c.Policy, strings.Join(Policies(), ", "))
	}
	x.scheduleColdStarts()
	for n := range c.Pattern.Routes {
		x.scheduleArrivals(&c.Pattern.Routes[n])
	}
	for x.Step() {
	}
	return x.result(), nil
}

// scheduleArrivals schedules the requests of a route. They arrive independently of each
// other.
func (x *run) scheduleArrivals(route *Route) {
	end := start.Add(x.pattern.Duration)
	for at := start; ; {
		rate := route.PerSecond * x.pattern.demandFactor(at.Sub(start))
		at = at.Add(time.Duration(x.loadRandom.ExpFloat64() / rate * float64(time.Second)))
		if !at.Before(end) {
			return
		}
		r := &request{
			route: route, arrivedAt: at, serviceTime: time.Duration(float64(route.ServiceTime) * x.serviceTimeFactor()),
			goal: at.Add(route.Goal), deadline: at.Add(route.Deadline),
		}
		x.requests = append(x.requests, r)
		x.ScheduleAt(at, func() { x.policy.submit(r) })
	}
}

const (
	// serviceTimeSpread is the standard deviation of the logarithm of the service time.
	serviceTimeSpread = 0.25
	// longRequestShare is the share of requests that take longRequestFactor times as
	// long.
	longRequestShare  = 0.03
	longRequestFactor = 7.0
)

// serviceTimeFactor draws the service time of a request as a multiple of that of its
// route.
func (x *run) serviceTimeFactor() float64 {
	factor := logNormal(x.loadRandom, serviceTimeSpread)
	if x.loadRandom.Float64() < longRequestShare {
		factor *= longRequestFactor
	}
	return factor
}

// answer ends a request with a response.
func (x *run) answer(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	r.answeredAt = x.Now()
}

// refuse refuses a request that has not run. Callers retry once, at the time that they
// are given.
func (x *run) refuse(r *request, retryAt time.Time) {
	if r.ended {
		return
	}
	if r.retried || !retryAt.Before(r.deadline) {
		r.ended = true
		return
	}
	r.retried = true
	x.ScheduleAt(retryAt, func() { x.policy.submit(r) })
}

// fail ends a request that failed.
func (x *run) fail(r *request) { r.ended = true }
