package wagstore

import (
	"context"

	"github.com/pkg/errors"
)

// Operation is a kind of request to the store.
type Operation string

// Operations of the store.
const (
	OperationGet    Operation = "get"
	OperationPut    Operation = "put"
	OperationDelete Operation = "delete"
	OperationList   Operation = "list"
	OperationWatch  Operation = "watch"
)

// Outcome is the result of a request to the store.
type Outcome string

// Outcomes of requests.
const (
	OutcomeDone        Outcome = "done"
	OutcomeNotFound    Outcome = "notFound"
	OutcomeConflict    Outcome = "conflict"
	OutcomeGap         Outcome = "gap"
	OutcomeUnknown     Outcome = "unknown"
	OutcomeInvalid     Outcome = "invalid"
	OutcomeUnavailable Outcome = "unavailable"
	// OutcomeHeld is a request that this host did not send, because the circuit
	// breaker was open or the limits did not permit it in time.
	OutcomeHeld Outcome = "held"
	// OutcomeCancelled is a request whose context was cancelled.
	OutcomeCancelled Outcome = "cancelled"
)

// Observer is notified of every attempt of a client.
type Observer interface {
	Observe(operation Operation, outcome Outcome)
}

var _ Observer = discardObserver{}

// discardObserver ignores all attempts.
type discardObserver struct{}

func (discardObserver) Observe(Operation, Outcome) {}

// InvalidResponseError reports a response of the store that violates the protocol.
// It is also an ErrUnavailable.
type InvalidResponseError struct {
	Reason string
}

func (e *InvalidResponseError) Error() string {
	return "invalid answer of the store: " + e.Reason
}

// Is reports whether target is ErrUnavailable, so that callers need not handle
// invalid responses separately.
func (e *InvalidResponseError) Is(target error) bool {
	return target == ErrUnavailable
}

// outcomeOf returns the outcome that an error stands for.
func outcomeOf(err error) Outcome {
	var invalid *InvalidResponseError
	switch {
	case err == nil:
		return OutcomeDone
	case errors.Is(err, ErrNotFound):
		return OutcomeNotFound
	case errors.Is(err, ErrConflict):
		return OutcomeConflict
	case errors.Is(err, ErrGap):
		return OutcomeGap
	case errors.Is(err, ErrUnknown):
		return OutcomeUnknown
	case errors.As(err, &invalid):
		return OutcomeInvalid
	case errors.Is(err, errHeldBack):
		return OutcomeHeld
	case errors.Is(err, context.Canceled):
		return OutcomeCancelled
	}
	return OutcomeUnavailable
}
