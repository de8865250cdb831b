package wagrouting

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

const (
	// summaryLife is the age at which a summary of another group is ignored.
	summaryLife = time.Second
	// spillBurst is how many calls may spill in a row beyond Zones.Spill. In
	// groups of 8 slots, waits arise and end within the time in which a share
	// that rises in steps of 100 ms takes effect. The count of calls spilled
	// since a summary keeps the groups from being overloaded in turn.
	spillBurst = 16
	// lostWeight is the weight of a spilled call in what such calls lost. A call
	// counts for maxLost at most, because long work may have spilled too.
	lostWeight = 0.2
	maxLost    = 200 * time.Millisecond
	// lostDecay is what remains of it after a review, half after 3.4 s.
	lostDecay = 0.98
	// maxLostStep bounds by how much a spilled call that took as long as long work
	// can exceed what such calls lost before. One in a hundred calls on the routes of
	// short work is long; without the bound each of them kept calls from spilling for
	// seconds.
	maxLostStep = 10 * time.Millisecond
)

// Summary is what a group tells the groups of other data centres.
type Summary struct {
	// ExpectedWait is the expected wait of a new call of short work.
	ExpectedWait time.Duration
	// Slots is the number of slots of servers that take calls; Free is the mean
	// number of them that are not in use.
	Slots     int
	FreeSlots float64
	// ServiceTime is the mean service time of short work.
	ServiceTime time.Duration
	// HealthyServers is the number of servers that take calls and did not fail last.
	HealthyServers int
}

type remote struct {
	dataCentre string
	forward    Decision
	cost       time.Duration
	// lost is what spilled calls lost beyond cost of late, in seconds.
	lost    float64
	summary Summary
	at      time.Time
	// sent counts the calls spilled since the summary.
	sent int
}

// SetRemoteSummary records the summary of the group of another data centre.
func (c *Scheduler) SetRemoteSummary(now time.Time, dataCentre string, s Summary) {
	for _, r := range c.remotes {
		if r.dataCentre == dataCentre {
			r.summary, r.at, r.sent = s, now, 0
			return
		}
	}
	r := &remote{dataCentre: dataCentre, forward: Forward{DataCentre: dataCentre}, summary: s, at: now}
	r.cost = 2 * c.document.Zones.Between(c.dataCentre, dataCentre)
	c.remotes = append(c.remotes, r)
}

// RecordSpill tells how long a spilled call took until the head of its answer. A link
// that is slower than the document says, or a wait that is longer than the
// summary says, shows in it.
func (c *Scheduler) RecordSpill(now time.Time, dataCentre string, took time.Duration) {
	c.advance(now)
	for _, r := range c.remotes {
		if r.dataCentre == dataCentre {
			lost := min(max((took-r.cost).Seconds()-c.means[0], 0), maxLost.Seconds())
			if took > r.cost+c.document.Limits.LongAfter {
				lost = min(lost, r.lost+maxLostStep.Seconds())
			}
			r.lost += lostWeight * (lost - r.lost)
		}
	}
}

// reviewZones forgets what spilled calls lost, so that a link is tried again.
func (c *Scheduler) reviewZones() {
	for _, r := range c.remotes {
		r.lost *= lostDecay
	}
}

// Summary returns what other data centres need to know of this group.
func (c *Scheduler) Summary(now time.Time) Summary {
	c.advance(now)
	s := Summary{HealthyServers: c.sound, Slots: c.capacity, FreeSlots: max(0, float64(c.capacity)-c.busy)}
	s.ServiceTime = time.Duration(c.means[0] * float64(time.Second))
	if n := len(c.queue.turns[0].list); n > 0 {
		s.ExpectedWait = c.expectedWait(n, false)
	}
	return s
}

// wait returns the expected time that a spilled call loses, and whether the
// group can take it.
func (r *remote) wait(now time.Time) (time.Duration, bool) {
	if now.Sub(r.at) > summaryLife || r.summary.HealthyServers == 0 {
		return 0, false
	}
	// The calls spilled since the summary wait there as far as the free slots
	// could not serve them. Half of these are left for the group's own calls
	// and for what other groups spill at the same time.
	s := r.summary
	free := s.FreeSlots / 2
	served := free
	if s.ServiceTime > 0 {
		served += free * float64(now.Sub(r.at)) / float64(s.ServiceTime)
	}
	excess := max(0, float64(r.sent)-served)
	w := r.cost + max(s.ExpectedWait, time.Duration(r.lost*float64(time.Second)))
	if excess > 0 {
		w += time.Duration((excess + 1) / float64(max(s.Slots, 1)) * float64(s.ServiceTime))
	}
	return w, true
}

func (c *Scheduler) bestRemote(now time.Time) (best *remote, wait time.Duration) {
	for _, r := range c.remotes {
		w, ok := r.wait(now)
		if ok && (best == nil || w < wait) {
			best, wait = r, w
		}
	}
	return best, wait
}

// spill returns the group that a call which would have to wait goes to instead.
// Long work leaves only when no server works here: its answers are what fills
// the links, and summaries tell nothing of the slots that it could have.
func (c *Scheduler) spill(now time.Time, call *Request, long bool, local time.Duration) Decision {
	if call.Pinned || (long && c.sound > 0) || c.without[SpillDataCentres] {
		return nil
	}
	best, wait := c.bestRemote(now)
	if best == nil || !call.Deadline.After(now.Add(wait)) {
		return nil
	}
	alone := c.sound == 0
	if !alone && wait >= local {
		return nil
	}
	if !alone && c.credit < 1 {
		return nil
	}
	c.credit = max(0, c.credit-1)
	best.sent++
	c.counters.Spilled++
	return best.forward
}

// refusals are made once, so that refusing allocates nothing.
var (
	refuseDeadline Decision = Refuse{Reason: wagoutcome.ReasonDeadline}
	refuseNoServer Decision = Refuse{Reason: wagoutcome.ReasonNoServer}
	refuseFull     Decision = Refuse{Reason: wagoutcome.ReasonQueueFull}
	refuseOverload Decision = Refuse{Reason: wagoutcome.ReasonOverload}
	wait           Decision = Wait{}
)
