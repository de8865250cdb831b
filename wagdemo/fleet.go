package wagdemo

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagoperator"
	"github.com/wagtailspar/wagtailspar/wagstandin"
	"github.com/wagtailspar/wagtailspar/wagtimeline"
)

// Defaults of a fleet run.
const (
	DefaultDataCentres = 4
	DefaultChanges     = 100
	// DefaultFleetDuration is how long the hosts are idle and documents change.
	DefaultFleetDuration = 30 * time.Second
)

const (
	// settleDelay lets the messages between joining hosts end before the idle period
	// is measured.
	settleDelay = 3 * time.Second
	// idleShare is the share of the duration in which nothing changes.
	idleShare = 0.3
	// restartDelay is how long restartHosts waits after a restarted host is ready
	// before it stops the next one.
	restartDelay = 200 * time.Millisecond
	// retryDelay is the time between two attempts to write a change.
	retryDelay = 50 * time.Millisecond
	// watchWait is the setting watchWait of the hosts. It is well below
	// wagrollout.MaxConfirmationAge, because the end of a watch confirms only the
	// state at its start.
	watchWait = 3 * time.Second
)

// WithDataCentres sets the number of data centres of a fleet run.
func WithDataCentres(n int) Option {
	return func(d *Demo) {
		d.dataCentres = nil
		for i := range n {
			d.dataCentres = append(d.dataCentres, fmt.Sprintf("dc%d", i+1))
		}
	}
}

// WithChanges sets the number of document changes in a fleet run.
func WithChanges(n int) Option { return func(d *Demo) { d.changeCount = n } }

// WithIdleOnly leaves out the changes, restarts and outages of a fleet run.
func WithIdleOnly(idleOnly bool) Option { return func(d *Demo) { d.idleOnly = idleOnly } }

// fleet is a site whose hosts restart while documents change.
type fleet struct {
	demo *Demo
	site *site
	// group runs the entry hosts, also restarted ones.
	group   *errgroup.Group
	changes []fleetChange
	outages []timeRange
	// runs holds the runs of all hosts in the order of their starts.
	runs     []hostRun
	restarts int
	idle     idleReport
}

// timeRange is a period of time.
type timeRange struct{ from, to time.Time }

func (r timeRange) overlaps(other timeRange) bool {
	return r.from.Before(other.to) && other.from.Before(r.to)
}

// hostRun holds the events of a host from a start until its stop. endedAt is zero for
// a host that still runs.
type hostRun struct {
	host      string
	startedAt time.Time
	endedAt   time.Time
	events    []wagevent.Event
}

// RunFleet runs many hosts in several data centres. It reports how long changes of
// documents take to come into force, and the resources that hosts need without
// requests.
func (d *Demo) RunFleet(ctx context.Context) (r *FleetReport, err error) {
	defer func() { err = errors.WithMessage(err, "run fleet") }()
	d.settings = fmt.Sprintf("[terms]\nkeys = demonstration-secret-key\n[host]\nreadyDelay = 0s\nstopTime = 2s\n[store]\nwatchWait = %s\n", watchWait)
	s, err := newSite(d)
	if err != nil {
		return nil, err
	}
	g, gctx := errgroup.WithContext(ctx)
	runCtx, cancel := context.WithCancel(gctx)
	defer cancel()
	f := &fleet{demo: d, site: s, group: g}
	s.startAll(runCtx, g)
	for _, e := range s.entryHosts {
		f.runs = append(f.runs, hostRun{host: e.name, startedAt: time.Now()})
	}
	g.Go(func() error {
		defer cancel()
		return f.run(runCtx)
	})
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return f.report(), nil
}

// run waits until the hosts are ready, measures them while they are idle, and then
// changes documents during faults.
func (f *fleet) run(ctx context.Context) error {
	startedAt := time.Now()
	if err := f.site.publishAndWaitReady(ctx); err != nil {
		return err
	}
	f.demo.printProgress("%d entry hosts in %d data centres are ready after %.1f s", len(f.site.entryHosts), len(f.site.dataCentres), time.Since(startedAt).Seconds())
	if !wagclock.Wait(ctx, wagclock.System{}, time.Now().Add(settleDelay)) {
		return ctx.Err()
	}
	idlePart := idleShare
	if f.demo.idleOnly {
		idlePart = 1
	}
	if err := f.measureIdle(ctx, time.Duration(idlePart*float64(f.demo.duration))); err != nil {
		return err
	}
	if !f.demo.idleOnly {
		if err := f.changeDuringFaults(ctx); err != nil {
			return err
		}
	}
	for i := range f.site.entryHosts {
		if err := f.collectEvents(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// changeDuringFaults changes documents while hosts restart and store outages occur.
func (f *fleet) changeDuringFaults(ctx context.Context) error {
	duration := time.Duration((1 - idleShare) * float64(f.demo.duration))
	started := time.Now()
	changesCtx, endChanges := context.WithCancel(ctx)
	defer endChanges()
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer endChanges()
		return f.makeChanges(gctx, started, duration)
	})
	g.Go(func() error { return f.makeOutages(gctx, started, duration) })
	// Restarted hosts outlive this group, so they get its parent context.
	g.Go(func() error { return f.restartHosts(ctx, changesCtx) })
	if err := g.Wait(); err != nil {
		return err
	}
	return f.waitInForce(ctx)
}

// makeOutages disconnects half of the data centres from the store, and later makes the
// store fail for all.
func (f *fleet) makeOutages(ctx context.Context, started time.Time, duration time.Duration) error {
	timeAt := func(share float64) time.Time { return started.Add(time.Duration(share * float64(duration))) }
	disconnectHalf := func(disconnected bool) {
		for _, proxy := range f.site.storeProxies[:(len(f.site.storeProxies)+1)/2] {
			proxy.disconnected.Store(disconnected)
		}
	}
	stopStore := func(down bool) { f.site.store.SetFaults(wagstandin.StoreFaults{Down: down}) }
	if err := f.runOutage(ctx, "half of the data centres are cut from the store", timeRange{timeAt(0.3), timeAt(0.45)}, disconnectHalf); err != nil {
		return err
	}
	return f.runOutage(ctx, "the store is down", timeRange{timeAt(0.65), timeAt(0.75)}, stopStore)
}

// runOutage starts an outage at the planned time, ends it and records both.
func (f *fleet) runOutage(ctx context.Context, text string, planned timeRange, setOutage func(bool)) error {
	if !wagclock.Wait(ctx, wagclock.System{}, planned.from) {
		return ctx.Err()
	}
	f.recordFault(text)
	startedAt := time.Now()
	setOutage(true)
	defer setOutage(false)
	if !wagclock.Wait(ctx, wagclock.System{}, planned.to) {
		return ctx.Err()
	}
	f.outages = append(f.outages, timeRange{startedAt, time.Now()})
	f.recordFault("end of: " + text)
	return nil
}

// recordFault prints the fault and records it as an event.
func (f *fleet) recordFault(text string) {
	f.demo.printProgress("%s", text)
	f.site.faultEvents.Record(wagevent.Event{Kind: wagevent.KindFault, Detail: text})
}

// restartHosts restarts one host after another until changesCtx ends.
func (f *fleet) restartHosts(ctx, changesCtx context.Context) error {
	for n := 0; wagclock.Wait(changesCtx, wagclock.System{}, time.Now().Add(restartDelay)); n++ {
		if err := f.restartHost(ctx, n%len(f.site.entryHosts)); err != nil {
			return err
		}
	}
	return nil
}

// restartHost replaces the i-th host by a new one with the same name and waits until
// it is ready.
func (f *fleet) restartHost(ctx context.Context, i int) error {
	old := f.site.entryHosts[i]
	if err := f.collectEvents(ctx, i); err != nil {
		return err
	}
	f.site.faultEvents.Record(wagevent.Event{Kind: wagevent.KindFault, Detail: "restart of " + old.name})
	old.stop()
	<-old.done
	f.latestRun(old.name).endedAt = time.Now()
	e, err := f.site.newEntryHost(f.demo, i)
	if err != nil {
		return err
	}
	f.site.entryHosts[i] = e
	f.runs = append(f.runs, hostRun{host: e.name, startedAt: time.Now()})
	f.site.startHost(ctx, f.group, e)
	f.restarts++
	return errors.WithMessage(waitReady(ctx, e.operator), "restart host")
}

// collectEvents reads the events of the current run of the i-th host. Lost events are
// an error.
func (f *fleet) collectEvents(ctx context.Context, i int) error {
	e := f.site.entryHosts[i]
	stream := wagtimeline.Collect(ctx, wagoperator.New(), []netip.AddrPort{e.operator})[0]
	if stream.Err == nil && stream.Lost > 0 {
		stream.Err = errors.Errorf("%d events are lost", stream.Lost)
	}
	f.latestRun(e.name).events = stream.Events
	return errors.WithMessagef(stream.Err, "collect the events of %s", e.name)
}

// latestRun returns the latest run of a host, or nil.
func (f *fleet) latestRun(host string) *hostRun {
	for i := len(f.runs) - 1; i >= 0; i-- {
		if f.runs[i].host == host {
			return &f.runs[i]
		}
	}
	return nil
}
