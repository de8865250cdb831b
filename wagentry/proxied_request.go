package wagentry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagretry"
	"github.com/wagtailspar/wagtailspar/wagrouting"
)

// proxiedRequest is the state of one request that passes through this host.
type proxiedRequest struct {
	proxy    *Proxy
	incoming *http.Request
	// ctx ends at the deadline or when the caller disconnects. release ends it too.
	ctx     context.Context
	release context.CancelFunc
	// snapshot, members, document and route don't change while the request is served.
	snapshot  *Snapshot
	members   []wagmember.Member
	document  *wagdocument.Document
	route     wagdocument.Route
	caller    string
	requestID string
	deadline  time.Time
	// startBy is the latest time for the first byte of an attempt, or zero. For a
	// request with a key it lies within the lease of the key's owner.
	startBy   time.Time
	arrived   time.Time
	hops      hops
	admission Admission
	// body is nil for a request without a body.
	body *replayableBody
	// atMostOnce forbids another attempt after a byte of one was written. It is set for
	// requests with a key whose route is not repeatable.
	atMostOnce bool
	// attempts is the attempt header that the request came with. extraAttempts counts
	// the attempts of this host beyond the first.
	attempts      wagretry.Attempts
	extraAttempts int
	// mayHaveRun is set when an abandoned attempt may have run.
	mayHaveRun bool
	// waitTime is the time spent in the queue and waiting for servers and other hosts.
	waitTime time.Duration
}

// response is the response to a request and the attempt that it comes from.
type response struct {
	outcome wagoutcome.Outcome
	reason  wagoutcome.Reason
	// status, contentType and body are those of a recorded response.
	status      int
	contentType string
	body        []byte
	// attempt is nil if the request was not sent to a server or to another host.
	attempt *attempt
}

// refusal returns the response to a request that is not run.
func refusal(reason wagoutcome.Reason) response {
	return response{outcome: wagoutcome.NotRun, reason: reason}
}

func (p *proxiedRequest) budgetKey() wagretry.BudgetKey {
	return wagretry.BudgetKey{Service: p.document.Service.Name, Caller: p.caller}
}

func (p *proxiedRequest) recordEvent(kind wagevent.Kind, server, detail string) {
	p.proxy.events.Record(wagevent.Event{
		Kind: kind, Service: p.document.Service.Name, Server: server, Caller: p.caller, Request: p.requestID, Detail: detail,
	})
}

// mayStart reports whether the first byte of an attempt may still be written.
func (p *proxiedRequest) mayStart() bool {
	now := p.proxy.clock.Now()
	return now.Before(p.deadline) && (p.startBy.IsZero() || now.Before(p.startBy))
}

// run places the request and returns its response.
func (p *proxiedRequest) run() response {
	p.proxy.budgets.AddFirstAttempt(p.budgetKey(), p.document.Retries.Share)
	res := p.place()
	if res.outcome == wagoutcome.NotRun && p.mayHaveRun {
		res.outcome = wagoutcome.Unknown
	}
	return res
}

// place sends the request to the owner of its group, or places it at this host.
func (p *proxiedRequest) place() response {
	if p.hops.any() {
		return p.placeLocally()
	}
	t := p.chooseTarget()
	if !t.address.IsValid() {
		return p.placeLocally()
	}
	res, placed := p.forward(t)
	if placed {
		return res
	}
	return p.placeLocally()
}

// placeLocally sends the request to a server of this data centre and retries it where
// that is permitted. If the group is full, the request may spill to another data centre.
func (p *proxiedRequest) placeLocally() response {
	g := p.proxy.group(p.document.Service.Name)
	if g == nil {
		return refusal(wagoutcome.ReasonNoServer)
	}
	var avoid netip.AddrPort
	for {
		before := p.proxy.clock.Now()
		id, decision := g.acquire(p.ctx, p.routingRequest(avoid))
		p.waitTime += p.proxy.clock.Now().Sub(before)
		switch x := decision.(type) {
		case wagrouting.Send:
			a := p.sendHedged(g, id, x.Server)
			if !p.takeRetry(a) {
				return a.response()
			}
			p.abandon(a)
			p.proxy.metrics.CountRetry(p.document.Service.Name)
			avoid = p.serverToAvoid(x.Server)
		case wagrouting.Forward:
			return p.spill(x.DataCentre)
		case wagrouting.Refuse:
			return refusal(x.Reason)
		default:
			return refusal(wagoutcome.ReasonNoServer)
		}
	}
}

// serverToAvoid returns the failed server if there are others for the next attempt.
func (p *proxiedRequest) serverToAvoid(failed netip.AddrPort) netip.AddrPort {
	if len(p.snapshot.serversByDataCentre[p.document.Service.Name][p.proxy.settings.Host.DataCentre]) < 2 {
		return netip.AddrPort{}
	}
	return failed
}

func (p *proxiedRequest) routingRequest(avoid netip.AddrPort) wagrouting.Request {
	return wagrouting.Request{
		Caller: p.caller, Route: p.route.Name, Class: p.route.Class, Deadline: p.deadline,
		Priority: p.admission.Priority, Pinned: p.hops.dataCentre, Avoid: avoid,
	}
}

// takeRetry reports whether the request is retried after a, and takes a token of the
// budget for the retry.
func (p *proxiedRequest) takeRetry(a *attempt) bool {
	if p.ctx.Err() != nil || !p.retryPermitted(a) {
		return false
	}
	if !p.body.canReopen() {
		return false
	}
	return p.proxy.budgets.TakeToken(p.budgetKey())
}

// retryPermitted reports whether a retry after a is permitted, apart from the budget.
func (p *proxiedRequest) retryPermitted(a *attempt) bool {
	if p.atMostOnce && a.written {
		return false
	}
	if a.evidence.BodyTooLarge {
		return false
	}
	return wagretry.LastAttempt{
		Repeatable: p.route.Repeatable, Outcome: a.outcome, BadStatus: a.badStatus,
		Sent: a.sentAttempts, Reported: a.reportedAttempts, MaxAttempts: p.document.Retries.Attempts,
	}.MayRetry()
}

// abandon ends an attempt whose response is not sent to the caller.
func (p *proxiedRequest) abandon(a *attempt) {
	if a.outcome != wagoutcome.NotRun {
		p.mayHaveRun = true
	}
	a.finish()
	p.extraAttempts++
}
