package wagentry

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagretry"
	"github.com/wagtailspar/wagtailspar/wagrouting"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// try is one attempt at a server, or one forward to another host.
type try struct {
	call *proxiedCall
	// group holds the slot of the attempt; nil for a forward.
	group  *group
	id     wagrouting.RequestID
	server netip.AddrPort
	end    *end
	// ctx ends with the attempt; wire cancels it.
	ctx  context.Context
	wire *wire
	// resp is nil when no answer was received.
	resp     *http.Response
	result   wagrouting.Result
	evidence wagoutcome.Evidence
	outcome  wagoutcome.Outcome
	reason   wagoutcome.Reason
	// written tells whether a byte was handed to a connection.
	written bool
	// bad tells that the status of the answer counts against the server.
	bad bool
	// marker was sent with the request, below came with the answer.
	marker, below wagretry.Attempts
}

func (t *try) answer() answer {
	return answer{outcome: t.outcome, reason: t.reason, try: t}
}

// newTry prepares an attempt at a server whose slot the call holds.
func (p *proxiedCall) newTry(g *group, id wagrouting.RequestID, server netip.AddrPort, extra int) *try {
	name := p.document.Service.Name
	opened := func(change int) { p.entry.metrics.Connections(name, change) }
	t := &try{call: p, group: g, id: id, server: server, marker: p.marker.Add(extra)}
	t.wire, t.ctx = newWire(p.ctx, p.mayStart)
	t.end = p.entry.servers.get(server, share(p.document, p.members), opened)
	p.entry.metrics.Attempt(name)
	p.record(wagevent.KindAttempt, t.end.address, "")
	return t
}

// send makes the attempt at a server.
func (t *try) send() {
	if !t.roundTrip(nil) {
		return
	}
	h := t.resp.Header
	t.result.Load, t.result.HasLoad = parseLoad(h.Get(wagoutcome.LoadHeader))
	t.bad = t.call.document.Errors.IsBad(t.resp.StatusCode)
	t.evidence.ProvenNotRun = t.call.document.Errors.NotRunProof(t.resp.StatusCode, h)
	t.outcome, t.reason = wagoutcome.Classify(t.evidence)
	if t.bad {
		t.result.Fault = wagrouting.FaultStatus
	}
	if t.result.Load.Draining {
		// The end of a long answer may be later than the time within which a
		// leaving server must get no new work.
		t.group.leaving(t.server)
		t.call.entry.observer.Observe(t.call.document.Service.Name, t.server, wagserver.Draining)
	}
}

// roundTrip sends the request and receives the header of the answer. Without
// an answer it sets outcome, reason and fault, and returns false.
func (t *try) roundTrip(extra http.Header) bool {
	t.result.SentAt = t.call.entry.clock.Now()
	out, err := t.request(extra)
	if err == nil {
		t.resp, err = t.end.transport.RoundTrip(out) //nolint:bodyclose // finish closes it
	}
	if err == nil && unframed(t.resp) {
		err = errUnframed
		_ = t.resp.Body.Close()
		t.resp = nil
	}
	if err != nil {
		t.fail()
		return false
	}
	t.result.HeaderReceivedAt = t.call.entry.clock.Now()
	t.written = true
	t.evidence = wagoutcome.Evidence{Written: true, ResponseReceived: true}
	t.below = wagretry.ParseAttempts(t.resp.Header.Get(wagoutcome.AttemptHeader))
	return true
}

func (t *try) fail() {
	p := t.call
	t.written = t.wire.end()
	t.evidence = wagoutcome.Evidence{
		Written:      t.written,
		BodyTooLarge: p.body.exceeded(),
		Expired:      !p.deadline.After(p.entry.clock.Now()) || !t.written && !p.mayStart(),
		Canceled:     p.in.Context().Err() != nil,
	}
	t.outcome, t.reason = wagoutcome.Classify(t.evidence)
	t.below = wagretry.Attempts{Count: 1}
	t.result.Fault = t.fault()
}

func (t *try) fault() wagrouting.Fault {
	switch {
	case t.evidence.Expired:
		return wagrouting.FaultTimeout
	case t.evidence.Canceled || t.evidence.BodyTooLarge:
		return wagrouting.FaultCanceled
	case t.written:
		return wagrouting.FaultBroken
	default:
		return wagrouting.FaultConnect
	}
}

// request builds the request of the attempt.
func (t *try) request(extra http.Header) (*http.Request, error) {
	in := t.call.in
	out := in.WithContext(t.ctx)
	u := *in.URL
	u.Scheme, u.Host = "http", t.end.address
	out.URL, out.RequestURI, out.GetBody, out.Trailer = &u, "", nil, nil
	out.TransferEncoding, out.Close = nil, false
	h := make(http.Header, len(in.Header)+len(extra)+4)
	copyHeader(h, in.Header)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
	if acceptsTrailers(in.Header) {
		h["Te"] = []string{"trailers"}
	}
	for name, values := range extra {
		h[name] = values
	}
	h[wagoutcome.DeadlineHeader] = []string{t.call.deadline.UTC().Format(time.RFC3339Nano)}
	if start := t.call.startBy; !start.IsZero() {
		h[wagoutcome.StartByHeader] = []string{start.UTC().Format(time.RFC3339Nano)}
	}
	h[wagoutcome.AttemptHeader] = []string{t.marker.String()}
	h[wagoutcome.RevisionHeader] = []string{strconv.FormatInt(t.call.document.Revision.Number, 10)}
	h[wagoutcome.RequestIDHeader] = []string{t.call.request}
	out.Header, out.Body = h, nil
	if t.call.body == nil {
		return out, nil
	}
	r, ok := t.call.body.open()
	if !ok {
		return nil, errBodyMoved
	}
	out.Body, out.Trailer = r, r.trailer
	return out, nil
}

// finish ends the attempt and gives its slot back.
func (t *try) finish() {
	t.wire.cancel()
	if t.resp != nil {
		_ = t.resp.Body.Close()
	}
	t.end.idle()
	if t.group != nil {
		t.group.finished(t.id, t.result)
		t.observe()
	}
}

// observe tells what the attempt showed of the server.
func (t *try) observe() {
	service, o := t.call.document.Service.Name, t.call.entry.observer
	switch {
	case t.result.HasLoad && t.result.Load.Draining:
		// send told it.
	case t.result.Fault == wagrouting.FaultConnect:
		o.Observe(service, t.server, wagserver.ConnectionRefused)
	case t.resp != nil:
		o.Observe(service, t.server, wagserver.Answered)
	}
}

// unframed tells whether the end of an answer can not be told from a broken
// connection, because neither a length nor chunks delimit it, or because the
// server switched protocols without being asked.
func unframed(r *http.Response) bool {
	return r.StatusCode == http.StatusSwitchingProtocols || r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// buffers holds the buffers that answers are copied through.
var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// passBody copies the body of the answer to the caller. A streamed body is
// flushed at every read.
func (t *try) passBody(w http.ResponseWriter) error {
	flush := http.NewResponseController(w)
	buffer := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(buffer)
	for {
		n, err := t.resp.Body.Read(buffer[:])
		t.result.Bytes += int64(n)
		if _, werr := w.Write(buffer[:n]); werr != nil {
			return werr
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if t.resp.ContentLength >= 0 {
			continue
		}
		if err := flush.Flush(); err != nil {
			return err
		}
	}
}

// parseLoad reads a server's report, such as "inFlight=3; slots=6; draining".
func parseLoad(text string) (l wagrouting.Load, ok bool) {
	if text == "" {
		return l, false
	}
	for rest := text; rest != ""; {
		var part string
		part, rest, _ = strings.Cut(rest, ";")
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		n, err := strconv.Atoi(value)
		switch {
		case name == "draining":
			l.Draining = true
		case err != nil || n < 0:
			return wagrouting.Load{}, false
		case name == "inFlight":
			l.InFlight = n
		case name == "slots":
			l.Slots = n
		}
	}
	return l, true
}
