// Package wagvirtual provides a virtual clock for discrete-event simulations. It is
// not safe for concurrent use.
package wagvirtual

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time.
type event struct {
	at time.Time
	// sequence orders events of the same time by the order of their scheduling.
	sequence uint64
	run      func()
}

type eventQueue []*event

var _ heap.Interface = (*eventQueue)(nil)

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventQueue) Push(x any) { *e = append(*e, x.(*event)) }

func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return last
}

// Clock is a virtual clock with a queue of scheduled events. It moves to the time of
// each event that Step runs, and by AdvanceTo.
type Clock struct {
	now          time.Time
	queue        eventQueue
	lastSequence uint64
}

// New returns a clock that shows start and has no events.
func New(start time.Time) *Clock { return &Clock{now: start} }

// Now returns the virtual time. While an event runs, it is the time of that event.
func (c *Clock) Now() time.Time { return c.now }

// ScheduleAfter schedules an event at d after the current virtual time.
func (c *Clock) ScheduleAfter(d time.Duration, run func()) { c.ScheduleAt(c.now.Add(d), run) }

// ScheduleAt schedules an event. Events of the same time run in the order in which
// they were scheduled.
func (c *Clock) ScheduleAt(at time.Time, run func()) {
	c.lastSequence++
	heap.Push(&c.queue, &event{at: at, sequence: c.lastSequence, run: run})
}

// NextEventTime returns the time of the next event; ok is false when none is
// scheduled.
func (c *Clock) NextEventTime() (at time.Time, ok bool) {
	if len(c.queue) == 0 {
		return at, false
	}
	return c.queue[0].at, true
}

// Step moves the clock to the time of the next event and runs it. It reports whether
// there was one.
func (c *Clock) Step() bool {
	if len(c.queue) == 0 {
		return false
	}
	e := heap.Pop(&c.queue).(*event)
	c.now = e.at
	e.run()
	return true
}

// AdvanceTo moves the clock to a time without running an event. It must not pass the
// time of a scheduled event.
func (c *Clock) AdvanceTo(to time.Time) { c.now = to }
