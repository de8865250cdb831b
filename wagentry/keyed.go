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

// serveKeys answers a caller that asks for a key.
func (e *Proxy) serveKeys(c echo.Context) error {
	key, ok := e.claims.IssueKey(e.clock.Now())
	if !ok {
		return c.String(http.StatusNotFound, "this site issues no keys\n")
	}
	return c.String(http.StatusCreated, key+"\n")
}

// claimed runs the call, after its key is claimed if it has one. A call that
// was forwarded to the owner of its group was claimed before.
func (p *proxiedCall) claimed() answer {
	if !p.once || p.entry.claims == nil || p.hop.any() {
		return p.run()
	}
	k := KeyedRequest{
		Service: p.document.Service.Name, Key: p.in.Header.Get(wagoutcome.IdempotencyKeyHeader), Caller: p.caller,
		Deadline: p.deadline, Document: p.document, Request: p.in,
	}
	if p.hop.keyed {
		return p.claim(k)
	}
	switch x := p.entry.claims.KeyOwner(p.entry.clock.Now(), k).(type) {
	case LocalOwner:
		return p.claim(k)
	case RemoteOwner:
		return p.toKeyOwner(x.Forward)
	case Denied:
		return answer{outcome: x.Outcome, reason: x.Reason}
	default:
		return refusal(wagoutcome.ReasonStoreUnavailable)
	}
}

// toKeyOwner passes the call to the host that decides on its key. No other host
// may run it: it has not run when nothing was written, and may have otherwise.
func (p *proxiedCall) toKeyOwner(to netip.AddrPort) answer {
	return p.forwardTo(to, hop{keyed: true}).answer()
}

// claim decides on the key at this host.
func (p *proxiedCall) claim(k KeyedRequest) answer {
	var reason wagoutcome.Reason
	if k.BodySum, reason = p.body.sum(); reason != "" {
		return refusal(reason)
	}
	decision := p.entry.claims.Claim(p.ctx, k)
	p.recordClaim(decision)
	switch x := decision.(type) {
	case Dispatch:
		return p.dispatch(x)
	case RecordedResponse:
		return recorded(x)
	case Denied:
		return answer{outcome: x.Outcome, reason: x.Reason}
	default:
		return refusal(wagoutcome.ReasonStoreUnavailable)
	}
}

// recordClaim records the decision on a key.
func (p *proxiedCall) recordClaim(decision ClaimResult) {
	detail := "dispatched"
	switch x := decision.(type) {
	case RecordedResponse:
		detail = "recorded, status " + strconv.Itoa(x.Status)
	case Denied:
		detail = "denied: " + x.Outcome.String() + " " + string(x.Reason)
	}
	p.record(wagevent.KindClaim, "", detail)
}

// dispatch runs a claimed call, which starts within the time that its claim
// permits and may run on until its deadline. The call
// goes on when its caller leaves, so that a repeat gets its answer.
func (p *proxiedCall) dispatch(x Dispatch) answer {
	p.startBy = x.StartBy
	ctx, cancel := context.WithDeadline(context.WithoutCancel(p.ctx), p.deadline)
	outer := p.release
	p.release = func() {
		cancel()
		outer()
	}
	p.ctx = ctx
	a := p.run()
	x.Finish(a.finished())
	return a
}

// finished returns what is recorded of a claimed call. Of an answer it reads as
// much as can be recorded, so that a slow caller does not delay the repeats; an
// answer that breaks within that may not be complete and is unknown.
func (a answer) finished() DispatchResult {
	if a.outcome != wagoutcome.Done || a.try == nil || a.try.resp == nil {
		return DispatchResult{Outcome: a.outcome}
	}
	f := DispatchResult{Outcome: wagoutcome.Done, Status: a.try.resp.StatusCode}
	body, err := a.try.peek(wagclaim.MaxBodyBytes + 1)
	if err != nil {
		return DispatchResult{Outcome: wagoutcome.Unknown}
	}
	// The type of the body is recorded in front of it.
	kept := append([]byte(a.try.resp.Header.Get("Content-Type")+"\n"), body...)
	if len(kept) <= wagclaim.MaxBodyBytes {
		f.Body = kept
	}
	return f
}

// recorded returns the answer of an earlier run.
func recorded(x RecordedResponse) answer {
	a := answer{outcome: wagoutcome.Done, status: x.Status}
	contentType, body, kept := bytes.Cut(x.Body, []byte("\n"))
	if !kept {
		a.reason = wagoutcome.ReasonBodyNotKept
		return a
	}
	a.contentType, a.body = string(contentType), body
	return a
}

// peeked is the body of an answer of which a part was read in advance.
type peeked struct {
	io.Reader
	io.Closer
}

// peek reads up to n bytes of the body of the answer, which passBody gets too.
func (t *try) peek(n int64) ([]byte, error) {
	body := t.resp.Body
	head, err := io.ReadAll(io.LimitReader(body, n))
	t.resp.Body = peeked{Reader: io.MultiReader(bytes.NewReader(head), body), Closer: body}
	return head, err
}
