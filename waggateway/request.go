package waggateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagsite"
	"github.com/wagtailspar/wagtailspar/wagupstream"
)

const (
	// maxBody is up to which size a body is kept, so that it can be sent again.
	maxBody = 256 << 10
	// dialTime bounds the wait for a connection to a server. One needs 1 ms
	// beside the delay of the link; a lost packet is sent again after a second.
	dialTime = 150 * time.Millisecond
	// maxTries bounds the servers that are tried for one request, also those that
	// cannot be reached. Each of these costs up to dialTime.
	maxTries = 6
	// startRetry is when a caller is told to come again to a host that knows no
	// configuration yet. A start reads it within 0.1 s.
	startRetry = 200 * time.Millisecond
	// rejectRetry is the same after servers rejected the request as full.
	rejectRetry = 30 * time.Millisecond
	// timeoutMargin is how long before the caller's deadline a request ends, so
	// that the answer still arrives.
	timeoutMargin = 5 * time.Millisecond
)

// request is one request on its way.
type request struct {
	gateway *Gateway
	in      *http.Request
	route   *wagsite.Route
	service string
	id      string
	arrived time.Time
	// deadline is when the request ends with whatever answer there is: the
	// caller's deadline or the timeout of the route.
	deadline time.Time
	// body is the whole body, or its beginning when rest is set. length is that of
	// both, or -1.
	body   []byte
	rest   io.Reader
	length int64
	// mayHaveRun tells that an attempt may have been run by a server.
	mayHaveRun bool
	// attempts counts the servers that the request was sent to, and tries also those
	// that could not be reached.
	attempts, tries int
	avoid           []string
	// server is the last one that the request was sent to, and waited how long the
	// request waited for servers.
	server  string
	waited  time.Duration
	version wagsite.Version
}

// answer is what the caller gets.
type answer struct {
	status  int
	outcome Outcome
	// response is the answer of a server, or nil.
	response *wagupstream.Response
	// retryAt is when a refused request may come again.
	retryAt time.Time
	reason  string
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := g.clock.Now()
	q, a := g.take(r)
	if q != nil {
		if q.rest != nil {
			defer streamBody(w)()
		}
		// The rest of a long answer arrives while it is passed on.
		ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
		defer cancel()
		a = q.run(ctx)
	}
	g.observer.RequestEnded(g.end(r, q, a, began))
	g.answer(w, r, a)
}

// end describes the end of a request; q is nil when it was not taken.
func (g *Gateway) end(r *http.Request, q *request, a answer, began time.Time) RequestEnd {
	e := RequestEnd{
		Request: g.protocol.RequestID(r.Header), Caller: r.RemoteAddr, Outcome: a.outcome, Status: a.status, Reason: a.reason,
		Took: g.clock.Now().Sub(began),
	}
	if q != nil {
		e.Route, e.Service, e.Version, e.Server, e.Attempts, e.Waited = q.route.Name, q.service, q.version, q.server, q.attempts, q.waited
		e.InGoal = a.outcome == OutcomeAnswered && e.Took <= q.route.Goal
	}
	if r.Context().Err() != nil {
		e.Outcome = OutcomeLeft
	}
	return e
}

// streamBody permits that a server answers before it has the whole body. It returns
// a function that ends the reading of the rest.
func streamBody(w http.ResponseWriter) func() {
	control := http.NewResponseController(w)
	// Both fail only for writers that are no connections.
	_ = control.EnableFullDuplex()
	return func() { _ = control.SetReadDeadline(longAgo) }
}

// longAgo is a deadline in the past.
var longAgo = time.Unix(1, 0)

// take checks a request and reads its body. It returns no request when the
// answer is known without a server.
func (g *Gateway) take(r *http.Request) (*request, answer) {
	now := g.clock.Now()
	config := g.config.Load()
	if config == nil {
		return nil, answer{status: http.StatusServiceUnavailable, outcome: OutcomeRefused, reason: "noConfiguration", retryAt: now.Add(startRetry)}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := config.Match(r.Host, path)
	if route == nil {
		return nil, answer{status: http.StatusNotFound, outcome: OutcomeRejected, reason: "noRoute"}
	}
	q := &request{
		gateway: g, in: r, route: route, service: route.Service(g.number(route.Name)),
		id: g.protocol.RequestID(r.Header), version: config.Version, arrived: now, deadline: now.Add(route.Timeout),
	}
	if patience, ok := g.protocol.Patience(r.Header); ok {
		if until := now.Add(patience - timeoutMargin); until.Before(q.deadline) {
			q.deadline = until
		}
	}
	if reason := q.readBody(config.Limits.BodyBytes); reason != nil {
		return nil, *reason
	}
	return q, answer{}
}

// readBody reads the body, or its beginning when it is long. It returns the answer
// when the body cannot be taken.
func (q *request) readBody(limit int64) *answer {
	if q.in.ContentLength > limit {
		return &answer{status: http.StatusRequestEntityTooLarge, outcome: OutcomeRejected, reason: "bodyTooLong"}
	}
	var body bytes.Buffer
	source := http.MaxBytesReader(nil, q.in.Body, limit)
	_, err := io.CopyN(&body, source, maxBody)
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return &answer{status: http.StatusRequestEntityTooLarge, outcome: OutcomeRejected, reason: "bodyTooLong"}
	case err == nil:
		// What a server leaves unread of it must not be taken for the next request.
		q.rest, q.length, q.in.Close = source, q.in.ContentLength, true
	case !errors.Is(err, io.EOF):
		return &answer{status: http.StatusBadRequest, outcome: OutcomeRejected, reason: "bodyBroken"}
	}
	q.body = body.Bytes()
	return nil
}

// run places and sends the request until there is an answer.
func (q *request) run(ctx context.Context) answer {
	for {
		r := wagplacement.Request{
			Route: q.route.Name, Rank: q.route.Rank, Goal: q.arrived.Add(q.route.Goal), Deadline: q.deadline,
			Name: q.id, Avoid: q.avoid, Repeat: q.attempts > 0,
		}
		asked := q.gateway.clock.Now()
		outcome := q.gateway.placer.Place(ctx, q.service, r)
		q.waited += q.gateway.clock.Now().Sub(asked)
		switch x := outcome.(type) {
		case wagowner.Granted:
			a, final := q.attempt(ctx, x)
			if final {
				return a
			}
		case wagowner.Refused:
			return q.refused(x)
		default:
			return q.refused(wagowner.Refused{Reason: wagplacement.ReasonNoServer, RetryAt: q.gateway.clock.Now()})
		}
	}
}

// refused answers a request that no server is to run.
func (q *request) refused(x wagowner.Refused) answer {
	if q.mayHaveRun {
		return answer{status: http.StatusBadGateway, outcome: OutcomeFailed, reason: string(x.Reason)}
	}
	return answer{status: http.StatusServiceUnavailable, outcome: OutcomeRefused, reason: string(x.Reason), retryAt: x.RetryAt}
}

// attempt sends the request to one server. final is false when another attempt
// may follow.
func (q *request) attempt(ctx context.Context, granted wagowner.Granted) (a answer, final bool) {
	g := q.gateway
	start := g.clock.Now()
	q.attempts++
	q.tries++
	q.server = granted.Server.ID
	left := q.deadline.Sub(start)
	server := wagupstream.Server{Address: granted.Server.Address, ID: granted.Server.ID}
	resp, reused, err := g.upstream.Exchange(ctx, server, q.outgoing(granted.Server.ID, left), start.Add(dialTime))
	result, reason := q.judge(ctx, resp, err)
	result.Took = g.clock.Now().Sub(start)
	granted.Finish(result)
	e := AttemptEnd{
		Request: q.id, Service: q.service, Server: granted.Server.ID, Number: q.attempts, Fault: result.Fault, Reason: reason,
		Reused: reused, Took: result.Took, Left: left,
	}
	if resp != nil {
		e.Status = resp.Status
	}
	g.observer.AttemptEnded(e)
	if result.Fault == wagplacement.FaultNone || result.Fault == wagplacement.FaultError {
		return answer{status: resp.Status, outcome: OutcomeAnswered, response: resp}, true
	}
	if resp != nil && resp.Rest != nil {
		_ = resp.Rest.Close() // always nil
	}
	return q.failed(ctx, result.Fault, reason)
}

// judge tells what an exchange says of the server, and why an answer is not passed
// on.
func (q *request) judge(ctx context.Context, resp *wagupstream.Response, err error) (r wagplacement.Result, reason string) {
	if err != nil {
		r.Fault = q.fault(ctx, err)
		return r, err.Error()
	}
	p := q.gateway.protocol
	r.Report, r.HasReport = p.Report(resp.Header)
	switch {
	case p.Misdirected(resp.Status):
		r.Fault = wagplacement.FaultGone
		return r, "otherServer"
	case p.NotRun(resp.Status, resp.Header):
		r.Fault = wagplacement.FaultRejected
		return r, "rejected"
	case resp.Status < http.StatusMultipleChoices && !p.Signed(resp.Header):
		r.Fault = wagplacement.FaultBroken
		return r, "notSigned"
	case resp.Status >= http.StatusInternalServerError:
		r.Fault = wagplacement.FaultError
	}
	return r, ""
}

// fault tells how an exchange failed.
func (q *request) fault(ctx context.Context, err error) wagplacement.Fault {
	switch {
	case q.in.Context().Err() != nil:
		return wagplacement.FaultCanceled
	case ctx.Err() != nil:
		return wagplacement.FaultTimeout
	case errors.Is(err, wagupstream.ErrNotSent):
		return wagplacement.FaultConnect
	default:
		return wagplacement.FaultBroken
	}
}

// failed decides what follows a failed attempt.
func (q *request) failed(ctx context.Context, fault wagplacement.Fault, reason string) (answer, bool) {
	switch fault {
	case wagplacement.FaultConnect:
		q.attempts--
	case wagplacement.FaultRejected, wagplacement.FaultGone:
	default:
		q.mayHaveRun = true
	}
	q.avoid = append(q.avoid, q.server)
	if q.mayRepeat(ctx) {
		return answer{}, false
	}
	if !q.mayHaveRun {
		return answer{status: http.StatusServiceUnavailable, outcome: OutcomeRefused, reason: reason, retryAt: q.gateway.clock.Now().Add(rejectRetry)}, true
	}
	if fault == wagplacement.FaultTimeout {
		return answer{status: http.StatusGatewayTimeout, outcome: OutcomeFailed, reason: reason}, true
	}
	return answer{status: http.StatusBadGateway, outcome: OutcomeFailed, reason: reason}, true
}

// mayRepeat tells whether the request may be sent to another server.
func (q *request) mayRepeat(ctx context.Context) bool {
	return ctx.Err() == nil && q.attempts < q.route.Attempts && q.tries < maxTries && (q.route.Idempotent || !q.mayHaveRun) && q.rest == nil
}

// outgoing builds the request that a server gets.
func (q *request) outgoing(serverID string, left time.Duration) *wagupstream.Request {
	h := make(http.Header, len(q.in.Header)+2)
	copyEndToEnd(h, q.in.Header)
	h.Del("Expect")
	h.Del("Content-Length")
	q.gateway.protocol.Prepare(h, left, serverID)
	return &wagupstream.Request{Method: q.in.Method, Target: q.in.RequestURI, Host: q.in.Host, Header: h, Body: q.body, Rest: q.rest, Length: q.length, ID: q.id}
}
