package wagentry

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagrouting"
)

// httpStatus returns the status that the caller receives.
func (res response) httpStatus() int {
	switch {
	case res.attempt != nil && res.attempt.resp != nil:
		return res.attempt.resp.StatusCode
	case res.status != 0:
		return res.status
	default:
		return wagoutcome.HTTPStatus(res.outcome, res.reason)
	}
}

// deliver sends the response to the caller and ends the attempt.
func (p *proxiedRequest) deliver(c echo.Context, res response) error {
	if res.attempt != nil {
		defer res.attempt.finish()
	}
	h := c.Response().Header()
	if !p.body.isComplete() {
		// The rest of the body must not be read as the next request.
		h["Connection"] = []string{"close"}
	}
	attempts := p.attempts.Add(p.extraAttempts)
	if res.attempt != nil {
		attempts = attempts.Merge(res.attempt.reportedAttempts)
	}
	h[wagoutcome.AttemptHeader] = []string{attempts.String()}
	h[wagoutcome.RevisionHeader] = []string{strconv.FormatInt(p.document.Revision.Number, 10)}
	h[wagoutcome.RequestIDHeader] = []string{p.requestID}
	p.recordEvent(wagevent.KindOutcome, res.serverAddress(), res.outcome.String())
	p.proxy.metrics.CountRequest(p.document.Service.Name, p.route.Class, res.outcome, res.reason)
	if res.attempt == nil || res.attempt.resp == nil {
		return writeOutcome(c, res)
	}
	return p.copyResponse(c, res)
}

// serverAddress returns the address of the server or host that responded, or an
// empty text.
func (res response) serverAddress() string {
	if res.attempt == nil {
		return ""
	}
	return res.attempt.endpoint.address
}

// copyResponse copies the response of a server or of another host to the caller.
func (p *proxiedRequest) copyResponse(c echo.Context, res response) error {
	a := res.attempt
	h := c.Response().Header()
	requestID := h[wagoutcome.RequestIDHeader]
	copyHeader(h, a.resp.Header)
	h[wagoutcome.RequestIDHeader] = requestID
	setOutcome(h, res)
	names := announcedTrailers(a.resp.Trailer)
	if len(names) > 0 {
		h["Trailer"] = names
	}
	c.Response().WriteHeader(a.resp.StatusCode)
	p.recordLatency(a)
	if err := a.copyBody(c.Response()); err != nil {
		p.recordBroken(a)
		// Aborts the connection, so that the caller doesn't take a truncated response
		// for a complete one.
		panic(http.ErrAbortHandler)
	}
	prefix := http.TrailerPrefix
	if len(names) > 0 {
		prefix = ""
	}
	copyTrailer(h, a.resp.Trailer, prefix)
	return nil
}

// announcedTrailers returns the names of the trailers that are passed on.
func announcedTrailers(trailer http.Header) []string {
	var names []string
	for name := range trailer {
		if !isHopByHop(name) && !wagoutcome.IsReservedHeader(name) {
			names = append(names, name)
		}
	}
	return names
}

// recordLatency records the time from the arrival of the request to the header of the
// response, the part of it spent in this host, and the service time of the server.
func (p *proxiedRequest) recordLatency(a *attempt) {
	now := p.proxy.clock.Now()
	total := now.Sub(p.arrived)
	p.proxy.metrics.ObserveLatency(p.document.Service.Name, p.route.Class, total, max(total-p.waitTime, 0))
	if a.group != nil {
		a.group.serviceTimes.Observe(now.Sub(a.result.SentAt))
	}
}

// recordBroken records that the body of a response broke off, at the server or
// because the caller disconnected.
func (p *proxiedRequest) recordBroken(a *attempt) {
	a.result.Fault = wagrouting.FaultBroken
	if p.incoming.Context().Err() != nil {
		a.result.Fault = wagrouting.FaultCanceled
	}
	p.recordEvent(wagevent.KindOutcome, a.endpoint.address, "broken")
}

// setOutcome adds the headers with the outcome of a request.
func setOutcome(h http.Header, res response) {
	h[wagoutcome.OutcomeHeader] = []string{res.outcome.String()}
	if res.reason != "" {
		h[wagoutcome.ReasonHeader] = []string{string(res.reason)}
	}
}

// writeOutcome writes a response that comes from this host: a refusal, a failure or
// a recorded response.
func writeOutcome(c echo.Context, res response) error {
	setOutcome(c.Response().Header(), res)
	switch {
	case res.outcome == wagoutcome.Done && len(res.body) == 0:
		return c.NoContent(res.httpStatus())
	case res.outcome == wagoutcome.Done:
		return c.Blob(res.httpStatus(), res.contentType, res.body)
	}
	return c.String(res.httpStatus(), res.outcome.String()+": "+string(res.reason)+"\n")
}
