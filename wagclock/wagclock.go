// Package wagclock provides the time sources of the program.
package wagclock

import (
	"context"
	"sync"
	"time"
)

// MaxSkew is the greatest difference between the clocks of two hosts or servers that
// leases, dispatch deadlines and token expiry rely on.
const MaxSkew = 250 * time.Millisecond

// Clock tells the time and waits for deadlines.
type Clock interface {
	Now() time.Time
	// TimerAt returns a channel that receives once the deadline has passed, and a
	// function that releases the timer.
	TimerAt(deadline time.Time) (<-chan time.Time, func())
}

// Wait waits for a deadline and reports whether ctx was still live then.
func Wait(ctx context.Context, c Clock, deadline time.Time) bool {
	fired, release := c.TimerAt(deadline)
	defer release()
	select {
	case <-ctx.Done():
		return false
	case <-fired:
		return true
	}
}

// Earlier returns the earlier one of two times.
func Earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Later returns the later one of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

var (
	_ Clock = System{}
	_ Clock = (*Manual)(nil)
)

// System is the clock of the operating system.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time {
	return time.Now()
}

// TimerAt waits on a timer of the runtime.
func (System) TimerAt(deadline time.Time) (<-chan time.Time, func()) {
	t := time.NewTimer(time.Until(deadline))
	return t.C, func() { t.Stop() }
}

// Manual is a clock for tests that moves only when it is told to.
type Manual struct {
	mu sync.Mutex
	// now never decreases.
	now time.Time
	// waits holds the timers that have not fired.
	waits map[*manualTimer]struct{}
}

type manualTimer struct {
	deadline time.Time
	fired    chan time.Time
}

// NewManual returns a clock that stands at start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, waits: make(map[*manualTimer]struct{})}
}

// Now returns the time the clock was last moved to.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// TimerAt fires when the clock is moved to the deadline or past it.
func (m *Manual) TimerAt(deadline time.Time) (<-chan time.Time, func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTimer{deadline: deadline, fired: make(chan time.Time, 1)}
	if !deadline.After(m.now) {
		t.fired <- m.now
		return t.fired, func() {}
	}
	m.waits[t] = struct{}{}
	return t.fired, func() { m.release(t) }
}

func (m *Manual) release(t *manualTimer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waits, t)
}

// Advance moves the clock forward and fires the timers that became due.
func (m *Manual) Advance(step time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(step)
	for t := range m.waits {
		if t.deadline.After(m.now) {
			continue
		}
		t.fired <- m.now
		delete(m.waits, t)
	}
}
