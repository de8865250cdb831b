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
	// defaultPatience is how long a caller is taken to wait that does not tell.
	defaultPatience = 30 * time.Second
	// maxBody is up to which size a body is kept, so that it can be sent again.
	maxBody = 256 << 10
	// dialTime bounds the wait for a connection to a server. One needs 1 ms
	// beside the delay of the link; a lost packet is sent again after a second.
	dialTime = 150 * time.Millisecond
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
	attempts   int
	avoid      []string
}

// answer is what the caller gets.
type answer struct {
	status int
	// response is the answer of a server, or nil.
	response *wagupstream.Response
	// retryAt is when a refused request may come again.
	retryAt time.Time
	reason  string
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	g.answer(w, r, a)
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
		return nil, answer{status: http.StatusServiceUnavailable, reason: "no configuration", retryAt: now.Add(time.Second)}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := config.Match(r.Host, path)
	if route == nil {
		return nil, answer{status: http.StatusNotFound, reason: "no route"}
	}
	q := &request{
		gateway: g, in: r, route: route, service: route.Service(g.number(route.Name)),
		id: g.protocol.RequestID(r.Header), arrived: now, deadline: now.Add(route.Timeout),
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
		return &answer{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}
	}
	var body bytes.Buffer
	source := http.MaxBytesReader(nil, q.in.Body, limit)
	_, err := io.CopyN(&body, source, maxBody)
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return &answer{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}
	case err == nil:
		// What a server leaves unread of it must not be taken for the next request.
		q.rest, q.length, q.in.Close = source, q.in.ContentLength, true
	case err != io.EOF:
		return &answer{status: http.StatusBadRequest, reason: "the body could not be read: " + err.Error()}
	}
	q.body = body.Bytes()
	return nil
}

// run places and sends the request until there is an answer.
func (q *request) run(ctx context.Context) answer {
	for {
		r := wagplacement.Request{
			Route: q.route.Name, Rank: q.route.Rank, Goal: q.arrived.Add(q.route.Goal), Deadline: q.deadline,
			Avoid: q.avoid, Repeat: q.attempts > 0,
		}
		switch x := q.gateway.placer.Place(ctx, q.service, r).(type) {
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
		return answer{status: http.StatusBadGateway, reason: string(x.Reason)}
	}
	return answer{status: http.StatusServiceUnavailable, reason: string(x.Reason), retryAt: x.RetryAt}
}

// attempt sends the request to one server. final is false when another attempt
// may follow.
func (q *request) attempt(ctx context.Context, granted wagowner.Granted) (a answer, final bool) {
	g := q.gateway
	start := g.clock.Now()
	q.attempts++
	out := q.outgoing(granted.Server.ID, q.deadline.Sub(start))
	server := wagupstream.Server{Address: granted.Server.Address, ID: granted.Server.ID}
	resp, _, err := g.upstream.Exchange(ctx, server, out, start.Add(dialTime))
	result := wagplacement.Result{Took: g.clock.Now().Sub(start)}
	defer func() { granted.Finish(result) }()
	if err != nil {
		result.Fault = q.fault(ctx, err)
		return q.failed(ctx, result.Fault, granted.Server.ID, err.Error())
	}
	result.Report, result.HasReport = g.protocol.Report(resp.Header)
	if g.protocol.Misdirected(resp.Status) {
		result.Fault = wagplacement.FaultGone
		return q.failed(ctx, result.Fault, granted.Server.ID, "another server has the address")
	}
	if g.protocol.NotRun(resp.Status, resp.Header) {
		result.Fault = wagplacement.FaultRejected
		return q.failed(ctx, result.Fault, granted.Server.ID, "the server rejected the request")
	}
	if resp.Status < http.StatusMultipleChoices && !g.protocol.Signed(resp.Header) {
		result.Fault = wagplacement.FaultBroken
		return q.failed(ctx, result.Fault, granted.Server.ID, "the answer is not signed")
	}
	if resp.Status >= http.StatusInternalServerError {
		result.Fault = wagplacement.FaultError
	}
	return answer{status: resp.Status, response: resp}, true
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
func (q *request) failed(ctx context.Context, fault wagplacement.Fault, serverID, reason string) (answer, bool) {
	switch fault {
	case wagplacement.FaultConnect, wagplacement.FaultRejected, wagplacement.FaultGone:
	default:
		q.mayHaveRun = true
	}
	q.avoid = append(q.avoid, serverID)
	if ctx.Err() == nil && q.attempts < q.route.Attempts && (q.route.Idempotent || !q.mayHaveRun) && q.rest == nil {
		return answer{}, false
	}
	if !q.mayHaveRun {
		return answer{status: http.StatusServiceUnavailable, reason: reason, retryAt: q.gateway.clock.Now()}, true
	}
	if fault == wagplacement.FaultTimeout {
		return answer{status: http.StatusGatewayTimeout, reason: reason}, true
	}
	return answer{status: http.StatusBadGateway, reason: reason}, true
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
