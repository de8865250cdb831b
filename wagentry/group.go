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

// group serialises the events of one server group and wakes waiting calls.
type group struct {
	clock wagclock.Clock
	// times estimates the service times for hedges.
	times *wagretry.ServiceTimes
	// waits is told each change of the number of waiting calls.
	waits func(change int)
	// woken is signalled when NextWake of the core may have changed.
	woken chan<- struct{}

	mu   sync.Mutex
	core *wagrouting.Scheduler
	// next is the ID of the next call.
	next wagrouting.RequestID
	// waiters holds one channel with room for one decision per waiting call.
	waiters map[wagrouting.RequestID]chan wagrouting.Decision
	starts  []wagrouting.DelayedDecision
	// nextWake is what followWakes knows of.
	nextWake time.Time
}

func (e *Proxy) newGroup(d *wagdocument.Document) *group {
	name := d.Service.Name
	return &group{
		clock: e.clock, times: wagretry.NewServiceTimes(), woken: e.woken,
		waits: func(change int) { e.metrics.Queue(name, change) },
		core: wagrouting.New(d, wagrouting.WithDataCentre(e.settings.Host.DataCentre), wagrouting.WithSeed(e.seed),
			wagrouting.WithViolationHandler(func(i wagrouting.Invariant) { e.violated(name, i) })),
		waiters: make(map[wagrouting.RequestID]chan wagrouting.Decision),
	}
}

// violated counts and records an invariant of a group that does not hold.
func (e *Proxy) violated(service string, i wagrouting.Invariant) {
	e.metrics.Violation(string(i))
	e.events.Record(wagevent.Event{Kind: wagevent.KindViolation, Service: service, Detail: string(i)})
}

// groupCounts returns the counters of all groups.
func (e *Proxy) groupCounts() map[string]wagmetrics.GroupCounts {
	counts := make(map[string]wagmetrics.GroupCounts)
	for name, g := range *e.groups.Load() {
		g.mu.Lock()
		c := g.core.Counters()
		g.mu.Unlock()
		counts[name] = wagmetrics.GroupCounts{Exclusions: c.Exclusions, Spilled: c.Spilled, Refused: c.Refused, Expired: c.Expired}
	}
	return counts
}

// updateGroups passes the current snapshot to all groups; e.mu is held. A group
// holds the servers of this host's data centre.
func (e *Proxy) updateGroups() {
	v := e.snapshot.Load()
	groups := make(map[string]*group, len(v.Documents))
	for name, d := range v.Documents {
		g := e.group(name)
		if g == nil {
			g = e.newGroup(d)
		}
		groups[name] = g
		g.set(d, v.centres[name][e.settings.Host.DataCentre])
	}
	e.groups.Store(&groups)
	e.budgets.RetainServices(func(service string) bool { return v.Documents[service] != nil })
}

// group returns the group of a service, or nil.
func (e *Proxy) group(name string) *group {
	return (*e.groups.Load())[name]
}

// followWakes calls the cores when they ask for it, until ctx ends.
func (e *Proxy) followWakes(ctx context.Context) error {
	for ctx.Err() == nil {
		var fired <-chan time.Time
		release := func() {}
		if at := e.tick(); !at.IsZero() {
			// A core that asks for a time in the past is called at this interval.
			fired, release = e.clock.TimerAt(wagclock.Later(at, e.clock.Now().Add(minTick)))
		}
		select {
		case <-ctx.Done():
		case <-e.wakes:
		case <-fired:
		}
		release()
	}
	return nil
}

// minTick is the least time between two calls of Tick by the timer.
const minTick = time.Millisecond

// tick calls the groups that are due and returns the next time for it.
func (e *Proxy) tick() (next time.Time) {
	for _, g := range *e.groups.Load() {
		if at := g.tick(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

func (g *group) tick() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if at := g.core.NextWake(); !at.IsZero() && !at.After(now) {
		g.wake(g.core.Tick(now, g.starts[:0]))
	}
	g.nextWake = g.core.NextWake()
	return g.nextWake
}

// changed signals followWakes if the next wake is earlier now; g.mu is held.
func (g *group) changed() {
	at := g.core.NextWake()
	if at.IsZero() || !g.nextWake.IsZero() && !at.Before(g.nextWake) {
		return
	}
	g.nextWake = at
	select {
	case g.woken <- struct{}{}:
	default:
	}
}

func (g *group) set(d *wagdocument.Document, list []wagserver.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.core.SetDocument(now, d)
	g.core.SetServers(now, list)
	g.wake(g.core.Tick(now, g.starts[:0]))
}

// wake hands decisions to waiting calls; g.mu is held.
func (g *group) wake(starts []wagrouting.DelayedDecision) {
	for _, s := range starts {
		if w, ok := g.waiters[s.Request]; ok {
			delete(g.waiters, s.Request)
			w <- s.Decision
		}
	}
	g.starts = starts
	g.changed()
}

// acquire returns the decision on a call, after waiting for it if need be.
func (g *group) acquire(ctx context.Context, call wagrouting.Request) (wagrouting.RequestID, wagrouting.Decision) {
	g.mu.Lock()
	g.next++
	call.ID = g.next
	decision := g.core.Submit(g.clock.Now(), call)
	if _, wait := decision.(wagrouting.Wait); !wait {
		g.mu.Unlock()
		return call.ID, decision
	}
	w := make(chan wagrouting.Decision, 1)
	g.waiters[call.ID] = w
	g.changed()
	g.mu.Unlock()
	g.waits(1)
	defer g.waits(-1)

	fired, release := g.clock.TimerAt(call.Deadline)
	defer release()
	select {
	case d := <-w:
		return call.ID, d
	case <-ctx.Done():
		return call.ID, g.abandon(call.ID, w, wagoutcome.ReasonCanceled)
	case <-fired:
		return call.ID, g.abandon(call.ID, w, wagoutcome.ReasonDeadline)
	}
}

// acquireNow returns the decision on a call that does not wait.
func (g *group) acquireNow(call wagrouting.Request) (wagrouting.RequestID, wagrouting.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	call.ID = g.next
	decision := g.core.Submit(g.clock.Now(), call)
	if _, wait := decision.(wagrouting.Wait); wait {
		g.core.Cancel(call.ID)
	}
	return call.ID, decision
}

// abandon takes a call out of the queue. A slot that it was given in the
// meantime is returned as the decision.
func (g *group) abandon(id wagrouting.RequestID, w chan wagrouting.Decision, reason wagoutcome.Reason) wagrouting.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case d := <-w:
		return d
	default:
	}
	delete(g.waiters, id)
	g.core.Cancel(id)
	return wagrouting.Refuse{Reason: reason}
}

// leaving tells the core that a server was observed to drain.
func (g *group) leaving(server netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.SetLeaving(g.clock.Now(), server)
}

// spilled tells the core how long a call took in another data centre.
func (g *group) spilled(dataCentre string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.RecordSpill(g.clock.Now(), dataCentre, took)
}

func (g *group) finished(id wagrouting.RequestID, r wagrouting.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.core.FinishAttempt(g.clock.Now(), id, r, g.starts[:0]))
}
