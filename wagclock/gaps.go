package wagclock

import (
	"sync"
	"time"
)

// Gap is a time in which the process did not run, as while it was stopped or its host was
// suspended.
type Gap struct {
	// Length is the length of the gap, and Uncounted the part of it that the steady clock
	// did not count: it stands still while the host is suspended.
	Length, Uncounted time.Duration
	EndedAt           time.Time
}

// Gaps notices gaps. Observe has to be called at regular intervals, and before anything is
// done that relies on what was known, or received, before a gap. It is safe for concurrent
// use. A nil Gaps notices none.
type Gaps struct {
	clock Clock
	// shortest is the length from which a gap counts.
	shortest time.Duration
	// timeOfDay returns the time of day, which may be set.
	timeOfDay func() time.Time
	// suspended returns how long the host was suspended since its start.
	suspended func() (time.Duration, bool)

	// mu is held while the handlers run.
	mu       sync.Mutex
	handlers []func(Gap)
	// seenAt is the time of the latest call of Observe, seenTimeOfDay the time of day then,
	// suspendedBefore what suspended returned last, and endedAt when the latest gap ended.
	seenAt          time.Time
	seenTimeOfDay   time.Time
	suspendedBefore time.Duration
	endedAt         time.Time
}

// GapsOption sets a property of a Gaps.
type GapsOption func(*Gaps)

// WithSuspendedTime replaces the function that returns how long the host was suspended
// since its start.
func WithSuspendedTime(f func() (time.Duration, bool)) GapsOption {
	return func(g *Gaps) { g.suspended = f }
}

// WithTimeOfDay replaces the function that returns the time of day.
func WithTimeOfDay(f func() time.Time) GapsOption { return func(g *Gaps) { g.timeOfDay = f } }

// NewGaps returns a Gaps for gaps of a length or more.
func NewGaps(c Clock, shortest time.Duration, opts ...GapsOption) *Gaps {
	g := &Gaps{clock: c, shortest: shortest, suspended: suspendedTime, timeOfDay: func() time.Time { return c.Now().Round(0) }}
	for _, o := range opts {
		o(g)
	}
	g.seenAt, g.seenTimeOfDay = c.Now(), g.timeOfDay()
	g.suspendedBefore, _ = g.suspended()
	return g
}

// OnGap adds a function that is called for each gap, before any call of Observe returns. It
// must not call Observe.
func (g *Gaps) OnGap(f func(Gap)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handlers = append(g.handlers, f)
}

// stepTolerance is by how much the time of day and the steady clock may differ between two
// calls of Observe unless one of them was set or stood still.
const stepTolerance = 50 * time.Millisecond

// Observe looks for a gap since the latest call. The time of day shows whether the steady
// clock may have stood still; only then the system is asked.
func (g *Gaps) Observe() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now, timeOfDay := g.clock.Now(), g.timeOfDay()
	steady, ofDay := now.Sub(g.seenAt), timeOfDay.Sub(g.seenTimeOfDay)
	g.seenAt, g.seenTimeOfDay = now, timeOfDay
	var uncounted time.Duration
	if (ofDay - steady).Abs() > stepTolerance {
		uncounted = max(ofDay-steady, 0)
		if suspended, ok := g.suspended(); ok {
			uncounted, g.suspendedBefore = max(suspended-g.suspendedBefore, 0), suspended
		}
	}
	if steady+uncounted < g.shortest {
		return
	}
	gap := Gap{Length: steady + uncounted, Uncounted: uncounted, EndedAt: now}
	g.endedAt = now
	for _, handle := range g.handlers {
		handle(gap)
	}
}

// EndedSince reports whether a gap has ended since a time.
func (g *Gaps) EndedSince(t time.Time) bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.endedAt.IsZero() && !g.endedAt.Before(t)
}

// LastEnd returns when the latest gap ended, or the zero time.
func (g *Gaps) LastEnd() time.Time {
	if g == nil {
		return time.Time{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endedAt
}
