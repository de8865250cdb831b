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

// proxiedCall is one call on its way through this host.
type proxiedCall struct {
	entry *Proxy
	in    *http.Request
	// ctx ends at the deadline or when the caller leaves; release ends it.
	ctx     context.Context
	release context.CancelFunc
	// snapshot, members, document and route stay the same from start to end.
	snapshot *Snapshot
	members  []wagmember.Member
	document *wagdocument.Document
	route    wagdocument.Route
	caller   string
	request  string
	deadline time.Time
	// startBy is the latest time for the first byte of an attempt, zero without
	// one. For keyed work it lies inside the lease of the key's owner.
	startBy time.Time
	arrived time.Time
	hop     hop
	granted Admission
	// body is nil for calls without one.
	body *replayableBody
	// once forbids more than one attempt, as for keyed work.
	once bool
	// marker is what the call arrived with, extra how many attempts beyond the
	// first this host made.
	marker wagretry.Attempts
	extra  int
	// mayHaveRun is set once an attempt that was given up may have run.
	mayHaveRun bool
	// outside is the time spent in the queue, at servers and at other hosts.
	outside time.Duration
}

// answer is what a call ends with.
type answer struct {
	outcome wagoutcome.Outcome
	reason  wagoutcome.Reason
	// status, contentType and body are those of a recorded answer.
	status      int
	contentType string
	body        []byte
	// try is nil without an answer of a server or of another host.
	try *try
}

func refusal(r wagoutcome.Reason) answer {
	return answer{outcome: wagoutcome.NotRun, reason: r}
}

func (p *proxiedCall) path() wagretry.BudgetKey {
	return wagretry.BudgetKey{Service: p.document.Service.Name, Caller: p.caller}
}

func (p *proxiedCall) record(kind wagevent.Kind, server, detail string) {
	p.entry.events.Record(wagevent.Event{
		Kind: kind, Service: p.document.Service.Name, Server: server, Caller: p.caller, Request: p.request, Detail: detail,
	})
}

// mayStart tells whether the first byte of an attempt may still be written.
func (p *proxiedCall) mayStart() bool {
	now := p.entry.clock.Now()
	return now.Before(p.deadline) && (p.startBy.IsZero() || now.Before(p.startBy))
}

// run places the call and returns its answer.
func (p *proxiedCall) run() answer {
	p.entry.budgets.AddFirstAttempt(p.path(), p.document.Retries.Share)
	a := p.place()
	if a.outcome == wagoutcome.NotRun && p.mayHaveRun {
		a.outcome = wagoutcome.Unknown
	}
	return a
}

func (p *proxiedCall) place() answer {
	if p.hop.any() {
		return p.local()
	}
	t := p.target()
	if !t.forward.IsValid() {
		return p.local()
	}
	a, placed := p.forward(t)
	if placed {
		return a
	}
	return p.local()
}

// local places the call on the servers of this data centre.
func (p *proxiedCall) local() answer {
	g := p.entry.group(p.document.Service.Name)
	if g == nil {
		return refusal(wagoutcome.ReasonNoServer)
	}
	var avoid netip.AddrPort
	for {
		before := p.entry.clock.Now()
		id, decision := g.acquire(p.ctx, p.call(avoid))
		p.outside += p.entry.clock.Now().Sub(before)
		switch x := decision.(type) {
		case wagrouting.Send:
			t := p.sendHedged(g, id, x.Server)
			if !p.again(t) {
				return t.answer()
			}
			p.giveUp(t)
			p.entry.metrics.Retry(p.document.Service.Name)
			avoid = p.avoid(x.Server)
		case wagrouting.Forward:
			return p.spill(x.DataCentre)
		case wagrouting.Refuse:
			return refusal(x.Reason)
		default:
			return refusal(wagoutcome.ReasonNoServer)
		}
	}
}

// avoid returns the server that the next attempt avoids, if there are others.
func (p *proxiedCall) avoid(failed netip.AddrPort) netip.AddrPort {
	if len(p.snapshot.centres[p.document.Service.Name][p.entry.settings.Host.DataCentre]) < 2 {
		return netip.AddrPort{}
	}
	return failed
}

func (p *proxiedCall) call(avoid netip.AddrPort) wagrouting.Request {
	return wagrouting.Request{
		Caller: p.caller, Route: p.route.Name, Class: p.route.Class, Deadline: p.deadline,
		Priority: p.granted.Priority, Pinned: p.hop.zone, Avoid: avoid,
	}
}

// again tells whether the call is to be tried once more after t, and takes the
// token for it.
func (p *proxiedCall) again(t *try) bool {
	if p.ctx.Err() != nil || !p.permits(t) {
		return false
	}
	if !p.body.reopens() {
		return false
	}
	return p.entry.budgets.TakeToken(p.path())
}

func (p *proxiedCall) permits(t *try) bool {
	if p.once && t.written {
		return false
	}
	if t.evidence.BodyTooLarge {
		return false
	}
	return wagretry.LastAttempt{
		Repeatable: p.route.Repeatable, Outcome: t.outcome, BadStatus: t.bad,
		Sent: t.marker, Reported: t.below, MaxAttempts: p.document.Retries.Attempts,
	}.MayRetry()
}

// giveUp ends an attempt whose answer is not passed on.
func (p *proxiedCall) giveUp(t *try) {
	if t.outcome != wagoutcome.NotRun {
		p.mayHaveRun = true
	}
	t.finish()
	p.extra++
}
