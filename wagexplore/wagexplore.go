// Package wagexplore runs the cores of several hosts on virtual time against
// fakes of the store and the servers, with injected faults, and checks what was
// told against what ran.
package wagexplore

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagevent"
)

// Config describes one run. The same configuration gives the same run.
type Config struct {
	Seed  uint64
	Steps int
	// Faults lists the kinds that are injected.
	Faults []Fault
	// BurstInterval is the mean time between bursts of calls; 400 ms when zero.
	BurstInterval time.Duration
	// Fleet adds the cores of shared state at nine hosts in three data centres.
	Fleet bool
	// plan replaces the one made from the seed, and fleetPlan that of the fleet.
	plan, fleetPlan []action
	// trace keeps the latest events.
	trace    bool
	sabotage sabotage
	// quiet is when faults end, zero when they last for the whole run.
	quiet time.Duration
}

// Violation is a broken invariant.
type Violation struct {
	Seed uint64
	Step int
	Text string
	// Events is the time line up to the violation.
	Events []wagevent.Event
	// RemainingActions is the number of planned calls and faults that are left after
	// shrinking, of PlannedActions.
	RemainingActions, PlannedActions int
}

func (v *Violation) String() string {
	return fmt.Sprintf("seed %d, step %d: %s", v.Seed, v.Step, v.Text)
}

// ErrViolation tells that a run broke an invariant.
var ErrViolation = errors.New("invariant broken")

// Err returns the violation as an error.
func (v *Violation) Err() error {
	return errors.WithMessage(ErrViolation, v.String())
}

// Result is what one run did.
type Result struct {
	Steps int
	// Hash covers every recorded event.
	Hash      uint64
	Violation *Violation
	Counts    Counts
}

// Counts adds up over runs.
type Counts struct {
	// FirstOutcomes counts the outcomes of first attempts, FinalOutcomes those after repeats;
	// the index is a wagoutcome.Outcome.
	FirstOutcomes, FinalOutcomes [3]uint64
	ServerRuns                   uint64
	Claims                       uint64
	ClaimWrites                  uint64
	StoreRequests                uint64
	EndedRequests                uint64
	// KeyedTime and UnkeyedTime add up the virtual time of calls that were done at the
	// first attempt, with and without a key.
	KeyedTime, UnkeyedTime          time.Duration
	KeyedDone, UnkeyedDone          uint64
	TokensPresented, TokensRejected uint64
	Fleet                           FleetCounts
}

// FleetCounts tells what happened at the hosts of the fleet.
type FleetCounts struct {
	// Revisions counts accepted documents, and InForce how often one came into
	// force at a host.
	Revisions, InForce uint64
	// Deaths counts members that a host took for dead, Unreachable those that
	// it could not reach.
	Deaths, Unreachable uint64
	// Drains counts drains that a host saw, and AvoidedRequests calls that were kept from
	// a draining server.
	Drains, AvoidedRequests uint64
	Probes                  uint64
	// RevisionChecks counts the checks of a document in force that had to hold.
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

// Run carries out one run.
func Run(c Config) Result {
	if c.plan == nil {
		c.plan = newPlan(c)
	}
	if c.Fleet && c.fleetPlan == nil {
		c.fleetPlan = newFleetPlan(c)
	}
	w := newWorld(c)
	w.run()
	return w.result()
}

// module is a part of a run with state and invariants of its own. start plans
// its first events.
type module interface {
	start(w *world)
}

var (
	_ module = (*termsModule)(nil)
	_ module = (*claimsModule)(nil)
	_ module = (*fleet)(nil)
)
