package wagexplore

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

const testSteps = 8000

// Guards against runs that cannot be repeated from their seed.
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

// Guards against broken invariants of the cores under each fault and all.
func TestInvariantsHold(t *testing.T) {
	t.Parallel()
	sets := [][]Fault{nil, AllFaults()}
	// Loss and Delay touch only the fleet.
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
			t.Errorf("faults %v: of %d calls only %d are done", faults, s.Counts.EndedRequests, s.Counts.FinalOutcomes[wagoutcome.Done])
		}
	}
}

// Guards against a harness that finds nothing: each protection that is removed
// is noticed within the seeds, and is not missed when it is there.
func TestRemovedProtectionIsFound(t *testing.T) {
	cases := []struct {
		name     string
		sabotage sabotage
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
			checkFound(t, Config{Steps: testSteps, Faults: c.faults, sabotage: c.sabotage})
		})
	}
	// The lease keeps former owners away so well that the fence alone matters in
	// 5 of 400 runs of four times the steps; 22 is the first seed.
	t.Run("noFence", func(t *testing.T) {
		t.Parallel()
		checkFound(t, Config{Seed: 22, Steps: 4 * testSteps, Faults: []Fault{AnswerLost, Pause}, sabotage: noFence})
	})
}

// checkFound looks for a seed that finds a removed protection, from the first
// one on.
func checkFound(t *testing.T, config Config) {
	const seeds = 200
	first := config.Seed
	for config.Seed < first+seeds {
		if r := Run(config); r.Violation != nil {
			t.Log(r.Violation)
			config.sabotage = none
			if v := Run(config).Violation; v != nil {
				t.Fatalf("with the protection: %v", v)
			}
			return
		}
		config.Seed++
	}
	t.Fatalf("%d seeds find nothing", seeds)
}

// Guards against shrinking that loses the violation or the time line.
func TestShrinkKeepsTheViolation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := Config{Steps: testSteps, Faults: []Fault{ServerDies, ClockSkew}, sabotage: retryAfterUnknown}
	for Run(c).Violation == nil {
		c.Seed++
	}
	v := Shrink(c)
	is.True(v != nil)
	is.True(len(v.Events) > 0)
	is.True(v.RemainingActions < v.PlannedActions)
	fails := func(plan []action) bool {
		one := c
		one.plan = plan
		return Run(one).Violation != nil
	}
	plan := reduce(newPlan(c), fails)
	is.Equal(len(plan), v.RemainingActions)
	for n := range plan {
		less := append([]action{}, plan[:n]...)
		is.True(!fails(append(less, plan[n+1:]...)))
	}
}

// Guards against partitions that stay without an owner, or calls that stay
// without an answer, after the faults have ended. A pause lasts up to a minute;
// 20 s more cover the lease, two checks of it and the take-over.
func TestCallsAreDoneAfterFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkCallsAfterFaults(t, seed)
		})
	}
}

func checkCallsAfterFaults(t *testing.T, seed uint64) {
	const settled = 80 * time.Second
	// The planned calls end after about six minutes; 80,000 steps take over 30.
	c := Config{Seed: seed, Steps: 80000, Faults: AllFaults()}
	full := newPlan(Config{Seed: seed, Steps: 16000, Faults: AllFaults()})
	c.quiet = time.Minute
	for _, a := range full {
		if a.call || a.replace || a.at+a.length < c.quiet {
			c.plan = append(c.plan, a)
		}
	}
	w := newWorld(c)
	w.run()
	calls := 0
	for _, k := range w.callers.calls {
		if k.begun < c.quiet+settled || !k.answered {
			continue
		}
		calls++
		if k.first != wagoutcome.Done {
			t.Errorf("call %d, kind %d, begun at %s, is %s", k.id, k.kind, k.begun, k.first)
		}
	}
	if calls == 0 || w.violation != nil {
		t.Errorf("%d calls, %v", calls, w.violation)
	}
}
