package wagplacement

import "time"

// Defaults and shares of the retry budget.
const (
	defaultRetryRatio  = 0.2
	defaultRetrySlack  = 10
	defaultRetryWindow = 10 * time.Second
	// ownerBudgetShare is the share of the budget that the owner uses. The rest is for
	// hosts that repeat requests while they cannot reach the owner.
	ownerBudgetShare = 0.8
	// noOwnerRatioShare is the share of the ratio that a host uses while it cannot reach
	// the owner. It uses none of the slack, because the owner may grant repeats of other
	// hosts meanwhile.
	noOwnerRatioShare = 0.3
	// hedgeBudgetShare is the share of the budget up to which requests are hedged, so
	// that some is left for requests that failed.
	hedgeBudgetShare = 0.5
	// budgetBuckets is the number of buckets in the window.
	budgetBuckets = 20
)

// retryBudget limits the repeats of requests within a sliding window.
type retryBudget struct {
	ratio, slack   float64
	bucketDuration time.Duration
	// buckets holds the counts of the current window, the current bucket last.
	buckets [budgetBuckets]struct{ firsts, repeats int }
	// bucketStart is when the current bucket began.
	bucketStart time.Time
}

func newRetryBudget(ratio, slack float64, window time.Duration) retryBudget {
	return retryBudget{ratio: ratio, slack: slack, bucketDuration: window / budgetBuckets}
}

// advance moves the window to now.
func (b *retryBudget) advance(now time.Time) {
	if b.bucketStart.IsZero() || now.Sub(b.bucketStart) > 2*budgetBuckets*b.bucketDuration {
		b.buckets = [budgetBuckets]struct{ firsts, repeats int }{}
		b.bucketStart = now
	}
	for now.Sub(b.bucketStart) >= b.bucketDuration {
		copy(b.buckets[:], b.buckets[1:])
		b.buckets[budgetBuckets-1] = struct{ firsts, repeats int }{}
		b.bucketStart = b.bucketStart.Add(b.bucketDuration)
	}
}

// countRequest counts the first attempt of a request.
func (b *retryBudget) countRequest(now time.Time) {
	b.advance(now)
	b.buckets[budgetBuckets-1].firsts++
}

// takeRepeat counts a repeat and returns true if the budget allows it.
func (b *retryBudget) takeRepeat(now time.Time, r Request) bool {
	b.advance(now)
	firsts, repeats := 0, 0
	for _, s := range b.buckets {
		firsts += s.firsts
		repeats += s.repeats
	}
	limit := ownerBudgetShare * (b.ratio*float64(firsts) + b.slack)
	if r.OwnerUnreachable {
		limit = noOwnerRatioShare * b.ratio * float64(firsts)
	}
	if r.Hedge {
		limit = min(limit, hedgeBudgetShare*(b.ratio*float64(firsts)+b.slack))
	}
	if float64(repeats+1) > limit {
		return false
	}
	b.buckets[budgetBuckets-1].repeats++
	return true
}
