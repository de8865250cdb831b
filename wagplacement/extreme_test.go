package wagplacement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against figures of a load report whose sum overflows, so that the server counts as
// idle, and against times that cannot be held.
func TestExtremeReports(t *testing.T) {
	for name, r := range map[string]Report{
		"running":     {Running: math.MaxInt, Slots: 6, Slowness: 1},
		"sum":         {Running: math.MaxInt, Waiting: math.MaxInt, Slots: 6, Slowness: 1},
		"all":         {Running: math.MaxInt, Waiting: math.MaxInt, Slots: math.MaxInt, Slowness: math.MaxFloat64},
		"no number":   {Running: math.MaxInt, Waiting: 1, Slowness: math.NaN()},
		"slow":        {Slots: 6, Slowness: math.MaxFloat64},
		"endless":     {Slots: 6, Slowness: math.Inf(1)},
		"most figure": {Slots: 6, Slowness: math.MaxInt64 / 100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGroup(2, 6)
			for n := range 6 {
				g.scheduler.HandleProbeResult(g.now, "s0", Result{HasReport: true, Report: r})
				g.scheduler.HandleProbeResult(g.now, "s1", Result{HasReport: true, Report: Report{Slots: 6, Slowness: 1}})
				id := g.submit(nil)
				is.Equal(g.granted[id], "s1") // s0 says that it is full or useless
				g.finish(id, FaultNone)
				g.advance(time.Duration(n) * time.Millisecond)
			}
		})
	}
}

// Guards against servers with one slot that get no requests: all of their requests count as
// above the knee, so that the slowdown above it was infinite. On arm64 an infinite time is
// longer than any deadline.
func TestServersWithOneSlot(t *testing.T) {
	is := is.New(t)
	g := newGroup(3, 1)
	for range 5 * minKneeSamples {
		id := g.submit(nil)
		is.True(g.granted[id] != "")
		g.advance(testServiceTime)
		g.finish(id, FaultNone)
		is.True(!math.IsInf(g.scheduler.knee.slowdown(), 0) && !math.IsNaN(g.scheduler.knee.slowdown()))
	}
	is.Equal(g.scheduler.knee.slowdown(), 1.0)
}

// Guards against a wait that is too long to be held and counts as none, so that a request
// waits for servers that have no time for it.
func TestExtremeWait(t *testing.T) {
	for _, holdTime := range []time.Duration{time.Hour, 100 * 365 * 24 * time.Hour} {
		t.Run(fmt.Sprint(holdTime), func(t *testing.T) {
			is := is.New(t)
			g := newGroup(1, 1)
			g.submit(nil)
			g.scheduler.load.meanHoldTime = holdTime
			var last RequestID
			for range 100 {
				last = g.submit(nil)
			}
			_, refused := g.refused[last]
			is.True(refused)
		})
	}
}
