package wagrouting

// Invariant names a condition that must hold after every event of a scheduler.
type Invariant string

// Invariants.
const (
	// SentToEligible requires that a request is sent only to a server that is
	// listed, not leaving and not excluded.
	SentToEligible Invariant = "sentToOpen"
	// SentOnce requires that a request that is sent is not in flight already.
	SentOnce Invariant = "sentOnce"
	// InFlightNotNegative requires that no count of requests in flight is
	// negative.
	InFlightNotNegative Invariant = "countsInFlight"
	// LongNotNegative requires that no count of long requests is negative.
	LongNotNegative Invariant = "countsLong"
	// QueueBounded requires that the queue is within Limits.Queue.
	QueueBounded Invariant = "queueBounded"
)

// WithViolationHandler sets the function that is called for each violation of an
// invariant, within the event that violated it.
func WithViolationHandler(handler func(Invariant)) Option {
	return func(sc *Scheduler) { sc.onViolation = handler }
}

// check counts and reports a violation of an invariant that does not hold.
func (sc *Scheduler) check(holds bool, i Invariant) {
	if holds {
		return
	}
	sc.counters.Violations++
	if sc.onViolation != nil {
		sc.onViolation(i)
	}
}
