package wagoutcome

import (
	"net/http"
	"strings"
)

// Names of headers between hosts. They are dropped on the caller port.
const (
	// CallerHeader carries the name of the caller of a forwarded call.
	CallerHeader = "Wagtailspar-Caller"
	// ServiceHeader carries the service of a forwarded call.
	ServiceHeader = "Wagtailspar-Service"
	// ClassHeader carries the class of work of a forwarded call.
	ClassHeader = "Wagtailspar-Class"
	// RequestIDHeader carries the identity of a call across all processes.
	RequestIDHeader = "Request-Id"
)

// prefix starts the names of all headers of this system.
const prefix = "Wagtailspar-"

// Evidence is what is known of an attempt when it has ended.
type Evidence struct {
	// Written tells that at least one byte was handed to a connection.
	Written bool
	// ResponseReceived tells that the header of an answer was received.
	ResponseReceived bool
	// ProvenNotRun tells that the answer proves, by the document, that the request was
	// not run.
	ProvenNotRun bool
	// BodyTooLarge tells that the body of the call exceeded the limit.
	BodyTooLarge bool
	// Expired tells that the deadline passed, Canceled that the caller left.
	Expired  bool
	Canceled bool
}

// Classify derives the outcome of an attempt. The reason is empty when the
// attempt is done.
func Classify(e Evidence) (Outcome, Reason) {
	switch {
	case e.ResponseReceived && e.ProvenNotRun:
		return NotRun, ReasonRefusedByServer
	case e.ResponseReceived:
		return Done, ""
	case e.Written:
		return Unknown, e.reason()
	default:
		return NotRun, e.reason()
	}
}

func (e Evidence) reason() Reason {
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

// IsReservedHeader tells whether the name of a header, in canonical form, belongs to
// this system.
func IsReservedHeader(name string) bool {
	return strings.HasPrefix(name, prefix)
}

// AllowedFromCaller tells whether a caller may set the reserved header. All others
// mark internal hops and answers and are dropped on the caller port.
func AllowedFromCaller(name string) bool {
	return name == DeadlineHeader || name == AttemptHeader || name == TermsHeader
}

// StripReservedHeaders removes all reserved headers, so that an answer of a server can not
// claim an outcome.
func StripReservedHeaders(h http.Header) {
	for name := range h {
		if IsReservedHeader(name) {
			delete(h, name)
		}
	}
}

// PriorityHeader carries the queue position bonus of a forwarded call.
const PriorityHeader = "Wagtailspar-Place"

// IsKnownReason tells whether a reason is one of this package. Reasons from other
// hosts become label values only if they are known.
func IsKnownReason(r Reason) bool {
	switch r {
	case ReasonNoService, ReasonBadRequest, ReasonTooLarge, ReasonRateLimit, ReasonOverload, ReasonQueueFull, ReasonDeadline,
		ReasonNoServer, ReasonStoreUnavailable, ReasonKeyMissing, ReasonKeyReused, ReasonStopping, ReasonStaleConfiguration, ReasonConnection,
		ReasonRefusedByServer, ReasonInFlight, ReasonForgotten, ReasonCanceled, ReasonTermsInvalid, ReasonBodyNotKept:
		return true
	}
	return false
}
