package wagplacement

import (
	"hash/fnv"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	// coldBurstShare is the share of the slack that requests may use at once. The rest is
	// for requests that were granted at different times and arrive together.
	coldBurstShare = 0.5
	// ownerIdleTime is how long a scheduler handles no request as the owner of its group
	// before the buckets of its cold servers are emptied: meanwhile another host may have
	// been the owner.
	ownerIdleTime = time.Second
	// firstProbeTime is how long a new server gets no late requests, which do not wait for
	// reports, before it has answered a probe. It may have become cold while it was not
	// listed, as in a data centre that was evacuated.
	firstProbeTime = time.Second
	// aloneInterval is the time between two requests to a cold server by a host that
	// decides without the owner.
	aloneInterval = time.Second
	// coldAvoidanceCost makes a host that decides without the owner use cold servers only
	// when no other server is free. It is above the cost of any other server.
	coldAvoidanceCost = 1000
	// minHoldTime is the least time that a request is assumed to hold a slot of a cold
	// server, so that the slots that its rate permits are never 0.
	minHoldTime = time.Millisecond
	// tokenTolerance absorbs the rounding of times to nanoseconds.
	tokenTolerance = 1e-6
)

// AloneShare says which cold servers a host may use that decides without the owner of
// the group, or without most hosts of its data centre: those whose IDs have the hash
// Index modulo Hosts. Hosts that decide at the same time then use different servers. The
// zero value stands for all servers.
type AloneShare struct{ Index, Hosts uint16 }

func (a AloneShare) includes(serverID string) bool {
	if a.Hosts <= 1 {
		return true
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(serverID)) // never fails
	return h.Sum32()%uint32(a.Hosts) == uint32(a.Index)
}

// decidesAlone reports whether other hosts may grant slots of the same servers.
func (r *Request) decidesAlone() bool { return r.OwnerUnreachable || r.Alone.Hosts > 1 }

// coldLimit bounds the requests to each cold server. The zero value sets no bound.
type coldLimit struct {
	// rate is the number of requests per second, and burst how many unused ones
	// accumulate; burst is 1 or more.
	rate, burst float64
	// ownerSince is when this scheduler began to handle requests as the owner of the
	// group, and ownerActiveAt is when it last handled one.
	ownerSince, ownerActiveAt time.Time
	// ownerWaits and aloneWaits are set if requests wait that this scheduler handles as the
	// owner, and some of a host that decides alone.
	ownerWaits, aloneWaits bool
}

// coldState is the state of a server that is cold until a known time.
type coldState struct {
	until time.Time
	// listedAt is when the scheduler learned of the server.
	listedAt time.Time
	// isConfirmed is set when the server has answered a probe since its entry stated until.
	// An entry that is read late states a time that has passed.
	isConfirmed bool
	// tokens is how many requests the owner could send to the server at updatedAt.
	tokens    float64
	updatedAt time.Time
	// aloneAt is when a host that decides alone last sent a request to the server, or when
	// it learned that the server is cold.
	aloneAt time.Time
}

// SetColdRate sets how many requests per second a server gets while it is cold, and the
// slack by which a second may exceed that. A rate of 0 means any number.
func (sc *Scheduler) SetColdRate(rate, slack float64) {
	if sc.cold.rate == 0 {
		// What was granted without a bound is not known.
		for _, s := range sc.servers {
			s.cold.updatedAt = time.Time{}
		}
	}
	sc.cold.rate, sc.cold.burst = max(rate, 0), max(coldBurstShare*slack, 1)
}

const (
	// simultaneousOwners is how many hosts may take themselves for the owner of a group at
	// the same time: the former one and its successor.
	simultaneousOwners = 2
	// coldTransitTime is how much the times between grant and arrival differ.
	coldTransitTime = 100 * time.Millisecond
	// aloneRequests is how many requests per second all hosts that decide alone send to a
	// cold server.
	aloneRequests = 1
)

// ShareColdBound returns the rate and the slack for SetColdRate with which the requests of
// two simultaneous owners and of hosts that decide alone stay within the bound of a cold
// server: in any second overage times its rate plus slack requests.
func ShareColdBound(rate, overage, slack float64) (ownerRate, ownerSlack float64) {
	bound := rate*overage + slack
	transit := 1 + coldTransitTime.Seconds()
	// The least burst is 1. A bound that two owners cannot share leaves a tenth of the rate.
	ownerRate = min(rate, max(((bound-aloneRequests)/simultaneousOwners-1)/transit, rate/10))
	burst := (bound-aloneRequests)/simultaneousOwners - ownerRate*transit
	return ownerRate, min(max(burst/coldBurstShare, 0), slack)
}

// CountCold returns the number of servers that are cold.
func (sc *Scheduler) CountCold(now time.Time) (n int) {
	for _, s := range sc.byID {
		if s.isLive() && s.cold.until.After(now) {
			n++
		}
	}
	return n
}

// recordOwnerRequest records that the scheduler handles a request as the owner.
func (c *coldLimit) recordOwnerRequest(now time.Time) {
	if c.ownerActiveAt.IsZero() || now.Sub(c.ownerActiveAt) > ownerIdleTime {
		c.ownerSince = now
	}
	c.ownerActiveAt = now
}

// setUntil records until when the server is cold. A server that was warm begins with an
// empty bucket, because the requests of the last second are not known.
func (c *coldState) setUntil(now, until time.Time) {
	if !c.until.After(now) {
		c.tokens, c.updatedAt, c.aloneAt = 0, now, now
	}
	c.until = until
}

// setFromEntry records until when the server is cold by a new version of its entry. Only
// a longer time than the known one counts, because an entry arrives later than it was
// written.
func (c *coldState) setFromEntry(now, until time.Time) {
	if until.After(c.until) {
		c.setUntil(now, until)
		c.isConfirmed = false
	}
}

// setFromProbe records what a server that answered a probe stated.
func (c *coldState) setFromProbe(now time.Time, r *Result) {
	if !r.ColdUntil.IsZero() {
		c.setUntil(now, r.ColdUntil)
	}
	c.isConfirmed = c.isConfirmed || r.isAnswer()
}

// isBounded reports whether the requests to the server are bounded because it is cold.
func (sc *Scheduler) isBounded(now time.Time, s *server) bool {
	return sc.cold.rate > 0 && s.cold.until.After(now)
}

// refill updates the tokens of a cold server.
func (sc *Scheduler) refill(now time.Time, s *server) {
	c := &s.cold
	switch {
	case c.updatedAt.IsZero():
		c.tokens, c.updatedAt, c.aloneAt = 0, now, now
	case c.updatedAt.Before(sc.cold.ownerSince):
		c.tokens, c.updatedAt = 0, sc.cold.ownerSince
	}
	if passed := now.Sub(c.updatedAt); passed > 0 {
		c.tokens, c.updatedAt = min(c.tokens+passed.Seconds()*sc.cold.rate, sc.cold.burst), now
	}
}

// awaitsFirstProbe reports whether a probe has to show first that the server is not cold.
func (sc *Scheduler) awaitsFirstProbe(now time.Time, s *server) bool {
	return sc.cold.rate > 0 && !s.cold.isConfirmed && now.Sub(s.cold.listedAt) < firstProbeTime && !s.isLoadKnown(now)
}

// allowsCold reports whether the bound on a cold server permits the request now. It is
// true for every server that is not cold.
func (sc *Scheduler) allowsCold(now time.Time, s *server, r *Request) bool {
	if !sc.isBounded(now, s) {
		return true
	}
	sc.refill(now, s)
	if r.decidesAlone() {
		return r.Alone.includes(s.ID) && now.Sub(s.cold.aloneAt) >= aloneInterval
	}
	return s.cold.tokens >= 1-tokenTolerance
}

// takeCold counts a request to the server.
func (sc *Scheduler) takeCold(now time.Time, s *server, r *Request) {
	if !sc.isBounded(now, s) {
		return
	}
	if r.decidesAlone() {
		s.cold.aloneAt = now
		return
	}
	s.cold.tokens--
}

// recordWaiting records which kinds of requests wait, so that servers without a token for
// them are neither considered nor probed.
func (c *coldLimit) recordWaiting(list []*waiter) {
	c.ownerWaits, c.aloneWaits = false, false
	if c.rate == 0 {
		return
	}
	for _, w := range list {
		if w.decidesAlone() {
			c.aloneWaits = true
		} else {
			c.ownerWaits = true
		}
	}
}

// coldReadyAt returns when the bound next permits a request of the kinds that wait; now or
// earlier if it does already.
func (sc *Scheduler) coldReadyAt(now time.Time, s *server) time.Time {
	if !sc.isBounded(now, s) {
		return now
	}
	at := s.cold.until
	if sc.cold.ownerWaits {
		at = wagclock.Earlier(at, sc.tokenAt(now, s))
	}
	if sc.cold.aloneWaits {
		at = wagclock.Earlier(at, s.cold.aloneAt.Add(aloneInterval))
	}
	return at
}

// tokenAt returns when the owner has a token for a cold server.
func (sc *Scheduler) tokenAt(now time.Time, s *server) time.Time {
	sc.refill(now, s)
	missing := 1 - tokenTolerance - s.cold.tokens
	if missing <= 0 {
		return now
	}
	// Rounded up, so that the token is there.
	return now.Add(wagclock.FromNanoseconds(missing / sc.cold.rate * float64(time.Second))).Add(1)
}

// capacity is how many requests a group or a server can run.
type capacity struct {
	// all and free count slots; for cold servers as far as the bound on them permits.
	all, free float64
	// holdTime is the mean time that a request holds a slot.
	holdTime time.Duration
	// nextFree is when the bound on a cold server next permits a request; zero if no
	// server is held back by it.
	nextFree time.Time
	// onlyCold is set if all servers of the group are cold.
	onlyCold bool
}

// addCold adds a cold server with a number of slots and of free slots.
func (c *capacity) addCold(now time.Time, sc *Scheduler, s *server, w *waiter, limit, free int) {
	c.holdTime = max(sc.meanHoldTime(w), minHoldTime)
	if w.decidesAlone() {
		if !w.Alone.includes(s.ID) {
			return
		}
		c.all += min(float64(limit), c.holdTime.Seconds()/aloneInterval.Seconds())
		if sc.allowsCold(now, s, &w.Request) {
			c.free += float64(min(free, 1))
			return
		}
		c.setNextFree(s.cold.aloneAt.Add(aloneInterval))
		return
	}
	sc.refill(now, s)
	c.all += min(float64(limit), sc.cold.rate*c.holdTime.Seconds())
	if s.cold.tokens >= 1-tokenTolerance {
		c.free += min(float64(free), s.cold.tokens)
		return
	}
	c.setNextFree(sc.tokenAt(now, s))
}

func (c *capacity) setNextFree(at time.Time) {
	if c.nextFree.IsZero() || at.Before(c.nextFree) {
		c.nextFree = at
	}
}

// isHeldBack reports whether only the bound on cold servers keeps requests waiting: the
// group consists of cold servers.
func (c *capacity) isHeldBack() bool { return c.onlyCold && !c.nextFree.IsZero() }
