package wagowner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagplacement"
)

// Guards against a rate that does not reach the schedulers, of groups that exist and of
// those that are created later, and against a bound that the settings do not ask for.
func TestColdRates(t *testing.T) {
	const requests = 5
	for name, test := range map[string]struct {
		limits  Limits
		rates   map[string]float64
		bounded bool
	}{
		"bounded":     {Limits{ColdOverage: 1.5, ColdSlack: 8}, map[string]float64{"lots": 4.3}, true},
		"no settings": {Limits{}, map[string]float64{"lots": 4.3}, false},
		"no rate":     {Limits{ColdOverage: 1.5, ColdSlack: 8}, map[string]float64{"other": 4.3}, false},
	} {
		t.Run(name, func(t *testing.T) {
			runOwner(t, &prober{}, func(is *is.I, o *Owner) {
				o.limits = test.limits
				o.SetColdRates(test.rates)
				list := servers(map[string]int{"a": 1})
				list[0].ColdUntil = time.Now().Add(3 * time.Second)
				o.SetServers(list)
				is.Equal(o.ColdServers(), 1)
				start := time.Now()
				for range requests {
					x, ok := o.Place(context.Background(), "lots", wagplacement.Request{Route: "status", Goal: start.Add(5 * time.Second), Deadline: start.Add(9 * time.Second)}).(Granted)
					is.True(ok)
					x.Finish(wagplacement.Result{})
				}
				// The bucket is empty at the start, so that 5 requests take 5 / 4.3 s.
				is.Equal(time.Since(start) > time.Second, test.bounded)
				is.True(time.Since(start) < 1300*time.Millisecond)
			})
		})
	}
}
