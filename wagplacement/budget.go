package wagplacement

import "time"

// Defaults of the retry budget.
const (
	defaultRatio  = 0.2
	defaultSlack  = 10
	defaultWindow = 10 * time.Second
	// budgetPart is the part of the budget that is used, because other hosts may
	// repeat requests while they cannot reach the owner.
	budgetPart = 0.8
	// noOwnerPart is the part of the ratio that a host uses which decides without the
	// owner. The owner may grant repeats of other hosts meanwhile.
	noOwnerPart = 0.3
	// hedgePart is the part up to which requests are hedged, so that some is left for
	// those that failed.
	hedgePart = 0.5
	// budgetSteps divides the window.
	budgetSteps = 20
)

// budget bounds the repeats within any window.
type budget struct {
	ratio, slack float64
	step         time.Duration
	// steps holds the counts of the current window, the current step last.
	steps [budgetSteps]struct{ firsts, repeats int }
	// begun is when the current step began.
	begun time.Time
}

func newBudget(ratio, slack float64, window time.Duration) budget {
	return budget{ratio: ratio, slack: slack, step: window / budgetSteps}
}

// advance moves the window on.
func (b *budget) advance(now time.Time) {
	if b.begun.IsZero() || now.Sub(b.begun) > 2*budgetSteps*b.step {
		b.steps = [budgetSteps]struct{ firsts, repeats int }{}
		b.begun = now
	}
	for now.Sub(b.begun) >= b.step {
		copy(b.steps[:], b.steps[1:])
		b.steps[budgetSteps-1] = struct{ firsts, repeats int }{}
		b.begun = b.begun.Add(b.step)
	}
}

// first counts a request.
func (b *budget) first(now time.Time) {
	b.advance(now)
	b.steps[budgetSteps-1].firsts++
}

// take counts a repeat if the budget permits it.
func (b *budget) take(now time.Time, r Request) bool {
	b.advance(now)
	firsts, repeats := 0, 0
	for _, s := range b.steps {
		firsts += s.firsts
		repeats += s.repeats
	}
	limit := budgetPart * (b.ratio*float64(firsts) + b.slack)
	if r.OwnerUnreachable {
		limit = noOwnerPart * b.ratio * float64(firsts)
	}
	if r.Hedge {
		limit = min(limit, hedgePart*(b.ratio*float64(firsts)+b.slack))
	}
	if float64(repeats+1) > limit {
		return false
	}
	b.steps[budgetSteps-1].repeats++
	return true
}
