package wagvirtual

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// Guards against simulations that can't be repeated because events of the same time
// run in another order than they were scheduled.
func TestOrder(t *testing.T) {
	is := is.New(t)
	clock := New(start)
	var ran []int
	appendRan := func(n int) func() { return func() { ran = append(ran, n) } }
	clock.ScheduleAfter(2*time.Second, appendRan(3))
	clock.ScheduleAfter(time.Second, func() {
		ran = append(ran, 1)
		clock.ScheduleAt(clock.Now(), appendRan(2))
	})
	clock.ScheduleAt(start.Add(2*time.Second), appendRan(4))
	at, ok := clock.NextEventTime()
	is.True(ok)
	is.Equal(at, start.Add(time.Second))
	for clock.Step() {
	}
	is.Equal(ran, []int{1, 2, 3, 4})
	is.Equal(clock.Now(), start.Add(2*time.Second))
	_, ok = clock.NextEventTime()
	is.True(!ok)
}

func TestAdvance(t *testing.T) {
	is := is.New(t)
	clock := New(start)
	clock.AdvanceTo(start.Add(time.Minute))
	is.Equal(clock.Now(), start.Add(time.Minute))
	is.True(!clock.Step())
}
