package wagexplore

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const fleetSteps = 20000

// Guards against broken invariants of the fleet under each fault and all.
func TestFleetInvariantsHold(t *testing.T) {
	t.Parallel()
	sets := [][]Fault{nil, AllFaults()}
	for _, f := range AllFaults() {
		if f != ServerSlow && f != ServerDies && f != FailFast {
			sets = append(sets, []Fault{f})
		}
	}
	for _, faults := range sets {
		s, err := RunMany(t.Context(), Config{Steps: fleetSteps, Faults: faults, Fleet: true}, 2, 2)
		if err != nil {
			t.Fatal(err)
		}
		if s.Violation != nil {
			t.Errorf("faults %v: %v", faults, s.Violation)
		}
	}
}

// Guards against a run of the fleet that cannot be repeated from its seed.
func TestFleetSameSeedSameRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := Config{Seed: 1, Steps: fleetSteps, Faults: AllFaults(), Fleet: true}
	a, b := Run(c), Run(c)
	is.Equal(a.Hash, b.Hash)
	is.Equal(a.Counts, b.Counts)
	c.Seed++
	is.True(Run(c).Hash != a.Hash)
}

// Guards against hosts that do not agree within agreeTime after faults.
func TestFleetAgreesAfterFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkAgreement(t, seed)
		})
	}
}

func checkAgreement(t *testing.T, seed uint64) {
	c := Config{Seed: seed, Steps: 120000, Faults: AllFaults(), Fleet: true, quiet: time.Minute}
	c.plan = []action{}
	for _, a := range newFleetPlan(Config{Seed: seed, Steps: 60000, Faults: AllFaults()}) {
		if a.change || a.at+a.length < c.quiet {
			c.fleetPlan = append(c.fleetPlan, a)
		}
	}
	w := newWorld(c)
	w.run()
	if w.violation != nil || w.now < c.quiet+2*agreeTime {
		t.Errorf("seed %d ends at %s: %v", seed, w.now, w.violation)
	}
}

// Guards against a harness that finds nothing in the cores of shared state.
func TestRemovedFleetProtectionIsFound(t *testing.T) {
	cases := []struct {
		name     string
		sabotage sabotage
		faults   []Fault
		// first is the first seed that finds it.
		first uint64
	}{
		{"plainCounter", plainCounter, nil, 78},
		{"spendFirst", spendFirst, []Fault{StoreDown}, 1},
		{"lowerRevision", lowerRevision, []Fault{MessageDelay}, 0},
		{"olderIncarnation", olderIncarnation, []Fault{Crash, MessageDelay}, 18},
		{"unreachableDead", unreachableDead, []Fault{Partition}, 1},
		{"notShared", notShared, []Fault{Drain}, 9},
		{"earlyTakeOver", earlyTakeOver, []Fault{Crash, MessageLoss}, 9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			checkFound(t, Config{Seed: c.first, Steps: fleetSteps, Faults: c.faults, Fleet: true, sabotage: c.sabotage})
		})
	}
}
