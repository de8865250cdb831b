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
	DefaultDataCentres   = 4
	DefaultChanges       = 100
	DefaultFleetDuration = 30 * time.Second
)

const (
	// settleTime lets joining end before the idle window begins.
	settleTime = 3 * time.Second
	// idleShare is the part of the time in which nothing changes.
	idleShare = 0.3
	// restartPause is the time between a restarted host being ready and the
	// stop of the next one.
	restartPause = 200 * time.Millisecond
	// retryPause is how long the operator waits after a refused change.
	retryPause = 50 * time.Millisecond
	// watchWait is how long a watch of a fleet host waits. It is well below the
	// time for which a confirmation by the store counts, because a watch
	// confirms only what was so when it began.
	watchWait = 3 * time.Second
)

// WithDataCentres sets the number of data centres of a fleet.
func WithDataCentres(n int) Option {
	return func(d *Demo) {
		d.centres = nil
		for i := range n {
			d.centres = append(d.centres, fmt.Sprintf("dc%d", i+1))
		}
	}
}

// WithChanges sets how often a fleet run changes documents.
func WithChanges(n int) Option { return func(d *Demo) { d.changes = n } }

// WithIdleOnly leaves out changes, restarts and outages of a fleet run.
func WithIdleOnly(idle bool) Option { return func(d *Demo) { d.idle = idle } }

// fleet is a site whose hosts are restarted while documents change.
type fleet struct {
	demo    *Demo
	site    *site
	group   *errgroup.Group
	changes []fleetChange
	outages []span
	// starts holds the events of every start of every host.
	starts   []hostStart
	restarts int
	idle     idleReport
}

// span is the time between two events.
type span struct{ from, to time.Time }

func (p span) overlaps(o span) bool { return p.from.Before(o.to) && o.from.Before(p.to) }

// hostStart is what one start of a host recorded.
type hostStart struct {
	host    string
	began   time.Time
	ended   time.Time
	records []wagevent.Event
}

// RunFleet runs many hosts in several data centres and reports how documents
// come into force and what the control of the hosts costs.
func (d *Demo) RunFleet(ctx context.Context) (r *FleetReport, err error) {
	defer func() { err = errors.WithMessage(err, "run fleet") }()
	d.settings = fmt.Sprintf("[terms]\nkeys = demonstration-secret-key\n[host]\nreadyDelay = 0s\nstopTime = 2s\n[store]\nwatchWait = %s\n", watchWait)
	s, err := newSite(d)
	if err != nil {
		return nil, err
	}
	g, gctx := errgroup.WithContext(ctx)
	stop, end := context.WithCancel(gctx)
	defer end()
	f := &fleet{demo: d, site: s, group: g}
	s.run(stop, g)
	for _, e := range s.entries {
		f.starts = append(f.starts, hostStart{host: e.name, began: time.Now()})
	}
	g.Go(func() error {
		defer end()
		return f.play(stop)
	})
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return f.report(), nil
}

func (f *fleet) play(ctx context.Context) error {
	began := time.Now()
	if err := f.site.ready(ctx); err != nil {
		return err
	}
	f.demo.say("%d entry hosts in %d data centres are ready after %.1f s", len(f.site.entries), len(f.site.centres), time.Since(began).Seconds())
	if !wagclock.Wait(ctx, wagclock.System{}, time.Now().Add(settleTime)) {
		return ctx.Err()
	}
	share := idleShare
	if f.demo.idle {
		share = 1
	}
	if err := f.idleWindow(ctx, time.Duration(share*float64(f.demo.time))); err != nil {
		return err
	}
	if !f.demo.idle {
		if err := f.disturb(ctx); err != nil {
			return err
		}
	}
	for i := range f.site.entries {
		if err := f.collect(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// disturb changes documents while hosts restart and the store fails.
func (f *fleet) disturb(ctx context.Context) error {
	length := time.Duration((1 - idleShare) * float64(f.demo.time))
	started := time.Now()
	changing, changed := context.WithCancel(ctx)
	defer changed()
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer changed()
		return f.change(gctx, started, length)
	})
	g.Go(func() error { return f.fail(gctx, started, length) })
	// Restarted hosts outlive this group.
	g.Go(func() error { return f.restart(ctx, changing) })
	if err := g.Wait(); err != nil {
		return err
	}
	return f.settle(ctx)
}

// fail cuts half of the data centres from the store, and later all of them.
func (f *fleet) fail(ctx context.Context, started time.Time, length time.Duration) error {
	at := func(share float64) time.Time { return started.Add(time.Duration(share * float64(length))) }
	half := func(cut bool) {
		for _, g := range f.site.gates[:(len(f.site.gates)+1)/2] {
			g.cut.Store(cut)
		}
	}
	all := func(down bool) { f.site.store.SetFaults(wagstandin.StoreFaults{Down: down}) }
	if err := f.outage(ctx, "half of the data centres are cut from the store", span{at(0.3), at(0.45)}, half); err != nil {
		return err
	}
	return f.outage(ctx, "the store is down", span{at(0.65), at(0.75)}, all)
}

func (f *fleet) outage(ctx context.Context, text string, planned span, set func(bool)) error {
	if !wagclock.Wait(ctx, wagclock.System{}, planned.from) {
		return ctx.Err()
	}
	f.note(text)
	began := time.Now()
	set(true)
	defer set(false)
	if !wagclock.Wait(ctx, wagclock.System{}, planned.to) {
		return ctx.Err()
	}
	f.outages = append(f.outages, span{began, time.Now()})
	f.note("end of: " + text)
	return nil
}

func (f *fleet) note(text string) {
	f.demo.say("%s", text)
	f.site.operator.Record(wagevent.Event{Kind: wagevent.KindFault, Detail: text})
}

// restart stops and starts one host after another until changing ends.
func (f *fleet) restart(ctx, changing context.Context) error {
	for n := 0; wagclock.Wait(changing, wagclock.System{}, time.Now().Add(restartPause)); n++ {
		if err := f.restartOne(ctx, n%len(f.site.entries)); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) restartOne(ctx context.Context, i int) error {
	old := f.site.entries[i]
	if err := f.collect(ctx, i); err != nil {
		return err
	}
	f.site.operator.Record(wagevent.Event{Kind: wagevent.KindFault, Detail: "restart of " + old.name})
	old.stop()
	<-old.done
	f.latest(old.name).ended = time.Now()
	e, err := f.site.newEntry(f.demo, i)
	if err != nil {
		return err
	}
	f.site.entries[i] = e
	f.starts = append(f.starts, hostStart{host: e.name, began: time.Now()})
	f.site.start(ctx, f.group, e)
	f.restarts++
	return errors.WithMessage(waitReady(ctx, e.operator), "restart host")
}

// collect reads the events of the current start of a host.
func (f *fleet) collect(ctx context.Context, i int) error {
	e := f.site.entries[i]
	stream := wagtimeline.Collect(ctx, wagoperator.New(), []netip.AddrPort{e.operator})[0]
	if stream.Err == nil && stream.Lost > 0 {
		stream.Err = errors.Errorf("%d events are lost", stream.Lost)
	}
	f.latest(e.name).records = stream.Events
	return errors.WithMessagef(stream.Err, "collect the events of %s", e.name)
}

// latest returns the latest start of a host.
func (f *fleet) latest(host string) *hostStart {
	for i := len(f.starts) - 1; i >= 0; i-- {
		if f.starts[i].host == host {
			return &f.starts[i]
		}
	}
	return nil
}
