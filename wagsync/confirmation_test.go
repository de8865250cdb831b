package wagsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagmirror"
)

// maxCalmAge is the age that the copy of a host which follows a store without delays may
// reach: a watch after the least time between two.
const maxCalmAge = shortWatchTimeout + minWatchInterval

// Guards against a host that is cut off from the store and passes its copy on as
// confirmed, because of a request in flight that is never answered (review/3).
func TestRequestInFlightConfirmsNothing(t *testing.T) {
	for _, offset := range []time.Duration{0, 100 * time.Millisecond, 350 * time.Millisecond, 590 * time.Millisecond} {
		run(t, func(is *is.I, x *fixture) {
			x.startFollowing()
			sleep(offset)
			x.store.update(func() { x.store.silent = true })
			cutAt := time.Now()
			for range 60 {
				sleep(50 * time.Millisecond)
				is.True(!x.sync.ConfirmedAt().After(cutAt))
			}
			x.sync.SetFollowing(x.ctx, false)
			x.sync.SetFollowing(x.ctx, true)
			sleep(50 * time.Millisecond)
			is.True(!x.sync.ConfirmedAt().After(cutAt))
			x.store.update(func() { x.store.silent = false })
			sleep(3 * time.Second)
			is.True(time.Since(x.sync.ConfirmedAt()) <= maxCalmAge)
		})
	}
}

// Guards against a copy that counts as old in calm or after changes of any kind, so that
// other hosts follow the store in vain, and against one that is confirmed although a
// change of another kind is missing.
func TestCopyIsConfirmedInCalmAndAfterChanges(t *testing.T) {
	run(t, func(is *is.I, x *fixture) {
		x.startFollowing()
		var latest wagmirror.Revision
		for n := range 400 {
			switch {
			case n%29 == 0:
				latest = x.store.put("config", "main")
			case n%41 == 0 || n > 200 && n < 240:
				latest = x.store.put("servers", fmt.Sprint("s", n%7))
			}
			sleep(50 * time.Millisecond)
			confirmed := x.sync.ConfirmedAt()
			is.True(time.Since(confirmed) <= maxCalmAge)
			complete := x.sync.Positions()
			if max(complete["config"].Revision, complete["servers"].Revision) < latest {
				is.True(time.Since(confirmed) >= 50*time.Millisecond)
			}
		}
	})
}

// Guards against a host that begins to follow the store and knows only after a whole
// watch that its copy is complete.
func TestFirstRequestConfirmsAtOnce(t *testing.T) {
	run(t, func(is *is.I, x *fixture) {
		x.store.put("config", "main")
		x.store.put("servers", "a")
		sleep(5 * time.Second)
		is.True(time.Since(x.sync.ConfirmedAt()) > 4*time.Second)
		x.sync.SetFollowing(x.ctx, true)
		sleep(10 * time.Millisecond)
		is.True(time.Since(x.sync.ConfirmedAt()) <= 10*time.Millisecond)
	})
}
