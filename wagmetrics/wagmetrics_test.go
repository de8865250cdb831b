package wagmetrics

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// newFilledMetrics returns metrics with a value for each metric, since a metric without
// values is not gathered.
func newFilledMetrics() *Metrics {
	m := New()
	m.CountRequest("lots", wagdocument.Short, wagoutcome.NotRun, wagoutcome.ReasonQueueFull)
	m.ObserveLatency("lots", wagdocument.Short, time.Second, time.Millisecond)
	m.CountAttempt("lots")
	m.CountRetry("lots")
	m.CountHedge("lots")
	m.CountForward("lots", "owner")
	m.CountViolation("I3")
	m.RegisterGroups(func() map[string]GroupCounts { return map[string]GroupCounts{"lots": {Spilled: 3}} })
	m.AddWaiting("lots", 1)
	m.AddConnections("lots", 1)
	return m
}

// Guards against metric names that break the naming scheme, and against metrics that are
// not registered.
func TestNames(t *testing.T) {
	is := is.New(t)
	m := newFilledMetrics()
	problems, err := testutil.GatherAndLint(m.Gatherer())
	is.NoErr(err)
	is.Equal(len(problems), 0)
	families, err := m.Gatherer().Gather()
	is.NoErr(err)
	is.Equal(len(families), 15)
	violations, err := m.Violations()
	is.NoErr(err)
	is.Equal(violations, map[string]uint64{"I3": 1})
	units := map[string]bool{"total": true, "seconds": true, "calls": true, "connections": true}
	for _, family := range families {
		parts := strings.Split(family.GetName(), "_")
		is.Equal(parts[0], "wagtailspar")   // all names share the prefix
		is.True(len(parts) >= 3)            // noun and unit follow
		is.True(units[parts[len(parts)-1]]) // the last word is a unit
		is.Equal(family.GetType().String() == "COUNTER", parts[len(parts)-1] == "total")
	}
}
