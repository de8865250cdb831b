package wagplacement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against waits that are estimated too short, so that requests are queued that
// cannot be served in time: grants that a host gives back at once, because it has no
// connection left, counted as requests that hold a slot for hardly any time.
func TestGrantsGivenBackDoNotShortenWaits(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 6)
	for range 100 {
		id := g.submit(nil)
		g.now = g.now.Add(time.Millisecond)
		g.scheduler.FinishAttempt(g.now, id, Result{Fault: FaultCanceled})
	}
	is.Equal(g.scheduler.load.meanHoldTime, testServiceTime)
	// A caller that left late shows that slots are held for at least that long.
	id := g.submit(nil)
	g.now = g.now.Add(2 * testServiceTime)
	g.scheduler.FinishAttempt(g.now, id, Result{Fault: FaultCanceled})
	is.True(g.scheduler.load.meanHoldTime > testServiceTime)
}
