package wagentry

import (
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// Values of the hop header, and of the hop label of the metrics.
const (
	hopOwner      = "owner"
	hopDataCentre = "zone"
	hopKeyed      = "keyed"
)

// hops records how a request has been forwarded so far: at most once to the owner of
// its group within a data centre and at most once to another data centre. Before
// that, a keyed request is forwarded at most once to the owner of its key.
type hops struct{ owner, dataCentre, keyed bool }

// any reports whether the request was forwarded in order to be placed. A forward to
// the owner of the key doesn't count.
func (h hops) any() bool { return h.owner || h.dataCentre }

func (h hops) String() string {
	switch {
	case h.owner && h.dataCentre:
		return hopOwner + "," + hopDataCentre
	case h.dataCentre:
		return hopDataCentre
	case h.keyed:
		return hopKeyed
	default:
		return hopOwner
	}
}

// parseHops parses a hop header, which every request on the forward port has.
func parseHops(text string) (h hops, ok bool) {
	for _, word := range strings.Split(text, ",") {
		switch word {
		case hopOwner:
			h.owner = true
		case hopDataCentre:
			h.dataCentre = true
		case hopKeyed:
			h.keyed = true
		default:
			return hops{}, false
		}
	}
	return h, !h.keyed || !h.any()
}

// forward sends the request to the owner of its group. If an owner in another data
// centre doesn't take it, forward sends it to the owner's successor. It returns false
// if this host is to place the request instead: nothing was written, the owner has
// another revision of the document in force, or the budget permits a retry of a failed
// attempt.
func (p *proxiedRequest) forward(to target) (response, bool) {
	res, placed := p.forwardOnce(to)
	if placed || !to.successor.IsValid() {
		return res, placed
	}
	return p.forwardOnce(target{address: to.successor, otherDataCentre: to.otherDataCentre})
}

// forwardOnce sends the request to one host. It returns false if the request is to be
// placed elsewhere.
func (p *proxiedRequest) forwardOnce(to target) (response, bool) {
	h := hops{owner: !to.otherDataCentre || p.hops.owner, dataCentre: to.otherDataCentre || p.hops.dataCentre}
	a := p.sendToHost(to.address, h)
	switch {
	case a.resp != nil && a.reason != wagoutcome.ReasonStaleConfiguration:
		return a.response(), true
	case a.outcome == wagoutcome.NotRun && (p.ctx.Err() != nil || !p.body.canReopen()):
		return a.response(), true
	case a.outcome == wagoutcome.NotRun:
		a.finish()
		return response{}, false
	case !p.takeRetry(a):
		return a.response(), true
	}
	// The owner may have failed. The next attempt goes to its successor or is placed
	// here.
	p.abandon(a)
	p.proxy.metrics.CountRetry(p.document.Service.Name)
	return response{}, false
}

// spill sends the request to the owner of the group in another data centre.
func (p *proxiedRequest) spill(dataCentre string) response {
	t, ok := p.remoteTarget(dataCentre)
	if !ok || p.hops.dataCentre {
		return refusal(wagoutcome.ReasonNoServer)
	}
	res, placed := p.forward(t)
	if placed {
		p.recordSpill(dataCentre, res)
		return res
	}
	// Pins the request to this data centre, so that it doesn't spill again.
	p.hops.dataCentre = true
	return p.placeLocally()
}

// recordSpill records how long the other data centre took until the header of its
// response.
func (p *proxiedRequest) recordSpill(dataCentre string, res response) {
	g := p.proxy.group(p.document.Service.Name)
	if g == nil || res.outcome != wagoutcome.Done || res.attempt == nil {
		return
	}
	g.recordSpill(dataCentre, res.attempt.result.HeaderReceivedAt.Sub(res.attempt.result.SentAt))
}

// sendToHost sends the request to the forward port of another host.
func (p *proxiedRequest) sendToHost(to netip.AddrPort, h hops) *attempt {
	service, label := p.document.Service.Name, hopOwner
	switch {
	case h.dataCentre:
		label = hopDataCentre
	case h.keyed:
		label = hopKeyed
	}
	a := &attempt{request: p, server: to, sentAttempts: p.attempts.Add(p.extraAttempts)}
	a.guard, a.ctx = newWriteGuard(p.ctx, p.mayStart)
	a.endpoint = p.proxy.hostPool.get(to, maxForwardConnections, func(int) {})
	p.proxy.metrics.CountForward(service, label)
	p.recordEvent(wagevent.KindForward, a.endpoint.address, label)
	start := p.proxy.clock.Now()
	ok := a.roundTrip(http.Header{
		wagoutcome.HopHeader:      {h.String()},
		wagoutcome.ServiceHeader:  {service},
		wagoutcome.CallerHeader:   {p.caller},
		wagoutcome.ClassHeader:    {p.route.Class.String()},
		wagoutcome.PriorityHeader: {strconv.Itoa(p.admission.Priority)},
	})
	p.waitTime += p.proxy.clock.Now().Sub(start)
	if ok {
		a.readOutcome()
	}
	return a
}

// readOutcome reads the outcome that the other host reports. A response without one
// doesn't come from the forward port of a host, and proves nothing.
func (a *attempt) readOutcome() {
	h := a.resp.Header
	reported := h.Get(wagoutcome.OutcomeHeader)
	if reported == "" {
		_ = a.resp.Body.Close()
		a.resp = nil
		a.outcome, a.reason = wagoutcome.Unknown, wagoutcome.ReasonConnection
		return
	}
	a.outcome = wagoutcome.Parse(reported)
	a.reason = wagoutcome.Reason(h.Get(wagoutcome.ReasonHeader))
	if a.reason != "" && !wagoutcome.IsKnownReason(a.reason) {
		a.reason = wagoutcome.ReasonConnection
	}
}

// serveForward serves a request that another host forwarded.
func (px *Proxy) serveForward(c echo.Context) error {
	p, reason := px.parseForwarded(c.Request())
	if reason != "" {
		return px.refuse(c, nil, reason)
	}
	return p.serve(c)
}

// parseForwarded reads a request of another host from its headers. It returns the
// reason for a refusal, if any.
func (px *Proxy) parseForwarded(r *http.Request) (*proxiedRequest, wagoutcome.Reason) {
	snapshot := px.snapshot.Load()
	h := r.Header
	revision, err := strconv.ParseInt(h.Get(wagoutcome.RevisionHeader), 10, 64)
	if err != nil {
		return nil, wagoutcome.ReasonBadRequest
	}
	previousHops, ok := parseHops(h.Get(wagoutcome.HopHeader))
	if !ok || previousHops.keyed && px.claims == nil {
		return nil, wagoutcome.ReasonBadRequest
	}
	deadline, err := time.Parse(time.RFC3339Nano, h.Get(wagoutcome.DeadlineHeader))
	if err != nil {
		return nil, wagoutcome.ReasonBadRequest
	}
	caller := h.Get(wagoutcome.CallerHeader)
	if !isPlainName(caller, maxCallerNameLength) {
		return nil, wagoutcome.ReasonBadRequest
	}
	d := snapshot.documentAtRevision(h.Get(wagoutcome.ServiceHeader), revision)
	if d == nil {
		return nil, wagoutcome.ReasonStaleConfiguration
	}
	p := px.newProxiedRequest(r, snapshot, d)
	p.hops, p.caller = previousHops, caller
	p.deadline = wagclock.Earlier(deadline, p.arrived.Add(d.Service.MaxDeadline))
	if text := h.Get(wagoutcome.StartByHeader); text != "" {
		if p.startBy, err = time.Parse(time.RFC3339Nano, text); err != nil {
			return nil, wagoutcome.ReasonBadRequest
		}
	}
	p.route.Class = parseClass(h.Get(wagoutcome.ClassHeader), p.route.Class)
	if priority, err := strconv.Atoi(h.Get(wagoutcome.PriorityHeader)); err == nil {
		p.admission.Priority = min(max(priority, 0), d.Terms.MaxPlace)
	}
	return p, ""
}

func parseClass(text string, fallback wagdocument.Class) wagdocument.Class {
	switch text {
	case wagdocument.Short.String():
		return wagdocument.Short
	case wagdocument.Long.String():
		return wagdocument.Long
	default:
		return fallback
	}
}
