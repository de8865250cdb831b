// Package wagrouting decides which server of a server group gets a request, and
// whether the request waits in the queue, is forwarded to another data centre or
// is refused. It does no input or output: its user passes in each event together
// with the current time.
package wagrouting

import (
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// RequestID identifies a request within one Scheduler.
type RequestID uint64

// Request is a request that needs a server.
type Request struct {
	// ID is unique among the requests that have not finished.
	ID       RequestID
	Caller   string
	Route    string
	Class    wagdocument.Class
	Deadline time.Time
	// Priority moves the request forward in the queue, by priorityStep for each
	// unit. It comes from the terms of the caller.
	Priority int
	// Pinned keeps the request in this data centre, because another data centre
	// has forwarded it here already.
	Pinned bool
	// Avoid is the server at which an earlier attempt failed; it is chosen only
	// if there is no other. The zero value avoids none.
	Avoid netip.AddrPort
}

// Decision is one of Send, Wait, Forward and Refuse.
type Decision interface{ isDecision() }

// Send gives the request a slot of a server. FinishAttempt has to follow.
type Send struct{ Server netip.AddrPort }

// Wait puts the request into the queue. A DelayedDecision with its ID follows.
type Wait struct{}

// Forward passes the request to the owner of the group in another data centre.
type Forward struct{ DataCentre string }

// Refuse ends the request without having run it.
type Refuse struct{ Reason wagoutcome.Reason }

func (Send) isDecision()    {}
func (Wait) isDecision()    {}
func (Forward) isDecision() {}
func (Refuse) isDecision()  {}

// DelayedDecision is the decision on a request that waited in the queue.
type DelayedDecision struct {
	Request  RequestID
	Decision Decision
}

// Fault says how an attempt at a server failed.
type Fault int

// Faults of attempts.
const (
	FaultNone Fault = iota
	// FaultConnect means that no connection could be opened.
	FaultConnect
	// FaultStatus means that the response had a status that the document lists as
	// bad.
	FaultStatus
	// FaultBroken means that the connection broke after the request was sent.
	FaultBroken
	// FaultTimeout means that the deadline passed while the request was at the
	// server.
	FaultTimeout
	// FaultCanceled means that the attempt was canceled, for example because the
	// caller went away. It is not counted against the server.
	FaultCanceled
)

// Load is what a server reports about itself with a response.
type Load struct {
	InFlight int
	Slots    int
	Draining bool
}

// Result describes how the attempt of a request ended.
type Result struct {
	Fault Fault
	// SentAt is when the request was sent; its service time starts here. If it is
	// zero, the time of the decision is used.
	SentAt time.Time
	// HeaderReceivedAt is when the header of the response arrived. The slowness
	// of the server is measured up to here, because the rest of the response may
	// wait for the link of the caller. If it is zero, the end of the attempt is
	// used.
	HeaderReceivedAt time.Time
	// Bytes is the size of the response. A route with large responses is
	// classified as long.
	Bytes int64
	// Load is valid when HasLoad is set.
	Load    Load
	HasLoad bool
}
