package wagrouting

import (
	"math/rand/v2"
	"time"
)

// Policy says how servers are selected. It is one of the types below.
type Policy interface{ isPolicy() }

// GroupOwner keeps the exact counts and the queue of a group at one host, its
// owner.
type GroupOwner struct{}

// SlotShares sends only to the slots that are leased to this host; see
// Scheduler.AddLeasedSlots and Scheduler.ReleaseLeasedSlot.
type SlotShares struct{}

// Random selects a random server.
type Random struct{}

// RoundRobin selects the servers in turn.
type RoundRobin struct{}

// LeastOutstanding selects the server with the fewest requests in flight from
// this host.
type LeastOutstanding struct{}

// TwoChoices selects the less loaded of two random servers by the requests in
// flight from this host.
type TwoChoices struct{}

// TwoChoicesReports selects the less loaded of two random servers by the load
// that they reported with responses, which loses weight with age, and by what
// this host sent since.
type TwoChoicesReports struct{}

func (GroupOwner) isPolicy()        {}
func (SlotShares) isPolicy()        {}
func (Random) isPolicy()            {}
func (RoundRobin) isPolicy()        {}
func (LeastOutstanding) isPolicy()  {}
func (TwoChoices) isPolicy()        {}
func (TwoChoicesReports) isPolicy() {}

var (
	_ Policy = GroupOwner{}
	_ Policy = SlotShares{}
	_ Policy = Random{}
	_ Policy = RoundRobin{}
	_ Policy = LeastOutstanding{}
	_ Policy = TwoChoices{}
	_ Policy = TwoChoicesReports{}
)

// Mechanism names a part of the scheduler that can be disabled to measure its
// effect.
type Mechanism string

// Mechanisms.
const (
	// ReserveSlots limits long requests and reserves slots for short ones.
	ReserveSlots Mechanism = "classes"
	// LendSlots lets long requests use their share only as far as short requests
	// do not need the slots.
	LendSlots Mechanism = "lending"
	// LearnClasses derives the class of a route from its responses if the
	// document leaves it open.
	LearnClasses Mechanism = "learning"
	// ReclassifyByAge counts a request as long once it has run for
	// Limits.LongAfter.
	ReclassifyByAge Mechanism = "age"
	// FairQueueing orders and limits the queue by caller.
	FairQueueing Mechanism = "fairness"
	// AdmissionControl refuses requests that are not expected to finish before
	// their deadline.
	AdmissionControl Mechanism = "admission"
	// RankBySlowness prefers servers that respond faster.
	RankBySlowness Mechanism = "slowness"
	// WaitForFastServer lets requests wait for a fast server rather than use a
	// slow one.
	WaitForFastServer Mechanism = "deferral"
	// ExcludeFailing excludes failing servers for a time.
	ExcludeFailing Mechanism = "exclusion"
	// RampUp starts cold and returning servers with a single request and then a
	// raised cost that falls with time.
	RampUp Mechanism = "ramp"
	// SpillDataCentres forwards requests to other data centres.
	SpillDataCentres Mechanism = "zones"
)

// Mechanisms lists all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{ReserveSlots, LendSlots, LearnClasses, ReclassifyByAge, FairQueueing, AdmissionControl, RankBySlowness, WaitForFastServer, ExcludeFailing, RampUp, SpillDataCentres}
}

// Option sets a property of a Scheduler.
type Option func(*Scheduler)

// WithPolicy sets the policy; GroupOwner is the default.
func WithPolicy(p Policy) Option { return func(sc *Scheduler) { sc.policy = p } }

// WithSeed sets the seed of random selection.
func WithSeed(seed uint64) Option {
	return func(sc *Scheduler) { sc.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WithDataCentre names the data centre of the group.
func WithDataCentre(name string) Option { return func(sc *Scheduler) { sc.dataCentre = name } }

// WithoutMechanism disables a mechanism.
func WithoutMechanism(m Mechanism) Option { return func(sc *Scheduler) { sc.disabled[m] = true } }

// queuesRequests reports whether requests wait at this scheduler rather than at
// the servers.
func (sc *Scheduler) queuesRequests() bool {
	switch sc.policy.(type) {
	case GroupOwner, SlotShares:
		return true
	default:
		return false
	}
}

// chooseServer returns the server for a request, or nil when none may take it
// now.
func (sc *Scheduler) chooseServer(now time.Time, req *Request, long bool) *server {
	switch sc.policy.(type) {
	case GroupOwner, SlotShares:
		return sc.chooseFreeServer(req, long)
	case LeastOutstanding:
		return sc.freeServers[0].cheapest(sc.random, req.Avoid)
	case RoundRobin:
		return sc.nextInTurn(req)
	case TwoChoices:
		return sc.betterOfTwo(req, func(s *server) float64 { return float64(s.inFlight) / float64(s.slots) })
	case TwoChoicesReports:
		return sc.betterOfTwo(req, func(s *server) float64 { return s.reportedLoad(now) })
	default:
		return sc.any(req)
	}
}

// any returns a random eligible server, if possible not the one to avoid.
func (sc *Scheduler) any(req *Request) *server {
	n := len(sc.eligible)
	if n == 0 {
		return nil
	}
	i := sc.random.IntN(n)
	if sc.eligible[i].address == req.Avoid {
		i = (i + 1) % n
	}
	return sc.eligible[i]
}

// nextInTurn returns the eligible server that follows the previous one, if
// possible not the one to avoid.
func (sc *Scheduler) nextInTurn(req *Request) *server {
	n := len(sc.eligible)
	if n == 0 {
		return nil
	}
	sc.roundRobinNext++
	if sc.eligible[sc.roundRobinNext%n].address == req.Avoid {
		sc.roundRobinNext++
	}
	return sc.eligible[sc.roundRobinNext%n]
}

// betterOfTwo returns the less loaded of two random servers.
func (sc *Scheduler) betterOfTwo(req *Request, load func(*server) float64) *server {
	a, b := sc.any(req), sc.any(req)
	if a != nil && load(b) < load(a) {
		return b
	}
	return a
}

// reportLifetime is the age at which a load report has lost all weight. Load
// changes within milliseconds, so older reports mislead.
const reportLifetime = 200 * time.Millisecond

// reportedLoad estimates the requests at a server as a share of its slots.
func (s *server) reportedLoad(now time.Time) float64 {
	weight := 1 - float64(now.Sub(s.reportedAt))/float64(reportLifetime)
	if weight < 0 {
		weight = 0
	}
	n := weight*float64(s.reportedInFlight) + float64(s.sentSinceReport)
	return max(n, float64(s.inFlight)) / float64(s.slots)
}
