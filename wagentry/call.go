package wagentry

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagmetrics"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagretry"
)

const (
	// copyBuffer is the size of reads of answers in bytes.
	copyBuffer = 32 << 10
	// writeGrace is added to the deadline of a call for the last bytes to its
	// caller, such as the refusal at the deadline itself.
	writeGrace = time.Second
)

var errUnframed = errors.New("the end of the answer is not marked")

// serveCaller serves a call on the caller port.
func (e *Proxy) serveCaller(c echo.Context) error {
	r := c.Request()
	if r.Method == http.MethodPost && r.URL.Path == KeysPath && e.claims != nil {
		return e.serveKeys(c)
	}
	dropInternal(r.Header)
	if len(r.TransferEncoding) > 0 {
		// net/http drops a Content-Length beside chunks without a trace. RFC
		// 9112, section 6.1, asks to close such connections.
		c.Response().Header().Set("Connection", "close")
	}
	snapshot := e.snapshot.Load()
	d := snapshot.FindDocument(r.Host, r.URL.Path)
	if d == nil {
		return e.refuse(c, nil, wagoutcome.ReasonNoService)
	}
	p := e.newProxiedCall(r, snapshot, d)
	p.caller = callerName(d, r)
	deadline, ok := callDeadline(p.arrived, d, p.route, r.Header)
	if !ok || r.Method == http.MethodConnect || r.Header["Upgrade"] != nil {
		return e.refuse(c, p, wagoutcome.ReasonBadRequest)
	}
	p.deadline = deadline
	if reason := p.admit(c.Response().Header()); reason != "" {
		return e.refuse(c, p, reason)
	}
	return p.serve(c)
}

// newProxiedCall returns the call of a request; caller and deadline are set later.
func (e *Proxy) newProxiedCall(r *http.Request, snapshot *Snapshot, d *wagdocument.Document) *proxiedCall {
	now := e.clock.Now()
	p := &proxiedCall{
		entry: e, in: r, snapshot: snapshot, members: e.members.Members(now), document: d,
		route: d.Match(r.Method, r.URL.Path), arrived: now,
		marker: wagretry.ParseAttempts(r.Header.Get(wagoutcome.AttemptHeader)),
	}
	p.once = r.Header.Get(wagoutcome.IdempotencyKeyHeader) != "" && !p.route.Repeatable
	p.request = r.Header.Get(wagoutcome.RequestIDHeader)
	if !printable(p.request, maxRequestID) {
		p.request = e.newRequestID()
	}
	if r.ContentLength != 0 {
		p.body = &replayableBody{source: r.Body, left: d.Limits.BodyBytes, trailer: r.Trailer}
	}
	return p
}

func (e *Proxy) newRequestID() string {
	return e.requestPrefix + strconv.FormatUint(e.requests.Add(1), 36)
}

// callDeadline returns the absolute deadline of a call.
func callDeadline(now time.Time, d *wagdocument.Document, r wagdocument.Route, h http.Header) (time.Time, bool) {
	text := h.Get(wagoutcome.DeadlineHeader)
	if text == "" {
		return now.Add(r.Deadline), true
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, false
	}
	return wagclock.Earlier(t, now.Add(d.Service.MaxDeadline)), true
}

// admit applies the caller's terms and the rules on keys.
func (p *proxiedCall) admit(answer http.Header) wagoutcome.Reason {
	if p.route.Keyed && !p.once {
		return wagoutcome.ReasonKeyMissing
	}
	if p.entry.terms == nil {
		return ""
	}
	p.granted = p.entry.terms.Admit(p.arrived, p.document, p.caller, p.in.Header.Get(wagoutcome.TermsHeader))
	if p.granted.RenewedToken != "" {
		answer.Set(wagoutcome.TermsHeader, p.granted.RenewedToken)
	}
	if p.granted.RefusedReason == wagoutcome.ReasonRateLimit {
		wait := p.granted.RetryAt.Sub(p.arrived).Seconds()
		answer.Set("Retry-After", strconv.Itoa(max(int(math.Ceil(wait)), 1)))
	}
	return p.granted.RefusedReason
}

// serve places the call and passes its answer on.
func (p *proxiedCall) serve(c echo.Context) error {
	if p.in.ContentLength > p.document.Limits.BodyBytes {
		return p.entry.refuse(c, p, wagoutcome.ReasonTooLarge)
	}
	p.ctx, p.release = context.WithDeadline(p.in.Context(), p.deadline)
	defer func() { p.release() }()
	defer p.limitCaller(c.Response())()
	p.record(wagevent.KindRequest, "", "")
	a := p.claimed()
	return p.deliver(c, a)
}

// limitCaller ends reads from and writes to a slow caller after the deadline. It
// returns a function that ends the reading of a body that nobody needs.
func (p *proxiedCall) limitCaller(w http.ResponseWriter) func() {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(p.deadline.Add(writeGrace))
	if p.body == nil {
		return func() {}
	}
	// Without full duplex net/http discards what it has of the body before an
	// early answer, and waits for a slow caller before the answer.
	_ = control.EnableFullDuplex()
	ended := make(chan struct{})
	// http.Transport returns only after its last read of the body.
	stop := context.AfterFunc(p.ctx, func() {
		_ = control.SetReadDeadline(longAgo)
		close(ended)
	})
	return func() {
		if !stop() {
			<-ended
		}
		if !p.body.complete() {
			// net/http reads the rest of a body without a deadline.
			_ = control.SetReadDeadline(longAgo)
			p.body.stop()
		}
	}
}

// longAgo is a deadline in the past.
var longAgo = time.Unix(1, 0)

// refuse ends a call that was not placed. p is nil when no document was found.
func (e *Proxy) refuse(c echo.Context, p *proxiedCall, r wagoutcome.Reason) error {
	if p != nil {
		return p.deliver(c, refusal(r))
	}
	e.metrics.Call(wagmetrics.NoService, wagdocument.Learned, wagoutcome.NotRun, r)
	return writeOutcome(c, refusal(r))
}
