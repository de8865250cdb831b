package wagquota

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

// bucket is a token bucket. Its tokens may be negative.
type bucket struct {
	tokens float64
	at     time.Time
}

// refill adds the tokens since the latest call, up to capacity.
func (b *bucket) refill(now time.Time, rate, capacity float64) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.tokens += rate * elapsed
		b.at = now
	}
	b.tokens = min(b.tokens, capacity)
}

// untilOne returns how long it takes until the bucket has a token.
func (b *bucket) untilOne(rate float64) time.Duration {
	switch {
	case b.tokens >= 1:
		return 0
	case rate <= 0:
		return uncountedOutTime
	default:
		return min(wagclock.FromNanoseconds((1-b.tokens)/rate*float64(time.Second)), maxOutTime-time.Millisecond) + time.Millisecond
	}
}

// maxOutTime bounds how long a part refuses without asking again, in case the limit is
// raised. A customer with a rate below 1/maxOutTime is asked about more often.
const maxOutTime = 5 * time.Second

// uncountedOutTime is how long a part refuses while no part is counted, as after the start
// of a coordinator.
const uncountedOutTime = 50 * time.Millisecond
