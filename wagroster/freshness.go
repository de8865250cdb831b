package wagroster

import "time"

// DefaultApplyTimeout is the time within which a change of the store has to be in force
// at all hosts, unless the site states another one.
const DefaultApplyTimeout = 2 * time.Second

// Freshness derives from the time within which a change has to be in force when a host
// acts on the age of its copy of the store's objects. The age counts from the latest
// moment at which the store is known to have had no newer change, whoever asked it. A
// host that does not hear of a change in time, for whatever reason, therefore has a copy
// that grows old, and acts before the change has to be in force.
type Freshness struct {
	// ApplyTimeout is the time within which a change has to be in force.
	ApplyTimeout time.Duration
}

// NewFreshness returns the Freshness of a site with a time within which a change has to be
// in force. Without one it is DefaultApplyTimeout. A shorter one than minApplyTimeout
// cannot be kept.
func NewFreshness(applyTimeout time.Duration) Freshness {
	if applyTimeout == 0 {
		applyTimeout = DefaultApplyTimeout
	}
	return Freshness{ApplyTimeout: max(applyTimeout, minApplyTimeout)}
}

// minApplyTimeout is the shortest ApplyTimeout at which copies do not grow stale in calm.
const minApplyTimeout = 1800 * time.Millisecond

// Shares of the ApplyTimeout. In calm the copies are at most 0.6 s old, the length of a
// watch of the leader, plus the time for a few hops.
const (
	// staleShare is the age from which a host asks others than its upstream host, and from
	// which the relay of a data centre follows the store.
	staleShare = 0.5
	// lastShare is the age at which the last host that acts in time does so. What is left
	// of the ApplyTimeout is for a tick, a connection and the response of the store.
	lastShare = 0.875
	// lateShare is the time between two hosts that follow the store after that, and between
	// all but the first hosts while the store is probably down.
	lateShare = 0.75
)

// followWaves are the ages at which the hosts of a data centre begin to follow the store,
// by their rank. Each wave is larger than the one before: the more hosts have failed to
// get the changes, the more of the next ones may have.
var followWaves = []struct {
	// lastRank is the highest rank of the hosts of the wave.
	lastRank int
	share    float64
}{{0, staleShare}, {1, 0.575}, {2, 0.625}, {6, 0.75}, {14, lastShare}}

// maxRankWhenDown is the rank up to which hosts follow the store without further delay
// although it is probably down.
const maxRankWhenDown = 2

// after returns when a copy that was confirmed at a time reaches a share of the
// ApplyTimeout.
func (f Freshness) after(confirmed time.Time, share float64) time.Time {
	return confirmed.Add(time.Duration(share * float64(f.ApplyTimeout)))
}

// FollowAt returns when a host has to follow the store itself. The host is given by its
// rank in its data centre, and its copy by the time of its last confirmation. While the
// store is probably down for all, most hosts wait longer, so that few requests are sent
// in vain.
func (f Freshness) FollowAt(confirmed time.Time, rank int, storeDown bool) time.Time {
	if storeDown && rank > maxRankWhenDown {
		return f.after(confirmed, staleShare+lateShare*float64(rank-maxRankWhenDown))
	}
	for _, w := range followWaves {
		if rank <= w.lastRank {
			return f.after(confirmed, w.share)
		}
	}
	last := followWaves[len(followWaves)-1]
	return f.after(confirmed, last.share+lateShare*float64(rank-last.lastRank))
}

// FallbackCount returns how many hosts of its data centre, beside its upstream host, a
// host asks for changes. They are the ones that follow the store next. It is 0 while the
// copy is fresh.
func (f Freshness) FallbackCount(now, confirmed time.Time) (count int) {
	for _, w := range followWaves[1:] {
		if now.Before(f.after(confirmed, max(staleShare, w.share-followLead))) {
			break
		}
		count = w.lastRank
	}
	return count
}

// followLead is how much earlier, as a share of the ApplyTimeout, a host connects to
// another one than that begins to follow the store.
const followLead = 0.125
