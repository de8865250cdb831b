// Package wagrouting decides to which server of a server group a call goes,
// whether it waits and whether it is refused. It does no input or output and is
// driven event by event with the time passed in.
package wagrouting

import (
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// RequestID names a call within one Core.
type RequestID uint64

// Request is a request that needs a server.
type Request struct {
	// ID is unique among the calls that have not finished.
	ID       RequestID
	Caller   string
	Route    string
	Class    wagdocument.Class
	Deadline time.Time
	// Priority is the caller's place in the queue from its terms; more is earlier.
	Priority int
	// Pinned forbids spilling: the call was already forwarded from another
	// data centre.
	Pinned bool
	// Avoid is a server that an earlier attempt failed at, or invalid.
	Avoid netip.AddrPort
}

// Decision is one of Send, Wait, Forward and Refuse.
type Decision interface{ isDecision() }

// Send gives the call a slot of a server. Finished has to follow.
type Send struct{ Server netip.AddrPort }

// Wait leaves the call in the queue. A Start with its ID follows.
type Wait struct{}

// Forward passes the call to the group owner of another data centre.
type Forward struct{ DataCentre string }

// Refuse ends the call; it was not run.
type Refuse struct{ Reason wagoutcome.Reason }

func (Send) isDecision()    {}
func (Wait) isDecision()    {}
func (Forward) isDecision() {}
func (Refuse) isDecision()  {}

// DelayedDecision is the decision on a call that had to wait.
type DelayedDecision struct {
	Request  RequestID
	Decision Decision
}

// Fault tells how an attempt at a server failed.
type Fault int

// Faults of attempts.
const (
	FaultNone Fault = iota
	// FaultConnect tells that no connection could be had.
	FaultConnect
	// FaultStatus tells of an answer with a status that the document calls bad.
	FaultStatus
	// FaultBroken tells of a connection that broke after the request was sent.
	FaultBroken
	// FaultTimeout tells that the deadline passed at the server.
	FaultTimeout
	// FaultCanceled tells that the caller went away; it says nothing about the
	// server.
	FaultCanceled
)

// Load is what a server reports of itself on an answer.
type Load struct {
	InFlight int
	Slots    int
	Draining bool
}

// Result tells how the attempt of a call ended.
type Result struct {
	Fault Fault
	// SentAt is when the call was sent, for the service time. The time of the
	// decision stands for it when it is zero.
	SentAt time.Time
	// HeaderReceivedAt is when the head of the answer arrived. A server is judged by it,
	// for the rest of the answer may wait for the caller's link. The end of the
	// call stands for it when it is zero.
	HeaderReceivedAt time.Time
	// Bytes is the size of the answer, by which the class of a route is learned.
	Bytes int64
	// Load is valid when HasLoad is set.
	Load    Load
	HasLoad bool
}
