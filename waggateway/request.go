package waggateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagsite"
	"github.com/wagtailspar/wagtailspar/wagupstream"
)

const (
	// maxBufferedBody is the size in bytes up to which a body is kept in memory, so
	// that it can be sent again.
	maxBufferedBody = 256 << 10
	// minBufferedBody is the part of a body that is kept when there is no memory for
	// more. The rest is streamed, so that the request cannot be sent to a second server.
	minBufferedBody = 4 << 10
	// dialTimeout bounds the wait for a connection to a server. A connect takes 1 ms
	// plus the delay of the link; a lost packet is retransmitted only after a second.
	dialTimeout = 150 * time.Millisecond
	// maxServersTried bounds the servers that are tried for one request, including
	// those that cannot be reached. Each of these costs up to dialTimeout.
	maxServersTried = 6
	// rejectedRetryDelay is the Retry-After of a refusal after servers rejected the
	// request as full.
	rejectedRetryDelay = 30 * time.Millisecond
	// unusableRetryDelay is the Retry-After of a refusal because the configuration of the
	// route is invalid. The next version may be valid.
	unusableRetryDelay = 2 * time.Second
	// timeoutMargin is how long before the caller's deadline a request ends, so that
	// the response still arrives in time.
	timeoutMargin = 5 * time.Millisecond
)

// request is a request of a caller that is being handled.
type request struct {
	gateway  *Gateway
	incoming *http.Request
	route    *wagsite.Route
	service  string
	id       string
	arrived  time.Time
	// received is when the body was complete, or its beginning that is kept; the time of
	// arrival until then.
	received time.Time
	// deadline is the earlier one of the caller's deadline and the timeout of the
	// route. The request ends then, with or without the response of a server.
	deadline time.Time
	// key is the digest of the key that the request carries; nil without one. access is
	// what the configuration that was in force last says about it.
	key    *wagsite.KeyDigest
	access access
	// body is the whole body, or its beginning when bodyRest is set. contentLength is
	// the length of both; -1 when unknown.
	body          []byte
	bodyRest      io.Reader
	contentLength int64
	// bodyReserved is the memory in bytes that is reserved for the body.
	bodyReserved int64
	// responseReserved is the memory in bytes that is reserved for the responses of all
	// attempts. Attempts may add to it at the same time.
	responseReserved atomic.Int64
	// responseDone is set when the response has been written.
	responseDone atomic.Bool
	// mayHaveRun reports whether a server may have run the request in an earlier
	// attempt.
	mayHaveRun bool
	// attempts counts the servers that the request was sent to; serversTried also
	// counts those that could not be reached.
	attempts, serversTried int
	// withheld counts the grants since the latest attempt that were given back unsent.
	withheld     int
	avoidServers []string
	// departedServers holds the IDs of the servers whose grants were given back because they
	// have left or are leaving. placedAgain counts how often they were tried again.
	departedServers []string
	placedAgain     int
	// lastServer is the ID of the last server that the request was sent to, and
	// waitTime how long the request waited for servers.
	lastServer    string
	lastGrantedBy string
	lastSent      time.Time
	waitTime      time.Duration
	configVersion wagsite.Version
	// fallback is the error response of a server while another server is tried; nil
	// otherwise.
	fallback *response
	// placing ends with endPlacing, and with the attempts. All waits for a server end then.
	placing    context.Context
	endPlacing context.CancelFunc
	// endAttempts ends the attempts, and cutOff is set when a graceful shutdown did so.
	endAttempts context.CancelFunc
	cutOff      atomic.Bool
	// cancels holds the cancel functions of the context and of the attempts that run in
	// the background.
	cancels []context.CancelFunc
}

// response is what the caller receives.
type response struct {
	status  int
	outcome Outcome
	// upstream is the response of a server; nil when this host generates the response.
	upstream *wagupstream.Response
	// retryAt is when the caller of a refused request may send it again.
	retryAt time.Time
	reason  string
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var x *execution
	conn := callerConnOf(r)
	if conn != nil {
		x = conn.begin(r)
		defer conn.end()
	}
	if x == nil {
		x = g.newExecution(r)
		x.accept(g)
		if x.request != nil && x.request.bodyRest != nil {
			defer allowEarlyResponse(w)()
		}
		x.run()
	} else {
		stop := context.AfterFunc(r.Context(), x.cancel)
		defer stop()
	}
	// The execution is released after the response is written, because the rest of a long
	// one is read meanwhile.
	defer x.release()
	x.await()
	g.observer.RequestEnded(g.requestResult(r, x))
	closing := r.Close || x.incoming.Close || g.shuttingDown.Load() && (conn == nil || !conn.hasFurther())
	if conn != nil && (x.response.upstream == nil || x.response.upstream.BodyRest == nil) {
		conn.setActivity(finishing)
	}
	g.writeResponse(w, r, x.response, closing)
}

// requestResult describes a request that has ended.
func (g *Gateway) requestResult(r *http.Request, x *execution) RequestResult {
	q, resp := x.request, x.response
	result := RequestResult{
		RequestID: g.protocol.RequestID(r.Header), CallerAddress: r.RemoteAddr, Outcome: resp.outcome, Status: resp.status, Reason: resp.reason,
		Duration: g.clock.Now().Sub(x.start),
	}
	if q != nil {
		result.Route, result.Service, result.ConfigVersion, result.ServerID, result.Attempts, result.WaitTime = q.route.Name, q.service, q.configVersion, q.lastServer, q.attempts, q.waitTime
		result.Customer, result.GrantedBy, result.SentAt = q.access.customerName(), q.lastGrantedBy, q.lastSent
		result.WithinGoal = resp.outcome == OutcomeAnswered && result.Duration <= q.route.Goal
	}
	// net/http cancels the context of a request whose body was not received in time.
	if r.Context().Err() != nil && resp.status != http.StatusRequestTimeout {
		result.Outcome = OutcomeCanceled
	}
	return result
}

// cancelAttempts cancels the attempts that still run in the background.
func (q *request) cancelAttempts() {
	for _, cancel := range q.cancels {
		cancel()
	}
}

// allowEarlyResponse allows a response to be written before the whole body has been
// read. The returned function makes further reads of the body fail.
func allowEarlyResponse(w http.ResponseWriter) func() {
	control := http.NewResponseController(w)
	// Both fail only for writers that are not connections.
	_ = control.EnableFullDuplex()
	return func() { _ = control.SetReadDeadline(pastDeadline) }
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// newRequest checks a request of a caller and reads its body. It returns nil and a
// response when no server is needed to answer.
func (g *Gateway) newRequest(r *http.Request) (*request, response) {
	now := g.clock.Now()
	if conn := callerConnOf(r); conn != nil && conn.evicted.Load() {
		return nil, g.memoryRefusal()
	}
	config := g.awaitConfig(r)
	if config == nil {
		return nil, response{status: http.StatusServiceUnavailable, outcome: OutcomeRefused, reason: "noConfiguration", retryAt: g.clock.Now().Add(noConfigRetryDelay)}
	}
	if limit := config.Limits.HeaderBytes; limit > 0 && headerSize(r) > limit {
		return nil, response{status: http.StatusRequestHeaderFieldsTooLarge, outcome: OutcomeRejected, reason: "headerTooLong"}
	}
	route := config.Match(r.Host, routePath(r))
	if route == nil {
		return nil, response{status: http.StatusNotFound, outcome: OutcomeRejected, reason: "noRoute"}
	}
	key := g.keyOf(r.Header)
	access := accessOf(config, route, key)
	if access.isDenied() {
		return nil, unknownKeyResponse()
	}
	if route.Unusable != "" {
		return nil, response{status: http.StatusServiceUnavailable, outcome: OutcomeRefused, reason: "unusableRoute", retryAt: now.Add(unusableRetryDelay)}
	}
	q := &request{
		gateway: g, incoming: r, route: route, service: route.SelectService(g.nextNumber(route.Name)),
		id: g.protocol.RequestID(r.Header), configVersion: config.Version, arrived: now, received: now, deadline: now.Add(route.Timeout),
		key: key, access: access,
	}
	if callerTimeout, ok := g.protocol.CallerTimeout(r.Header); ok {
		if until := now.Add(callerTimeout - timeoutMargin); until.Before(q.deadline) {
			q.deadline = until
		}
	}
	if q.mustRefuse(now) {
		return nil, q.shutdownResponse()
	}
	if rejection := q.readBody(config.Limits.BodyBytes); rejection != nil {
		q.releaseBody()
		return nil, *rejection
	}
	if q.mustRefuse(q.received) {
		q.releaseBody()
		return nil, q.shutdownResponse()
	}
	return q, response{}
}

// routePath returns the path of a request as the caller sent it, which selects the
// route.
func routePath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// headerSize returns the size of the request line and the header in bytes.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\n") + 1 + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(": \r\n") + len(value)
		}
	}
	return n
}

// readBody reads the body, or its beginning when it is long. It returns a response when
// the body is not accepted, and nil otherwise.
func (q *request) readBody(limit int64) *response {
	if q.incoming.ContentLength > limit {
		return &response{status: http.StatusRequestEntityTooLarge, outcome: OutcomeRejected, reason: "bodyTooLong"}
	}
	keep, ok := q.reserveBody()
	if !ok {
		refusal := q.gateway.memoryRefusal()
		q.gateway.observer.CallerRefused(CauseMemory)
		return &refusal
	}
	conn := callerConnOf(q.incoming)
	if conn != nil && q.incoming.ContentLength != 0 {
		conn.beginBody(q.deadline)
	}
	source := http.MaxBytesReader(nil, q.incoming.Body, limit)
	body, complete, err := wagupstream.ReadUpTo(source, q.incoming.ContentLength, keep, nil)
	q.received = q.gateway.clock.Now()
	if conn != nil && q.incoming.ContentLength != 0 {
		conn.endBody(err)
	}
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return &response{status: http.StatusRequestEntityTooLarge, outcome: OutcomeRejected, reason: "bodyTooLong"}
	case err == nil && !complete:
		// Closes the connection after the response: the part of the body that a server
		// did not read must not be taken for the next request.
		q.bodyRest, q.contentLength, q.incoming.Close = source, q.incoming.ContentLength, true
	case errors.Is(err, os.ErrDeadlineExceeded) && q.mustRefuse(q.received):
		q.incoming.Close = true
		refusal := q.shutdownResponse()
		return &refusal
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.incoming.Close = true
		return &response{status: http.StatusRequestTimeout, outcome: OutcomeRefused, reason: string(CauseBodyTimeout)}
	case err != nil:
		return &response{status: http.StatusBadRequest, outcome: OutcomeRejected, reason: "bodyBroken"}
	}
	q.body = body
	q.releaseSurplus(int64(cap(body)))
	return nil
}

// reserveBody reserves memory for the body and returns how much of it may be kept, and
// ok=false when there is none.
func (q *request) reserveBody() (keep int64, ok bool) {
	conn := callerConnOf(q.incoming)
	size := int64(maxBufferedBody)
	if length := q.incoming.ContentLength; length >= 0 && length < size {
		size = length
	}
	if conn == nil || size == 0 {
		return maxBufferedBody, true
	}
	keep = maxBufferedBody
	if !conn.reserve(size) {
		keep, size = minBufferedBody, min(size, minBufferedBody)
		if !conn.reserve(size) {
			return 0, false
		}
	}
	q.bodyReserved = size
	return keep, true
}

// releaseSurplus gives the reserved memory back that the body does not take.
func (q *request) releaseSurplus(size int64) {
	if conn := callerConnOf(q.incoming); conn != nil && size < q.bodyReserved {
		conn.release(q.bodyReserved - size)
		q.bodyReserved = size
	}
}

// releaseBody gives the reserved memory back.
func (q *request) releaseBody() { q.releaseSurplus(0) }

// run places and sends the request until there is a response. The context of the
// attempts lives until cancelAttempts is called.
func (q *request) run() response {
	ctx, cancel := context.WithDeadline(q.incoming.Context(), q.deadline)
	q.endAttempts = cancel
	q.placing, q.endPlacing = context.WithCancel(ctx)
	q.cancels = append(q.cancels, cancel, q.endPlacing)
	q.gateway.inFlight.add(q)
	defer q.gateway.inFlight.remove(q)
	for {
		if !q.updateAccess() {
			return q.deniedResponse()
		}
		if q.mustRefuse(q.gateway.clock.Now()) {
			return q.refusalResponse(q.shutdownRefusal())
		}
		outcome := q.place(q.placing)
		granted, ok := outcome.(wagowner.Granted)
		if !q.updateAccess() {
			if ok {
				granted.Finish(wagplacement.Result{Fault: wagplacement.FaultCanceled})
			}
			return q.deniedResponse()
		}
		if q.mustRefuse(q.gateway.clock.Now()) || q.cutOff.Load() {
			// The slot came too late, or the wait for it was ended.
			if ok {
				granted.Finish(wagplacement.Result{Fault: wagplacement.FaultCanceled})
			}
			return q.refusalResponse(q.shutdownRefusal())
		}
		if !ok {
			if q.awaitNewList(q.placing) {
				continue
			}
			return q.refusalResponse(outcome)
		}
		if q.gateway.isDeparted(granted) {
			granted.Finish(wagplacement.Result{Fault: wagplacement.FaultCanceled})
			q.departedServers = append(q.departedServers, granted.Server.ID)
			q.withheld++
			continue
		}
		if !q.gateway.mayAttempt(granted) {
			granted.Finish(wagplacement.Result{Fault: wagplacement.FaultCanceled})
			if q.awaitOtherServer(q.placing) {
				q.withheld++
			} else if !q.mustRefuse(q.gateway.clock.Now()) {
				return q.refusalResponse(wagowner.Refused{Reason: wagplacement.ReasonDeadline, RetryAt: q.gateway.clock.Now().Add(rejectedRetryDelay)})
			}
			continue
		}
		q.withheld = 0
		resp, final := q.responseOrRetry(ctx, q.sendHedged(ctx, granted))
		if final {
			return resp
		}
	}
}

// shutdownResponse refuses a request because of a graceful shutdown. Another host may
// serve it at once.
func (q *request) shutdownResponse() response {
	return response{status: http.StatusServiceUnavailable, outcome: OutcomeRefused, reason: reasonShuttingDown, retryAt: q.gateway.clock.Now()}
}

// shutdownRefusal is the outcome of a wait for a server that a graceful shutdown has ended.
func (q *request) shutdownRefusal() wagowner.Refused {
	return wagowner.Refused{Reason: reasonShuttingDown, RetryAt: q.gateway.clock.Now()}
}

// place requests a server from the placer.
func (q *request) place(ctx context.Context) wagowner.Outcome {
	start := q.gateway.clock.Now()
	outcome := q.gateway.placer.Place(ctx, q.service, q.placementRequest(false))
	q.waitTime += q.gateway.clock.Now().Sub(start)
	return outcome
}

// placementRequest returns what the placer needs to know. hedge says that another server
// works on the request already.
func (q *request) placementRequest(hedge bool) wagplacement.Request {
	goal := q.arrived.Add(q.route.Goal)
	if goal.After(q.deadline) {
		goal = q.deadline
	}
	return wagplacement.Request{
		Route: q.route.Name, Rank: q.rank(), Customer: q.access.customerName(), Goal: goal, Deadline: q.deadline,
		Name: q.id, Avoid: slices.Concat(q.gateway.upstream.RestrictedServers(q.service), q.avoidServers, q.departedServers), Repeat: q.attempts > 0, Hedge: hedge,
		PlacedAgain: q.withheld > 0,
	}
}

// refusalResponse returns the response to a request that is not sent to any further
// server.
func (q *request) refusalResponse(outcome wagowner.Outcome) response {
	refused, ok := outcome.(wagowner.Refused)
	if !ok {
		refused = wagowner.Refused{Reason: wagplacement.ReasonNoServer, RetryAt: q.gateway.clock.Now().Add(rejectedRetryDelay)}
	}
	switch {
	case q.fallback != nil:
		return *q.fallback
	case q.mayHaveRun:
		return response{status: http.StatusBadGateway, outcome: OutcomeFailed, reason: string(refused.Reason)}
	case refused.Reason == wagplacement.ReasonQuota:
		return q.quotaResponse(refused)
	default:
		return response{status: http.StatusServiceUnavailable, outcome: OutcomeRefused, reason: string(refused.Reason), retryAt: refused.RetryAt}
	}
}

// responseOrRetry decides what follows an attempt. It returns the final response, or
// final=false when the request is to be sent to another server.
func (q *request) responseOrRetry(ctx context.Context, t *attempt) (resp response, final bool) {
	if t.mayHaveRun() {
		q.mayHaveRun = true
	}
	q.avoidServers = append(q.avoidServers, t.granted.Server.ID)
	if !t.hasResponse() {
		t.closeBody()
	}
	switch {
	case t.result.Fault == wagplacement.FaultNone:
		return t.response(), true
	case t.result.Fault == wagplacement.FaultError:
		if q.fallback != nil || !q.mayRetry(ctx) {
			return t.response(), true
		}
		// The error response is passed on unless another server succeeds.
		errorResponse := t.response()
		q.fallback = &errorResponse
		return response{}, false
	case q.mayRetry(ctx):
		return response{}, false
	case q.fallback != nil:
		return *q.fallback, true
	case !q.mayHaveRun:
		return response{status: http.StatusServiceUnavailable, outcome: OutcomeRefused, reason: t.reason, retryAt: q.gateway.clock.Now().Add(rejectedRetryDelay)}, true
	case t.result.Fault == wagplacement.FaultTimeout:
		return response{status: http.StatusGatewayTimeout, outcome: OutcomeFailed, reason: t.reason}, true
	default:
		return response{status: http.StatusBadGateway, outcome: OutcomeFailed, reason: t.reason}, true
	}
}

// mayRetry reports whether the request may be sent to another server.
func (q *request) mayRetry(ctx context.Context) bool {
	return ctx.Err() == nil && q.attempts < q.route.Attempts && q.serversTried < maxServersTried && (q.route.Idempotent || !q.mayHaveRun) && q.bodyRest == nil
}
