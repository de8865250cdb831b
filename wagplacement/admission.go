package wagplacement

import (
	"math"
	"slices"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	// arrivalRateWindow is the time constant of the arrival rate. Demand changes within
	// seconds.
	arrivalRateWindow = time.Second
	// slowShareWeight is the weight of one load report in the share of slow servers.
	slowShareWeight = 0.02
	// initialSlowShare is that share before it is measured.
	initialSlowShare = 0.2
	// holdTimeWeight is the weight of one request in the mean time that slots are held.
	holdTimeWeight = 0.03
	// Late requests may wait only if the requests that can meet their goal leave at least
	// minSpareShare of the capacity unused.
	minSpareShare = 0.05
	// minRetryDelay and maxRetryDelay bound the delay after which a refused request may be
	// retried.
	minRetryDelay = 40 * time.Millisecond
	maxRetryDelay = 700 * time.Millisecond
)

// loadEstimate holds the estimates of the demand and the capacity of a group.
type loadEstimate struct {
	// arrivalRate is the rate per second of arriving requests that can meet their goal,
	// decayed to decayedAt.
	arrivalRate float64
	decayedAt   time.Time
	// slowShare is the share of load reports that came from slow servers.
	slowShare float64
	// meanHoldTime is the mean time that a request holds a slot; 0 before the first.
	meanHoldTime time.Duration
}

// recordArrival counts a request that can meet its goal.
func (l *loadEstimate) recordArrival(now time.Time) {
	l.decay(now)
	l.arrivalRate += 1 / arrivalRateWindow.Seconds()
}

// decay decays the arrival rate to now.
func (l *loadEstimate) decay(now time.Time) {
	if passed := now.Sub(l.decayedAt); passed > 0 {
		l.arrivalRate *= math.Exp(-passed.Seconds() / arrivalRateWindow.Seconds())
		l.decayedAt = now
	}
}

// recordReport counts a load report. slow is set if the server reported to be slow.
func (l *loadEstimate) recordReport(slow bool) {
	value := 0.0
	if slow {
		value = 1
	}
	l.slowShare += slowShareWeight * (value - l.slowShare)
}

// recordHoldTime adds the time that a request held its slot.
func (l *loadEstimate) recordHoldTime(d time.Duration) {
	if l.meanHoldTime == 0 {
		l.meanHoldTime = d
	}
	l.meanHoldTime += wagclock.FromNanoseconds(holdTimeWeight * float64(d-l.meanHoldTime))
}

// countSlots estimates how many requests like w the group can run at once, and how many
// of these slots are free.
func (sc *Scheduler) countSlots(now time.Time, w *waiter) capacity {
	var all, free float64
	cold := capacity{holdTime: sc.meanHoldTime(w)}
	for _, s := range sc.byID {
		if !s.isLive() || s.isExcluded(now) || s.stuckCount > 1 {
			continue
		}
		limit := sc.concurrencyLimit(s)
		if sc.isBounded(now, s) {
			cold.addCold(now, sc, s, w, limit, max(limit-s.occupiedSlots(now), 0))
			continue
		}
		all += float64(limit)
		free += float64(max(limit-s.occupiedSlots(now), 0))
	}
	sc.estimatedSlots = all*(1-sc.load.slowShare) + cold.all
	return capacity{all: sc.estimatedSlots, free: free*(1-sc.load.slowShare) + cold.free, holdTime: cold.holdTime, nextFree: cold.nextFree, onlyCold: all == 0}
}

// noServerWait is the wait of a request while there is no server. It is longer than
// any deadline.
const noServerWait = 365 * 24 * time.Hour

// estimateWait estimates how long a request waits behind a number of others.
func (sc *Scheduler) estimateWait(now time.Time, w *waiter, ahead int) time.Duration {
	slots := sc.countSlots(now, w)
	if slots.all == 0 || sc.avoidsAllServers(w) {
		return noServerWait
	}
	missingSlots := float64(ahead) + 1 - slots.free
	if missingSlots <= 0 {
		return 0
	}
	wait := wagclock.FromNanoseconds(missingSlots / slots.all * float64(slots.holdTime))
	if slots.isHeldBack() {
		wait = max(wait, slots.nextFree.Sub(now))
	}
	return wait
}

// avoidsAllServers reports whether the request avoids each server that is not leaving.
func (sc *Scheduler) avoidsAllServers(w *waiter) bool {
	return len(w.Avoid) > 0 && !slices.ContainsFunc(sc.byID, func(s *server) bool { return s.isLive() && !slices.Contains(w.Avoid, s.ID) })
}

// meanHoldTime returns the mean time that a request holds a slot.
func (sc *Scheduler) meanHoldTime(w *waiter) time.Duration {
	if sc.load.meanHoldTime == 0 {
		return w.route.serviceTime
	}
	return sc.load.meanHoldTime
}

// admit decides whether a request may wait. It is called when a request arrives, when
// its goal goes out of reach, and when another data centre refused it. It returns
// false if the request was refused.
func (sc *Scheduler) admit(now time.Time, w *waiter) bool {
	if w.Hedge {
		return sc.admitHedge(now, w)
	}
	ahead := sc.queue.countAhead(now, w)
	wait := sc.estimateWait(now, w, ahead)
	if wait > 0 && sc.disabled[MechanismQueue] {
		sc.refuse(&w.Request, ReasonOverload, now.Add(clampRetryDelay(wait)), wait)
		return false
	}
	if !now.Add(wait).After(w.latestStartForGoal()) {
		return true
	}
	if w.Foreign && !sc.evacuating {
		sc.refuse(&w.Request, ReasonOverload, now.Add(clampRetryDelay(wait)), wait)
		return false
	}
	if !w.Foreign && sc.requestSpill(now, w) {
		return true
	}
	if sc.isEvacuated() {
		sc.refuseEvacuated(now, w)
		return false
	}
	if spare := sc.spareRate(now, w); spare > 0 && wait < noServerWait {
		lateWait := wagclock.FromNanoseconds(float64(ahead+1) / spare * float64(time.Second))
		if !now.Add(lateWait).After(w.latestStartForDeadline()) {
			return true
		}
		wait = lateWait
	}
	sc.refuse(&w.Request, ReasonOverload, now.Add(clampRetryDelay(wait)), wait)
	return false
}

// spareRate returns the rate per second at which late requests can be served, or 0 if
// the others need all slots.
func (sc *Scheduler) spareRate(now time.Time, w *waiter) float64 {
	slots := sc.countSlots(now, w)
	capacity := slots.all / slots.holdTime.Seconds()
	sc.load.decay(now)
	spare := capacity - sc.load.arrivalRate
	if spare < minSpareShare*capacity {
		return 0
	}
	return spare
}

// clampRetryDelay returns the delay after which a request with that expected wait may
// be retried.
func clampRetryDelay(wait time.Duration) time.Duration {
	return min(max(wait, minRetryDelay), maxRetryDelay)
}

// remoteDataCentre is another data centre that has servers of the service.
type remoteDataCentre struct {
	name string
	// The data centre takes no requests until fullUntil.
	fullUntil time.Time
}

// SetRemoteDataCentres sets the other data centres that have servers of the service.
func (sc *Scheduler) SetRemoteDataCentres(dataCentres []string) {
	fullUntil := make(map[string]time.Time)
	for _, r := range sc.remotes {
		fullUntil[r.name] = r.fullUntil
	}
	sc.remotes = sc.remotes[:0]
	for _, name := range dataCentres {
		sc.remotes = append(sc.remotes, remoteDataCentre{name: name, fullUntil: fullUntil[name]})
	}
}

// requestSpill asks another data centre for a server. It reports whether a data centre
// is being asked.
func (sc *Scheduler) requestSpill(now time.Time, w *waiter) bool {
	if w.spillPending {
		return true
	}
	n := len(sc.remotes)
	for i := range n {
		r := &sc.remotes[(i+sc.searchOffset)%n]
		if r.fullUntil.After(now) || w.hasSpilledTo(r.name) {
			continue
		}
		w.spillPending = true
		w.spilledTo = append(w.spilledTo, r.name)
		sc.searchOffset++
		sc.commands = append(sc.commands, Spill{Request: w.Request, DataCentre: r.name})
		return true
	}
	return false
}

// HandleSpillGrant removes a request that got a server of another data centre. It
// returns false if the request no longer waits; the server must be released then.
func (sc *Scheduler) HandleSpillGrant(_ time.Time, id RequestID) bool { return sc.queue.remove(id) }

// HandleSpillRefusal records that a data centre takes no requests until a given time,
// and decides again on the request.
func (sc *Scheduler) HandleSpillRefusal(now time.Time, id RequestID, dataCentre string, until time.Time) {
	if sc.provesFull(now, id) {
		sc.setFullUntil(dataCentre, until)
	}
	sc.readmit(now, id)
}

// HandleSpillSilence records that a data centre did not reply and is not asked until a
// given time, and decides again on the request.
func (sc *Scheduler) HandleSpillSilence(now time.Time, id RequestID, dataCentre string, until time.Time) {
	sc.setFullUntil(dataCentre, until)
	sc.readmit(now, id)
}

// setFullUntil records until when a data centre is not asked for servers.
func (sc *Scheduler) setFullUntil(dataCentre string, until time.Time) {
	for i := range sc.remotes {
		if sc.remotes[i].name == dataCentre {
			sc.remotes[i].fullUntil = until
		}
	}
}

// readmit decides again on a request that another data centre did not take.
func (sc *Scheduler) readmit(now time.Time, id RequestID) {
	w := sc.queue.find(id)
	if w == nil {
		return
	}
	w.spillPending = false
	sc.limitExclusions(now)
	if !sc.admit(now, w) {
		sc.queue.remove(id)
	}
	sc.dispatch(now)
}
