package wagserver

import (
	"net/netip"
	"time"
)

// Instance is one start of a server, as the server registered itself.
type Instance struct {
	// ID is unique among the servers that are registered at the same time. A server that
	// starts again may keep it, but has another Started then.
	ID         string
	Service    string
	DataCentre string
	Address    netip.AddrPort
	// Slots is how many requests the server runs at once, 1 or more.
	Slots int
	State State
	// Started is by the clock of the server. It is only compared for equality.
	Started time.Time
	// Sequence counts the reports of a server since it started. A report with a lower one
	// is older.
	Sequence int64
	// ColdUntil is when the slow phase after the start ends, by the clock of this host;
	// zero without such a phase.
	ColdUntil time.Time
}
