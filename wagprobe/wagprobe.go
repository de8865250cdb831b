// Package wagprobe keeps the effort of measuring servers within its budget. It
// does no input or output and is driven event by event with the time passed in.
package wagprobe

import (
	"net/netip"
	"time"
)

// Candidate is a server that may be probed.
type Candidate struct {
	Address netip.AddrPort
	// LastResponse is the latest answer to any request, zero without one.
	LastResponse time.Time
	// ExcludedUntil is the end of its exclusion, zero when it is not excluded.
	ExcludedUntil time.Time
}

// Probe is a probe that has been paid for. It has to be dropped when it cannot
// be sent before Deadline.
type Probe struct {
	Server   netip.AddrPort
	Deadline time.Time
}
