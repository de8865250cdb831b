package wagclock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against timers of Manual that fire early, twice or after they were stopped.
func TestManualTimers(t *testing.T) {
	is := is.New(t)
	m := NewManual(time.Unix(100, 0))
	early, _ := m.TimerAt(time.Unix(99, 0))
	is.Equal(len(early), 1) // already due
	due, _ := m.TimerAt(time.Unix(101, 0))
	released, release := m.TimerAt(time.Unix(101, 0))
	release()
	m.Advance(999 * time.Millisecond)
	is.Equal(len(due), 0)
	m.Advance(time.Millisecond)
	is.Equal(len(due), 1)
	is.Equal(len(released), 0)
	<-due
	m.Advance(time.Hour)
	is.Equal(len(due), 0)
}

// Guards against timers of the system's clock that fire early, or not at once when their
// deadline has passed.
func TestSystemTimers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, ago := range []time.Duration{0, time.Nanosecond, time.Hour} {
			fired, release := System{}.TimerAt(time.Now().Add(-ago))
			is.Equal(len(fired), 1)
			release()
		}
		began := time.Now()
		is.True(Wait(t.Context(), System{}, began.Add(time.Second)))
		is.Equal(time.Since(began), time.Second)
	})
}

// Guards against a context that ends early, never, or for another reason than its
// deadline.
func TestWithDeadline(t *testing.T) {
	is := is.New(t)
	m := NewManual(time.Unix(100, 0))
	ctx, cancel := WithDeadline(context.Background(), m, time.Unix(101, 0))
	defer cancel()
	m.Advance(999 * time.Millisecond)
	is.NoErr(ctx.Err())
	m.Advance(time.Millisecond)
	<-ctx.Done()
	is.Equal(ctx.Err(), context.DeadlineExceeded)
	ctx, cancel = WithDeadline(context.Background(), m, time.Unix(200, 0))
	cancel()
	is.Equal(ctx.Err(), context.Canceled)
	ctx, cancel = WithDeadline(context.Background(), System{}, time.Unix(100, 0))
	defer cancel()
	is.Equal(ctx.Err(), context.DeadlineExceeded)
}
