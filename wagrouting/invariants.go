package wagrouting

// Invariant names what must hold after every event of a core.
type Invariant string

// Invariants.
const (
	// SentToEligible holds when a call is sent to a server that is listed, does not
	// leave and is not excluded.
	SentToEligible Invariant = "sentToOpen"
	// SentOnce holds when a call is sent while it is not in flight.
	SentOnce Invariant = "sentOnce"
	// InFlightNotNegative holds when no count of calls in flight is negative.
	InFlightNotNegative Invariant = "countsInFlight"
	// LongNotNegative holds when no count of long calls is negative.
	LongNotNegative Invariant = "countsLong"
	// QueueBounded holds when the queue is within Limits.Queue.
	QueueBounded Invariant = "queueBounded"
)

// WithViolationHandler sets who is told of each violation of an invariant, within the
// event that violated it.
func WithViolationHandler(report func(Invariant)) Option {
	return func(c *Scheduler) { c.violated = report }
}

// check counts and reports an invariant that does not hold.
func (c *Scheduler) check(holds bool, i Invariant) {
	if holds {
		return
	}
	c.counters.Violations++
	if c.violated != nil {
		c.violated(i)
	}
}
