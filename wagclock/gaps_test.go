package wagclock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that stood still and takes what it knew before for recent,
// whether its clock ran on meanwhile (SIGSTOP) or not (a suspended machine), and against a
// time of day that is set and counts as a gap.
func TestGaps(t *testing.T) {
	is := is.New(t)
	clock := NewManual(time.Unix(1_800_000_000, 0))
	var suspended time.Duration
	g := NewGaps(clock, 500*time.Millisecond, WithSuspendedTime(func() (time.Duration, bool) { return suspended, true }))
	var got []Gap
	g.OnGap(func(x Gap) { got = append(got, x) })
	for range 20 {
		clock.Advance(100 * time.Millisecond)
		g.Observe()
	}
	is.Equal(len(got), 0)
	is.True(g.LastEnd().IsZero())
	before := clock.Now()
	clock.Advance(3 * time.Second)
	g.Observe()
	g.Observe()
	is.Equal(len(got), 1)
	is.Equal(got[0], Gap{Length: 3 * time.Second, EndedAt: clock.Now()})
	is.True(g.EndedSince(before))
	is.True(!g.EndedSince(clock.Now().Add(1)))

	day := NewManual(clock.Now())
	g = NewGaps(clock, 500*time.Millisecond, WithTimeOfDay(day.Now), WithSuspendedTime(func() (time.Duration, bool) { return suspended, true }))
	g.OnGap(func(x Gap) { got = append(got, x) })
	day.Advance(time.Hour) // the time of day is set
	g.Observe()
	is.Equal(len(got), 1)
	day.Advance(6 * time.Second)
	suspended = 6 * time.Second
	g.Observe()
	is.Equal(len(got), 2)
	is.Equal(got[1].Uncounted, 6*time.Second)
	day.Advance(time.Minute) // suspended for a part of that
	suspended = 8 * time.Second
	g.Observe()
	is.Equal(got[2].Uncounted, 2*time.Second)

	// Where the system does not tell, the time of day does.
	g = NewGaps(clock, 500*time.Millisecond, WithTimeOfDay(day.Now), WithSuspendedTime(func() (time.Duration, bool) { return 0, false }))
	g.OnGap(func(x Gap) { got = append(got, x) })
	day.Advance(4 * time.Second)
	g.Observe()
	is.Equal(got[3].Uncounted, 4*time.Second)

	var none *Gaps
	none.Observe()
	is.True(!none.EndedSince(time.Time{}))
	is.True(none.LastEnd().IsZero())
}
