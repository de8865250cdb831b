package wagexplore

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const fleetSteps = 20000

// Guards against violated invariants of the fleet without faults, with each fault and
// with all of them.
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

// Guards against runs of the fleet that can't be repeated from their seed, for example
// because something depends on the iteration order of a map.
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

// Guards against hosts whose member tables still differ agreementTimeout after the end of
// all faults.
func TestFleetAgreesAfterFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkAgreement(t, seed)
		})
	}
}

// checkAgreement runs a seed with all faults until faultsEnd. The run must last long
// enough after it for the member tables to be checked.
func checkAgreement(t *testing.T, seed uint64) {
	c := Config{Seed: seed, Steps: 120000, Faults: AllFaults(), Fleet: true, faultsEnd: time.Minute}
	c.requestPlan = []action{}
	for _, a := range newFleetPlan(Config{Seed: seed, Steps: 60000, Faults: AllFaults()}) {
		if a.change || a.at+a.duration < c.faultsEnd {
			c.fleetPlan = append(c.fleetPlan, a)
		}
	}
	w := newWorld(c)
	w.run()
	if w.violation != nil || w.now < c.faultsEnd+2*agreementTimeout {
		t.Errorf("seed %d ends at %s: %v", seed, w.now, w.violation)
	}
}

// Guards against a simulation that doesn't find bugs in the cores of the shared state:
// each defect must lead to a violation.
func TestRemovedFleetProtectionIsFound(t *testing.T) {
	cases := []struct {
		name     string
		sabotage defect
		faults   []Fault
		// first is the first seed whose run finds the defect.
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
			checkDefectIsFound(t, Config{Seed: c.first, Steps: fleetSteps, Faults: c.faults, Fleet: true, defect: c.sabotage})
		})
	}
}
