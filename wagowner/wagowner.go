// Package wagowner places requests on servers. It runs the schedulers of package
// wagplacement with real time, probes the servers and asks other data centres. The
// owner of a server group uses it, and so do hosts that cannot reach the owner.
package wagowner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagpanic"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagquota"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// Outcome is the result of a request for a server: Granted or Refused.
type Outcome interface{ isOutcome() }

// Granted assigns a slot of a server to the request. Finish must be called once, with
// the result of the attempt.
type Granted struct {
	Server wagserver.Instance
	// By is the host whose owner granted the slot; empty for this host.
	By string
	// HedgeAfter is how long to wait for a response before a second server may be asked
	// for a request that may run twice; 0 means never.
	HedgeAfter time.Duration
	Finish     func(wagplacement.Result)
}

// Refused means that the request got no server. It may be retried at RetryAt.
type Refused struct {
	Reason  wagplacement.Reason
	RetryAt time.Time
}

func (Granted) isOutcome() {}
func (Refused) isOutcome() {}

// Prober probes servers for their load reports.
type Prober interface {
	Probe(ctx context.Context, server wagserver.Instance) wagplacement.Result
}

// RemotePlaceFunc asks the owner in another data centre for a server. It returns nil if
// that owner does not reply.
type RemotePlaceFunc func(ctx context.Context, dataCentre, service string, r wagplacement.Request) Outcome

// spillCooldown is how long a data centre that did not reply is not asked again.
const spillCooldown = 500 * time.Millisecond

// Owner places requests on servers. It is safe for concurrent use.
type Owner struct {
	clock       wagclock.Clock
	prober      Prober
	placeRemote RemotePlaceFunc
	observer    Observer
	log         logrus.FieldLogger
	// limits bounds the repeats and probes.
	limits Limits
	// dataCentre is the data centre whose servers the owner places requests on.
	dataCentre string
	// tasks runs the probes and the requests to other data centres.
	tasks errgroup.Group

	mu     sync.Mutex
	groups map[string]*group
	// coldRates holds the rate of cold servers by service.
	coldRates map[string]float64
	lastID    wagplacement.RequestID
	// heldRequests holds the requests that arrived before the first list of servers, each
	// until half of its time has passed, and until startupDeadline at the latest.
	// startupDone is set when no more are held.
	heldRequests    []heldRequest
	startupDeadline time.Time
	startupDone     bool
	// Requests are held until holdUntil because the list of servers may be out of date.
	holdUntil time.Time
	// evacuating is set while some data centre is evacuated.
	evacuating bool
	// wake is signalled when a scheduler is due before plannedWake, which is zero if none
	// is due.
	wake        chan struct{}
	plannedWake time.Time
	quota       quotas
}

// group is the server group of a service in the data centre of the owner.
type group struct {
	service   string
	scheduler *wagplacement.Scheduler
	// waiters holds the requests that have no outcome yet.
	waiters map[wagplacement.RequestID]waiter
}

// waiter is a request without an outcome, and the function that takes the outcome.
type waiter struct {
	reply func(Outcome)
	since time.Time
	// customer was charged for the request with the decision admit, unless it is empty.
	customer string
	admit    wagquota.Admit
}

// Option configures an Owner.
type Option func(*Owner)

// WithClock replaces the clock.
func WithClock(c wagclock.Clock) Option { return func(o *Owner) { o.clock = c } }

// WithLog replaces the standard logger.
func WithLog(l logrus.FieldLogger) Option { return func(o *Owner) { o.log = l } }

// Limits bounds the repeats of requests and the probes of servers in one server group.
type Limits struct {
	// Within any RetryWindow, repeats are limited to RetryRatio times the requests plus
	// RetrySlack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// ProbesPerSecond limits the probes of each server.
	ProbesPerSecond float64
	// While a server is cold, at most ColdOverage times its cold rate plus ColdSlack
	// requests may reach it within a second, from all hosts together.
	ColdOverage, ColdSlack float64
	Quota                  QuotaLimits
}

// QuotaLimits bounds by how much customers may exceed their limits. The zero value turns
// quotas off.
type QuotaLimits struct {
	// Within any Window, a customer may exceed its limit by the share Overage plus Slack
	// requests.
	Window         time.Duration
	Overage, Slack float64
	// DataCentres is the number of data centres of the site; 0 counts as 1.
	DataCentres int
}

// WithLimits sets the limits. The defaults are those of package wagplacement.
func WithLimits(l Limits) Option { return func(o *Owner) { o.limits = l } }

// newScheduler returns a scheduler with the limits of the owner.
func (o *Owner) newScheduler() *wagplacement.Scheduler {
	var options []wagplacement.Option
	if o.limits.RetryWindow > 0 {
		options = append(options, wagplacement.WithRetryBudget(o.limits.RetryRatio, o.limits.RetrySlack, o.limits.RetryWindow))
	}
	if o.limits.ProbesPerSecond > 0 {
		options = append(options, wagplacement.WithProbeRate(o.limits.ProbesPerSecond))
	}
	return wagplacement.New(options...)
}

// New returns an owner without servers.
func New(dataCentre string, prober Prober, opts ...Option) *Owner {
	o := &Owner{
		dataCentre: dataCentre, prober: prober, observer: discardObserver{}, log: logrus.StandardLogger(), placeRemote: func(context.Context, string, string, wagplacement.Request) Outcome { return nil },
		clock: wagclock.System{}, groups: make(map[string]*group), wake: make(chan struct{}, 1),
		quota: quotas{links: localLinks{}, parts: make(map[partKey]*wagquota.Part), coordinators: make(map[int]*wagquota.Coordinator)},
	}
	for _, option := range opts {
		option(o)
	}
	o.startupDeadline = o.clock.Now().Add(serversWaitTimeout)
	return o
}

// SetRemotePlaceFunc sets the function that asks other data centres. It must be called
// before Run.
func (o *Owner) SetRemotePlaceFunc(r RemotePlaceFunc) { o.placeRemote = r }

// SetServers replaces the servers of all services in all data centres.
func (o *Owner) SetServers(list []wagserver.Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	services := make(map[string][]wagserver.Instance)
	remotes := make(map[string]map[string]bool)
	for name := range o.groups {
		services[name] = nil
	}
	for _, instance := range list {
		if instance.DataCentre == o.dataCentre {
			services[instance.Service] = append(services[instance.Service], instance)
			continue
		}
		if remotes[instance.Service] == nil {
			remotes[instance.Service] = make(map[string]bool)
		}
		remotes[instance.Service][instance.DataCentre] = true
	}
	for name := range remotes {
		if _, ok := services[name]; !ok {
			services[name] = nil
		}
	}
	now := o.clock.Now()
	for name, servers := range services {
		g := o.group(name)
		g.scheduler.SetRemoteDataCentres(slices.Sorted(maps.Keys(remotes[name])))
		g.scheduler.SetServers(now, servers)
		o.executeCommands(g)
	}
	o.finishStartup(now)
}

// SetEvacuating sets whether some data centre is evacuated, so that SetServers may have left
// out servers. It must follow SetServers.
func (o *Owner) SetEvacuating(evacuating bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !evacuating && !o.evacuating {
		return
	}
	o.evacuating = evacuating
	for _, g := range o.groups {
		g.scheduler.SetEvacuating(o.clock.Now(), evacuating)
		o.executeCommands(g)
	}
}

// group returns the group of a service and creates it if needed. The caller must hold
// o.mu.
func (o *Owner) group(service string) *group {
	g, ok := o.groups[service]
	if !ok {
		g = &group{service: service, scheduler: o.newScheduler(), waiters: make(map[wagplacement.RequestID]waiter)}
		g.scheduler.SetEvacuating(o.clock.Now(), o.evacuating)
		o.groups[service] = g
		o.setColdRate(g)
	}
	return g
}

// Ticket identifies a request that was submitted. The zero value identifies none.
type Ticket struct {
	owner *Owner
	group *group
	id    wagplacement.RequestID
}

// Submit asks for a server. reply is called once with the outcome, unless the ticket is
// cancelled first. It must not block or call the owner.
func (o *Owner) Submit(service string, r wagplacement.Request, reply func(Outcome)) Ticket {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastID++
	r.ID = o.lastID
	g := o.group(service)
	now := o.clock.Now()
	g.waiters[r.ID] = waiter{reply: reply, since: now}
	t := Ticket{owner: o, group: g, id: r.ID}
	if o.takeQuota(now, g, r) {
		o.submitAdmitted(now, g, r)
	}
	return t
}

// submitAdmitted submits a request that is within the quota of its customer. The caller
// must hold o.mu.
func (o *Owner) submitAdmitted(now time.Time, g *group, r wagplacement.Request) {
	holdUntil := o.holdUntil
	if !o.startupDone {
		holdUntil = wagclock.Later(holdUntil, o.startupDeadline)
	}
	if !r.Foreign && now.Before(holdUntil) {
		until := wagclock.Earlier(holdUntil, now.Add(r.Deadline.Sub(now)/2))
		o.heldRequests = append(o.heldRequests, heldRequest{group: g, request: r, until: until})
		o.scheduleWake(until)
		return
	}
	g.scheduler.Submit(now, r)
	o.executeCommands(g)
}

// IsWaiting reports whether the request has no outcome yet.
func (t Ticket) IsWaiting() bool {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	_, waiting := t.group.waiters[t.id]
	return waiting
}

// Cancel removes the request from the queue. It returns false if the request already
// has an outcome.
func (t Ticket) Cancel() bool {
	o := t.owner
	if o == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, waiting := t.group.waiters[t.id]; !waiting {
		return false
	}
	o.returnQuota(o.clock.Now(), t.group, t.id)
	delete(t.group.waiters, t.id)
	t.group.scheduler.Cancel(o.clock.Now(), t.id)
	return true
}

// Place asks for a server and waits for the outcome.
func (o *Owner) Place(ctx context.Context, service string, r wagplacement.Request) Outcome {
	outcome := make(chan Outcome, 1)
	t := o.Submit(service, r, func(x Outcome) { outcome <- x })
	select {
	case x := <-outcome:
		return x
	case <-ctx.Done():
	}
	if t.Cancel() {
		return Refused{Reason: wagplacement.ReasonDeadline, RetryAt: o.clock.Now()}
	}
	return <-outcome
}

// executeCommands executes the commands of the scheduler of a group. The caller must
// hold o.mu.
func (o *Owner) executeCommands(g *group) {
	for _, command := range g.scheduler.TakeCommands() {
		switch x := command.(type) {
		case wagplacement.Grant:
			o.observer.ObserveGrant(g.service, o.waitTime(g, x.Request.ID), x)
			g.reply(x.Request.ID, Granted{Server: x.Server, HedgeAfter: x.HedgeAfter, Finish: func(r wagplacement.Result) { o.finish(g, x.Request.ID, r) }})
		case wagplacement.Refuse:
			o.observer.ObserveRefusal(g.service, o.waitTime(g, x.Request.ID), x)
			o.returnQuota(o.clock.Now(), g, x.Request.ID)
			g.reply(x.Request.ID, Refused{Reason: x.Reason, RetryAt: x.RetryAt})
		case wagplacement.Spill:
			o.tasks.Go(func() error {
				o.requestSpill(g, x)
				return nil
			})
		case wagplacement.Probe:
			o.tasks.Go(func() error {
				o.probe(g, x)
				return nil
			})
		}
	}
	o.scheduleWake(g.scheduler.NextWake())
}

// scheduleWake makes Run call the schedulers at the given time, unless it is zero or an
// earlier call is planned. The caller must hold o.mu.
func (o *Owner) scheduleWake(at time.Time) {
	if at.IsZero() || !o.plannedWake.IsZero() && !at.Before(o.plannedWake) {
		return
	}
	o.plannedWake = at
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// waitTime returns how long a request has waited. The caller must hold o.mu.
func (o *Owner) waitTime(g *group, id wagplacement.RequestID) time.Duration {
	w, ok := g.waiters[id]
	if !ok {
		return 0
	}
	return o.clock.Now().Sub(w.since)
}

// reply reports the outcome of a request that still waits.
func (g *group) reply(id wagplacement.RequestID, x Outcome) {
	if w, ok := g.waiters[id]; ok {
		delete(g.waiters, id)
		w.reply(x)
	}
}

// requestSpill asks another data centre for a server and handles its reply.
func (o *Owner) requestSpill(g *group, x wagplacement.Spill) {
	ctx, cancel := context.WithDeadline(context.Background(), x.Request.Deadline)
	defer cancel()
	foreign := x.Request
	foreign.Foreign = true
	var outcome Outcome
	_ = wagpanic.Catch(o.log, func() error { // logs the error; no outcome counts as silence
		outcome = o.placeRemote(ctx, x.DataCentre, g.service, foreign)
		return nil
	})
	o.mu.Lock()
	now := o.clock.Now()
	granted, ok := outcome.(Granted)
	taken := ok && g.scheduler.HandleSpillGrant(now, x.Request.ID)
	o.observer.ObserveSpill(g.service, x, taken)
	switch {
	case taken:
		g.reply(x.Request.ID, granted)
	case !ok:
		if refused, isRefused := outcome.(Refused); isRefused {
			g.scheduler.HandleSpillRefusal(now, x.Request.ID, x.DataCentre, refused.RetryAt)
		} else {
			g.scheduler.HandleSpillSilence(now, x.Request.ID, x.DataCentre, now.Add(spillCooldown))
		}
	}
	o.executeCommands(g)
	o.mu.Unlock()
	if ok && !taken {
		granted.Finish(wagplacement.Result{Fault: wagplacement.FaultCanceled})
	}
}

// probe probes a server and passes the result to the scheduler.
func (o *Owner) probe(g *group, p wagplacement.Probe) {
	ctx, cancel := context.WithDeadline(context.Background(), p.Deadline)
	defer cancel()
	r := wagplacement.Result{Fault: wagplacement.FaultBroken}
	_ = wagpanic.Catch(o.log, func() error { // logs the error
		r = o.prober.Probe(ctx, p.Server)
		return nil
	})
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observer.ObserveProbe(p.Server, r)
	g.scheduler.HandleProbeResult(o.clock.Now(), p.Server.ID, r)
	o.executeCommands(g)
}

// finish passes the result of a granted request to the scheduler.
func (o *Owner) finish(g *group, id wagplacement.RequestID, r wagplacement.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g.scheduler.FinishAttempt(o.clock.Now(), id, r)
	o.executeCommands(g)
}

// minTickInterval is the shortest time after which the timer calls the schedulers
// again.
const minTickInterval = time.Millisecond

// Run calls the schedulers when they are due, until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		var fired <-chan time.Time
		stopTimer := func() {}
		if at := o.tick(); !at.IsZero() {
			fired, stopTimer = o.clock.TimerAt(wagclock.Later(at, o.clock.Now().Add(minTickInterval)))
		}
		select {
		case <-ctx.Done():
		case <-o.wake:
		case <-fired:
		}
		stopTimer()
	}
	return o.tasks.Wait()
}

// tick calls the schedulers that are due. It returns when the next one is due, or the
// zero time.
func (o *Owner) tick() (next time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	if len(o.heldRequests) > 0 {
		next = o.submitExpired(now)
	}
	next = earlierWake(next, o.tickQuota(now))
	for _, g := range o.groups {
		if at := g.scheduler.NextWake(); !at.IsZero() && !at.After(now) {
			g.scheduler.Tick(now)
			o.executeCommands(g)
		}
		if at := g.scheduler.NextWake(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	o.plannedWake = next
	return next
}
