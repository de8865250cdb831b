package wagplacement

import (
	"math"
	"time"

	"github.com/wagtailspar/wagtailspar/wagserver"
)

const (
	// rateTime is the time constant of the measured rates. Demand changes within
	// seconds.
	rateTime = time.Second
	// slowWeight is the weight of one report in the share of slow servers.
	slowWeight = 0.02
	// firstSlowShare is that share before it was measured.
	firstSlowShare = 0.2
	// holdWeight is the weight of one request in the mean time that slots are held.
	holdWeight = 0.03
	// spareShare is the part of the capacity that has to be left by requests that
	// are in time, for others to be worth the wait.
	spareShare = 0.05
	// minRetry and maxRetry bound when a refused request is told to come again.
	minRetry = 40 * time.Millisecond
	maxRetry = 700 * time.Millisecond
)

// load is what is known of the demand and the capacity of a group.
type load struct {
	// arrivals is the rate of requests that are in time, a second, decayed to at.
	arrivals float64
	at       time.Time
	// slow is the share of reports that told of a slow server.
	slow float64
	// hold is the mean time that a request holds a slot; 0 before the first.
	hold time.Duration
}

// arrived counts a request.
func (l *load) arrived(now time.Time) {
	l.decay(now)
	l.arrivals += 1 / rateTime.Seconds()
}

func (l *load) decay(now time.Time) {
	if passed := now.Sub(l.at); passed > 0 {
		l.arrivals *= math.Exp(-passed.Seconds() / rateTime.Seconds())
		l.at = now
	}
}

// reported counts a report.
func (l *load) reported(slow bool) {
	x := 0.0
	if slow {
		x = 1
	}
	l.slow += slowWeight * (x - l.slow)
}

// held takes the time that a request held its slot.
func (l *load) held(d time.Duration) {
	if l.hold == 0 {
		l.hold = d
	}
	l.hold += time.Duration(holdWeight * float64(d-l.hold))
}

// slots returns how many requests the group can run at once, and how many of
// these slots are free.
func (c *Scheduler) slots(now time.Time) (all, free float64) {
	for _, s := range c.order {
		if s.State != wagserver.Live || s.excluded(now) || s.stuck > 1 {
			continue
		}
		limit := c.limit(s)
		all += float64(limit)
		free += float64(max(limit-s.occupied(now), 0))
	}
	c.allSlots = all * (1 - c.load.slow)
	return c.allSlots, free * (1 - c.load.slow)
}

// noServer is the wait of a request while there is no server; no deadline is as
// far away.
const noServer = 365 * 24 * time.Hour

// wait estimates how long a request waits behind a number of others.
func (c *Scheduler) wait(now time.Time, w *waiter, ahead int) time.Duration {
	all, free := c.slots(now)
	if all == 0 {
		return noServer
	}
	behind := float64(ahead) + 1 - free
	if behind <= 0 {
		return 0
	}
	return time.Duration(behind / all * float64(c.hold(w)))
}

// hold is the mean time that a request holds a slot.
func (c *Scheduler) hold(w *waiter) time.Duration {
	if c.load.hold == 0 {
		return w.route.work
	}
	return c.load.hold
}

// admit decides whether a request that just came, or that has become late, waits.
// It returns false when the request was refused.
func (c *Scheduler) admit(now time.Time, w *waiter) bool {
	if w.Hedge {
		return c.admitHedge(now, w)
	}
	ahead := c.waiting.ahead(now, w)
	wait := c.wait(now, w, ahead)
	if wait > 0 && c.without[MechanismQueue] {
		c.refuse(&w.Request, ReasonOverload, now.Add(clampRetry(wait)), wait)
		return false
	}
	if !now.Add(wait).After(w.latest()) {
		return true
	}
	if w.Foreign {
		c.refuse(&w.Request, ReasonOverload, now.Add(clampRetry(wait)), wait)
		return false
	}
	if c.spill(now, w) {
		return true
	}
	if spare := c.spare(now, w); spare > 0 {
		late := time.Duration(float64(ahead+1) / spare * float64(time.Second))
		if !now.Add(late).After(w.last()) {
			return true
		}
		wait = late
	}
	c.refuse(&w.Request, ReasonOverload, now.Add(clampRetry(wait)), wait)
	return false
}

// spare returns the rate at which requests that are late can be served, or 0 when
// those in time need all slots.
func (c *Scheduler) spare(now time.Time, w *waiter) float64 {
	all, _ := c.slots(now)
	capacity := all / c.hold(w).Seconds()
	c.load.decay(now)
	spare := capacity - c.load.arrivals
	if spare < spareShare*capacity {
		return 0
	}
	return spare
}

func clampRetry(wait time.Duration) time.Duration {
	return min(max(wait, minRetry), maxRetry)
}

// remote is another data centre that has servers of the service.
type remote struct {
	dataCentre string
	// pausedUntil is until when it has no room.
	pausedUntil time.Time
}

// SetRemoteDataCentres sets the other data centres that have servers of the service.
func (c *Scheduler) SetRemoteDataCentres(dataCentres []string) {
	known := make(map[string]time.Time)
	for _, r := range c.remotes {
		known[r.dataCentre] = r.pausedUntil
	}
	c.remotes = c.remotes[:0]
	for _, name := range dataCentres {
		c.remotes = append(c.remotes, remote{dataCentre: name, pausedUntil: known[name]})
	}
}

// spill asks another data centre for a server, and tells whether one is asked.
func (c *Scheduler) spill(now time.Time, w *waiter) bool {
	if w.asking {
		return true
	}
	n := len(c.remotes)
	for i := range n {
		r := &c.remotes[(i+c.turn)%n]
		if r.pausedUntil.After(now) || w.refusedBy(r.dataCentre) {
			continue
		}
		w.asking = true
		w.asked = append(w.asked, r.dataCentre)
		c.turn++
		c.commands = append(c.commands, Spill{Request: w.Request, DataCentre: r.dataCentre})
		return true
	}
	return false
}

// HandleSpillGrant tells that a request got a server of another data centre. It returns false
// when the request no longer waits, so that the server is to be given back.
func (c *Scheduler) HandleSpillGrant(_ time.Time, id RequestID) bool { return c.waiting.remove(id) }

// HandleSpillRefusal tells that a data centre has no room until a time.
func (c *Scheduler) HandleSpillRefusal(now time.Time, id RequestID, dataCentre string, until time.Time) {
	for i := range c.remotes {
		if c.remotes[i].dataCentre == dataCentre {
			c.remotes[i].pausedUntil = until
		}
	}
	w := c.waiting.find(id)
	if w == nil {
		return
	}
	w.asking = false
	c.limitExclusions(now)
	if !c.admit(now, w) {
		c.waiting.remove(id)
	}
	c.dispatch(now)
}
