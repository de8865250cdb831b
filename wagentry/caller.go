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
	// copyBufferBytes is the size of the buffers that bodies are copied through.
	copyBufferBytes = 32 << 10
	// writeGrace extends the time for writing to the caller beyond the deadline of
	// the request, so that a refusal at the deadline still reaches the caller.
	writeGrace = time.Second
)

var (
	errUnframed      = errors.New("response does not mark the end of its body")
	errInvalidStatus = errors.New("response has a status outside 200 to 599")
)

// serveCaller serves a request on the caller port.
func (px *Proxy) serveCaller(c echo.Context) error {
	r := c.Request()
	if r.Method == http.MethodPost && r.URL.Path == KeysPath && px.claims != nil {
		return px.serveNewKey(c)
	}
	dropInternalHeaders(r.Header)
	if len(r.TransferEncoding) > 0 {
		// net/http silently drops a Content-Length that comes with chunks. RFC 9112,
		// section 6.1, requires such connections to be closed.
		c.Response().Header().Set("Connection", "close")
	}
	snapshot := px.snapshot.Load()
	d := snapshot.FindDocument(r.Host, r.URL.Path)
	if d == nil {
		return px.refuse(c, nil, wagoutcome.ReasonNoService)
	}
	p := px.newProxiedRequest(r, snapshot, d)
	p.caller = callerName(d, r)
	deadline, ok := requestDeadline(p.arrived, d, p.route, r.Header)
	if !ok || r.Method == http.MethodConnect || r.Header["Upgrade"] != nil {
		return px.refuse(c, p, wagoutcome.ReasonBadRequest)
	}
	p.deadline = deadline
	if reason := p.admit(c.Response().Header()); reason != "" {
		return px.refuse(c, p, reason)
	}
	return p.serve(c)
}

// newProxiedRequest returns the state of a request, without its caller and
// deadline, which are set afterwards.
func (px *Proxy) newProxiedRequest(r *http.Request, snapshot *Snapshot, d *wagdocument.Document) *proxiedRequest {
	now := px.clock.Now()
	p := &proxiedRequest{
		proxy: px, incoming: r, snapshot: snapshot, members: px.members.Members(now), document: d,
		route: d.Match(r.Method, r.URL.Path), arrived: now,
		attempts: wagretry.ParseAttempts(r.Header.Get(wagoutcome.AttemptHeader)),
	}
	p.atMostOnce = r.Header.Get(wagoutcome.IdempotencyKeyHeader) != "" && !p.route.Repeatable
	p.requestID = r.Header.Get(wagoutcome.RequestIDHeader)
	if !isPlainName(p.requestID, maxRequestIDLength) {
		p.requestID = px.newRequestID()
	}
	if r.ContentLength != 0 {
		p.body = &replayableBody{source: r.Body, remaining: d.Limits.BodyBytes, trailer: r.Trailer}
	}
	return p
}

func (px *Proxy) newRequestID() string {
	return px.requestIDPrefix + strconv.FormatUint(px.requestIDCounter.Add(1), 36)
}

// requestDeadline returns the absolute deadline of a request. Without a header it
// is that of the route. It returns false for a malformed header.
func requestDeadline(now time.Time, d *wagdocument.Document, route wagdocument.Route, h http.Header) (time.Time, bool) {
	text := h.Get(wagoutcome.DeadlineHeader)
	if text == "" {
		return now.Add(route.Deadline), true
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, false
	}
	return wagclock.Earlier(t, now.Add(d.Service.MaxDeadline)), true
}

// admit checks that a required key is there and applies the caller's terms, whose
// headers it adds to the response. It returns the reason for a refusal, if any.
func (p *proxiedRequest) admit(header http.Header) wagoutcome.Reason {
	if p.route.Keyed && !p.atMostOnce {
		return wagoutcome.ReasonKeyMissing
	}
	if p.proxy.terms == nil {
		return ""
	}
	p.admission = p.proxy.terms.Admit(p.arrived, p.document, p.caller, p.incoming.Header.Get(wagoutcome.TermsHeader))
	if p.admission.RenewedToken != "" {
		header.Set(wagoutcome.TermsHeader, p.admission.RenewedToken)
	}
	if p.admission.RefusedReason == wagoutcome.ReasonRateLimit {
		delay := p.admission.RetryAt.Sub(p.arrived).Seconds()
		header.Set("Retry-After", strconv.Itoa(max(int(math.Ceil(delay)), 1)))
	}
	return p.admission.RefusedReason
}

// serve places the request and sends the response to the caller.
func (p *proxiedRequest) serve(c echo.Context) error {
	if p.incoming.ContentLength > p.document.Limits.BodyBytes {
		return p.proxy.refuse(c, p, wagoutcome.ReasonTooLarge)
	}
	p.ctx, p.release = wagclock.WithDeadline(p.incoming.Context(), p.proxy.clock, p.deadline)
	defer func() { p.release() }()
	defer p.boundCallerIO(c.Response())()
	p.recordEvent(wagevent.KindRequest, "", "")
	res := p.runWithClaim()
	return p.deliver(c, res)
}

// boundCallerIO makes reads from and writes to a slow caller end after the
// deadline. It returns a function that ends the reading of a body that is no longer
// needed.
func (p *proxiedRequest) boundCallerIO(w http.ResponseWriter) func() {
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(p.deadline.Add(writeGrace))
	if p.body == nil {
		return func() {}
	}
	// Without full duplex, net/http reads and discards the body before it writes an
	// early response, and so waits for a slow caller.
	_ = controller.EnableFullDuplex()
	readsEnded := make(chan struct{})
	// http.Transport returns only after its last read of the body, so a blocked read
	// has to end with the request.
	stop := context.AfterFunc(p.ctx, func() {
		_ = controller.SetReadDeadline(pastDeadline)
		close(readsEnded)
	})
	return func() {
		if !stop() {
			<-readsEnded
		}
		if !p.body.isComplete() {
			// Otherwise net/http reads the rest of the body without a deadline.
			_ = controller.SetReadDeadline(pastDeadline)
			p.body.revokeReaders()
		}
	}
}

// pastDeadline is a deadline in the past, which ends blocked reads at once.
var pastDeadline = time.Unix(1, 0)

// refuse responds to a request that was not placed. p is nil if the request is
// malformed or no document was found for it.
func (px *Proxy) refuse(c echo.Context, p *proxiedRequest, reason wagoutcome.Reason) error {
	if p != nil {
		return p.deliver(c, refusal(reason))
	}
	px.metrics.CountRequest(wagmetrics.NoService, wagdocument.Learned, wagoutcome.NotRun, reason)
	return writeOutcome(c, refusal(reason))
}
