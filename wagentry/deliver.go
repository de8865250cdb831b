package wagentry

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagrouting"
)

// httpStatus is the status of an answer as the caller sees it.
func (a answer) httpStatus() int {
	switch {
	case a.try != nil && a.try.resp != nil:
		return a.try.resp.StatusCode
	case a.status != 0:
		return a.status
	default:
		return wagoutcome.HTTPStatus(a.outcome, a.reason)
	}
}

// deliver passes the answer to the caller and ends the attempt.
func (p *proxiedCall) deliver(c echo.Context, a answer) error {
	if a.try != nil {
		defer a.try.finish()
	}
	h := c.Response().Header()
	if !p.body.complete() {
		// The rest of the body must not be taken for the next call.
		h["Connection"] = []string{"close"}
	}
	marker := p.marker.Add(p.extra)
	if a.try != nil {
		marker = marker.Merge(a.try.below)
	}
	h[wagoutcome.AttemptHeader] = []string{marker.String()}
	h[wagoutcome.RevisionHeader] = []string{strconv.FormatInt(p.document.Revision.Number, 10)}
	h[wagoutcome.RequestIDHeader] = []string{p.request}
	p.record(wagevent.KindOutcome, a.server(), a.outcome.String())
	p.entry.metrics.Call(p.document.Service.Name, p.route.Class, a.outcome, a.reason)
	if a.try == nil || a.try.resp == nil {
		return writeOutcome(c, a)
	}
	return p.pass(c, a)
}

func (a answer) server() string {
	if a.try == nil {
		return ""
	}
	return a.try.end.address
}

// pass copies the answer of a server or of another host.
func (p *proxiedCall) pass(c echo.Context, a answer) error {
	t := a.try
	h := c.Response().Header()
	request := h[wagoutcome.RequestIDHeader]
	copyHeader(h, t.resp.Header)
	h[wagoutcome.RequestIDHeader] = request
	setOutcome(h, a)
	announce := announced(t.resp.Trailer)
	if len(announce) > 0 {
		h["Trailer"] = announce
	}
	c.Response().WriteHeader(t.resp.StatusCode)
	p.observe(t)
	if err := t.passBody(c.Response()); err != nil {
		p.broken(t)
		// The caller must see a broken answer, never a short one that looks
		// whole.
		panic(http.ErrAbortHandler)
	}
	prefix := http.TrailerPrefix
	if len(announce) > 0 {
		prefix = ""
	}
	copyTrailer(h, t.resp.Trailer, prefix)
	return nil
}

// announced returns the names of the trailers that pass.
func announced(trailer http.Header) []string {
	var names []string
	for name := range trailer {
		if !endsHere(name) && !wagoutcome.IsReservedHeader(name) {
			names = append(names, name)
		}
	}
	return names
}

// observe counts the times of an answered call.
func (p *proxiedCall) observe(t *try) {
	now := p.entry.clock.Now()
	total := now.Sub(p.arrived)
	p.entry.metrics.Latency(p.document.Service.Name, p.route.Class, total, max(total-p.outside, 0))
	if t.group != nil {
		t.group.times.Observe(now.Sub(t.result.SentAt))
	}
}

func (p *proxiedCall) broken(t *try) {
	t.result.Fault = wagrouting.FaultBroken
	if p.in.Context().Err() != nil {
		t.result.Fault = wagrouting.FaultCanceled
	}
	p.record(wagevent.KindOutcome, t.end.address, "broken")
}

// setOutcome states the outcome of a call on its answer.
func setOutcome(h http.Header, a answer) {
	h[wagoutcome.OutcomeHeader] = []string{a.outcome.String()}
	if a.reason != "" {
		h[wagoutcome.ReasonHeader] = []string{string(a.reason)}
	}
}

// writeOutcome answers a call without an answer of a server.
func writeOutcome(c echo.Context, a answer) error {
	setOutcome(c.Response().Header(), a)
	switch {
	case a.outcome == wagoutcome.Done && len(a.body) == 0:
		return c.NoContent(a.httpStatus())
	case a.outcome == wagoutcome.Done:
		return c.Blob(a.httpStatus(), a.contentType, a.body)
	}
	return c.String(a.httpStatus(), a.outcome.String()+": "+string(a.reason)+"\n")
}
