package wagroster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against waits that together exceed the time within which a change has to be in
// force, against relays that try the store one after the other when several have lost it,
// and against hosts that never stop following it.
func TestFreshnessKeepsTheApplyTimeout(t *testing.T) {
	const (
		// maxTick, maxConnect and maxResponse bound what follows the decision to act: the
		// next tick, a connection within the data centre, and the response of the store.
		maxTick     = 100 * time.Millisecond
		maxConnect  = 50 * time.Millisecond
		maxResponse = 50 * time.Millisecond
		// maxCalmAge is the age of a copy in calm: a watch, and ten hops of 10 ms.
		maxCalmAge = 700 * time.Millisecond
	)
	is := is.New(t)
	confirmed := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	for _, timeout := range []time.Duration{2 * time.Second, 2500 * time.Millisecond, 3 * time.Second, 11 * time.Second} {
		f := Freshness{ApplyTimeout: timeout}
		previous := confirmed.Add(maxCalmAge)
		for rank := range 15 {
			followAt := f.FollowAt(confirmed, rank, false)
			is.True(!followAt.Before(previous))
			is.True(followAt.Add(maxTick + maxConnect + maxResponse).Before(confirmed.Add(timeout)))
			if rank > 0 {
				// A host connects to the one of a rank before that one follows the store.
				is.True(f.FallbackCount(followAt, confirmed) >= rank)
			}
			previous = followAt
		}
		is.Equal(f.FallbackCount(confirmed.Add(maxCalmAge), confirmed), 0)
		is.True(f.FollowAt(confirmed, 15, false).After(confirmed.Add(timeout))) // no herd at a store that is down
		// While the store is probably down, the hosts of a data centre try it one by one.
		for rank := maxRankWhenDown + 1; rank < 14; rank++ {
			is.True(f.FollowAt(confirmed, rank+1, true).Sub(f.FollowAt(confirmed, rank, true)) >= timeout/2)
		}
		// A new confirmation ends it for all.
		is.True(f.FollowAt(confirmed.Add(timeout), 0, false).After(confirmed.Add(timeout)))
	}
}
