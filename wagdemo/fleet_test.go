package wagdemo

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagevent"
)

// Guards against accepted changes that do not come into force, or that revert, while
// hosts restart and the store fails.
func TestFleetKeepsInvariants(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := New(WithHosts(4), WithDataCentres(2), WithChanges(10), WithDuration(3*time.Second)).RunFleet(ctx)
	is.NoErr(err)
	for _, i := range r.Invariants {
		is.Equal(i.Violations, nil)
	}
	is.Equal(len(r.RolloutTimes)+len(r.OutageRolloutTimes), 10)
	is.True(r.Restarts > 0)
	is.True(r.Idle.MeanBytesPerSecond > 0)
}

// Guards against a report that misses revisions that revert or hosts that lag.
func TestFleetReportFindsViolations(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	inForce := func(seconds int, revision string) wagevent.Event {
		return wagevent.Event{Time: at(seconds), Kind: wagevent.KindDocument, Service: "ordering", Detail: "revision " + revision + " in force"}
	}
	f := &fleet{runs: []hostRun{
		{host: "a", startedAt: start, events: []wagevent.Event{inForce(1, "5"), inForce(3, "7"), inForce(4, "6")}},
		{host: "b", startedAt: start, events: []wagevent.Event{inForce(1, "5")}},
		{host: "c", startedAt: at(3), events: []wagevent.Event{inForce(4, "5"), inForce(6, "7")}},
		{host: "d", startedAt: start, endedAt: at(2), events: []wagevent.Event{inForce(1, "5")}},
		{host: "e", startedAt: at(3), events: []wagevent.Event{inForce(9, "7")}},
	}}
	is.Equal(len(f.reversions()), 1)
	last, lagging := f.inForceEverywhere(fleetChange{service: "ordering", revision: 7, accepted: at(2)})
	is.Equal(lagging, []string{"b"})
	is.Equal(last, at(6))
}

// Guards against a p99 of a few values that leaves out the slowest one.
func TestQuantile(t *testing.T) {
	is := is.New(t)
	times := []time.Duration{4, 1, 3, 2}
	is.Equal(quantileOf(times, 0.5), time.Duration(2))
	is.Equal(quantileOf(times, 0.99), time.Duration(4))
	is.Equal(quantileOf(nil, 0.99), time.Duration(0))
}
