package wagcontrol

// Invariants of the state machines that this package runs.
const (
	// ProbesWithinAllowance: no probe is sent beyond the allowance of its lease.
	ProbesWithinAllowance = "probesAllowed"
	// RevisionsMonotonic: no document is replaced by one of a lower revision.
	RevisionsMonotonic = "revisionsRise"
)

// WithViolationHandler sets a function that is called for each violation of an
// invariant. The service is empty when it is not known.
func WithViolationHandler(report func(service, invariant string)) Option {
	return func(c *Control) { c.onViolation = report }
}

// reportViolations reports the violations that the state machines counted since
// the previous call. c.mu must be held.
func (c *Control) reportViolations() {
	for _, l := range c.leases {
		_, _, n := l.budget.Counts()
		c.reportIncrease(l.service, ProbesWithinAllowance, &l.reportedViolations, n)
	}
	c.reportIncrease("", RevisionsMonotonic, &c.reportedViolations, c.catalog.Counts().Violations)
}

// reportIncrease reports one violation for each that n counts above reported.
func (c *Control) reportIncrease(service, invariant string, reported *uint64, n uint64) {
	for ; *reported < n; *reported++ {
		c.onViolation(service, invariant)
	}
}
