package waggateway

import (
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// copyEndToEnd copies the headers that do not concern one connection only.
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

// answer passes the answer to the caller.
func (g *Gateway) answer(w http.ResponseWriter, r *http.Request, a answer) {
	h := w.Header()
	if g.stopping.Load() || r.Close {
		h.Set("Connection", "close")
	}
	if a.response == nil {
		g.answerOwn(w, r, a)
		return
	}
	copyEndToEnd(h, a.response.Header)
	// Without these net/http adds headers of its own.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	if a.response.BodyRest == nil && r.Method != http.MethodHead {
		a.response.ContentLength = int64(len(a.response.Body))
	}
	h.Del("Content-Length")
	if a.response.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.response.ContentLength, 10))
	}
	status := a.response.Status
	if promises(status) {
		// These statuses promise that the request has not run, which only this
		// host can know.
		status = http.StatusBadGateway
		g.protocol.RemoveSignature(h)
	}
	if status == http.StatusNoContent || status == http.StatusNotModified {
		h.Del("Content-Length")
	}
	w.WriteHeader(status)
	// The caller is gone when this fails, and net/http closes the connection.
	_, _ = w.Write(a.response.Body)
	if a.response.BodyRest == nil {
		return
	}
	defer func() { _ = a.response.BodyRest.Close() }()
	if _, err := io.Copy(w, a.response.BodyRest); err != nil {
		// The caller must see a broken answer, never a short one that looks whole.
		panic(http.ErrAbortHandler)
	}
}

// promises tells whether a status tells a caller that the request was not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// answerOwn answers without a server.
func (g *Gateway) answerOwn(w http.ResponseWriter, r *http.Request, a answer) {
	h := w.Header()
	if id := g.protocol.RequestID(r.Header); id != "" {
		g.protocol.SetRequestID(h, id)
	}
	if !a.retryAt.IsZero() {
		after := max(a.retryAt.Sub(g.clock.Now()), 10*time.Millisecond)
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := http.StatusText(a.status) + ": " + a.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(a.status)
	_, _ = w.Write([]byte(text))
}
