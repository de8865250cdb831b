package wagload

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

const (
	// grantDelay is how long a host waits for a grant of the owner, and the owner for
	// the end of a request.
	grantDelay = 200 * time.Microsecond
	// maxAttempts is how many servers a request may be sent to.
	maxAttempts = 2
)

// placement decides with wagplacement.Core.
type placement struct {
	*run
	core     *wagplacement.Scheduler
	next     wagplacement.RequestID
	attempts map[wagplacement.RequestID]*attempt
	wake     time.Time
}

// attempt is a request that waits for a server or runs at one.
type attempt struct {
	request *request
	avoid   []string
	visit   *visit
	// other is the attempt that runs beside this one, or nil.
	other *attempt
	hedge bool
	id    wagplacement.RequestID
}

func newPlacement(x *run, without []wagplacement.Mechanism) *placement {
	var opts []wagplacement.Option
	for _, m := range without {
		opts = append(opts, wagplacement.WithoutMechanism(m))
	}
	p := &placement{run: x, core: wagplacement.New(opts...), attempts: make(map[wagplacement.RequestID]*attempt)}
	var list []wagserver.Instance
	for _, v := range x.servers {
		list = append(list, wagserver.Instance{
			ID: serverID(v.number), Service: "service", DataCentre: "a", Slots: x.pattern.Slots, State: wagserver.Live,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(v.number)}), 80),
		})
	}
	p.core.SetServers(start, list)
	return p
}

func serverID(number int) string { return fmt.Sprintf("s%d", number) }

func (p *placement) server(id string) *server {
	return p.servers[slices.IndexFunc(p.servers, func(v *server) bool { return serverID(v.number) == id })]
}

func (p *placement) submit(r *request) { p.place(&attempt{request: r}) }

// place asks the core for a server.
func (p *placement) place(t *attempt) {
	p.next++
	t.id = p.next
	p.attempts[t.id] = t
	r := t.request
	p.core.Submit(p.Now(), wagplacement.Request{
		ID: t.id, Route: r.route.Name, Rank: r.route.Rank, Goal: r.goal, Deadline: r.deadline,
		Avoid: t.avoid, Repeat: r.attempts > 0, Hedge: t.hedge,
	})
	p.carryOut()
}

// carryOut does what the core asks for, and wakes it when it is to be.
func (p *placement) carryOut() {
	for commands := p.core.TakeCommands(); len(commands) > 0; commands = p.core.TakeCommands() {
		for _, command := range commands {
			switch x := command.(type) {
			case wagplacement.Grant:
				p.ScheduleAfter(grantDelay, func() { p.granted(x) })
			case wagplacement.Refuse:
				p.refused(x)
			case wagplacement.Probe:
				p.probe(x)
			case wagplacement.Spill:
			}
		}
	}
	at := p.core.NextWake()
	if at.IsZero() || p.wake.After(p.Now()) && !at.Before(p.wake) {
		return
	}
	if at.Before(p.Now()) {
		at = p.Now()
	}
	p.wake = at
	p.ScheduleAt(at, func() {
		if p.wake.Equal(p.Now()) {
			p.wake = time.Time{}
			p.core.Tick(p.Now())
			p.carryOut()
		}
	})
}

// granted sends a request to its server.
func (p *placement) granted(g wagplacement.Grant) {
	t := p.attempts[g.Request.ID]
	r := t.request
	if r.ended {
		p.finish(t, wagplacement.FaultCanceled, false)
		return
	}
	r.attempts++
	v := p.server(g.Server.ID)
	t.avoid = append(slices.Clone(t.avoid), g.Server.ID)
	t.visit = p.send(r, v, func(e visitEnd) { p.ended(t, e) })
	if t.hedge || g.HedgeAfter == 0 || !r.route.Idempotent || r.attempts >= maxAttempts {
		return
	}
	p.ScheduleAfter(g.HedgeAfter, func() {
		if t.visit.over || r.ended || r.attempts >= maxAttempts {
			return
		}
		t.other = &attempt{request: r, avoid: t.avoid, hedge: true, other: t}
		p.place(t.other)
	})
}

// ended takes the end of an attempt.
func (p *placement) ended(t *attempt, e visitEnd) {
	r := t.request
	switch e {
	case visitDone:
		p.answer(r)
		p.finish(t, wagplacement.FaultNone, true)
		if o := t.other; o != nil && o.visit != nil && !o.visit.over {
			o.visit.cancel()
			p.finish(o, wagplacement.FaultOvertaken, false)
		}
		return
	case visitError:
		p.finish(t, wagplacement.FaultError, true)
	case visitRejected:
		p.finish(t, wagplacement.FaultRejected, true)
	case visitUnreachable:
		p.finish(t, wagplacement.FaultConnect, false)
	case visitTimeout:
		p.finish(t, wagplacement.FaultTimeout, false)
	}
	if o := t.other; o != nil && o.visit != nil && !o.visit.over {
		return
	}
	notRun := e == visitRejected || e == visitUnreachable
	if r.ended || r.attempts >= maxAttempts || !notRun && !r.route.Idempotent || !p.Now().Before(r.deadline) {
		p.fail(r)
		return
	}
	p.place(&attempt{request: r, avoid: t.avoid})
}

// finish tells the core of the end of an attempt.
func (p *placement) finish(t *attempt, f wagplacement.Fault, answered bool) {
	delete(p.attempts, t.id)
	x := wagplacement.Result{Fault: f}
	if t.visit != nil {
		x.Latency = p.Now().Sub(t.visit.sent)
		x.HasReport = answered
		x.Report = t.visit.server.report()
		if f == wagplacement.FaultNone {
			x.Report.Running++ // the report counts the request that it answers
		}
	}
	p.ScheduleAfter(grantDelay, func() {
		p.core.FinishAttempt(p.Now(), t.id, x)
		p.carryOut()
	})
}

func (p *placement) refused(x wagplacement.Refuse) {
	t := p.attempts[x.Request.ID]
	delete(p.attempts, x.Request.ID)
	switch {
	case t.hedge:
	case t.request.attempts > 0:
		p.fail(t.request)
	default:
		p.refuse(t.request, x.RetryAt)
	}
}

func (p *placement) probe(x wagplacement.Probe) {
	v := p.server(x.Server.ID)
	answer := func(r wagplacement.Result) {
		p.core.HandleProbeResult(p.Now(), x.Server.ID, r)
		p.carryOut()
	}
	p.ScheduleAfter(linkDelay, func() {
		switch {
		case v.isDown():
			p.ScheduleAfter(linkDelay, func() { answer(wagplacement.Result{Fault: wagplacement.FaultConnect}) })
		case v.isSilent():
			p.ScheduleAt(x.Deadline, func() { answer(wagplacement.Result{Fault: wagplacement.FaultTimeout}) })
		default:
			r := wagplacement.Result{HasReport: true, Report: v.report()}
			p.ScheduleAfter(linkDelay, func() { answer(r) })
		}
	})
}

// report is what the server says of itself.
func (v *server) report() wagplacement.Report {
	return wagplacement.Report{Running: len(v.running), Waiting: len(v.waiting), Slots: v.run.pattern.Slots, Slowness: v.reported()}
}
