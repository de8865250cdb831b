// Package wagoutcome states what became of a call. Nothing else is ever told to
// a caller.
package wagoutcome

import "net/http"

// Names of headers between callers, hosts and servers.
const (
	// OutcomeHeader carries the outcome of a call to its caller.
	OutcomeHeader = "Wagtailspar-Outcome"
	// ReasonHeader carries a word that says why a call did not succeed.
	ReasonHeader = "Wagtailspar-Reason"
	// DeadlineHeader carries the absolute deadline of a call (RFC 3339).
	DeadlineHeader = "Wagtailspar-Deadline"
	// StartByHeader carries the latest time at which keyed work may start (RFC
	// 3339). A server that honours it refuses work that arrives later.
	StartByHeader = "Wagtailspar-Start-By"
	// AttemptHeader carries the attempts made for a call along its path.
	AttemptHeader = "Wagtailspar-Attempt"
	// LoadHeader carries a server's load on its answers.
	LoadHeader = "Wagtailspar-Load"
	// TermsHeader carries the caller's terms.
	TermsHeader = "Wagtailspar-Terms"
	// RevisionHeader carries the revision of the document that a call used.
	RevisionHeader = "Wagtailspar-Revision"
	// IdempotencyKeyHeader carries the caller's idempotency key.
	IdempotencyKeyHeader = "Idempotency-Key"
	// HopHeader marks a call that an entry host forwarded to another.
	HopHeader = "Wagtailspar-Hop"
)

// Outcome is one of the three things that can be told of a call.
type Outcome int

// Outcomes.
const (
	// Unknown tells that the call may have run. It is the zero value, so that
	// an outcome that nobody set claims nothing.
	Unknown Outcome = iota
	// NotRun tells that the call did not run and may be repeated.
	NotRun
	// Done tells that the call ran and this is its answer.
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

// Parse reads an outcome header. Any other text is Unknown.
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

// Reason says why a call did not succeed.
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
	ReasonForgotten          Reason = "forgotten"
	ReasonCanceled           Reason = "canceled"
	ReasonTermsInvalid       Reason = "terms-invalid"
	// ReasonBodyNotKept tells that a recorded answer was too long to be kept; only
	// its status is known.
	ReasonBodyNotKept Reason = "body-not-kept"
)

// HTTPStatus returns the HTTP status that an entry host answers with for a call
// that got no answer of a server.
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
