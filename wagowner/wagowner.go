// Package wagowner runs the placement of requests at the host that owns the
// servers of a data centre.
package wagowner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// Outcome is the end of a request for a server: Granted or Refused.
type Outcome interface{ isOutcome() }

// Granted gives a slot of a server. Finish is called once.
type Granted struct {
	Server wagserver.Instance
	// HedgeAfter is after how long without an answer a second server may be asked for
	// a request that may run twice; 0 for never.
	HedgeAfter time.Duration
	Finish     func(wagplacement.Result)
}

// Refused tells that the request is not to run now.
type Refused struct {
	Reason  wagplacement.Reason
	RetryAt time.Time
}

func (Granted) isOutcome() {}
func (Refused) isOutcome() {}

// Prober asks a server for its report.
type Prober interface {
	Probe(ctx context.Context, server wagserver.Instance) wagplacement.Result
}

// RemotePlaceFunc asks the owner in another data centre for a server. It returns nil when
// that does not answer.
type RemotePlaceFunc func(ctx context.Context, dataCentre, service string, r wagplacement.Request) Outcome

// spillPause is how long a data centre is not asked again that did not answer.
const spillPause = 500 * time.Millisecond

// StartupWaitTimeout is for how long after its start a host lets requests wait for what it has
// to know first: the configuration and the servers. Hosts that start all at once were
// seen to read them within 0.3 s; a host that takes longer cannot reach the store.
const StartupWaitTimeout = 400 * time.Millisecond

// Owner places requests on servers. It is safe for concurrent use.
type Owner struct {
	clock    wagclock.Clock
	prober   Prober
	remote   RemotePlaceFunc
	observer Observer
	// limits bound repeats and probes.
	limits Limits
	// dataCentre is the one whose servers the owner places requests on.
	dataCentre string
	// tasks runs the probes and the calls to other data centres.
	tasks errgroup.Group

	mu     sync.Mutex
	groups map[string]*group
	next   wagplacement.RequestID
	// early holds the requests that came before the first servers were known, until
	// startUntil at the latest; started tells that none is held any more.
	early      []earlyRequest
	startUntil time.Time
	started    bool
	// wake is signalled when a core has to be called earlier than planned, which is
	// zero when no call is.
	wake    chan struct{}
	planned time.Time
}

// earlyRequest is a request that came before the first servers were known.
type earlyRequest struct {
	group   *group
	request wagplacement.Request
}

type group struct {
	service string
	core    *wagplacement.Scheduler
	// waiters holds the requests that wait.
	waiters map[wagplacement.RequestID]waiter
}

// waiter is a request that waits, and who is told its outcome.
type waiter struct {
	reply func(Outcome)
	since time.Time
}

// Option sets a property of an Owner.
type Option func(*Owner)

// WithClock replaces the clock.
func WithClock(c wagclock.Clock) Option { return func(o *Owner) { o.clock = c } }

// Limits bound the repeats of requests and the probes of servers, for the servers of
// a service in one data centre.
type Limits struct {
	// RetryRatio and RetrySlack bound the repeats in any RetryWindow: a ratio of the
	// requests, and a number.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// ProbesPerSecond bounds the probes of one server, a second.
	ProbesPerSecond float64
}

// WithLimits sets the limits; without it those of wagplacement hold.
func WithLimits(l Limits) Option { return func(o *Owner) { o.limits = l } }

// core returns a core with the limits of the owner.
func (o *Owner) core() *wagplacement.Scheduler {
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
		dataCentre: dataCentre, prober: prober, observer: discard{}, remote: func(context.Context, string, string, wagplacement.Request) Outcome { return nil },
		clock: wagclock.System{}, groups: make(map[string]*group), wake: make(chan struct{}, 1),
	}
	for _, option := range opts {
		option(o)
	}
	o.startUntil = o.clock.Now().Add(StartupWaitTimeout)
	return o
}

// SetRemotePlaceFunc sets what asks other data centres. It is called before Run.
func (o *Owner) SetRemotePlaceFunc(r RemotePlaceFunc) { o.remote = r }

// SetServers replaces the servers of all services, in all data centres.
func (o *Owner) SetServers(list []wagserver.Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	services := make(map[string][]wagserver.Instance)
	remotes := make(map[string]map[string]bool)
	for name := range o.groups {
		services[name] = nil
	}
	for _, i := range list {
		if i.DataCentre == o.dataCentre {
			services[i.Service] = append(services[i.Service], i)
			continue
		}
		if remotes[i.Service] == nil {
			remotes[i.Service] = make(map[string]bool)
		}
		remotes[i.Service][i.DataCentre] = true
	}
	for name := range remotes {
		if _, ok := services[name]; !ok {
			services[name] = nil
		}
	}
	now := o.clock.Now()
	for name, servers := range services {
		g := o.group(name)
		g.core.SetRemoteDataCentres(slices.Sorted(maps.Keys(remotes[name])))
		g.core.SetServers(now, servers)
		o.carryOut(g)
	}
	o.start(now)
}

// start submits the requests that came before the first servers were known; o.mu is
// held.
func (o *Owner) start(now time.Time) {
	o.started = true
	for _, e := range o.early {
		if _, waits := e.group.waiters[e.request.ID]; waits {
			e.group.core.Submit(now, e.request)
			o.carryOut(e.group)
		}
	}
	o.early = nil
}

// group returns the group of a service; o.mu is held.
func (o *Owner) group(service string) *group {
	g, ok := o.groups[service]
	if !ok {
		g = &group{service: service, core: o.core(), waiters: make(map[wagplacement.RequestID]waiter)}
		o.groups[service] = g
	}
	return g
}

// Ticket stands for a request that was submitted.
type Ticket struct {
	owner *Owner
	group *group
	id    wagplacement.RequestID
}

// Submit asks for a server. reply is called once, unless the ticket is
// cancelled before; it must not block or call the owner.
func (o *Owner) Submit(service string, r wagplacement.Request, reply func(Outcome)) Ticket {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next++
	r.ID = o.next
	g := o.group(service)
	now := o.clock.Now()
	g.waiters[r.ID] = waiter{reply: reply, since: now}
	t := Ticket{owner: o, group: g, id: r.ID}
	if !o.started && !r.Foreign && now.Before(o.startUntil) {
		o.early = append(o.early, earlyRequest{group: g, request: r})
		o.plan(o.startUntil)
		return t
	}
	g.core.Submit(now, r)
	o.carryOut(g)
	return t
}

// IsWaiting tells whether the request has no reply yet.
func (t Ticket) IsWaiting() bool {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	_, waits := t.group.waiters[t.id]
	return waits
}

// Cancel takes a request out of the queue. It returns false when the reply was
// given before.
func (t Ticket) Cancel() bool {
	o := t.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, waits := t.group.waiters[t.id]; !waits {
		return false
	}
	delete(t.group.waiters, t.id)
	t.group.core.Cancel(o.clock.Now(), t.id)
	return true
}

// Place returns a server for a request, after waiting for one if need be.
func (o *Owner) Place(ctx context.Context, service string, r wagplacement.Request) Outcome {
	w := make(chan Outcome, 1)
	t := o.Submit(service, r, func(x Outcome) { w <- x })
	select {
	case x := <-w:
		return x
	case <-ctx.Done():
	}
	if t.Cancel() {
		return Refused{Reason: wagplacement.ReasonDeadline, RetryAt: o.clock.Now()}
	}
	return <-w
}

// carryOut executes what a core asks for; o.mu is held.
func (o *Owner) carryOut(g *group) {
	for _, command := range g.core.TakeCommands() {
		switch x := command.(type) {
		case wagplacement.Grant:
			o.observer.ObserveGrant(g.service, o.waited(g, x.Request.ID), x)
			g.answer(x.Request.ID, Granted{Server: x.Server, HedgeAfter: x.HedgeAfter, Finish: func(r wagplacement.Result) { o.finish(g, x.Request.ID, r) }})
		case wagplacement.Refuse:
			o.observer.ObserveRefusal(g.service, o.waited(g, x.Request.ID), x)
			g.answer(x.Request.ID, Refused{Reason: x.Reason, RetryAt: x.RetryAt})
		case wagplacement.Spill:
			o.tasks.Go(func() error {
				o.spill(g, x)
				return nil
			})
		case wagplacement.Probe:
			o.tasks.Go(func() error {
				o.probe(g, x)
				return nil
			})
		}
	}
	o.plan(g.core.NextWake())
}

// plan has the cores called at a time, unless that is zero; o.mu is held.
func (o *Owner) plan(at time.Time) {
	if at.IsZero() || !o.planned.IsZero() && !at.Before(o.planned) {
		return
	}
	o.planned = at
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// waited returns how long a request has waited; o.mu is held.
func (o *Owner) waited(g *group, id wagplacement.RequestID) time.Duration {
	w, ok := g.waiters[id]
	if !ok {
		return 0
	}
	return o.clock.Now().Sub(w.since)
}

func (g *group) answer(id wagplacement.RequestID, x Outcome) {
	if w, ok := g.waiters[id]; ok {
		delete(g.waiters, id)
		w.reply(x)
	}
}

// spill asks another data centre for a server.
func (o *Owner) spill(g *group, x wagplacement.Spill) {
	ctx, cancel := context.WithDeadline(context.Background(), x.Request.Deadline)
	defer cancel()
	foreign := x.Request
	foreign.Foreign = true
	outcome := o.remote(ctx, x.DataCentre, g.service, foreign)
	o.mu.Lock()
	now := o.clock.Now()
	granted, ok := outcome.(Granted)
	taken := ok && g.core.HandleSpillGrant(now, x.Request.ID)
	o.observer.ObserveSpill(g.service, x, taken)
	switch {
	case taken:
		g.answer(x.Request.ID, granted)
	case !ok:
		until := now.Add(spillPause)
		if refused, is := outcome.(Refused); is {
			until = refused.RetryAt
		}
		g.core.HandleSpillRefusal(now, x.Request.ID, x.DataCentre, until)
	}
	o.carryOut(g)
	o.mu.Unlock()
	if ok && !taken {
		granted.Finish(wagplacement.Result{Fault: wagplacement.FaultCanceled})
	}
}

// probe asks a server for its report and passes it on.
func (o *Owner) probe(g *group, p wagplacement.Probe) {
	ctx, cancel := context.WithDeadline(context.Background(), p.Deadline)
	defer cancel()
	r := o.prober.Probe(ctx, p.Server)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observer.ObserveProbe(p.Server, r)
	g.core.HandleProbeResult(o.clock.Now(), p.Server.ID, r)
	o.carryOut(g)
}

func (o *Owner) finish(g *group, id wagplacement.RequestID, r wagplacement.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g.core.FinishAttempt(o.clock.Now(), id, r)
	o.carryOut(g)
}

// minTick is the least time between two calls of Tick by the timer.
const minTick = time.Millisecond

// Run calls the cores when they ask for it, until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		var fired <-chan time.Time
		release := func() {}
		if at := o.tick(); !at.IsZero() {
			fired, release = o.clock.TimerAt(wagclock.Later(at, o.clock.Now().Add(minTick)))
		}
		select {
		case <-ctx.Done():
		case <-o.wake:
		case <-fired:
		}
		release()
	}
	return o.tasks.Wait()
}

// tick calls the cores that are due and returns when the next one is.
func (o *Owner) tick() (next time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	if len(o.early) > 0 {
		if now.Before(o.startUntil) {
			next = o.startUntil
		} else {
			o.start(now)
		}
	}
	for _, g := range o.groups {
		if at := g.core.NextWake(); !at.IsZero() && !at.After(now) {
			g.core.Tick(now)
			o.carryOut(g)
		}
		if at := g.core.NextWake(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	o.planned = next
	return next
}
