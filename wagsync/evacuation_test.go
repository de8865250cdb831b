package wagsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagmirror"
)

// siteKinds are the kinds of a site that follows evacuations.
var siteKinds = []string{"config", "servers", "evacuations"}

// Guards against an evacuation that the store withholds from watches, before it drops its
// history or answers again, and that is found later than half of its time (2.5 s of 5 s).
func TestEvacuationKeptBackIsFound(t *testing.T) {
	for _, drops := range []bool{false, true} {
		t.Run(fmt.Sprint("drops history ", drops), func(t *testing.T) {
			runKinds(t, siteKinds, func(is *is.I, x *fixture) {
				sleep(time.Second)
				x.sync.SetFollowing(x.ctx, true)
				for n := range 8 {
					sleep(10*time.Second + time.Duration(n)*170*time.Millisecond)
					x.store.update(func() { x.store.withholding = true })
					at := x.store.put("evacuations", fmt.Sprint("centre", n))
					sleep(time.Second)
					x.store.update(func() {
						x.store.withholding = false
						if drops {
							x.store.first = x.store.revision + 1
						}
					})
					sleep(900 * time.Millisecond)
					is.Equal(x.revisionOf(fmt.Sprint("evacuations/centre", n)), at)
				}
			})
		})
	}
}

// Guards against a copy that counts as fresh although an evacuation is missing, so that no
// other host follows the store, and against one that counts as old in calm because of the
// kind.
func TestConfirmationCoversEvacuations(t *testing.T) {
	runKinds(t, siteKinds, func(is *is.I, x *fixture) {
		x.startFollowing()
		for range 100 {
			sleep(50 * time.Millisecond)
			is.True(time.Since(x.sync.ConfirmedAt()) <= maxCalmAge)
		}
		x.store.update(func() { x.store.silent = true })
		at := x.store.put("evacuations", "a")
		put := time.Now()
		for range 60 {
			sleep(50 * time.Millisecond)
			is.True(x.revisionOf("evacuations/a") < at)
			is.True(!x.sync.ConfirmedAt().After(put))
		}
		x.store.update(func() { x.store.silent = false })
		sleep(2 * time.Second)
		is.Equal(x.revisionOf("evacuations/a"), at)
	})
}

// Guards against a kind that rarely changes and costs as many calls as the configuration.
func TestCallsOfEvacuationsInCalm(t *testing.T) {
	watches := make(map[int]int)
	for _, kinds := range [][]string{siteKinds[:2], siteKinds} {
		runKinds(t, kinds, func(_ *is.I, x *fixture) {
			x.startFollowing()
			sleep(time.Minute)
			_, before := x.store.requestCounts()
			sleep(10 * time.Minute)
			_, after := x.store.requestCounts()
			watches[len(kinds)] = after - before
		})
	}
	t.Logf("watches in 10 calm minutes: %d with two kinds, %d with evacuations", watches[2], watches[3])
	is.New(t).True(watches[3]-watches[2] <= 30)
}

// Guards against a host that sends requests before the evacuations were passed to it, and
// against one that waits for them when there are none.
func TestDeliveredAll(t *testing.T) {
	runKinds(t, siteKinds, func(is *is.I, x *fixture) {
		is.True(!x.sync.HasDeliveredAll())
		for n, kind := range siteKinds {
			x.sync.Apply(wagmirror.Update{Kind: kind, Full: true, At: 7})
			is.Equal(x.sync.HasDeliveredAll(), n == len(siteKinds)-1)
		}
	})
}
