package waggateway

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// parseHead returns the request with a head, or nil if that is not the head of exactly
// one safe request without a body after which the connection carries another one.
// Everything after a head that it accepts is read as a request, so that it must accept
// no head after which net/http reads a body, closes the connection or stops serving it.
// It therefore leaves the framing to the parser of net/http, and repeats the checks that
// the server makes beside it.
func parseHead(head []byte) *http.Request {
	reader := bufio.NewReader(bytes.NewReader(head))
	r, err := http.ReadRequest(reader)
	if err != nil || reader.Buffered() > 0 {
		return nil
	}
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
	case !strings.HasPrefix(r.RequestURI, "/"): // r.Host might not be the Host field
	case r.ProtoMajor != 1 || r.ProtoMinor != 1 || r.Close:
	case r.ContentLength != 0 || len(r.TransferEncoding) > 0:
	case r.Header.Get("Expect") != "" || r.Header.Get("Upgrade") != "":
	case !onlyKeepsAlive(r.Header.Values("Connection")):
	case !hasOneHost(head) || !httpguts.ValidHostHeader(r.Host) || !hasValidFields(r.Header):
	default:
		return r
	}
	return nil
}

// onlyKeepsAlive reports whether Connection fields ask for nothing but a connection that
// stays open.
func onlyKeepsAlive(values []string) bool {
	for _, value := range values {
		if !strings.EqualFold(strings.TrimSpace(value), "keep-alive") {
			return false
		}
	}
	return true
}

// hasOneHost reports whether a head has exactly one Host field. http.ReadRequest drops
// what it has read of them.
func hasOneHost(head []byte) bool {
	return bytes.Count(bytes.ToLower(head), []byte("\nhost:")) == 1
}

// hasValidFields reports whether the server of net/http accepts the fields of a request.
func hasValidFields(header http.Header) bool {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) || slices.ContainsFunc(values, func(v string) bool { return !httpguts.ValidHeaderFieldValue(v) }) {
			return false
		}
	}
	return true
}
