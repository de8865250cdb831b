package wagexplore

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

const testSteps = 8000

// Guards against runs that can't be repeated from their seed, for example because
// something depends on the iteration order of a map.
func TestSameSeedSameRun(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		c := Config{Seed: seed, Steps: testSteps, Faults: AllFaults()}
		a, b := Run(c), Run(c)
		is.Equal(a.Hash, b.Hash)
		is.Equal(a.Counts, b.Counts)
		c.Seed += 100
		is.True(Run(c).Hash != a.Hash)
	}
}

// Guards against violated invariants without faults, with each fault and with all of
// them, and against requests of which most are not done.
func TestInvariantsHold(t *testing.T) {
	t.Parallel()
	sets := [][]Fault{nil, AllFaults()}
	// MessageLoss and MessageDelay affect only the fleet.
	for f := range MessageLoss {
		sets = append(sets, []Fault{f})
	}
	for _, faults := range sets {
		s, err := RunMany(t.Context(), Config{Steps: testSteps, Faults: faults}, 8, 4)
		if err != nil {
			t.Fatal(err)
		}
		if s.Violation != nil {
			t.Errorf("faults %v: %v", faults, s.Violation)
		}
		if 2*s.Counts.FinalOutcomes[wagoutcome.Done] < s.Counts.EndedRequests {
			t.Errorf("faults %v: of %d requests only %d are done", faults, s.Counts.EndedRequests, s.Counts.FinalOutcomes[wagoutcome.Done])
		}
	}
}

// Guards against a simulation that doesn't find bugs: each defect must lead to a
// violation within the seeds, and the same run without the defect to none.
func TestRemovedProtectionIsFound(t *testing.T) {
	cases := []struct {
		name     string
		sabotage defect
		faults   []Fault
	}{
		{"noLeaseCheck", noLeaseCheck, []Fault{Pause}},
		{"retryAfterUnknown", retryAfterUnknown, []Fault{ServerDies}},
		{"answersMixedUp", answersMixedUp, nil},
		{"cleanEnd", cleanEnd, []Fault{ServerDies}},
		{"noEpoch", noEpoch, nil},
		{"openAsNew", openAsNew, []Fault{Crash, Pause, ServerSlow}},
		{"skipReadBack", skipReadBack, []Fault{AnswerLost}},
		{"opaqueKeys", opaqueKeys, nil},
		{"earlyTakeOver", earlyTakeOver, []Fault{Pause}},
		{"noStop", noStop, []Fault{Pause}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			checkDefectIsFound(t, Config{Steps: testSteps, Faults: c.faults, defect: c.sabotage})
		})
	}
	// The lease nearly always stops former owners by itself. With four times the steps,
	// only 5 of 400 runs depend on the fencing; 22 is the first such seed.
	t.Run("noFence", func(t *testing.T) {
		t.Parallel()
		checkDefectIsFound(t, Config{Seed: 22, Steps: 4 * testSteps, Faults: []Fault{AnswerLost, Pause}, defect: noFence})
	})
}

// checkDefectIsFound runs up to 200 seeds, from config.Seed on, until one finds the
// defect. Without the defect, the run of that seed must have no violation.
func checkDefectIsFound(t *testing.T, config Config) {
	const seeds = 200
	first := config.Seed
	for config.Seed < first+seeds {
		if r := Run(config); r.Violation != nil {
			t.Log(r.Violation)
			config.defect = noDefect
			if v := Run(config).Violation; v != nil {
				t.Fatalf("violation without the defect: %v", v)
			}
			return
		}
		config.Seed++
	}
	t.Fatalf("the defect leads to no violation in %d seeds", seeds)
}

// Guards against shrinking that loses the violation or its events, or that stops while
// an action can still be removed from the plan.
func TestShrinkKeepsTheViolation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := Config{Steps: testSteps, Faults: []Fault{ServerDies, ClockSkew}, defect: retryAfterUnknown}
	for Run(c).Violation == nil {
		c.Seed++
	}
	v := Shrink(c)
	is.True(v != nil)
	is.True(len(v.Events) > 0)
	is.True(v.RemainingActions < v.PlannedActions)
	fails := func(plan []action) bool {
		one := c
		one.requestPlan = plan
		return Run(one).Violation != nil
	}
	plan := reduce(newPlan(c), fails)
	is.Equal(len(plan), v.RemainingActions)
	for n := range plan {
		less := append([]action{}, plan[:n]...)
		is.True(!fails(append(less, plan[n+1:]...)))
	}
}

// Guards against partitions that stay without an owner, and requests that are not done,
// after all faults have ended. A pause lasts up to a minute; 20 s more cover the lease,
// two reads of it and the takeover.
func TestRequestsAreDoneAfterFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkRequestsAfterFaults(t, seed)
		})
	}
}

func checkRequestsAfterFaults(t *testing.T, seed uint64) {
	const settleTime = 80 * time.Second
	// The planned requests end after about six minutes of virtual time; 80,000 steps take
	// more than 30 minutes.
	c := Config{Seed: seed, Steps: 80000, Faults: AllFaults()}
	plan := newPlan(Config{Seed: seed, Steps: 16000, Faults: AllFaults()})
	c.faultsEnd = time.Minute
	for _, a := range plan {
		if a.isRequest || a.recreateDocument || a.at+a.duration < c.faultsEnd {
			c.requestPlan = append(c.requestPlan, a)
		}
	}
	w := newWorld(c)
	w.run()
	checked := 0
	for _, req := range w.callers.requests {
		if req.startedAt < c.faultsEnd+settleTime || !req.ended {
			continue
		}
		checked++
		if req.firstOutcome != wagoutcome.Done {
			t.Errorf("request %d with key kind %d, started at %s, has the outcome %s", req.id, req.keyKind, req.startedAt, req.firstOutcome)
		}
	}
	if checked == 0 || w.violation != nil {
		t.Errorf("%d requests were checked; violation: %v", checked, w.violation)
	}
}
