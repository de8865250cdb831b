package wagentry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagmetrics"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagretry"
	"github.com/wagtailspar/wagtailspar/wagrouting"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// group serialises the calls to the scheduler of one server group and wakes the
// requests that wait for its decisions.
type group struct {
	clock wagclock.Clock
	// serviceTimes determines when a hedge starts.
	serviceTimes *wagretry.ServiceTimes
	// onWaitingChange is called with each change of the number of waiting requests.
	onWaitingChange func(change int)
	// wakeupSignal receives a value when the scheduler has to be called earlier.
	wakeupSignal chan<- struct{}

	mu        sync.Mutex
	scheduler *wagrouting.Scheduler
	// lastID is the ID of the latest request.
	lastID wagrouting.RequestID
	// waiters holds, for each waiting request, a channel that buffers one decision.
	waiters map[wagrouting.RequestID]chan wagrouting.Decision
	// decisionBuffer is reused by the calls to the scheduler.
	decisionBuffer []wagrouting.DelayedDecision
	// scheduledWake is the time that runGroupTimers waits for on behalf of this group.
	scheduledWake time.Time
}

func (px *Proxy) newGroup(d *wagdocument.Document) *group {
	name := d.Service.Name
	return &group{
		clock: px.clock, serviceTimes: wagretry.NewServiceTimes(), wakeupSignal: px.wakeupSignal,
		onWaitingChange: func(change int) { px.metrics.AddWaiting(name, change) },
		scheduler: wagrouting.New(d, wagrouting.WithDataCentre(px.settings.Host.DataCentre), wagrouting.WithSeed(px.seed),
			wagrouting.WithViolationHandler(func(i wagrouting.Invariant) { px.recordViolation(name, i) })),
		waiters: make(map[wagrouting.RequestID]chan wagrouting.Decision),
	}
}

// recordViolation counts and records the violation of an invariant of a group.
func (px *Proxy) recordViolation(service string, i wagrouting.Invariant) {
	px.metrics.CountViolation(string(i))
	px.events.Record(wagevent.Event{Kind: wagevent.KindViolation, Service: service, Detail: string(i)})
}

// groupCounts returns the counters of all groups.
func (px *Proxy) groupCounts() map[string]wagmetrics.GroupCounts {
	counts := make(map[string]wagmetrics.GroupCounts)
	for name, g := range *px.groups.Load() {
		g.mu.Lock()
		c := g.scheduler.Counters()
		g.mu.Unlock()
		counts[name] = wagmetrics.GroupCounts{Exclusions: c.Exclusions, Spilled: c.Spilled, Refused: c.Refused, Expired: c.Expired}
	}
	return counts
}

// updateGroups passes the current snapshot to all groups. A group holds the servers
// of this host's data centre. px.mu must be held.
func (px *Proxy) updateGroups() {
	snapshot := px.snapshot.Load()
	groups := make(map[string]*group, len(snapshot.Documents))
	for name, d := range snapshot.Documents {
		g := px.group(name)
		if g == nil {
			g = px.newGroup(d)
		}
		groups[name] = g
		g.update(d, snapshot.serversByDataCentre[name][px.settings.Host.DataCentre])
	}
	px.groups.Store(&groups)
	px.budgets.RetainServices(func(service string) bool { return snapshot.Documents[service] != nil })
}

// group returns the group of a service, or nil.
func (px *Proxy) group(name string) *group {
	return (*px.groups.Load())[name]
}

// runGroupTimers calls the scheduler of each group at the times that it requests,
// until ctx ends.
func (px *Proxy) runGroupTimers(ctx context.Context) error {
	for ctx.Err() == nil {
		var fired <-chan time.Time
		release := func() {}
		if at := px.tickGroups(); !at.IsZero() {
			// A scheduler that requests a time in the past is called at this interval.
			fired, release = px.clock.TimerAt(wagclock.Later(at, px.clock.Now().Add(minTickInterval)))
		}
		select {
		case <-ctx.Done():
		case <-px.wakeups:
		case <-fired:
		}
		release()
	}
	return nil
}

// minTickInterval is the minimum time between two calls of Tick by the timer.
const minTickInterval = time.Millisecond

// tickGroups calls Tick of the groups that are due and returns the time of the next
// call, or the zero time.
func (px *Proxy) tickGroups() (next time.Time) {
	for _, g := range *px.groups.Load() {
		if at := g.tick(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// tick calls the scheduler if it is due and returns the time of the next call.
func (g *group) tick() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if at := g.scheduler.NextWake(); !at.IsZero() && !at.After(now) {
		g.deliverDecisions(g.scheduler.Tick(now, g.decisionBuffer[:0]))
	}
	g.scheduledWake = g.scheduler.NextWake()
	return g.scheduledWake
}

// signalEarlierWake wakes runGroupTimers if the scheduler has to be called earlier
// than planned. g.mu must be held.
func (g *group) signalEarlierWake() {
	at := g.scheduler.NextWake()
	if at.IsZero() || !g.scheduledWake.IsZero() && !at.Before(g.scheduledWake) {
		return
	}
	g.scheduledWake = at
	select {
	case g.wakeupSignal <- struct{}{}:
	default:
	}
}

// update passes the current document and servers to the scheduler.
func (g *group) update(d *wagdocument.Document, servers []wagserver.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.scheduler.SetDocument(now, d)
	g.scheduler.SetServers(now, servers)
	g.deliverDecisions(g.scheduler.Tick(now, g.decisionBuffer[:0]))
}

// deliverDecisions passes decisions to the requests that wait for them. g.mu must be
// held.
func (g *group) deliverDecisions(decisions []wagrouting.DelayedDecision) {
	for _, d := range decisions {
		if waiter, ok := g.waiters[d.Request]; ok {
			delete(g.waiters, d.Request)
			waiter <- d.Decision
		}
	}
	g.decisionBuffer = decisions
	g.signalEarlierWake()
}

// acquire returns the decision on a request and waits for it if necessary, until the
// deadline of the request or the end of ctx.
func (g *group) acquire(ctx context.Context, request wagrouting.Request) (wagrouting.RequestID, wagrouting.Decision) {
	g.mu.Lock()
	g.lastID++
	request.ID = g.lastID
	decision := g.scheduler.Submit(g.clock.Now(), request)
	if _, wait := decision.(wagrouting.Wait); !wait {
		g.mu.Unlock()
		return request.ID, decision
	}
	waiter := make(chan wagrouting.Decision, 1)
	g.waiters[request.ID] = waiter
	g.signalEarlierWake()
	g.mu.Unlock()
	g.onWaitingChange(1)
	defer g.onWaitingChange(-1)

	fired, release := g.clock.TimerAt(request.Deadline)
	defer release()
	select {
	case d := <-waiter:
		return request.ID, d
	case <-ctx.Done():
		return request.ID, g.cancelWait(request.ID, waiter, wagoutcome.ReasonCanceled)
	case <-fired:
		return request.ID, g.cancelWait(request.ID, waiter, wagoutcome.ReasonDeadline)
	}
}

// tryAcquire returns the decision on a request that isn't queued: wagrouting.Wait
// means that it got no slot.
func (g *group) tryAcquire(request wagrouting.Request) (wagrouting.RequestID, wagrouting.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	request.ID = g.lastID
	decision := g.scheduler.Submit(g.clock.Now(), request)
	if _, wait := decision.(wagrouting.Wait); wait {
		g.scheduler.Cancel(request.ID)
	}
	return request.ID, decision
}

// cancelWait removes a request from the queue. If a decision has arrived in the
// meantime, it returns that one instead of a refusal.
func (g *group) cancelWait(id wagrouting.RequestID, waiter chan wagrouting.Decision, reason wagoutcome.Reason) wagrouting.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case d := <-waiter:
		return d
	default:
	}
	delete(g.waiters, id)
	g.scheduler.Cancel(id)
	return wagrouting.Refuse{Reason: reason}
}

// markDraining records that a server has reported that it is draining.
func (g *group) markDraining(server netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.SetLeaving(g.clock.Now(), server)
}

// recordSpill records how long a spilled request took in another data centre.
func (g *group) recordSpill(dataCentre string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.RecordSpill(g.clock.Now(), dataCentre, took)
}

// finishAttempt passes the result of an attempt to the scheduler, which frees its
// slot.
func (g *group) finishAttempt(id wagrouting.RequestID, r wagrouting.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliverDecisions(g.scheduler.FinishAttempt(g.clock.Now(), id, r, g.decisionBuffer[:0]))
}
