package waggateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagpanic"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagupstream"
)

// Reasons of attempts that this host canceled.
const (
	reasonCallerLeft = "callerLeft"
	reasonDeadline   = "deadline"
	// reasonShuttingDown means that the grace period of this host ended, also of requests
	// that were not sent.
	reasonShuttingDown = "shuttingDown"
	// reasonRestricted means that the server had asked this host for no requests.
	reasonRestricted = "restricted"
	// reasonPanic means that the handling of the response panicked.
	reasonPanic = "panic"
)

// ReasonTooManyConnections is the reason of requests that would have needed a connection
// beyond the host's share for servers.
const ReasonTooManyConnections = "tooManyConnections"

// attempt is one sending of a request to a server.
type attempt struct {
	granted wagowner.Granted
	// number counts the attempts of the request from 1.
	number int
	start  time.Time
	// timeLeft is the time between start and the deadline of the request.
	timeLeft time.Duration
	// access is what the configuration says about the customer at the start.
	access access
	// sentBefore reports whether an earlier attempt was granted the same server.
	sentBefore bool
	// The fields below are set when the attempt ends. resp is nil without a complete
	// response.
	resp       *wagupstream.Response
	connReused bool
	result     wagplacement.Result
	// reason is one of a fixed set of words, and detail is the text of an error.
	reason, detail string
	// notSent reports whether no byte was sent to the server.
	notSent bool
}

// newAttempt counts and returns an attempt at the granted server.
func (q *request) newAttempt(granted wagowner.Granted) *attempt {
	q.attempts++
	q.serversTried++
	start := q.gateway.clock.Now()
	q.lastServer, q.lastGrantedBy, q.lastSent = granted.Server.ID, granted.By, start
	return &attempt{
		granted: granted, number: q.attempts, start: start, timeLeft: q.deadline.Sub(start), access: q.access,
		sentBefore: slices.Contains(q.avoidServers, granted.Server.ID),
	}
}

// send sends the request to the server of an attempt and stores the result. A panic counts
// as a broken response, so that the server's slot and the caller get a result.
func (q *request) send(ctx context.Context, t *attempt) {
	err := wagpanic.Catch(q.gateway.log, func() error {
		q.exchange(ctx, t)
		return nil
	})
	if err != nil {
		t.closeBody()
		t.resp, t.notSent = nil, false
		t.result = wagplacement.Result{Fault: wagplacement.FaultBroken, Latency: q.gateway.clock.Now().Sub(t.start)}
		t.reason, t.detail = reasonPanic, err.Error()
	}
}

// exchange sends the request and receives the response.
func (q *request) exchange(ctx context.Context, t *attempt) {
	server := wagupstream.Server{Address: t.granted.Server.Address, ID: t.granted.Server.ID}
	resp, reused, err := q.gateway.upstream.Exchange(ctx, server, q.outgoingRequest(t), t.start.Add(dialTimeout))
	t.resp, t.connReused = resp, reused
	t.notSent = errors.Is(err, wagupstream.ErrNotSent)
	t.result, t.reason = q.classify(ctx, resp, err)
	q.gateway.restrict(q.service, server, &t.result)
	if err != nil {
		t.detail = err.Error()
	}
	now := q.gateway.clock.Now()
	t.result.Latency = now.Sub(t.start)
	if !t.notSent {
		// Also of requests without a response, which may have taken that long.
		q.gateway.durations.record(now, q.route.Name, t.result.Latency, t.result.Fault == wagplacement.FaultNone)
	}
}

// finish reports the result of an attempt to the owner and to the observer.
func (q *request) finish(t *attempt) {
	t.granted.Finish(t.result)
	if t.result.Fault == wagplacement.FaultConnect || t.reason == reasonRestricted || t.reason == ReasonTooManyConnections {
		// Nothing was sent: the server counts in serversTried only.
		q.attempts--
	}
	if t.reason == ReasonTooManyConnections {
		// No server has an idle connection at this moment: others are not tried, because
		// each try costs the owner a grant.
		q.serversTried = maxServersTried
	}
	q.gateway.observer.AttemptEnded(q.attemptResult(t))
}

// attemptResult describes an attempt that has ended.
func (q *request) attemptResult(t *attempt) AttemptResult {
	result := AttemptResult{
		RequestID: q.id, Service: q.service, ServerID: t.granted.Server.ID, GrantedBy: t.granted.By, Number: t.number, Fault: t.result.Fault, Reason: t.reason, Detail: t.detail,
		ConnReused: t.connReused, Duration: t.result.Latency, TimeLeft: t.timeLeft,
	}
	if t.resp != nil {
		result.Status = t.resp.Status
	}
	return result
}

// closeBody closes the body of a response that is not passed on.
func (t *attempt) closeBody() {
	if t.resp != nil && t.resp.BodyRest != nil {
		_ = t.resp.BodyRest.Close() // always nil
	}
}

// hasResponse reports whether the attempt has a response that can be passed on to the
// caller.
func (t *attempt) hasResponse() bool {
	return t.result.Fault == wagplacement.FaultNone || t.result.Fault == wagplacement.FaultError
}

func (t *attempt) response() response {
	return response{status: t.resp.Status, outcome: OutcomeAnswered, upstream: t.resp}
}

// mayHaveRun reports whether the server may have run the request.
func (t *attempt) mayHaveRun() bool {
	switch t.result.Fault {
	case wagplacement.FaultConnect, wagplacement.FaultRejected, wagplacement.FaultMisdirected:
		return false
	default:
		return !t.notSent
	}
}

// classify derives the result of an attempt from a response or an error. reason says
// why a response is not passed on to the caller.
func (q *request) classify(ctx context.Context, resp *wagupstream.Response, err error) (r wagplacement.Result, reason string) {
	if err != nil {
		r.Fault = q.classifyError(ctx, err)
		switch {
		case errors.Is(err, wagupstream.ErrRestricted):
			return r, reasonRestricted
		case errors.Is(err, wagupstream.ErrTooManyConnections):
			return r, ReasonTooManyConnections
		}
		switch r.Fault {
		case wagplacement.FaultCanceled:
			if q.cutOff.Load() {
				return r, reasonShuttingDown
			}
			return r, reasonCallerLeft
		case wagplacement.FaultTimeout:
			return r, reasonDeadline
		default:
			return r, r.Fault.String()
		}
	}
	p := q.gateway.protocol
	r.Report, r.HasReport = p.LoadReport(resp.Header)
	r.Leaving = p.IsLeaving(resp.Header)
	if busyFor := p.BusyFor(resp.Status, resp.Header); busyFor > 0 {
		r.BusyUntil = q.gateway.clock.Now().Add(busyFor)
	}
	switch {
	case p.IsMisdirected(resp.Status):
		r.Fault = wagplacement.FaultMisdirected
		return r, "otherServer"
	case p.ProvesNotRun(resp.Status, resp.Header):
		r.Fault = wagplacement.FaultRejected
		return r, "rejected"
	case resp.Status < http.StatusMultipleChoices && !p.HasSignature(resp.Header):
		r.Fault = wagplacement.FaultBroken
		return r, "notSigned"
	case resp.Status >= http.StatusInternalServerError:
		r.Fault = wagplacement.FaultError
	}
	return r, ""
}

// restrict applies what the result of an attempt says about further requests of this
// host. When the server was restricted already, it adds what is known of it, so that an
// owner that has just taken over learns of a server that is leaving.
func (g *Gateway) restrict(service string, server wagupstream.Server, r *wagplacement.Result) {
	if r.Leaving || !r.BusyUntil.IsZero() {
		g.upstream.Restrict(service, server, wagupstream.Restriction{Leaving: r.Leaving, Until: r.BusyUntil})
	}
	if known, ok := g.upstream.RestrictionOf(server); ok {
		r.Leaving = known.Leaving
	}
}

// classifyError returns the fault that an error of an exchange stands for.
func (q *request) classifyError(ctx context.Context, err error) wagplacement.Fault {
	switch {
	case errors.Is(err, wagupstream.ErrTooManyConnections):
		// The cause is this host, so that the server stays in service.
		return wagplacement.FaultCanceled
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && q.incoming.Context().Err() == nil:
		return wagplacement.FaultTimeout
	case ctx.Err() != nil:
		// The caller left, or another server responded first.
		return wagplacement.FaultCanceled
	case errors.Is(err, wagupstream.ErrRestricted):
		return wagplacement.FaultRejected
	case errors.Is(err, wagupstream.ErrNotSent):
		return wagplacement.FaultConnect
	default:
		return wagplacement.FaultBroken
	}
}

// outgoingRequest builds the request that is sent to the server of an attempt.
func (q *request) outgoingRequest(t *attempt) *wagupstream.Request {
	h := make(http.Header, len(q.incoming.Header)+2)
	copyEndToEnd(h, q.incoming.Header)
	h.Del("Expect")
	h.Del("Content-Length")
	if t.access.hasCustomers {
		q.gateway.protocol.SetCustomer(h, t.access.customerName())
	}
	q.gateway.protocol.SetServerHeaders(h, t.timeLeft, t.granted.Server.ID)
	return &wagupstream.Request{Method: q.incoming.Method, Target: q.incoming.RequestURI, Host: q.incoming.Host, Header: h, Body: q.body, BodyRest: q.bodyRest, ContentLength: q.contentLength, ID: q.id, AtMostOnce: !q.route.Idempotent, SentBefore: t.sentBefore, MayBuffer: q.reserveResponse}
}
