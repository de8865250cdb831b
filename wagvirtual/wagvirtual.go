// Package wagvirtual runs planned events in the order of a virtual time, for
// simulations. It is not safe for concurrent use.
package wagvirtual

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at time.Time
	// number orders events of the same time by when they were planned.
	number uint64
	run    func()
}

type events []*event

var _ heap.Interface = (*events)(nil)

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].number < e[j].number
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return last
}

// Clock is a virtual time and what is planned. It moves only when events run.
type Clock struct {
	now     time.Time
	events  events
	planned uint64
}

// New returns a time that begins at start.
func New(start time.Time) *Clock { return &Clock{now: start} }

// Now returns the time of the event that runs, or of the latest one.
func (t *Clock) Now() time.Time { return t.now }

// ScheduleAfter plans an event by its distance from now.
func (t *Clock) ScheduleAfter(d time.Duration, run func()) { t.ScheduleAt(t.now.Add(d), run) }

// ScheduleAt plans an event. Events of the same time run in the order in which they were
// planned.
func (t *Clock) ScheduleAt(at time.Time, run func()) {
	t.planned++
	heap.Push(&t.events, &event{at: at, number: t.planned, run: run})
}

// NextEventTime returns the time of the next event; ok is false when none is planned.
func (t *Clock) NextEventTime() (at time.Time, ok bool) {
	if len(t.events) == 0 {
		return at, false
	}
	return t.events[0].at, true
}

// Step runs the next event and tells whether there was one.
func (t *Clock) Step() bool {
	if len(t.events) == 0 {
		return false
	}
	e := heap.Pop(&t.events).(*event)
	t.now = e.at
	e.run()
	return true
}

// AdvanceTo moves the time on to an event that was not planned. It must not pass one
// that is.
func (t *Clock) AdvanceTo(to time.Time) { t.now = to }
