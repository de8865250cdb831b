package wagplacement

import (
	"slices"
	"time"
)

// evacuatedRetryDelay is the delay after which a request may be retried that was refused
// because all servers of the service are in evacuated data centres. An evacuation lasts
// for seconds at least.
const evacuatedRetryDelay = time.Second

// SetEvacuating sets whether some data centre is evacuated, so that SetServers may have
// left out servers. If that leaves no server, the waiting requests are decided on again:
// they must not wait until their goals for servers that get no more requests.
func (sc *Scheduler) SetEvacuating(now time.Time, evacuating bool) {
	sc.evacuating = evacuating
	if !sc.isEvacuated() {
		return
	}
	for _, w := range slices.Clone(sc.queue.list) {
		if !w.spillPending && !sc.admit(now, w) {
			sc.queue.remove(w.ID)
		}
	}
}

// isEvacuated reports whether the group has no servers because of an evacuation, or
// possibly because of one.
func (sc *Scheduler) isEvacuated() bool {
	return sc.evacuating && !slices.ContainsFunc(sc.byID, func(s *server) bool { return s.isLive() })
}

// refuseEvacuated refuses a request of an evacuated group that no other data centre takes.
// It may be retried when the first of them may have room again.
func (sc *Scheduler) refuseEvacuated(now time.Time, w *waiter) {
	if len(sc.remotes) == 0 || w.Foreign {
		sc.refuse(&w.Request, ReasonNoServer, now.Add(evacuatedRetryDelay), noServerWait)
		return
	}
	wait := maxRetryDelay
	for _, r := range sc.remotes {
		wait = min(wait, max(r.fullUntil.Sub(now), minRetryDelay))
	}
	sc.refuse(&w.Request, ReasonOverload, now.Add(wait), wait)
}

// provesFull reports whether the refusal of a request by another data centre means that it
// has no room for others. A request that cannot meet its goal is served there only if the
// others leave capacity unused; while the own group is evacuated, it must not close the
// data centre for them.
func (sc *Scheduler) provesFull(now time.Time, id RequestID) bool {
	w := sc.queue.find(id)
	return w == nil || !w.isLate(now) || !sc.isEvacuated()
}
