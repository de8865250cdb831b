package wagexplore

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Summary holds the results of several runs.
type Summary struct {
	Seeds, Steps int
	Counts       Counts
	// Violation is the one of the lowest seed that has any.
	Violation *Violation
}

// RunMany runs the configuration with the given number of seeds, starting at c.Seed, and
// up to parallel of them at once. The summary does not depend on the order in which the
// runs end.
func RunMany(ctx context.Context, c Config, seeds, parallel int) (s Summary, err error) {
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(parallel, 1))
	for n := range seeds {
		config := c
		config.Seed += uint64(n)
		g.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			r := Run(config)
			mu.Lock()
			defer mu.Unlock()
			s.add(r)
			return nil
		})
	}
	return s, g.Wait()
}

func (s *Summary) add(r Result) {
	s.Seeds++
	s.Steps += r.Steps
	s.Counts.Add(r.Counts)
	if r.Violation != nil && (s.Violation == nil || r.Violation.Seed < s.Violation.Seed) {
		s.Violation = r.Violation
	}
}

// shrinkRuns bounds the runs of one Shrink.
const shrinkRuns = 400

// Shrink repeats a run that violates an invariant with ever fewer of its planned
// requests and faults. It returns the violation of the smallest plan that it finds,
// with the events before it. That plan may violate another invariant than the full one.
func Shrink(c Config) *Violation {
	plan := newPlan(c)
	planned := len(plan)
	c.requestPlan = plan
	fails := func(candidate []action) bool {
		config := c
		config.requestPlan = candidate
		return Run(config).Violation != nil
	}
	c.requestPlan = reduce(plan, fails)
	c.recordEvents = true
	v := Run(c).Violation
	if v != nil {
		v.RemainingActions, v.PlannedActions = len(c.requestPlan), planned
	}
	return v
}

// reduce removes parts of a plan as long as the rest still fails: first halves, then
// ever smaller parts and at last single actions.
func reduce(plan []action, fails func([]action) bool) []action {
	runs := 0
	for size := (len(plan) + 1) / 2; size > 0; {
		dropped := false
		for from := 0; from < len(plan) && runs < shrinkRuns; {
			candidate := append([]action(nil), plan[:from]...)
			candidate = append(candidate, plan[min(from+size, len(plan)):]...)
			runs++
			if len(candidate) > 0 && fails(candidate) {
				plan, dropped = candidate, true
				continue
			}
			from += size
		}
		if !dropped || size > 1 {
			size /= 2
		}
		if runs >= shrinkRuns {
			return plan
		}
	}
	return plan
}
