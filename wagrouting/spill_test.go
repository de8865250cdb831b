package wagrouting

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

// busyScheduler returns a scheduler with two slots, both in use, where one
// request waits and requests take 20 ms.
func busyScheduler(t *testing.T) *Scheduler {
	sc := newScheduler(t, 1, "", WithDataCentre("a"))
	for i := range 40 {
		sc.Submit(after(20*i), newRequest(i, 100000))
		sc.FinishAttempt(after(20*i+20), RequestID(i), Result{}, nil)
	}
	is.New(t).Equal(fillSlots(sc, after(800), 100), 2)
	return sc
}

// Guards against spilling requests that gain nothing by it, against spilling more
// than the document permits or on old summaries, and against forwarding a request
// twice.
func TestSpill(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(t, 1, "", WithDataCentre("a"))
	sc.Submit(start, newRequest(1, 100000))
	sc.FinishAttempt(after(20), 1, Result{}, nil)
	fillSlots(sc, after(20), 10)
	forwarded := func(from, ms, count int) int {
		n := 0
		for i := range count {
			req := newRequest(from+i, 10000)
			if _, ok := sc.Submit(after(ms), req).(Forward); ok {
				n++
			}
		}
		return n
	}
	sc.SetRemoteSummary(after(20), "b", Summary{ExpectedWait: time.Second, Slots: 10, HealthyServers: 5, ServiceTime: 20 * time.Millisecond})
	is.Equal(forwarded(100, 20, 20), 0)
	free := Summary{FreeSlots: 1000, Slots: 2000, HealthyServers: 1000, ServiceTime: 20 * time.Millisecond}
	forwards := []int{}
	for i := range 5 {
		ms := 200 + 110*i
		sc.SetRemoteSummary(after(ms), "b", free)
		forwards = append(forwards, forwarded(1000*(i+1), ms, 20))
	}
	// The 24 requests before earned the credit for 12 spills, and each new
	// request earns half a spill.
	is.Equal(forwards, []int{20, 12, 10, 10, 10})
	pinned := newRequest(9000, 10000)
	pinned.Pinned = true
	is.Equal(sc.Submit(after(700), pinned), Wait{})
	is.Equal(forwarded(9100, 3000, 20), 0)
	sc.SetServers(after(6000), nil)
	sc.SetRemoteSummary(after(6000), "b", free)
	is.Equal(sc.Submit(after(6000), newRequest(9500, 10000)), Forward{DataCentre: "b"})
}

// Guards against a group that sends all its excess to another one between two
// summaries of it, so that the groups overload each other in turn.
func TestSpillCountsRequestsSinceSummary(t *testing.T) {
	is := is.New(t)
	sc := busyScheduler(t)
	sc.SetRemoteSummary(after(800), "b", Summary{FreeSlots: 4, Slots: 8, HealthyServers: 4, ServiceTime: 20 * time.Millisecond})
	stayed := func(from, ms int) (list []int) {
		for i := range 12 {
			if _, ok := sc.Submit(after(ms), newRequest(from+i, 10000)).(Forward); !ok {
				list = append(list, i)
			}
		}
		return list
	}
	// One request waits already, so the expected wait is 20 ms here. There it is
	// 15 ms after 7 requests, and the link costs the rest.
	is.Equal(stayed(200, 800), []int{7})
}

// Guards against spilling over a link that is slower than the document says, and
// against never trying that link again.
func TestSpillAvoidsSlowLink(t *testing.T) {
	is := is.New(t)
	sc := busyScheduler(t)
	spills := func(id, ms int) bool {
		sc.SetRemoteSummary(after(ms), "b", Summary{FreeSlots: 40, Slots: 80, HealthyServers: 40, ServiceTime: 20 * time.Millisecond})
		_, ok := sc.Submit(after(ms), newRequest(id, 100000)).(Forward)
		sc.Cancel(RequestID(id))
		return ok
	}
	is.True(spills(200, 800))
	sc.RecordSpill(after(850), "b", 22*time.Millisecond)
	is.True(spills(201, 850))
	for range 10 {
		sc.RecordSpill(after(900), "b", 120*time.Millisecond)
	}
	is.True(!spills(202, 900))
	for i := range 100 {
		sc.Tick(after(900+110*i), nil)
	}
	is.True(spills(203, 12000))
}

// Guards against a link that counts as slow because one long request came on a
// route of short ones, as with seed 86 of the replays.
func TestLongSpilledRequestHardlyCounts(t *testing.T) {
	is := is.New(t)
	sc := busyScheduler(t)
	sc.SetRemoteSummary(after(800), "b", Summary{FreeSlots: 40, Slots: 80, HealthyServers: 40, ServiceTime: 20 * time.Millisecond})
	sc.RecordSpill(after(850), "b", 2*time.Second)
	is.Equal(sc.Submit(after(850), newRequest(200, 100000)), Forward{DataCentre: "b"})
}

// Guards against queued long requests that keep other data centres from spilling
// short ones to this one, although short requests do not wait behind them, as
// with seed 86 of the replays.
func TestSummaryCoversShortRequestsOnly(t *testing.T) {
	is := is.New(t)
	sc := busyScheduler(t)
	before := sc.Summary(after(800)).ExpectedWait
	for i := range 10 {
		req := newRequest(200+i, 100000)
		req.Class = wagdocument.Long
		is.Equal(sc.Submit(after(800), req), Wait{})
	}
	is.Equal(sc.Summary(after(800)).ExpectedWait, before)
}
