package wagentry

import (
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagrouting"
)

// sendHedged sends an attempt to a server, and a hedge to another server if the
// first attempt is slow and the document permits it. It returns the attempt that first
// gets a usable response and cancels the other one. If none gets one, it returns the
// attempt that ends last.
func (p *proxiedRequest) sendHedged(g *group, id wagrouting.RequestID, server netip.AddrPort) *attempt {
	first := p.newAttempt(g, id, server, p.extraAttempts)
	start := p.proxy.clock.Now()
	defer func() { p.waitTime += p.proxy.clock.Now().Sub(start) }()
	at, ok := p.hedgeTime(g, start)
	if !ok {
		first.send()
		return first
	}
	results := make(chan *attempt, 2)
	var sends errgroup.Group
	sends.Go(func() error {
		first.send()
		results <- first
		return nil
	})
	fired, release := p.proxy.clock.TimerAt(at)
	defer release()
	select {
	case winner := <-results:
		return winner
	case <-fired:
	}
	second := p.newHedge(g, server)
	if second == nil {
		return <-results
	}
	sends.Go(func() error {
		second.send()
		results <- second
		return nil
	})
	winner := <-results
	other := first
	if winner == first {
		other = second
	}
	if winner.resp == nil || winner.badStatus {
		p.mayHaveRun = p.mayHaveRun || winner.outcome != wagoutcome.NotRun
		winner.finish()
		return <-results
	}
	other.guard.cancel()
	sends.Go(func() error {
		loser := <-results
		loser.result.Fault = wagrouting.FaultCanceled
		loser.finish()
		return nil
	})
	return winner
}

// hedgeTime returns when a hedge may start, or false if it is not permitted.
// Requests with a body are not hedged, because two attempts can't read it at the
// same time.
func (p *proxiedRequest) hedgeTime(g *group, sentAt time.Time) (time.Time, bool) {
	r := p.document.Retries
	if !r.Hedge || !p.route.Repeatable || p.body != nil || p.atMostOnce {
		return time.Time{}, false
	}
	if p.attempts.Add(p.extraAttempts).Count >= r.Attempts {
		return time.Time{}, false
	}
	return g.serviceTimes.HedgeTime(sentAt, r.HedgeQuantile)
}

// newHedge returns a second attempt if another server has a free slot and the budget
// permits it, and nil otherwise.
func (p *proxiedRequest) newHedge(g *group, firstServer netip.AddrPort) *attempt {
	request := p.routingRequest(firstServer)
	// A hedge stays in this data centre and must not count as spilled.
	request.Pinned = true
	id, decision := g.tryAcquire(request)
	send, ok := decision.(wagrouting.Send)
	if !ok {
		return nil
	}
	if send.Server == firstServer || !p.proxy.budgets.TakeToken(p.budgetKey()) {
		g.finishAttempt(id, wagrouting.Result{Fault: wagrouting.FaultCanceled})
		return nil
	}
	p.extraAttempts++
	p.proxy.metrics.CountHedge(p.document.Service.Name)
	return p.newAttempt(g, id, send.Server, p.extraAttempts)
}
