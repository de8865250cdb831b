package wagtimeline

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagevent"
)

// hostLog holds the log lines of three hosts as an operator collects them: with a
// prefix, a line of another program and a truncated line.
const hostLog = `12:00:01 a1 {"time":"2026-12-04T12:00:01.000Z","level":"info","msg":"config","event":"inForce","host":"a1","version":4}
{"time":"2026-12-04T12:00:02.000Z","level":"info","msg":"server","event":"live","host":"a1","server":"i-1","service":"lots"}
{"time":"2026-12-04T12:00:03.000Z","level":"info","msg":"server","event":"live","host":"a1","server":"i-2","service":"lots"}
some other program
{"time":"2026-12-04T12:00:09.200Z","level":"info","msg":"request","host":"a1","request":"r1","caller":"10.0.0.9:1","server":"i-1","service":"lots","outcome":"failed","reason":"deadline","status":504,"tookMs":1000}
{"time":"2026-12-04T12:00:08.205Z","level":"info","msg":"grant","host":"a2","request":"r1","server":"i-1","service":"lots","reportAgeMs":2.5}
{"time":"2026-12-04T12:00:07.000Z","level":"info","msg":"attempt","host":"a3","request":"r0","server":"i-1","service":"lots","fault":"timeout"}
{"time":"2026-12-04T12:00:07.000Z","level":"info","msg":"attempt","host":"a3","request":"r9","server":"i-2","service":"lots","fault":"timeout"}
{"time":"2026-12-04T12:00:09.300Z","level":"warning","msg":"store","host":"a1","error":"late"}
{"time":"2026-12-04T12:00:09.4`

// Guards against a request that can't be traced because the logs also hold other
// lines, and against events after the request that are listed as its causes.
func TestExplain(t *testing.T) {
	is := is.New(t)
	events, skipped, err := ReadLog(strings.NewReader(hostLog))
	is.NoErr(err)
	is.Equal(skipped, 2)
	is.Equal(len(events), 8)
	requestEvents, precedingEvents := Explain(events, "r1")
	is.Equal(len(requestEvents), 2)
	is.Equal(requestEvents[0], wagevent.Event{
		Time: time.Date(2026, 12, 4, 12, 0, 8, 205_000_000, time.UTC), Sequence: 1, Host: "a2", Kind: "grant", Service: "lots", Server: "i-1",
		Request: "r1", Detail: "reportAgeMs=2.5",
	})
	is.Equal(requestEvents[1].Detail, "outcome=failed reason=deadline status=504 tookMs=1000")
	is.Equal(len(precedingEvents), 3) // the configuration, server i-1 and r0; neither i-2 nor the later store error
	is.Equal(precedingEvents[0].Detail, "event=inForce version=4")
	is.Equal(precedingEvents[1].Server, "i-1")
	is.Equal(precedingEvents[2].Request, "r0")
	for _, e := range precedingEvents {
		is.True(slices.Contains(events, e)) // an event is returned unchanged
	}
	requestEvents, _ = Explain(events, "r2")
	is.Equal(len(requestEvents), 0)
}
