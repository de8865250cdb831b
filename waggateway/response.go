package waggateway

import (
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// hopHeaders holds the headers that apply to a single connection (RFC 9110, section
// 7.6.1).
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// copyEndToEnd copies the end-to-end headers: all but hopHeaders and those that the
// Connection header names.
func copyEndToEnd(to, from http.Header) {
	var named map[string]bool
	for _, line := range from["Connection"] {
		for _, word := range strings.Split(line, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(word))] = true
		}
	}
	for name, values := range from {
		if !hopHeaders[name] && !named[name] {
			to[name] = values
		}
	}
}

// writeResponse writes the response to the caller. closing says that the connection
// closes after it.
func (g *Gateway) writeResponse(w http.ResponseWriter, r *http.Request, resp response, closing bool) {
	h := w.Header()
	if closing {
		h.Set("Connection", "close")
	}
	if resp.upstream == nil {
		g.writeOwnResponse(w, r, resp)
		return
	}
	copyEndToEnd(h, resp.upstream.Header)
	// net/http adds these headers itself unless the map has their keys.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	if resp.upstream.BodyRest == nil && r.Method != http.MethodHead {
		resp.upstream.ContentLength = int64(len(resp.upstream.Body))
	}
	h.Del("Content-Length")
	if resp.upstream.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.upstream.ContentLength, 10))
	}
	status := resp.upstream.Status
	if statesNotRun(status) {
		// These statuses state that the request was not run, which only this host can
		// know.
		status = http.StatusBadGateway
		g.protocol.RemoveSignature(h)
	}
	if status == http.StatusNoContent || status == http.StatusNotModified {
		h.Del("Content-Length")
	}
	w.WriteHeader(status)
	// A write fails only when the caller is gone; net/http then closes the connection.
	_, _ = w.Write(resp.upstream.Body)
	if resp.upstream.BodyRest == nil {
		return
	}
	defer func() { _ = resp.upstream.BodyRest.Close() }()
	if _, err := io.Copy(w, resp.upstream.BodyRest); err != nil {
		// Aborts the connection, so that the caller does not take a truncated response
		// for a complete one.
		if conn := callerConnOf(r); conn != nil && resp.upstream.ContentLength < 0 && !r.ProtoAtLeast(1, 1) {
			conn.resetOnClose()
		}
		panic(http.ErrAbortHandler)
	}
}

// statesNotRun reports whether callers take a status as a statement that the request
// was not run.
func statesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// writeOwnResponse writes a response that this host generates itself.
func (g *Gateway) writeOwnResponse(w http.ResponseWriter, r *http.Request, resp response) {
	h := w.Header()
	if id := g.protocol.RequestID(r.Header); id != "" {
		g.protocol.SetRequestID(h, id)
	}
	if !resp.retryAt.IsZero() {
		retryAfter := max(resp.retryAt.Sub(g.clock.Now()), 10*time.Millisecond)
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := http.StatusText(resp.status) + ": " + resp.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(resp.status)
	_, _ = w.Write([]byte(body))
}
