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
	hopOwner = "owner"
	hopZone  = "zone"
	hopKeyed = "keyed"
)

// hop tells which forwards a call has behind it: one within a data centre and
// one between data centres at most. Before these a keyed call is forwarded at
// most once to the host that decides on its key.
type hop struct{ owner, zone, keyed bool }

// any tells whether the call was forwarded to be placed.
func (h hop) any() bool { return h.owner || h.zone }

func (h hop) String() string {
	switch {
	case h.owner && h.zone:
		return hopOwner + "," + hopZone
	case h.zone:
		return hopZone
	case h.keyed:
		return hopKeyed
	default:
		return hopOwner
	}
}

// parseHop reads a hop header; a call on the forward port has one.
func parseHop(text string) (h hop, ok bool) {
	for _, word := range strings.Split(text, ",") {
		switch word {
		case hopOwner:
			h.owner = true
		case hopZone:
			h.zone = true
		case hopKeyed:
			h.keyed = true
		default:
			return hop{}, false
		}
	}
	return h, !h.keyed || !h.any()
}

// forward passes the call to the owner of its group, or in another data centre
// to its successor. It returns false when this host is to place the call
// instead: nothing was written to the owner, or the owner has another revision
// of the document in force and did not run the call.
func (p *proxiedCall) forward(to target) (answer, bool) {
	a, placed := p.forwardOnce(to)
	if placed || !to.successor.IsValid() {
		return a, placed
	}
	return p.forwardOnce(target{forward: to.successor, zone: to.zone})
}

func (p *proxiedCall) forwardOnce(to target) (answer, bool) {
	h := hop{owner: !to.zone || p.hop.owner, zone: to.zone || p.hop.zone}
	t := p.forwardTo(to.forward, h)
	switch {
	case t.resp != nil && t.reason != wagoutcome.ReasonStaleConfiguration:
		return t.answer(), true
	case t.outcome == wagoutcome.NotRun && (p.ctx.Err() != nil || !p.body.reopens()):
		return t.answer(), true
	case t.outcome == wagoutcome.NotRun:
		t.finish()
		return answer{}, false
	case !p.again(t):
		return t.answer(), true
	}
	// The owner may be lost; the second attempt is placed here.
	p.giveUp(t)
	p.entry.metrics.Retry(p.document.Service.Name)
	return answer{}, false
}

// spill passes the call to the owner of the group in another data centre.
func (p *proxiedCall) spill(dataCentre string) answer {
	t, ok := p.remote(dataCentre)
	if !ok || p.hop.zone {
		return refusal(wagoutcome.ReasonNoServer)
	}
	a, placed := p.forward(t)
	if placed {
		p.spilled(dataCentre, a)
		return a
	}
	// A pinned call does not spill once more.
	p.hop.zone = true
	return p.local()
}

// spilled tells the core how long a spilled call took.
func (p *proxiedCall) spilled(dataCentre string, a answer) {
	g := p.entry.group(p.document.Service.Name)
	if g == nil || a.outcome != wagoutcome.Done || a.try == nil {
		return
	}
	g.spilled(dataCentre, a.try.result.HeaderReceivedAt.Sub(a.try.result.SentAt))
}

func (p *proxiedCall) forwardTo(to netip.AddrPort, h hop) *try {
	name, label := p.document.Service.Name, hopOwner
	switch {
	case h.zone:
		label = hopZone
	case h.keyed:
		label = hopKeyed
	}
	t := &try{call: p, server: to, marker: p.marker.Add(p.extra)}
	t.wire, t.ctx = newWire(p.ctx, p.mayStart)
	t.end = p.entry.hosts.get(to, forwardConnections, func(int) {})
	p.entry.metrics.Forward(name, label)
	p.record(wagevent.KindForward, t.end.address, label)
	start := p.entry.clock.Now()
	ok := t.roundTrip(http.Header{
		wagoutcome.HopHeader:      {h.String()},
		wagoutcome.ServiceHeader:  {name},
		wagoutcome.CallerHeader:   {p.caller},
		wagoutcome.ClassHeader:    {p.route.Class.String()},
		wagoutcome.PriorityHeader: {strconv.Itoa(p.granted.Priority)},
	})
	p.outside += p.entry.clock.Now().Sub(start)
	if ok {
		t.takeOutcome()
	}
	return t
}

// takeOutcome takes the outcome that the other host states. An answer without
// one comes from no call path and proves nothing.
func (t *try) takeOutcome() {
	h := t.resp.Header
	stated := h.Get(wagoutcome.OutcomeHeader)
	if stated == "" {
		_ = t.resp.Body.Close()
		t.resp = nil
		t.outcome, t.reason = wagoutcome.Unknown, wagoutcome.ReasonConnection
		return
	}
	t.outcome = wagoutcome.Parse(stated)
	t.reason = wagoutcome.Reason(h.Get(wagoutcome.ReasonHeader))
	if t.reason != "" && !wagoutcome.IsKnownReason(t.reason) {
		t.reason = wagoutcome.ReasonConnection
	}
}

// serveForward serves a call that another host forwarded.
func (e *Proxy) serveForward(c echo.Context) error {
	p, reason := e.forwarded(c.Request())
	if reason != "" {
		return e.refuse(c, nil, reason)
	}
	return p.serve(c)
}

// forwarded reads the call of another host.
func (e *Proxy) forwarded(r *http.Request) (*proxiedCall, wagoutcome.Reason) {
	snapshot := e.snapshot.Load()
	h := r.Header
	revision, err := strconv.ParseInt(h.Get(wagoutcome.RevisionHeader), 10, 64)
	if err != nil {
		return nil, wagoutcome.ReasonBadRequest
	}
	hop, ok := parseHop(h.Get(wagoutcome.HopHeader))
	if !ok || hop.keyed && e.claims == nil {
		return nil, wagoutcome.ReasonBadRequest
	}
	deadline, err := time.Parse(time.RFC3339Nano, h.Get(wagoutcome.DeadlineHeader))
	if err != nil {
		return nil, wagoutcome.ReasonBadRequest
	}
	caller := h.Get(wagoutcome.CallerHeader)
	if !printable(caller, maxCallerName) {
		return nil, wagoutcome.ReasonBadRequest
	}
	d := snapshot.at(h.Get(wagoutcome.ServiceHeader), revision)
	if d == nil {
		return nil, wagoutcome.ReasonStaleConfiguration
	}
	p := e.newProxiedCall(r, snapshot, d)
	p.hop, p.caller = hop, caller
	p.deadline = wagclock.Earlier(deadline, p.arrived.Add(d.Service.MaxDeadline))
	if text := h.Get(wagoutcome.StartByHeader); text != "" {
		if p.startBy, err = time.Parse(time.RFC3339Nano, text); err != nil {
			return nil, wagoutcome.ReasonBadRequest
		}
	}
	p.route.Class = parseClass(h.Get(wagoutcome.ClassHeader), p.route.Class)
	if place, err := strconv.Atoi(h.Get(wagoutcome.PriorityHeader)); err == nil {
		p.granted.Priority = min(max(place, 0), d.Terms.MaxPlace)
	}
	return p, ""
}

func parseClass(text string, otherwise wagdocument.Class) wagdocument.Class {
	switch text {
	case wagdocument.Short.String():
		return wagdocument.Short
	case wagdocument.Long.String():
		return wagdocument.Long
	default:
		return otherwise
	}
}
