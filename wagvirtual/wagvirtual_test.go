package wagvirtual

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// Guards against runs that differ because events of the same time change places.
func TestOrder(t *testing.T) {
	is := is.New(t)
	v := New(start)
	var ran []int
	note := func(n int) func() { return func() { ran = append(ran, n) } }
	v.ScheduleAfter(2*time.Second, note(3))
	v.ScheduleAfter(time.Second, func() {
		ran = append(ran, 1)
		v.ScheduleAt(v.Now(), note(2))
	})
	v.ScheduleAt(start.Add(2*time.Second), note(4))
	at, ok := v.NextEventTime()
	is.True(ok)
	is.Equal(at, start.Add(time.Second))
	for v.Step() {
	}
	is.Equal(ran, []int{1, 2, 3, 4})
	is.Equal(v.Now(), start.Add(2*time.Second))
	_, ok = v.NextEventTime()
	is.True(!ok)
}

func TestAdvance(t *testing.T) {
	is := is.New(t)
	v := New(start)
	v.AdvanceTo(start.Add(time.Minute))
	is.Equal(v.Now(), start.Add(time.Minute))
	is.True(!v.Step())
}
