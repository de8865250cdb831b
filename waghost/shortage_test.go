package waghost

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/wagtailspar/wagtailspar/waggateway"
	"github.com/wagtailspar/wagtailspar/waglog"
	"github.com/wagtailspar/wagtailspar/wagmetrics"
	"github.com/wagtailspar/wagtailspar/wagmirror"
)

// Guards against a log line for each refused caller, against a shortage that ends while
// callers are refused, and against counts that continue in the next one.
func TestShortages(t *testing.T) {
	is := is.New(t)
	s, now := newShortages(), time.Unix(1000, 0)
	_, ended := s.end(now)
	is.True(!ended)
	is.True(s.record(now, "memory"))
	for range 5 {
		now = now.Add(shortageEndDelay - time.Millisecond)
		_, ended = s.end(now)
		is.True(!ended)
		is.True(!s.record(now, "connections"))
	}
	over, ended := s.end(now.Add(shortageEndDelay))
	is.True(ended)
	is.Equal(over, shortage{duration: 5 * (shortageEndDelay - time.Millisecond), refused: map[string]uint64{"memory": 1, "connections": 5}})
	_, ended = s.end(now.Add(2 * shortageEndDelay))
	is.True(!ended)
	is.True(s.record(now.Add(time.Hour), "memory"))
	over, _ = s.end(now.Add(2 * time.Hour))
	is.Equal(over, shortage{refused: map[string]uint64{"memory": 1}})
}

// Guards against requests that are refused for lack of connections to servers without a
// counter or a line of the log, and against other refusals that look like a shortage.
func TestShortageIsLoggedAndCounted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, metrics, now := waglog.New(&out, "edge-1"), wagmetrics.NewSiteMetrics(), time.Unix(1000, 0)
	o := observer{log: log, metrics: metrics, shortages: newShortages(), now: func() time.Time { return now }, copyState: func() (wagmirror.Position, time.Duration) { return wagmirror.Position{}, 0 }}
	o.RequestEnded(waggateway.RequestResult{Outcome: waggateway.OutcomeRefused, Reason: "overload"})
	is.Equal(testutil.CollectAndCount(metrics.CallersRefused), 0)
	for range 3 {
		o.RequestEnded(waggateway.RequestResult{Outcome: waggateway.OutcomeRefused, Reason: waggateway.ReasonTooManyConnections})
	}
	is.Equal(testutil.ToFloat64(metrics.CallersRefused.WithLabelValues(causeServerConnections)), 3.0)
	o.CallerRefused(waggateway.CauseMemory)
	o.CallerRefused(waggateway.CauseHeadTooLong)
	is.Equal(testutil.ToFloat64(metrics.CallersRefused.WithLabelValues(string(waggateway.CauseMemory))), 1.0)
	is.Equal(testutil.ToFloat64(metrics.CallersRefused.WithLabelValues(string(waggateway.CauseHeadTooLong))), 1.0)
	o.logEndOfShortage()
	now = now.Add(shortageEndDelay)
	o.logEndOfShortage()
	o.logEndOfShortage()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(log.Run(ctx)) // writes the lines
	is.Equal(strings.Count(out.String(), `"event":"shortage"`), 1)
	is.Equal(strings.Count(out.String(), `"event":"shortageOver"`), 1)
	is.True(strings.Contains(out.String(), `"refused":4`))
}
