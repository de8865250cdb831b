package wagentry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/wagtailspar/wagtailspar/wagclaim"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// KeysPath is the path of the caller port under which keys are issued.
const KeysPath = "/.wagtailspar/keys"

// serveNewKey returns a new key to a caller.
func (px *Proxy) serveNewKey(c echo.Context) error {
	key, ok := px.claims.IssueKey(px.clock.Now())
	if !ok {
		return c.String(http.StatusNotFound, "this site issues no keys\n")
	}
	return c.String(http.StatusCreated, key+"\n")
}

// runWithClaim runs the request, after claiming its key if it has one. If the request
// was forwarded in order to be placed, its key has already been claimed.
func (p *proxiedRequest) runWithClaim() response {
	if !p.atMostOnce || p.proxy.claims == nil || p.hops.any() {
		return p.run()
	}
	k := KeyedRequest{
		Service: p.document.Service.Name, Key: p.incoming.Header.Get(wagoutcome.IdempotencyKeyHeader), Caller: p.caller,
		Deadline: p.deadline, Document: p.document, Request: p.incoming,
	}
	if p.hops.keyed {
		return p.claimAndRun(k)
	}
	switch x := p.proxy.claims.KeyOwner(p.proxy.clock.Now(), k).(type) {
	case LocalOwner:
		return p.claimAndRun(k)
	case RemoteOwner:
		return p.forwardToKeyOwner(x.Forward)
	case Denied:
		return response{outcome: x.Outcome, reason: x.Reason}
	default:
		return refusal(wagoutcome.ReasonStoreUnavailable)
	}
}

// forwardToKeyOwner forwards the request to the owner of its key. No other host may
// run it afterwards: if nothing was written it did not run, otherwise it may have.
func (p *proxiedRequest) forwardToKeyOwner(to netip.AddrPort) response {
	return p.sendToHost(to, hops{keyed: true}).response()
}

// claimAndRun claims the key at this host, its owner, and runs the request if the
// claim permits it.
func (p *proxiedRequest) claimAndRun(k KeyedRequest) response {
	var reason wagoutcome.Reason
	if k.BodySum, reason = p.body.sha256Sum(); reason != "" {
		return refusal(reason)
	}
	decision := p.proxy.claims.Claim(p.ctx, k)
	p.recordClaim(decision)
	switch x := decision.(type) {
	case Dispatch:
		return p.runDispatched(x)
	case RecordedResponse:
		return replayedResponse(x)
	case Denied:
		return response{outcome: x.Outcome, reason: x.Reason}
	default:
		return refusal(wagoutcome.ReasonStoreUnavailable)
	}
}

// recordClaim records an event with the decision on a key.
func (p *proxiedRequest) recordClaim(decision ClaimResult) {
	detail := "dispatched"
	switch x := decision.(type) {
	case RecordedResponse:
		detail = "recorded, status " + strconv.Itoa(x.Status)
	case Denied:
		detail = "denied: " + x.Outcome.String() + " " + string(x.Reason)
	}
	p.recordEvent(wagevent.KindClaim, "", detail)
}

// runDispatched runs a request whose key is claimed. It has to start within the time
// that the claim permits and may then run until its deadline. It continues when its
// caller disconnects, so that a repeated request gets its response.
func (p *proxiedRequest) runDispatched(x Dispatch) response {
	p.startBy = x.StartBy
	ctx, cancel := context.WithDeadline(context.WithoutCancel(p.ctx), p.deadline)
	releaseOuter := p.release
	p.release = func() {
		cancel()
		releaseOuter()
	}
	p.ctx = ctx
	res := p.run()
	x.Finish(res.dispatchResult())
	return res
}

// dispatchResult returns the result to record for a claimed key. It reads as much of
// the response as can be recorded, so that a slow caller doesn't delay repeated
// requests. If the response breaks off within that part, the outcome is unknown.
func (res response) dispatchResult() DispatchResult {
	if res.outcome != wagoutcome.Done || res.attempt == nil || res.attempt.resp == nil {
		return DispatchResult{Outcome: res.outcome}
	}
	result := DispatchResult{Outcome: wagoutcome.Done, Status: res.attempt.resp.StatusCode}
	body, err := res.attempt.peek(wagclaim.MaxBodyBytes + 1)
	if err != nil {
		return DispatchResult{Outcome: wagoutcome.Unknown}
	}
	// The content type and a newline are recorded in front of the body.
	record := append([]byte(res.attempt.resp.Header.Get("Content-Type")+"\n"), body...)
	if len(record) <= wagclaim.MaxBodyBytes {
		result.Body = record
	}
	return result
}

// replayedResponse returns the recorded response to an earlier request.
func replayedResponse(x RecordedResponse) response {
	res := response{outcome: wagoutcome.Done, status: x.Status}
	contentType, body, complete := bytes.Cut(x.Body, []byte("\n"))
	if !complete {
		res.reason = wagoutcome.ReasonBodyNotKept
		return res
	}
	res.contentType, res.body = string(contentType), body
	return res
}

// peekedBody is the body of a response of which a part was read in advance.
type peekedBody struct {
	io.Reader
	io.Closer
}

// peek reads up to n bytes of the body of the response in advance. copyBody reads
// them again.
func (a *attempt) peek(n int64) ([]byte, error) {
	body := a.resp.Body
	head, err := io.ReadAll(io.LimitReader(body, n))
	a.resp.Body = peekedBody{Reader: io.MultiReader(bytes.NewReader(head), body), Closer: body}
	return head, err
}
