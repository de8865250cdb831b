package wagquota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Load: clusters of requests of small customers. Guards against an extra burst with which
// the requests of a window exceed what is permitted (docs/design/quotas.md, The bound).
func TestExtraBurstStaysWithinSlack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, overage, slack = 5 * time.Second, 0.1, 20.0
		rate, burst := rapid.Float64Range(0.1, 1000).Draw(t, "rate"), rapid.Float64Range(0, 1000).Draw(t, "burst")
		parts := rapid.IntRange(1, 16).Draw(t, "parts")
		debt := float64(parts * DebtLimit(slack, parts))
		admitted := rate*(window+CreditLifetime).Seconds() + burst + ExtraBurst(slack, parts) + debt
		permitted := (rate*window.Seconds()+burst)*(1+overage) + slack
		if admitted > permitted {
			t.Fatalf("%.1f requests of a customer with %.1f a second and a burst of %.1f, %.1f are permitted", admitted, rate, burst, permitted)
		}
	})
}
