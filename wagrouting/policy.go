package wagrouting

import (
	"math/rand/v2"
	"time"
)

// Policy selects servers. It is one of the types below.
type Policy interface{ isPolicy() }

// GroupOwner keeps the exact counts and the queue of a group at one host.
type GroupOwner struct{}

// SlotShares sends only within the slots that were leased to this host; see
// Core.AddShare and Core.TakeShare.
type SlotShares struct{}

// Random selects any server.
type Random struct{}

// RoundRobin selects the servers in turn.
type RoundRobin struct{}

// LeastOutstanding selects the server with the fewest own calls in flight.
type LeastOutstanding struct{}

// TwoChoices selects the better of two random servers by own calls in flight.
type TwoChoices struct{}

// TwoChoicesReports selects the better of two random servers by the reports on
// answers, discounted by age, and the own placements since.
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

// Mechanism names a part of the core that can be switched off to measure what
// it gives.
type Mechanism string

// Mechanisms.
const (
	// ReserveSlots bounds long work and keeps slots for short work.
	ReserveSlots Mechanism = "classes"
	// LendSlots lets long work have its share only as far as short work does
	// not need the slots.
	LendSlots Mechanism = "lending"
	// LearnClasses learns the class of a route that the document leaves open.
	LearnClasses Mechanism = "learning"
	// ReclassifyByAge counts a call as long once it ran for Limits.LongAfter.
	ReclassifyByAge Mechanism = "age"
	// FairQueueing orders and bounds the queue by caller.
	FairQueueing Mechanism = "fairness"
	// AdmissionControl refuses calls whose expected wait exceeds their deadline.
	AdmissionControl Mechanism = "admission"
	// RankBySlowness prefers servers that answer faster.
	RankBySlowness Mechanism = "slowness"
	// WaitForFastServer lets calls wait for a fast server rather than use a slow one.
	WaitForFastServer Mechanism = "deferral"
	// ExcludeFailing takes failing servers out of service for a time.
	ExcludeFailing Mechanism = "exclusion"
	// RampUp gives cold and returning servers a growing share of their slots.
	RampUp Mechanism = "ramp"
	// SpillDataCentres forwards calls to other data centres.
	SpillDataCentres Mechanism = "zones"
)

// Mechanisms lists all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{ReserveSlots, LendSlots, LearnClasses, ReclassifyByAge, FairQueueing, AdmissionControl, RankBySlowness, WaitForFastServer, ExcludeFailing, RampUp, SpillDataCentres}
}

// Option sets a property of a Core.
type Option func(*Scheduler)

// WithPolicy sets the policy; GroupOwner is the default.
func WithPolicy(p Policy) Option { return func(c *Scheduler) { c.policy = p } }

// WithSeed sets the seed of random selection.
func WithSeed(seed uint64) Option {
	return func(c *Scheduler) { c.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WithDataCentre names the data centre of the group.
func WithDataCentre(name string) Option { return func(c *Scheduler) { c.dataCentre = name } }

// WithoutMechanism switches a mechanism off.
func WithoutMechanism(m Mechanism) Option { return func(c *Scheduler) { c.without[m] = true } }

// queues tells whether calls wait at this core rather than at the servers.
func (c *Scheduler) queues() bool {
	switch c.policy.(type) {
	case GroupOwner, SlotShares:
		return true
	default:
		return false
	}
}

// choose returns the server for a call, or nil when none may take it now.
func (c *Scheduler) choose(now time.Time, call *Request, long bool) *server {
	switch c.policy.(type) {
	case GroupOwner, SlotShares:
		return c.chooseFree(call, long)
	case LeastOutstanding:
		return c.free[0].first(c.random, call.Avoid)
	case RoundRobin:
		return c.turn(call)
	case TwoChoices:
		return c.better(call, func(s *server) float64 { return float64(s.inFlight) / float64(s.slots) })
	case TwoChoicesReports:
		return c.better(call, func(s *server) float64 { return s.reportedLoad(now) })
	default:
		return c.any(call)
	}
}

// any returns a random open server, another than the one to avoid if it can.
func (c *Scheduler) any(call *Request) *server {
	n := len(c.open)
	if n == 0 {
		return nil
	}
	i := c.random.IntN(n)
	if c.open[i].address == call.Avoid {
		i = (i + 1) % n
	}
	return c.open[i]
}

func (c *Scheduler) turn(call *Request) *server {
	n := len(c.open)
	if n == 0 {
		return nil
	}
	c.next++
	if c.open[c.next%n].address == call.Avoid {
		c.next++
	}
	return c.open[c.next%n]
}

func (c *Scheduler) better(call *Request, load func(*server) float64) *server {
	a, b := c.any(call), c.any(call)
	if a != nil && load(b) < load(a) {
		return b
	}
	return a
}

// reportLife is the age at which a report says nothing any more. Load changes
// within milliseconds, so that older reports mislead.
const reportLife = 200 * time.Millisecond

// reportedLoad estimates the calls at a server as a share of its slots.
func (s *server) reportedLoad(now time.Time) float64 {
	weight := 1 - float64(now.Sub(s.reportedAt))/float64(reportLife)
	if weight < 0 {
		weight = 0
	}
	n := weight*float64(s.reported) + float64(s.sinceReport)
	return max(n, float64(s.inFlight)) / float64(s.slots)
}
