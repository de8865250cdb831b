// Package wagclock provides the time sources of the program.
package wagclock

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// MaxSkew is the largest difference between the clocks of any two hosts or servers
// with which leases, dispatch deadlines and the expiry of tokens are still correct.
const MaxSkew = 250 * time.Millisecond

// Clock returns the time and creates timers.
type Clock interface {
	Now() time.Time
	// TimerAt returns a channel that receives once the deadline has passed, and a
	// function that stops the timer.
	TimerAt(deadline time.Time) (<-chan time.Time, func())
}

// Wait waits until the deadline or the end of ctx and reports whether the deadline
// was reached.
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

// WithDeadline returns a context that ends with context.DeadlineExceeded when the clock
// reaches the deadline. The cancel function has to be called.
func WithDeadline(parent context.Context, c Clock, deadline time.Time) (context.Context, context.CancelFunc) {
	if _, isSystem := c.(System); isSystem {
		return context.WithDeadline(parent, deadline)
	}
	ctx, cancel := context.WithCancelCause(parent)
	var g errgroup.Group
	g.Go(func() error {
		if Wait(ctx, c, deadline) {
			cancel(context.DeadlineExceeded)
		}
		return nil
	})
	return clockContext{ctx}, func() {
		cancel(nil)
		_ = g.Wait() // always nil
	}
}

// clockContext is a context whose deadline is a time of a Clock.
type clockContext struct{ context.Context }

// Err returns why the context has ended.
func (c clockContext) Err() error {
	err := c.Context.Err()
	if err != nil && errors.Is(context.Cause(c.Context), context.DeadlineExceeded) {
		return context.DeadlineExceeded
	}
	return err
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

// TimerAt returns a timer of the Go runtime, unless the deadline has passed already.
func (System) TimerAt(deadline time.Time) (<-chan time.Time, func()) {
	now := time.Now()
	if !deadline.After(now) {
		fired := make(chan time.Time, 1)
		fired <- now
		return fired, func() {}
	}
	t := time.NewTimer(deadline.Sub(now))
	return t.C, func() { t.Stop() }
}

// Manual is a clock for tests. It moves only by Advance.
type Manual struct {
	mu sync.Mutex
	// now never decreases.
	now time.Time
	// timers holds the timers that have not fired.
	timers map[*manualTimer]struct{}
}

type manualTimer struct {
	deadline time.Time
	fired    chan time.Time
}

// NewManual returns a clock that shows start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, timers: make(map[*manualTimer]struct{})}
}

// Now returns the time to which the clock was last moved.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// TimerAt returns a timer that fires when Advance reaches or passes the deadline, or
// at once when the deadline has passed already.
func (m *Manual) TimerAt(deadline time.Time) (<-chan time.Time, func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTimer{deadline: deadline, fired: make(chan time.Time, 1)}
	if !deadline.After(m.now) {
		t.fired <- m.now
		return t.fired, func() {}
	}
	m.timers[t] = struct{}{}
	return t.fired, func() { m.release(t) }
}

func (m *Manual) release(t *manualTimer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.timers, t)
}

// HasTimer reports whether a timer with the deadline is waiting.
func (m *Manual) HasTimer(deadline time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for t := range m.timers {
		if t.deadline.Equal(deadline) {
			return true
		}
	}
	return false
}

// Advance moves the clock forward by d and fires the timers that are due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for t := range m.timers {
		if t.deadline.After(m.now) {
			continue
		}
		t.fired <- m.now
		delete(m.timers, t)
	}
}

// FromNanoseconds converts a calculated number of nanoseconds. A plain conversion of a
// number that a Duration cannot hold gives a result that depends on the processor; here it
// gives the longest or the shortest Duration, and 0 for a NaN.
func FromNanoseconds(n float64) time.Duration {
	switch {
	case math.IsNaN(n):
		return 0
	case n >= math.MaxInt64:
		return math.MaxInt64
	case n <= math.MinInt64:
		return math.MinInt64
	default:
		return time.Duration(n)
	}
}
