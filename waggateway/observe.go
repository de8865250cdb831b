package waggateway

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagsite"
)

// Outcome tells how a request ended.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeAnswered is the answer of a server.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused tells that the request was not run and never will be.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed tells that the request may have run, without an answer.
	OutcomeFailed Outcome = "failed"
	// OutcomeRejected tells that no route takes the request, or that it is malformed.
	OutcomeRejected Outcome = "rejected"
	// OutcomeCanceled tells that the caller left.
	OutcomeCanceled Outcome = "left"
)

// RequestResult is the end of a request.
type RequestResult struct {
	RequestID     string
	CallerAddress string
	// Route and Service are empty when no route was found.
	Route, Service string
	ConfigVersion  wagsite.Version
	Outcome        Outcome
	Status         int
	// Reason is one of a few words, as it is a label of metrics.
	Reason string
	// ServerID is the last one that the request was sent to.
	ServerID string
	Attempts int
	// WaitTime is how long the request waited for servers, and Duration how long it was
	// at this host.
	WaitTime, Duration time.Duration
	// WithinGoal tells whether a server answered within the goal of the route.
	WithinGoal bool
}

// AttemptResult is the end of one attempt at a server.
type AttemptResult struct {
	RequestID, Service, ServerID string
	// Number counts the attempts of the request from 1.
	Number int
	Fault  wagplacement.Fault
	Status int
	// Reason is one of a few words, and Detail the text of an error.
	Reason, Detail string
	// ConnReused tells that the request was sent on a kept connection.
	ConnReused bool
	Duration   time.Duration
	// TimeLeft is how much time the request had left when it was sent.
	TimeLeft time.Duration
}

// Observer is told what became of requests. It must not block.
type Observer interface {
	RequestEnded(e RequestResult)
	AttemptEnded(e AttemptResult)
}

type discard struct{}

var _ Observer = discard{}

// RequestEnded drops the event.
func (discard) RequestEnded(RequestResult) {}

// AttemptEnded drops the event.
func (discard) AttemptEnded(AttemptResult) {}

// WithObserver sets who is told what became of requests.
func WithObserver(o Observer) Option { return func(g *Gateway) { g.observer = o } }
