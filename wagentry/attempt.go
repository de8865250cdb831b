package wagentry

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagpanic"
	"github.com/wagtailspar/wagtailspar/wagretry"
	"github.com/wagtailspar/wagtailspar/wagrouting"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// attempt is one sending of a request to a server, or one forward to another host.
type attempt struct {
	request *proxiedRequest
	// group is the group whose slot the attempt holds, or nil for a forward.
	group    *group
	id       wagrouting.RequestID
	server   netip.AddrPort
	endpoint *endpoint
	// ctx ends with the attempt. guard cancels it.
	ctx   context.Context
	guard *writeGuard
	// resp is nil if no response was received.
	resp     *http.Response
	result   wagrouting.Result
	evidence wagoutcome.Evidence
	outcome  wagoutcome.Outcome
	reason   wagoutcome.Reason
	// written is set when a byte was passed to a connection.
	written bool
	// badStatus is set when the status of the response counts against the server.
	badStatus bool
	// sentAttempts is the attempt header of the request, reportedAttempts that of the
	// response.
	sentAttempts, reportedAttempts wagretry.Attempts
}

func (a *attempt) response() response {
	return response{outcome: a.outcome, reason: a.reason, attempt: a}
}

// newAttempt prepares an attempt at a server whose slot the request holds.
func (p *proxiedRequest) newAttempt(g *group, id wagrouting.RequestID, server netip.AddrPort, extraAttempts int) *attempt {
	service := p.document.Service.Name
	onConnectionChange := func(change int) { p.proxy.metrics.AddConnections(service, change) }
	a := &attempt{request: p, group: g, id: id, server: server, sentAttempts: p.attempts.Add(extraAttempts)}
	a.guard, a.ctx = newWriteGuard(p.ctx, p.mayStart)
	a.endpoint = p.proxy.serverPool.get(server, connectionShare(p.document, p.members), onConnectionChange)
	p.proxy.metrics.CountAttempt(service)
	p.recordEvent(wagevent.KindAttempt, a.endpoint.address, "")
	return a
}

// exchange sends the request to a server and evaluates the header of the response.
func (a *attempt) exchange() {
	if !a.roundTrip(nil) {
		return
	}
	h := a.resp.Header
	a.result.Load, a.result.HasLoad = parseLoad(h.Get(wagoutcome.LoadHeader))
	a.badStatus = a.request.document.Errors.IsBad(a.resp.StatusCode)
	a.evidence.ProvenNotRun = a.request.document.Errors.ProvesNotRun(a.resp.StatusCode, h)
	a.outcome, a.reason = wagoutcome.Classify(a.evidence)
	if a.badStatus {
		a.result.Fault = wagrouting.FaultStatus
	}
	if a.result.Load.Draining {
		// Reported before the end of the response, which may be later than the time
		// after which a draining server must get no new requests.
		a.group.markDraining(a.server)
		a.request.proxy.observer.Observe(a.request.document.Service.Name, a.server, wagserver.Draining)
	}
}

// send calls exchange. A panic counts as a broken response, so that the slot is freed: the
// server may have run the request.
func (a *attempt) send() {
	err := wagpanic.Catch(a.request.proxy.log, func() error {
		a.exchange()
		return nil
	})
	if err == nil {
		return
	}
	if a.resp != nil {
		_ = a.resp.Body.Close()
		a.resp = nil
	}
	a.written, a.evidence = true, wagoutcome.Evidence{Written: true}
	a.outcome, a.reason = wagoutcome.Classify(a.evidence)
	a.result.Fault = wagrouting.FaultBroken
}

// roundTrip sends the request and receives the header of the response. Without a
// response it sets outcome, reason and fault, and returns false.
func (a *attempt) roundTrip(extraHeaders http.Header) bool {
	a.result.SentAt = a.request.proxy.clock.Now()
	out, err := a.buildRequest(extraHeaders)
	if err == nil {
		a.resp, err = a.endpoint.transport.RoundTrip(out) //nolint:bodyclose // finish closes it
	}
	if err == nil {
		if err = checkResponse(a.resp); err != nil {
			_ = a.resp.Body.Close()
			a.resp = nil
		}
	}
	if err != nil {
		a.recordFailure()
		return false
	}
	a.result.HeaderReceivedAt = a.request.proxy.clock.Now()
	a.written = true
	a.evidence = wagoutcome.Evidence{Written: true, ResponseReceived: true}
	a.reportedAttempts = wagretry.ParseAttempts(a.resp.Header.Get(wagoutcome.AttemptHeader))
	return true
}

// recordFailure sets the outcome of an attempt that got no response.
func (a *attempt) recordFailure() {
	p := a.request
	a.written = a.guard.stop()
	a.evidence = wagoutcome.Evidence{
		Written:      a.written,
		BodyTooLarge: p.body.exceedsLimit(),
		Expired:      !p.deadline.After(p.proxy.clock.Now()) || !a.written && !p.mayStart(),
		Canceled:     p.incoming.Context().Err() != nil,
	}
	a.outcome, a.reason = wagoutcome.Classify(a.evidence)
	a.reportedAttempts = wagretry.Attempts{Count: 1}
	a.result.Fault = a.faultKind()
}

// faultKind returns the fault that the scheduler counts for an attempt without a
// response.
func (a *attempt) faultKind() wagrouting.Fault {
	switch {
	case a.evidence.Expired:
		return wagrouting.FaultTimeout
	case a.evidence.Canceled || a.evidence.BodyTooLarge:
		return wagrouting.FaultCanceled
	case a.written:
		return wagrouting.FaultBroken
	default:
		return wagrouting.FaultConnect
	}
}

// buildRequest returns the HTTP request of the attempt.
func (a *attempt) buildRequest(extraHeaders http.Header) (*http.Request, error) {
	in := a.request.incoming
	out := in.WithContext(a.ctx)
	u := *in.URL
	u.Scheme, u.Host = "http", a.endpoint.address
	out.URL, out.RequestURI, out.GetBody, out.Trailer = &u, "", nil, nil
	out.TransferEncoding, out.Close = nil, false
	h := make(http.Header, len(in.Header)+len(extraHeaders)+4)
	copyHeader(h, in.Header)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
	if acceptsTrailers(in.Header) {
		h["Te"] = []string{"trailers"}
	}
	for name, values := range extraHeaders {
		h[name] = values
	}
	h[wagoutcome.DeadlineHeader] = []string{a.request.deadline.UTC().Format(time.RFC3339Nano)}
	if startBy := a.request.startBy; !startBy.IsZero() {
		h[wagoutcome.StartByHeader] = []string{startBy.UTC().Format(time.RFC3339Nano)}
	}
	h[wagoutcome.AttemptHeader] = []string{a.sentAttempts.String()}
	h[wagoutcome.RevisionHeader] = []string{strconv.FormatInt(a.request.document.Revision.Number, 10)}
	h[wagoutcome.RequestIDHeader] = []string{a.request.requestID}
	out.Header, out.Body = h, nil
	if a.request.body == nil {
		return out, nil
	}
	r, ok := a.request.body.newReader()
	if !ok {
		return nil, errBodySuperseded
	}
	out.Body, out.Trailer = r, r.trailer
	return out, nil
}

// finish ends the attempt and frees its slot.
func (a *attempt) finish() {
	a.guard.cancel()
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	a.endpoint.closeIdleIfRemoved()
	if a.group != nil {
		a.group.finishAttempt(a.id, a.result)
		a.reportObservation()
	}
}

// reportObservation reports to the observer what the attempt showed about the server.
func (a *attempt) reportObservation() {
	service, o := a.request.document.Service.Name, a.request.proxy.observer
	switch {
	case a.result.HasLoad && a.result.Load.Draining:
		// send has already reported it.
	case a.result.Fault == wagrouting.FaultConnect:
		o.Observe(service, a.server, wagserver.ConnectionRefused)
	case a.resp != nil:
		o.Observe(service, a.server, wagserver.Answered)
	}
}

// checkResponse returns an error if a response must not be passed on.
func checkResponse(r *http.Response) error {
	switch {
	case r.StatusCode != http.StatusSwitchingProtocols && !wagoutcome.IsFinalStatus(r.StatusCode):
		// A response writer panics at a status such as 000.
		return errInvalidStatus
	case lacksFraming(r):
		return errUnframed
	default:
		return nil
	}
}

// lacksFraming reports whether the end of a response can't be distinguished from a
// broken connection, because neither a length nor chunks delimit it, or because the
// server switched protocols without being asked to.
func lacksFraming(r *http.Response) bool {
	return r.StatusCode == http.StatusSwitchingProtocols || r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// copyBuffers holds the buffers that bodies are copied through.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// copyBody copies the body of the response to the caller. A body without a length is
// flushed after every read, because it may be a stream.
func (a *attempt) copyBody(w http.ResponseWriter) error {
	controller := http.NewResponseController(w)
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := a.resp.Body.Read(buffer[:])
		a.result.Bytes += int64(n)
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
			return writeErr
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if a.resp.ContentLength >= 0 {
			continue
		}
		if err := controller.Flush(); err != nil {
			return err
		}
	}
}

// parseLoad parses the load that a server reports, such as "inFlight=3; slots=6;
// draining". It returns false for a missing or malformed text.
func parseLoad(text string) (l wagrouting.Load, ok bool) {
	if text == "" {
		return l, false
	}
	for rest := text; rest != ""; {
		var part string
		part, rest, _ = strings.Cut(rest, ";")
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		n, err := strconv.Atoi(value)
		switch {
		case name == "draining":
			l.Draining = true
		case err != nil || n < 0:
			return wagrouting.Load{}, false
		case name == "inFlight":
			l.InFlight = n
		case name == "slots":
			l.Slots = n
		}
	}
	return l, true
}
