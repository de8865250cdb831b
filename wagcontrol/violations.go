package wagcontrol

// Invariants of the cores that this package drives.
const (
	// ProbesWithinAllowance holds when no probe is sent beyond the allowance of a lease.
	ProbesWithinAllowance = "probesAllowed"
	// RevisionsMonotonic holds when no document gives way to a lower revision.
	RevisionsMonotonic = "revisionsRise"
)

// WithViolationHandler sets who is told of each violation of an invariant. The service
// is empty when it is not known.
func WithViolationHandler(report func(service, invariant string)) Option {
	return func(c *Control) { c.violated = report }
}

// reportViolations tells of the violations that the cores counted since the last
// call; c.mu is held.
func (c *Control) reportViolations() {
	for _, l := range c.leases {
		_, _, n := l.budget.Counts()
		c.reportRise(l.service, ProbesWithinAllowance, &l.violations, n)
	}
	c.reportRise("", RevisionsMonotonic, &c.catalogViolations, c.catalog.Counts().Violations)
}

func (c *Control) reportRise(service, invariant string, known *uint64, n uint64) {
	for ; *known < n; *known++ {
		c.violated(service, invariant)
	}
}
