// Package wagoutcome defines the outcomes of a request that are reported to its
// caller, and the headers that carry them.
package wagoutcome

import "net/http"

// Names of headers between callers, hosts and servers.
const (
	// OutcomeHeader carries the outcome of a request to its caller.
	OutcomeHeader = "Wagtailspar-Outcome"
	// ReasonHeader carries the reason why a request did not succeed.
	ReasonHeader = "Wagtailspar-Reason"
	// DeadlineHeader carries the absolute deadline of a request (RFC 3339).
	DeadlineHeader = "Wagtailspar-Deadline"
	// StartByHeader carries the latest time at which a request with an
	// idempotency key may start (RFC 3339). A server that supports the header
	// refuses requests that arrive later.
	StartByHeader = "Wagtailspar-Start-By"
	// AttemptHeader carries the number of attempts made for a request along its
	// path, and whether a host has retried it.
	AttemptHeader = "Wagtailspar-Attempt"
	// LoadHeader carries the load of a server on its responses.
	LoadHeader = "Wagtailspar-Load"
	// TermsHeader carries the signed token of the caller's terms.
	TermsHeader = "Wagtailspar-Terms"
	// RevisionHeader carries the revision of the document that a request is
	// served under.
	RevisionHeader = "Wagtailspar-Revision"
	// IdempotencyKeyHeader carries the caller's idempotency key.
	IdempotencyKeyHeader = "Idempotency-Key"
	// HopHeader marks a request that another host has forwarded and lists the
	// kinds of forwards so far.
	HopHeader = "Wagtailspar-Hop"
)

// Outcome says whether a request ran, as far as that is known.
type Outcome int

// Outcomes.
const (
	// Unknown means that the request may have run. It is the zero value, so that
	// an outcome that was never set is not reported as not run or done.
	Unknown Outcome = iota
	// NotRun means that the request did not run and can safely be repeated.
	NotRun
	// Done means that the request ran and that the response is its result.
	Done
)

func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Done:
		return "done"
	default:
		return "unknown"
	}
}

// Parse parses the value of an outcome header. Any other text is Unknown.
func Parse(text string) Outcome {
	switch text {
	case "not-run":
		return NotRun
	case "done":
		return Done
	default:
		return Unknown
	}
}

// Reason says why a request did not succeed.
type Reason string

// Reasons.
const (
	ReasonNoService          Reason = "no-service"
	ReasonBadRequest         Reason = "bad-request"
	ReasonTooLarge           Reason = "too-large"
	ReasonRateLimit          Reason = "rate-limit"
	ReasonOverload           Reason = "overload"
	ReasonQueueFull          Reason = "queue-full"
	ReasonDeadline           Reason = "deadline"
	ReasonNoServer           Reason = "no-server"
	ReasonStoreUnavailable   Reason = "store-unavailable"
	ReasonKeyMissing         Reason = "key-missing"
	ReasonKeyReused          Reason = "key-reused"
	ReasonStopping           Reason = "stopping"
	ReasonStaleConfiguration Reason = "stale-configuration"
	ReasonConnection         Reason = "connection"
	ReasonRefusedByServer    Reason = "refused-by-server"
	ReasonInFlight           Reason = "in-flight"
	// ReasonForgotten means that the records of the key have expired or are lost,
	// so that it is unknown whether an earlier request ran.
	ReasonForgotten    Reason = "forgotten"
	ReasonCanceled     Reason = "canceled"
	ReasonTermsInvalid Reason = "terms-invalid"
	// ReasonBodyNotKept means that the recorded response was too long to be kept;
	// only its status is known.
	ReasonBodyNotKept Reason = "body-not-kept"
)

// HTTPStatus returns the status of the response that a host sends for a request
// that no server has responded to.
func HTTPStatus(o Outcome, r Reason) int {
	switch r {
	case ReasonNoService:
		return http.StatusNotFound
	case ReasonBadRequest, ReasonKeyMissing, ReasonTermsInvalid:
		return http.StatusBadRequest
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonRateLimit:
		return http.StatusTooManyRequests
	case ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case ReasonInFlight:
		return http.StatusConflict
	case ReasonDeadline:
		if o == Unknown {
			return http.StatusGatewayTimeout
		}
	}
	if o == Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
