package waggateway

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagsite"
)

// Outcome says how a request ended.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeAnswered means that the caller received the response of a server.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused means that the request was not run and will not be run.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed means that the request may have run, but no response arrived.
	OutcomeFailed Outcome = "failed"
	// OutcomeRejected means that no route matches the request, or that it is malformed
	// or too large, or has no valid key of a customer.
	OutcomeRejected Outcome = "rejected"
	// OutcomeCanceled means that the caller left before the response.
	OutcomeCanceled Outcome = "left"
)

// RequestResult describes a request that has ended.
type RequestResult struct {
	RequestID     string
	CallerAddress string
	// Route and Service are empty when the request was rejected before it was placed.
	Route, Service string
	// Customer is the name of the customer whose key the request has, or empty.
	Customer      string
	ConfigVersion wagsite.Version
	Outcome       Outcome
	Status        int
	// Reason is one of a fixed set of words, because it is a label of metrics.
	Reason string
	// ServerID is the ID of the last server that the request was sent to.
	ServerID string
	// GrantedBy is the host whose owner granted ServerID; empty for this host.
	GrantedBy string
	// SentAt is when the request was last sent; zero if it never was.
	SentAt   time.Time
	Attempts int
	// WaitTime is how long the request waited for servers, and Duration the time from
	// its arrival to the start of the response.
	WaitTime, Duration time.Duration
	// WithinGoal reports whether a server responded within the goal of the route.
	WithinGoal bool
}

// AttemptResult describes an attempt that has ended.
type AttemptResult struct {
	RequestID, Service, ServerID string
	// GrantedBy is the host whose owner granted the server; empty for this host.
	GrantedBy string
	// Number counts the attempts of the request from 1.
	Number int
	Fault  wagplacement.Fault
	Status int
	// Reason is one of a fixed set of words, and Detail is the text of an error.
	Reason, Detail string
	// ConnReused reports whether the request was sent on a reused connection.
	ConnReused bool
	Duration   time.Duration
	// TimeLeft is the time that the request had left when it was sent.
	TimeLeft time.Duration
}

// RefusalCause says why a request was refused or a connection was closed that takes more
// than its share.
type RefusalCause string

// Causes of refusals.
const (
	// CauseHeadTooLong means that a head exceeds the limit of the configuration.
	CauseHeadTooLong RefusalCause = "headTooLong"
	// CauseHeadTimeout means that a head was not complete in time.
	CauseHeadTimeout RefusalCause = "headTimeout"
	// CauseMemory means that the memory for callers is used up.
	CauseMemory RefusalCause = "memory"
	// CauseConnections means that there are too many connections.
	CauseConnections RefusalCause = "connections"
	// CauseBodyTimeout means that a body made no progress or was not complete in time.
	CauseBodyTimeout RefusalCause = "bodyTimeout"
	// CauseShutdown means that a body was not complete in time for a graceful shutdown.
	CauseShutdown RefusalCause = "shutdown"
	// CauseWriteTimeout means that a caller did not take its response.
	CauseWriteTimeout RefusalCause = "writeTimeout"
)

// Observer receives the results of requests and attempts. It must not block.
type Observer interface {
	RequestEnded(e RequestResult)
	AttemptEnded(e AttemptResult)
	// CallerRefused is called once for each connection that is closed and each request
	// that is refused to protect the host.
	CallerRefused(cause RefusalCause)
}

type noopObserver struct{}

var _ Observer = noopObserver{}

// RequestEnded does nothing.
func (noopObserver) RequestEnded(RequestResult) {}

// AttemptEnded does nothing.
func (noopObserver) AttemptEnded(AttemptResult) {}

// CallerRefused does nothing.
func (noopObserver) CallerRefused(RefusalCause) {}

// WithObserver sets the observer.
func WithObserver(o Observer) Option { return func(g *Gateway) { g.observer = o } }
