package wagexplore

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Summary is what many runs did.
type Summary struct {
	Seeds, Steps int
	Counts       Counts
	// Violation is that of the smallest seed that has one.
	Violation *Violation
}

// RunMany runs seeds first to first+seeds-1, several at once. The summary does
// not depend on the order in which they end.
func RunMany(ctx context.Context, c Config, seeds, parallel int) (s Summary, err error) {
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(parallel, 1))
	for n := range seeds {
		one := c
		one.Seed += uint64(n)
		g.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			r := Run(one)
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

// shrinkRuns bounds the runs that shrinking may take.
const shrinkRuns = 400

// Shrink repeats a run that breaks an invariant with fewer and fewer planned
// calls and faults, and returns the violation of the smallest plan found, with
// its time line. A smaller plan may break another invariant than the first.
func Shrink(c Config) *Violation {
	plan := newPlan(c)
	planned := len(plan)
	c.plan = plan
	fails := func(candidate []action) bool {
		one := c
		one.plan = candidate
		return Run(one).Violation != nil
	}
	c.plan = reduce(plan, fails)
	c.trace = true
	v := Run(c).Violation
	if v != nil {
		v.RemainingActions, v.PlannedActions = len(c.plan), planned
	}
	return v
}

// reduce drops pieces of the plan, half of it first and single actions last, as
// long as what is left still fails.
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
