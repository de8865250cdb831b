package wagdemo

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagreplay"
	"github.com/wagtailspar/wagtailspar/wagtrace"
)

// Guards against recorded traces that a replay rejects, or that lack requests, servers
// or faults of the demonstration.
func TestRecordedTrace(t *testing.T) {
	is := is.New(t)
	r, err := New(WithDuration(time.Second)).Run(t.Context())
	is.NoErr(err)
	for service, faults := range map[string][]wagtrace.FaultKind{
		"ordering": {wagtrace.FaultSlow, wagtrace.FaultDrain},
		"patterns": {wagtrace.FaultFailFast},
	} {
		var text bytes.Buffer
		is.NoErr(wagtrace.Write(&text, r.Traces[service]))
		recorded, err := wagtrace.Read(service, &text)
		is.NoErr(err)
		is.Equal(len(recorded.Header.Servers), serversPerDataCentre*len(defaultDataCentres))
		is.Equal(len(recorded.Requests), len(r.Traces[service].Requests))
		is.True(len(recorded.Requests) > 0)
		var kinds []wagtrace.FaultKind
		for _, f := range recorded.Faults {
			is.True(f.Until.After(f.From))
			kinds = append(kinds, f.Kind)
		}
		is.Equal(kinds, faults)
		d, err := wagreplay.DefaultDocument(recorded)
		is.NoErr(err)
		result, err := wagreplay.Run(wagreplay.Config{Trace: recorded, Document: d, Policy: wagreplay.GroupOwner, Hosts: 2, Seed: 1})
		is.NoErr(err)
		is.Equal(result.Metrics["violations"], 0.0)
		is.Equal(int(result.Metrics["calls.done"]+result.Metrics["calls.late"]+result.Metrics["calls.notRun"]+
			result.Metrics["calls.failed"]+result.Metrics["calls.broken"]), len(recorded.Requests))
	}
}
