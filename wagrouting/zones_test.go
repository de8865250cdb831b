package wagrouting

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

// full returns a group of two slots, both in use, where one call waits and work
// takes 20 ms.
func full(t *testing.T) *Scheduler {
	c := group(t, 1, "", WithDataCentre("a"))
	for i := range 40 {
		c.Submit(at(20*i), call(i, 100000))
		c.FinishAttempt(at(20*i+20), RequestID(i), Result{}, nil)
	}
	is.New(t).Equal(fill(c, at(800), 100), 2)
	return c
}

// Guards against calls that leave although they gain nothing, against more
// spilling than the document permits, or on old summaries, and against calls that
// are forwarded twice.
func TestSpill(t *testing.T) {
	is := is.New(t)
	c := group(t, 1, "", WithDataCentre("a"))
	c.Submit(start, call(1, 100000))
	c.FinishAttempt(at(20), 1, Result{}, nil)
	fill(c, at(20), 10)
	forwarded := func(from, ms, calls int) int {
		n := 0
		for i := range calls {
			x := call(from+i, 10000)
			if _, ok := c.Submit(at(ms), x).(Forward); ok {
				n++
			}
		}
		return n
	}
	c.SetRemoteSummary(at(20), "b", Summary{ExpectedWait: time.Second, Slots: 10, HealthyServers: 5, ServiceTime: 20 * time.Millisecond})
	is.Equal(forwarded(100, 20, 20), 0)
	free := Summary{FreeSlots: 1000, Slots: 2000, HealthyServers: 1000, ServiceTime: 20 * time.Millisecond}
	shares := []int{}
	for i := range 5 {
		ms := 200 + 110*i
		c.SetRemoteSummary(at(ms), "b", free)
		shares = append(shares, forwarded(1000*(i+1), ms, 20))
	}
	// Half of the 24 calls before may spill later, and half of these.
	is.Equal(shares, []int{20, 12, 10, 10, 10})
	pinned := call(9000, 10000)
	pinned.Pinned = true
	is.Equal(c.Submit(at(700), pinned), Wait{})
	is.Equal(forwarded(9100, 3000, 20), 0)
	c.SetServers(at(6000), nil)
	c.SetRemoteSummary(at(6000), "b", free)
	is.Equal(c.Submit(at(6000), call(9500, 10000)), Forward{DataCentre: "b"})
}

// Guards against a group that sends all its excess to another one between two
// summaries of it, so that the groups are overloaded in turn.
func TestSpillCountsWhatItSent(t *testing.T) {
	is := is.New(t)
	c := full(t)
	c.SetRemoteSummary(at(800), "b", Summary{FreeSlots: 4, Slots: 8, HealthyServers: 4, ServiceTime: 20 * time.Millisecond})
	stayed := func(from, ms int) (list []int) {
		for i := range 12 {
			if _, ok := c.Submit(at(ms), call(from+i, 10000)).(Forward); !ok {
				list = append(list, i)
			}
		}
		return list
	}
	// One call waits already, so that the expected wait is 20 ms here. There it is
	// 15 ms after 7 calls, and the link costs the rest.
	is.Equal(stayed(200, 800), []int{7})
}

// Guards against spilling over a link that is slower than the document says, and
// against a link that is not tried again.
func TestSpillLearnsWhatItLost(t *testing.T) {
	is := is.New(t)
	c := full(t)
	spills := func(id, ms int) bool {
		c.SetRemoteSummary(at(ms), "b", Summary{FreeSlots: 40, Slots: 80, HealthyServers: 40, ServiceTime: 20 * time.Millisecond})
		_, ok := c.Submit(at(ms), call(id, 100000)).(Forward)
		c.Cancel(RequestID(id))
		return ok
	}
	is.True(spills(200, 800))
	c.RecordSpill(at(850), "b", 22*time.Millisecond)
	is.True(spills(201, 850))
	for range 10 {
		c.RecordSpill(at(900), "b", 120*time.Millisecond)
	}
	is.True(!spills(202, 900))
	for i := range 100 {
		c.Tick(at(900+110*i), nil)
	}
	is.True(spills(203, 12000))
}

// Guards against a link that is taken to be slow because a call that came on a route
// of short work was long: seed 86 of the replays.
func TestLongSpilledCallTellsLittle(t *testing.T) {
	is := is.New(t)
	c := full(t)
	c.SetRemoteSummary(at(800), "b", Summary{FreeSlots: 40, Slots: 80, HealthyServers: 40, ServiceTime: 20 * time.Millisecond})
	c.RecordSpill(at(850), "b", 2*time.Second)
	is.Equal(c.Submit(at(850), call(200, 100000)), Forward{DataCentre: "b"})
}

// Guards against waiting long work that keeps short work of other data centres away,
// although short work does not wait behind it: seed 86 of the replays.
func TestSummaryOfShortWorkOnly(t *testing.T) {
	is := is.New(t)
	c := full(t)
	before := c.Summary(at(800)).ExpectedWait
	for i := range 10 {
		x := call(200+i, 100000)
		x.Class = wagdocument.Long
		is.Equal(c.Submit(at(800), x), Wait{})
	}
	is.Equal(c.Summary(at(800)).ExpectedWait, before)
}
