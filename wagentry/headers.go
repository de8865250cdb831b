package wagentry

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// endsHere tells whether a header ends at a connection (RFC 9110, section
// 7.6.1). The name is in canonical form.
func endsHere(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// named tells whether the Connection header names another header.
func named(connection []string, name string) bool {
	for _, line := range connection {
		for _, word := range strings.Split(line, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(word)) == name {
				return true
			}
		}
	}
	return false
}

// copyHeader copies the headers that pass a host. Reserved ones are set anew by
// each host and are not copied. Values are shared and never changed.
func copyHeader(to, from http.Header) {
	connection := from["Connection"]
	for name, values := range from {
		if endsHere(name) || wagoutcome.IsReservedHeader(name) || connection != nil && named(connection, name) {
			continue
		}
		to[name] = values
	}
}

// copyTrailer copies the names or values of trailers that may pass.
func copyTrailer(to http.Header, from http.Header, prefix string) {
	for name, values := range from {
		if !endsHere(name) && !wagoutcome.IsReservedHeader(name) {
			to[prefix+name] = values
		}
	}
}

// acceptsTrailers tells whether the sender of a request accepts trailers.
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

// dropInternal removes the headers that only hosts may set.
func dropInternal(h http.Header) {
	for name := range h {
		if wagoutcome.IsReservedHeader(name) && !wagoutcome.AllowedFromCaller(name) {
			delete(h, name)
		}
	}
}

const (
	maxCallerName = 128
	maxRequestID  = 64
)

// printable tells whether text is a short name without spaces or commas.
func printable(text string, longest int) bool {
	if text == "" || len(text) > longest {
		return false
	}
	for i := range len(text) {
		if c := text[i]; c <= ' ' || c > '~' || c == ',' || c == '"' {
			return false
		}
	}
	return true
}
