package wagmesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagroster"
)

// applyTimeout is the time within which a change has to be in force (configApplyMs).
const applyTimeout = wagroster.DefaultApplyTimeout

// changeOffsets are the times of a change, from the beginning of a disruption.
var changeOffsets = []time.Duration{0, 260 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond, 2100 * time.Millisecond}

// Guards against a data centre that keeps an old configuration while its relay is cut off
// from the store and from the other data centres: the relay took a request to the store
// that was in flight for a confirmation of its copy and passed that on (review/3).
func TestRelayIsCutOffFromStoreAndOtherDataCentres(t *testing.T) {
	for _, offset := range changeOffsets {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			runSite(t, 6, threeDataCentres, func(s *site) {
				is := is.New(t)
				sleep(5 * time.Second)
				for _, dataCentre := range threeDataCentres {
					relay := s.ranked(dataCentre)[0]
					s.setIsolated(relay, true)
					sleep(offset)
					at := s.store.put()
					is.True(s.reachesAll(at, relay, applyTimeout))
					s.setIsolated(relay, false)
					sleep(10 * time.Second)
					is.Equal(len(s.followers()), 1)
				}
			})
		})
	}
}
