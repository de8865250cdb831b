package waggateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagupstream"
)

// Reasons of attempts that this host gave up.
const (
	reasonLeft     = "callerLeft"
	reasonDeadline = "deadline"
)

// attempt is a request at one server.
type attempt struct {
	granted wagowner.Granted
	// number counts the attempts of the request from 1.
	number int
	start  time.Time
	// left is how much time the request had left at the start.
	left time.Duration
	// What follows is set at the end. resp is nil when no complete answer came.
	resp   *wagupstream.Response
	reused bool
	result wagplacement.Result
	// reason is one of a few words, and detail the text of an error.
	reason, detail string
	// unsent tells that no byte was sent to the server.
	unsent bool
}

// begin notes that the request is sent to a server.
func (q *request) begin(granted wagowner.Granted) *attempt {
	q.attempts++
	q.tries++
	q.server = granted.Server.ID
	start := q.gateway.clock.Now()
	return &attempt{granted: granted, number: q.attempts, start: start, left: q.deadline.Sub(start)}
}

// exchange sends the request to the server of an attempt and judges what comes back.
func (q *request) exchange(ctx context.Context, t *attempt) {
	server := wagupstream.Server{Address: t.granted.Server.Address, ID: t.granted.Server.ID}
	resp, reused, err := q.gateway.upstream.Exchange(ctx, server, q.outgoing(server.ID, t.left), t.start.Add(dialTime))
	t.resp, t.reused = resp, reused
	t.unsent = errors.Is(err, wagupstream.ErrNotSent)
	t.result, t.reason = q.judge(ctx, resp, err)
	if err != nil {
		t.detail = err.Error()
	}
	t.result.Latency = q.gateway.clock.Now().Sub(t.start)
}

// finish tells the owner and the observer how an attempt ended.
func (q *request) finish(t *attempt) {
	t.granted.Finish(t.result)
	if t.result.Fault == wagplacement.FaultConnect {
		// It counts as a try only.
		q.attempts--
	}
	q.gateway.observer.AttemptEnded(q.attemptEnd(t))
}

// attemptEnd describes the end of an attempt.
func (q *request) attemptEnd(t *attempt) AttemptResult {
	e := AttemptResult{
		RequestID: q.id, Service: q.service, ServerID: t.granted.Server.ID, Number: t.number, Fault: t.result.Fault, Reason: t.reason, Detail: t.detail,
		ConnReused: t.reused, Duration: t.result.Latency, TimeLeft: t.left,
	}
	if t.resp != nil {
		e.Status = t.resp.Status
	}
	return e
}

// drop ends an attempt whose answer is not passed on.
func (t *attempt) drop() {
	if t.resp != nil && t.resp.BodyRest != nil {
		_ = t.resp.BodyRest.Close() // always nil
	}
}

// answered tells whether the attempt has an answer of the server that can be passed
// on.
func (t *attempt) answered() bool {
	return t.result.Fault == wagplacement.FaultNone || t.result.Fault == wagplacement.FaultError
}

func (t *attempt) answer() answer {
	return answer{status: t.resp.Status, outcome: OutcomeAnswered, response: t.resp}
}

// mayHaveRun tells whether the server may have run the request.
func (t *attempt) mayHaveRun() bool {
	switch t.result.Fault {
	case wagplacement.FaultConnect, wagplacement.FaultRejected, wagplacement.FaultMisdirected:
		return false
	default:
		return !t.unsent
	}
}

// judge tells what an exchange says of the server, and why an answer is not passed
// on.
func (q *request) judge(ctx context.Context, resp *wagupstream.Response, err error) (r wagplacement.Result, reason string) {
	if err != nil {
		r.Fault = q.fault(ctx, err)
		switch r.Fault {
		case wagplacement.FaultCanceled:
			return r, reasonLeft
		case wagplacement.FaultTimeout:
			return r, reasonDeadline
		default:
			return r, r.Fault.String()
		}
	}
	p := q.gateway.protocol
	r.Report, r.HasReport = p.LoadReport(resp.Header)
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

// fault tells how an exchange failed.
func (q *request) fault(ctx context.Context, err error) wagplacement.Fault {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && q.in.Context().Err() == nil:
		return wagplacement.FaultTimeout
	case ctx.Err() != nil:
		// The caller left, or another server has answered.
		return wagplacement.FaultCanceled
	case errors.Is(err, wagupstream.ErrNotSent):
		return wagplacement.FaultConnect
	default:
		return wagplacement.FaultBroken
	}
}

// outgoing builds the request that a server gets.
func (q *request) outgoing(serverID string, left time.Duration) *wagupstream.Request {
	h := make(http.Header, len(q.in.Header)+2)
	copyEndToEnd(h, q.in.Header)
	h.Del("Expect")
	h.Del("Content-Length")
	q.gateway.protocol.SetServerHeaders(h, left, serverID)
	return &wagupstream.Request{Method: q.in.Method, Target: q.in.RequestURI, Host: q.in.Host, Header: h, Body: q.body, BodyRest: q.rest, ContentLength: q.length, ID: q.id, AtMostOnce: !q.route.Idempotent}
}
