package wagoutcome

import (
	"net/http"
	"strings"
)

// Names of headers between hosts. Those that start with reservedPrefix are
// removed from requests on the caller port.
const (
	// CallerHeader carries the name of the caller of a forwarded request.
	CallerHeader = "Wagtailspar-Caller"
	// ServiceHeader carries the service of a forwarded request.
	ServiceHeader = "Wagtailspar-Service"
	// ClassHeader carries the class of a forwarded request, such as short or long.
	ClassHeader = "Wagtailspar-Class"
	// RequestIDHeader carries the ID of a request through all processes. Callers
	// may set it.
	RequestIDHeader = "Request-Id"
)

// reservedPrefix starts the names of the headers that are reserved for this
// system.
const reservedPrefix = "Wagtailspar-"

// Evidence is what is known about an attempt when it has ended.
type Evidence struct {
	// Written is set when at least one byte was passed to a connection.
	Written bool
	// ResponseReceived is set when the header of a response was received.
	ResponseReceived bool
	// ProvenNotRun is set when the response proves, according to the document,
	// that the request was not run.
	ProvenNotRun bool
	// BodyTooLarge is set when the body of the request exceeded the limit.
	BodyTooLarge bool
	// Expired is set when the deadline has passed, or the latest time to start
	// when nothing was written. Canceled is set when the caller has disconnected.
	Expired  bool
	Canceled bool
}

// Classify derives the outcome of an attempt. The reason is empty when the
// outcome is Done.
func Classify(e Evidence) (Outcome, Reason) {
	switch {
	case e.ResponseReceived && e.ProvenNotRun:
		return NotRun, ReasonRefusedByServer
	case e.ResponseReceived:
		return Done, ""
	case e.Written:
		return Unknown, e.failureReason()
	default:
		return NotRun, e.failureReason()
	}
}

func (e Evidence) failureReason() Reason {
	switch {
	case e.BodyTooLarge:
		return ReasonTooLarge
	case e.Expired:
		return ReasonDeadline
	case e.Canceled:
		return ReasonCanceled
	default:
		return ReasonConnection
	}
}

// IsReservedHeader reports whether the name of a header, in canonical form, is
// reserved for this system.
func IsReservedHeader(name string) bool {
	return strings.HasPrefix(name, reservedPrefix)
}

// AllowedFromCaller reports whether a caller may set the reserved header. All
// other reserved headers belong to forwarded requests and to responses, and are
// removed on the caller port.
func AllowedFromCaller(name string) bool {
	return name == DeadlineHeader || name == AttemptHeader || name == TermsHeader
}

// StripReservedHeaders removes all reserved headers, so that the response of a
// server can't claim an outcome.
func StripReservedHeaders(h http.Header) {
	for name := range h {
		if IsReservedHeader(name) {
			delete(h, name)
		}
	}
}

// PriorityHeader carries the priority of a forwarded request in the queue, which
// comes from the caller's terms.
const PriorityHeader = "Wagtailspar-Place"

// IsKnownReason reports whether a reason is defined by this package. Reasons from
// other hosts are used as metric label values only if they are known.
func IsKnownReason(r Reason) bool {
	switch r {
	case ReasonNoService, ReasonBadRequest, ReasonTooLarge, ReasonRateLimit, ReasonOverload, ReasonQueueFull, ReasonDeadline,
		ReasonNoServer, ReasonStoreUnavailable, ReasonKeyMissing, ReasonKeyReused, ReasonStopping, ReasonStaleConfiguration, ReasonConnection,
		ReasonRefusedByServer, ReasonInFlight, ReasonForgotten, ReasonCanceled, ReasonTermsInvalid, ReasonBodyNotKept:
		return true
	}
	return false
}
