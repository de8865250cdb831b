package wagstore

import (
	"context"

	"github.com/pkg/errors"
)

// Operation names a kind of call to the store.
type Operation string

// Kinds of calls.
const (
	OperationGet    Operation = "get"
	OperationPut    Operation = "put"
	OperationDelete Operation = "delete"
	OperationList   Operation = "list"
	OperationWatch  Operation = "watch"
)

// Outcome names how a call to the store ended.
type Outcome string

// Outcomes of calls.
const (
	OutcomeDone        Outcome = "done"
	OutcomeNotFound    Outcome = "notFound"
	OutcomeConflict    Outcome = "conflict"
	OutcomeGap         Outcome = "gap"
	OutcomeUnknown     Outcome = "unknown"
	OutcomeInvalid     Outcome = "invalid"
	OutcomeUnavailable Outcome = "unavailable"
	// OutcomeHeld is a call that the circuit breaker or the rate kept back.
	OutcomeHeld Outcome = "held"
	// OutcomeCancelled is a call that its own caller gave up.
	OutcomeCancelled Outcome = "cancelled"
)

// Observer counts the attempts that a client made.
type Observer interface {
	Observe(kind Operation, outcome Outcome)
}

var _ Observer = discard{}

type discard struct{}

func (discard) Observe(Operation, Outcome) {}

// InvalidResponseError tells that the store answered something that the protocol does
// not allow. It is also an ErrUnavailable.
type InvalidResponseError struct {
	Reason string
}

func (e *InvalidResponseError) Error() string {
	return "invalid answer of the store: " + e.Reason
}

// Is makes the error an ErrUnavailable for readers.
func (e *InvalidResponseError) Is(target error) bool {
	return target == ErrUnavailable
}

func outcomeOf(err error) Outcome {
	var answer *InvalidResponseError
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
	case errors.As(err, &answer):
		return OutcomeInvalid
	case errors.Is(err, errHeld):
		return OutcomeHeld
	case errors.Is(err, context.Canceled):
		return OutcomeCancelled
	}
	return OutcomeUnavailable
}
