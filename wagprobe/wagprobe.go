// Package wagprobe limits the probes of servers to a budget that all hosts share.
// It does no input or output: its user passes in each event together with the
// current time.
package wagprobe

import (
	"net/netip"
	"time"
)

// Candidate is a server that may be probed.
type Candidate struct {
	Address netip.AddrPort
	// LastResponse is the time of the latest response to any request, zero
	// without one.
	LastResponse time.Time
	// ExcludedUntil is the end of its exclusion, zero when it is not excluded.
	ExcludedUntil time.Time
}

// Probe is a probe that is charged to the budget already. It has to be dropped if
// it cannot be sent before Deadline.
type Probe struct {
	Server   netip.AddrPort
	Deadline time.Time
}
