package wagrouting

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

const (
	// summaryLifetime is the age above which the summary of another group is
	// ignored.
	summaryLifetime = time.Second
	// spillBurst is how many requests may spill in a row beyond the share
	// Zones.Spill. In groups of 8 slots, waits arise and end within the time in
	// which a share that rises in steps of 100 ms takes effect. Counting the
	// requests spilled since a summary keeps the groups from being overloaded in
	// turn.
	spillBurst = 16
	// spillLossWeight is the weight of a spilled request in the moving average of
	// the time that spilled requests lose. A request counts for maxSpillLoss at
	// most, because long requests may have spilled too.
	spillLossWeight = 0.2
	maxSpillLoss    = 200 * time.Millisecond
	// spillLossDecay is the part of this average that remains after a review;
	// half of it remains after 3.4 s.
	spillLossDecay = 0.98
	// maxSpillLossStep bounds how far a spilled request that took as long as a
	// long one can exceed the average. One in a hundred requests on the routes of
	// short requests is long; without the bound, each of them kept requests from
	// spilling for seconds.
	maxSpillLossStep = 10 * time.Millisecond
)

// Summary is what a group reports to the groups of other data centres.
type Summary struct {
	// ExpectedWait is the expected wait of a new short request.
	ExpectedWait time.Duration
	// Slots is the number of slots of the eligible servers. FreeSlots is the mean
	// number of them that are not in use.
	Slots     int
	FreeSlots float64
	// ServiceTime is the mean service time of short requests.
	ServiceTime time.Duration
	// HealthyServers is the number of eligible servers that are not failing.
	HealthyServers int
}

// remoteGroup is the group of another data centre.
type remoteGroup struct {
	dataCentre string
	forward    Decision
	linkCost   time.Duration
	// lossSeconds is the moving average of the time that spilled requests took
	// beyond linkCost and the mean service time of short requests.
	lossSeconds float64
	summary     Summary
	receivedAt  time.Time
	// spilledSince counts the requests spilled since the summary.
	spilledSince int
}

// SetRemoteSummary records the summary of the group of another data centre.
func (sc *Scheduler) SetRemoteSummary(now time.Time, dataCentre string, s Summary) {
	for _, r := range sc.remotes {
		if r.dataCentre == dataCentre {
			r.summary, r.receivedAt, r.spilledSince = s, now, 0
			return
		}
	}
	r := &remoteGroup{dataCentre: dataCentre, forward: Forward{DataCentre: dataCentre}, summary: s, receivedAt: now}
	r.linkCost = 2 * sc.document.Zones.DelayBetween(sc.dataCentre, dataCentre)
	sc.remotes = append(sc.remotes, r)
}

// RecordSpill records how long a spilled request took until the header of its
// response arrived. This reveals a link that is slower than the document says,
// and a wait that is longer than the summary says.
func (sc *Scheduler) RecordSpill(now time.Time, dataCentre string, took time.Duration) {
	sc.advance(now)
	for _, r := range sc.remotes {
		if r.dataCentre == dataCentre {
			loss := min(max((took-r.linkCost).Seconds()-sc.classMeanSeconds[0], 0), maxSpillLoss.Seconds())
			if took > r.linkCost+sc.document.Limits.LongAfter {
				loss = min(loss, r.lossSeconds+maxSpillLossStep.Seconds())
			}
			r.lossSeconds += spillLossWeight * (loss - r.lossSeconds)
		}
	}
}

// decaySpillLoss reduces the recorded losses, so that a slow link is tried again.
func (sc *Scheduler) decaySpillLoss() {
	for _, r := range sc.remotes {
		r.lossSeconds *= spillLossDecay
	}
}

// Summary returns the summary of this group for other data centres.
func (sc *Scheduler) Summary(now time.Time) Summary {
	sc.advance(now)
	s := Summary{HealthyServers: sc.healthy, Slots: sc.capacity, FreeSlots: max(0, float64(sc.capacity)-sc.meanInFlight)}
	s.ServiceTime = time.Duration(sc.classMeanSeconds[0] * float64(time.Second))
	if n := len(sc.queue.byClass[0].list); n > 0 {
		s.ExpectedWait = sc.expectedWait(n, false)
	}
	return s
}

// expectedLoss returns the time that a spilled request is expected to lose, and
// whether the group can take it.
func (r *remoteGroup) expectedLoss(now time.Time) (time.Duration, bool) {
	if now.Sub(r.receivedAt) > summaryLifetime || r.summary.HealthyServers == 0 {
		return 0, false
	}
	// Requests spilled since the summary wait there as far as its free slots
	// could not serve them. Half of these slots are left for the requests of that
	// group itself and for what other groups spill at the same time.
	s := r.summary
	free := s.FreeSlots / 2
	served := free
	if s.ServiceTime > 0 {
		served += free * float64(now.Sub(r.receivedAt)) / float64(s.ServiceTime)
	}
	excess := max(0, float64(r.spilledSince)-served)
	w := r.linkCost + max(s.ExpectedWait, time.Duration(r.lossSeconds*float64(time.Second)))
	if excess > 0 {
		w += time.Duration((excess + 1) / float64(max(s.Slots, 1)) * float64(s.ServiceTime))
	}
	return w, true
}

// bestRemote returns the group where a spilled request is expected to lose the
// least time, or nil.
func (sc *Scheduler) bestRemote(now time.Time) (best *remoteGroup, wait time.Duration) {
	for _, r := range sc.remotes {
		w, ok := r.expectedLoss(now)
		if ok && (best == nil || w < wait) {
			best, wait = r, w
		}
	}
	return best, wait
}

// spill forwards a request that would have to wait, or returns nil if it stays
// here. Long requests leave only when no server works here: their responses are
// what fills the links, and summaries do not show the slots that they could have.
func (sc *Scheduler) spill(now time.Time, req *Request, long bool, localWait time.Duration) Decision {
	if req.Pinned || (long && sc.healthy > 0) || sc.disabled[SpillDataCentres] {
		return nil
	}
	best, wait := sc.bestRemote(now)
	if best == nil || !req.Deadline.After(now.Add(wait)) {
		return nil
	}
	noHealthyServer := sc.healthy == 0
	if !noHealthyServer && wait >= localWait {
		return nil
	}
	if !noHealthyServer && sc.spillCredit < 1 {
		return nil
	}
	sc.spillCredit = max(0, sc.spillCredit-1)
	best.spilledSince++
	sc.counters.Spilled++
	return best.forward
}

// These decisions are created once, so that refusing and queueing do not
// allocate.
var (
	refuseDeadline Decision = Refuse{Reason: wagoutcome.ReasonDeadline}
	refuseNoServer Decision = Refuse{Reason: wagoutcome.ReasonNoServer}
	refuseFull     Decision = Refuse{Reason: wagoutcome.ReasonQueueFull}
	refuseOverload Decision = Refuse{Reason: wagoutcome.ReasonOverload}
	waitDecision   Decision = Wait{}
)
