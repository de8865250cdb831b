package wagentry

import (
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagrouting"
)

// sendHedged makes an attempt at a server, beside a second one when the first
// is slow and the document permits it. The other attempt is cancelled.
func (p *proxiedCall) sendHedged(g *group, id wagrouting.RequestID, server netip.AddrPort) *try {
	first := p.newTry(g, id, server, p.extra)
	start := p.entry.clock.Now()
	defer func() { p.outside += p.entry.clock.Now().Sub(start) }()
	at, ok := p.hedgeAt(g, start)
	if !ok {
		first.send()
		return first
	}
	results := make(chan *try, 2)
	var group errgroup.Group
	group.Go(func() error {
		first.send()
		results <- first
		return nil
	})
	fired, release := p.entry.clock.TimerAt(at)
	defer release()
	select {
	case t := <-results:
		return t
	case <-fired:
	}
	second := p.hedge(g, server)
	if second == nil {
		return <-results
	}
	group.Go(func() error {
		second.send()
		results <- second
		return nil
	})
	t := <-results
	other := first
	if t == first {
		other = second
	}
	if t.resp == nil || t.bad {
		p.mayHaveRun = p.mayHaveRun || t.outcome != wagoutcome.NotRun
		t.finish()
		return <-results
	}
	other.wire.cancel()
	group.Go(func() error {
		loser := <-results
		loser.result.Fault = wagrouting.FaultCanceled
		loser.finish()
		return nil
	})
	return t
}

// hedgeAt returns when a second attempt may start. Calls with a body are not
// hedged, because two attempts can not read it at once.
func (p *proxiedCall) hedgeAt(g *group, sent time.Time) (time.Time, bool) {
	r := p.document.Retries
	if !r.Hedge || !p.route.Repeatable || p.body != nil || p.once {
		return time.Time{}, false
	}
	if p.marker.Add(p.extra).Count >= r.Attempts {
		return time.Time{}, false
	}
	return g.times.HedgeTime(sent, r.HedgeQuantile)
}

// hedge returns the second attempt if a slot of another server is free and the
// budget permits it.
func (p *proxiedCall) hedge(g *group, busy netip.AddrPort) *try {
	call := p.call(busy)
	// A hedge stays in this data centre and must not count as spilled.
	call.Pinned = true
	id, decision := g.acquireNow(call)
	x, ok := decision.(wagrouting.Send)
	if !ok {
		return nil
	}
	if x.Server == busy || !p.entry.budgets.TakeToken(p.path()) {
		g.finished(id, wagrouting.Result{Fault: wagrouting.FaultCanceled})
		return nil
	}
	p.extra++
	p.entry.metrics.Hedge(p.document.Service.Name)
	return p.newTry(g, id, x.Server, p.extra)
}
