package wagentry

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// isHopByHop reports whether a header is meant for a single connection and must not
// be forwarded (RFC 9110, section 7.6.1). The name is in canonical form.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// namedByConnection reports whether the Connection header names another header,
// which must then not be forwarded either.
func namedByConnection(connection []string, name string) bool {
	for _, line := range connection {
		for _, word := range strings.Split(line, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(word)) == name {
				return true
			}
		}
	}
	return false
}

// copyHeader copies the headers to forward. Reserved headers are not copied, because
// each host sets its own. Values are shared and must not be changed.
func copyHeader(to, from http.Header) {
	connection := from["Connection"]
	for name, values := range from {
		if isHopByHop(name) || wagoutcome.IsReservedHeader(name) || connection != nil && namedByConnection(connection, name) {
			continue
		}
		to[name] = values
	}
}

// copyTrailer copies the trailers to forward, under names that start with prefix.
func copyTrailer(to http.Header, from http.Header, prefix string) {
	for name, values := range from {
		if !isHopByHop(name) && !wagoutcome.IsReservedHeader(name) {
			to[prefix+name] = values
		}
	}
}

// acceptsTrailers reports whether the sender of a request accepts trailers.
func acceptsTrailers(h http.Header) bool {
	for _, line := range h["Te"] {
		for _, word := range strings.Split(line, ",") {
			if strings.EqualFold(strings.TrimSpace(word), "trailers") {
				return true
			}
		}
	}
	return false
}

// dropInternalHeaders removes the reserved headers that callers may not set.
func dropInternalHeaders(h http.Header) {
	for name := range h {
		if wagoutcome.IsReservedHeader(name) && !wagoutcome.AllowedFromCaller(name) {
			delete(h, name)
		}
	}
}

const (
	maxCallerNameLength = 128
	maxRequestIDLength  = 64
)

// isPlainName reports whether text is a printable ASCII name of limited length
// without spaces, commas and quotation marks.
func isPlainName(text string, maxLength int) bool {
	if text == "" || len(text) > maxLength {
		return false
	}
	for i := range len(text) {
		if c := text[i]; c <= ' ' || c > '~' || c == ',' || c == '"' {
			return false
		}
	}
	return true
}
