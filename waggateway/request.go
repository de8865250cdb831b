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
	// rejectRetry is when a caller is told to come again after servers rejected the
	// request as full.
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
	// fallback is the failure that a server answered, while another one is tried; nil
	// otherwise.
	fallback *answer
	// cancels ends the attempts that ran beside others.
	cancels []context.CancelFunc
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
		defer q.cancel()
		a = q.run(ctx)
	}
	g.observer.RequestEnded(g.end(r, q, a, began))
	g.answer(w, r, a)
}

// end describes the end of a request; q is nil when it was not taken.
func (g *Gateway) end(r *http.Request, q *request, a answer, began time.Time) RequestResult {
	e := RequestResult{
		RequestID: g.protocol.RequestID(r.Header), CallerAddress: r.RemoteAddr, Outcome: a.outcome, Status: a.status, Reason: a.reason,
		Duration: g.clock.Now().Sub(began),
	}
	if q != nil {
		e.Route, e.Service, e.ConfigVersion, e.ServerID, e.Attempts, e.WaitTime = q.route.Name, q.service, q.version, q.server, q.attempts, q.waited
		e.WithinGoal = a.outcome == OutcomeAnswered && e.Duration <= q.route.Goal
	}
	if r.Context().Err() != nil {
		e.Outcome = OutcomeCanceled
	}
	return e
}

// cancel ends what still goes on for the request.
func (q *request) cancel() {
	for _, cancel := range q.cancels {
		cancel()
	}
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
	config := g.awaitConfig(r)
	if config == nil {
		return nil, answer{status: http.StatusServiceUnavailable, outcome: OutcomeRefused, reason: "noConfiguration", retryAt: g.clock.Now().Add(startRetry)}
	}
	if limit := config.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return nil, answer{status: http.StatusRequestHeaderFieldsTooLarge, outcome: OutcomeRejected, reason: "headerTooLong"}
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
	if patience, ok := g.protocol.CallerTimeout(r.Header); ok {
		if until := now.Add(patience - timeoutMargin); until.Before(q.deadline) {
			q.deadline = until
		}
	}
	if reason := q.readBody(config.Limits.BodyBytes); reason != nil {
		return nil, *reason
	}
	return q, answer{}
}

// headerBytes returns the size of the request line and the header.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\n") + 1 + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(": \r\n") + len(value)
		}
	}
	return n
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
		x := q.place(ctx, false)
		granted, ok := x.(wagowner.Granted)
		if !ok {
			return q.refused(x)
		}
		a, final := q.conclude(ctx, q.race(ctx, granted))
		if final {
			return a
		}
	}
}

// place asks for a server, or for a second one beside the first.
func (q *request) place(ctx context.Context, hedge bool) wagowner.Outcome {
	asked := q.gateway.clock.Now()
	goal := q.arrived.Add(q.route.Goal)
	if goal.After(q.deadline) {
		goal = q.deadline
	}
	x := q.gateway.placer.Place(ctx, q.service, wagplacement.Request{
		Route: q.route.Name, Rank: q.route.Rank, Goal: goal, Deadline: q.deadline,
		Name: q.id, Avoid: q.avoid, Repeat: q.attempts > 0, Hedge: hedge,
	})
	if !hedge {
		q.waited += q.gateway.clock.Now().Sub(asked)
	}
	return x
}

// refused answers a request that no further server is to run.
func (q *request) refused(x wagowner.Outcome) answer {
	refused, ok := x.(wagowner.Refused)
	if !ok {
		refused = wagowner.Refused{Reason: wagplacement.ReasonNoServer, RetryAt: q.gateway.clock.Now().Add(rejectRetry)}
	}
	switch {
	case q.fallback != nil:
		return *q.fallback
	case q.mayHaveRun:
		return answer{status: http.StatusBadGateway, outcome: OutcomeFailed, reason: string(refused.Reason)}
	default:
		return answer{status: http.StatusServiceUnavailable, outcome: OutcomeRefused, reason: string(refused.Reason), retryAt: refused.RetryAt}
	}
}

// conclude decides what follows an attempt: its answer, or another attempt.
func (q *request) conclude(ctx context.Context, t *attempt) (a answer, final bool) {
	if t.mayHaveRun() {
		q.mayHaveRun = true
	}
	q.avoid = append(q.avoid, t.granted.Server.ID)
	switch {
	case t.result.Fault == wagplacement.FaultNone:
		return t.answer(), true
	case t.result.Fault == wagplacement.FaultError:
		if q.fallback != nil || !q.mayRepeat(ctx) {
			return t.answer(), true
		}
		// The failure of the server is the answer unless another one does better.
		failure := t.answer()
		q.fallback = &failure
		return answer{}, false
	case q.mayRepeat(ctx):
		return answer{}, false
	case q.fallback != nil:
		return *q.fallback, true
	case !q.mayHaveRun:
		return answer{status: http.StatusServiceUnavailable, outcome: OutcomeRefused, reason: t.reason, retryAt: q.gateway.clock.Now().Add(rejectRetry)}, true
	case t.result.Fault == wagplacement.FaultTimeout:
		return answer{status: http.StatusGatewayTimeout, outcome: OutcomeFailed, reason: t.reason}, true
	default:
		return answer{status: http.StatusBadGateway, outcome: OutcomeFailed, reason: t.reason}, true
	}
}

// mayRepeat tells whether the request may be sent to another server.
func (q *request) mayRepeat(ctx context.Context) bool {
	return ctx.Err() == nil && q.attempts < q.route.Attempts && q.tries < maxTries && (q.route.Idempotent || !q.mayHaveRun) && q.rest == nil
}
