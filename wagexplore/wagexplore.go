// Package wagexplore simulates several hosts to test their cores, the packages that
// decide without doing I/O. A simulation runs on virtual time with injected faults and
// fakes of the store and the servers, and all its choices follow from a seed. It checks
// the responses that callers get against what the servers ran.
package wagexplore

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagevent"
)

// Config describes one run. Runs with equal configurations are equal.
type Config struct {
	Seed uint64
	// Steps is the number of events after which the run ends.
	Steps int
	// Faults lists the kinds of faults that are injected.
	Faults []Fault
	// BurstInterval is the mean time between bursts of requests; 400 ms when zero.
	BurstInterval time.Duration
	// Fleet adds the cores of the shared state at nine hosts in three data centres.
	Fleet bool
	// requestPlan and fleetPlan replace the plans that are made from the seed.
	requestPlan, fleetPlan []action
	// recordEvents keeps the latest events for Violation.Events.
	recordEvents bool
	// defect is a bug that is put into the run on purpose.
	defect defect
	// faultsEnd is when faults end; zero when they last for the whole run.
	faultsEnd time.Duration
}

// Violation describes an invariant that a run violated.
type Violation struct {
	Seed uint64
	// Step is the number of the event that violated the invariant.
	Step int
	Text string
	// Events holds the latest events up to the violation.
	Events []wagevent.Event
	// PlannedActions is the number of planned requests and faults, and
	// RemainingActions how many of them are left after shrinking.
	RemainingActions, PlannedActions int
}

func (v *Violation) String() string {
	return fmt.Sprintf("seed %d, step %d: %s", v.Seed, v.Step, v.Text)
}

// ErrViolation is the error of a run that violated an invariant.
var ErrViolation = errors.New("invariant broken")

// Err returns the violation as an error.
func (v *Violation) Err() error {
	return errors.WithMessage(ErrViolation, v.String())
}

// Result holds the results of one run.
type Result struct {
	Steps int
	// Hash covers every recorded event. Equal runs have equal hashes.
	Hash      uint64
	Violation *Violation
	Counts    Counts
}

// Counts are the counters of one run or the sums over several runs.
type Counts struct {
	// FirstOutcomes and FinalOutcomes count the requests with a key by the outcome of
	// the first attempt that ended and by the outcome after repeats; the index is a
	// wagoutcome.Outcome.
	FirstOutcomes, FinalOutcomes [3]uint64
	// ServerRuns counts the attempts that a server ran.
	ServerRuns uint64
	// Claims counts the claims of keys, and ClaimWrites the writes to the store of the
	// partitions that hold them.
	Claims        uint64
	ClaimWrites   uint64
	StoreRequests uint64
	// EndedRequests counts the requests with a key of which an attempt has ended.
	EndedRequests uint64
	// KeyedTime and UnkeyedTime add up the virtual durations of requests that were
	// done at the first attempt, with a key of the caller and without a key.
	// KeyedDone and UnkeyedDone count them.
	KeyedTime, UnkeyedTime time.Duration
	KeyedDone, UnkeyedDone uint64
	// TokensPresented counts the requests for which the terms of a caller were
	// evaluated, and TokensRejected those of them whose token did not count.
	TokensPresented, TokensRejected uint64
	Fleet                           FleetCounts
}

// FleetCounts are the counters of the fleet.
type FleetCounts struct {
	// Revisions counts the documents that the store accepted, and InForce how often
	// a host put one into force.
	Revisions, InForce uint64
	// Deaths counts how often a host declared a member dead, and Unreachable how
	// often it declared one unreachable.
	Deaths, Unreachable uint64
	// Drains counts the drains that a host noticed by its own request, and
	// AvoidedRequests the requests that were not sent to a draining server.
	Drains, AvoidedRequests uint64
	Probes                  uint64
	// RevisionChecks counts the checks at which a host had to have the latest
	// revision in force.
	RevisionChecks uint64
}

func (c *FleetCounts) add(o FleetCounts) {
	c.Revisions += o.Revisions
	c.InForce += o.InForce
	c.Deaths += o.Deaths
	c.Unreachable += o.Unreachable
	c.Drains += o.Drains
	c.AvoidedRequests += o.AvoidedRequests
	c.Probes += o.Probes
	c.RevisionChecks += o.RevisionChecks
}

// Add adds the counts of another run.
func (c *Counts) Add(o Counts) {
	for n := range c.FirstOutcomes {
		c.FirstOutcomes[n] += o.FirstOutcomes[n]
		c.FinalOutcomes[n] += o.FinalOutcomes[n]
	}
	c.ServerRuns += o.ServerRuns
	c.Claims += o.Claims
	c.ClaimWrites += o.ClaimWrites
	c.StoreRequests += o.StoreRequests
	c.EndedRequests += o.EndedRequests
	c.KeyedTime += o.KeyedTime
	c.UnkeyedTime += o.UnkeyedTime
	c.KeyedDone += o.KeyedDone
	c.UnkeyedDone += o.UnkeyedDone
	c.TokensPresented += o.TokensPresented
	c.TokensRejected += o.TokensRejected
	c.Fleet.add(o.Fleet)
}

// Run runs one simulation.
func Run(c Config) Result {
	if c.requestPlan == nil {
		c.requestPlan = newPlan(c)
	}
	if c.Fleet && c.fleetPlan == nil {
		c.fleetPlan = newFleetPlan(c)
	}
	w := newWorld(c)
	w.run()
	return w.result()
}

// module is a part of a run with its own state and invariants. start schedules its
// first events.
type module interface {
	start(w *world)
}

var (
	_ module = (*termsModule)(nil)
	_ module = (*claimsModule)(nil)
	_ module = (*fleet)(nil)
)
