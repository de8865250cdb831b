// Package wagplacement decides on which server of a service a request runs,
// whether it waits for one and when it is refused. One Core decides for the
// servers of one service in one data centre. It does no input or output and is
// driven event by event, with the time passed in.
package wagplacement

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagserver"
)

// RequestID names a request within one Core.
type RequestID uint64

// Request is a request that needs a server.
type Request struct {
	// ID is unique among the requests that have not finished.
	ID RequestID
	// Name is the identity that the caller gave, for the log.
	Name  string
	Route string
	// Rank orders requests by urgency; 0 comes first.
	Rank int
	// Goal is until when an answer is of full use, Deadline until when it is of
	// any use. Goal is not after Deadline.
	Goal, Deadline time.Time
	// Avoid holds the IDs of servers that failed the request.
	Avoid []string
	// Repeat tells that the request was sent to a server before, so that it draws
	// on the retry budget.
	Repeat bool
	// Foreign tells that the request comes from another data centre, so that it is
	// to start at once or not at all.
	Foreign bool
	// OwnerUnreachable tells that the host which took the request decides without the owner of
	// the group, so that it knows only a part of the repeats.
	OwnerUnreachable bool
	// Hedge tells that the request runs at a server already, so that it gets a second
	// one only if that takes nothing from others.
	Hedge bool
}

// Command is what a Core asks for: Grant, Refuse, Probe or Spill.
type Command interface{ isCommand() }

// Grant gives a request a slot of a server. Finished has to follow.
type Grant struct {
	Request Request
	Server  wagserver.Instance
	// HedgeAfter is after how long without an answer a second server may be asked; 0
	// for never.
	HedgeAfter time.Duration
	Inputs     DecisionInputs
}

// Refuse ends a request. It was not run by this grant or any later one.
type Refuse struct {
	Request Request
	Reason  Reason
	// RetryAt is when room is expected.
	RetryAt time.Time
	Inputs  DecisionInputs
}

// DecisionInputs are what a decision was made on.
type DecisionInputs struct {
	// Running counts the requests at the server, the new one included, and Slowness
	// is its latest report, of ReportAge.
	Running   int
	Slowness  float64
	ReportAge time.Duration
	// Waiting counts the requests that wait in the group, and Slots how many can run
	// at once.
	Waiting int
	Slots   float64
	// ExpectedWait is how long the request was expected to wait.
	ExpectedWait time.Duration
	// ServiceTime is the mean time of a request of the route at a server that is not slow; 0
	// for a route of which nothing is known.
	ServiceTime time.Duration
	// Late tells that the goal of the request was out of reach.
	Late bool
}

// Probe asks for a report of a server. Probed has to follow.
type Probe struct {
	Server wagserver.Instance
	// Deadline is when the answer is of no use any more.
	Deadline time.Time
}

// Spill asks for a server of another data centre, because none of this one has
// room in time. The request goes on waiting. Taken or SpillRefused has to follow.
type Spill struct {
	Request    Request
	DataCentre string
}

func (Spill) isCommand()  {}
func (Grant) isCommand()  {}
func (Refuse) isCommand() {}
func (Probe) isCommand()  {}

// Reason tells why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonNoServer tells that the service has no server that could take it.
	ReasonNoServer Reason = "noServer"
	// ReasonOverload tells that no server has room before the deadline.
	ReasonOverload Reason = "overload"
	// ReasonDeadline tells that the deadline passed.
	ReasonDeadline Reason = "deadline"
	// ReasonBudget tells that the retry budget is used up.
	ReasonBudget Reason = "budget"
)

// Report is what a server says of itself.
type Report struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes at this moment, as a multiple of the usual;
	// 0 when the server does not tell.
	Slowness float64
}

// Fault tells how an attempt failed.
type Fault int

// Faults of attempts.
const (
	FaultNone Fault = iota
	// FaultConnect tells that no connection could be had, so that nothing was sent.
	FaultConnect
	// FaultRejected tells that the server stated that it did not run the request.
	FaultRejected
	// FaultMisdirected tells that another server has the address.
	FaultMisdirected
	// FaultError tells of an answer that reports a failure of the server.
	FaultError
	// FaultBroken tells of a connection or an answer that broke.
	FaultBroken
	// FaultTimeout tells that no answer came in time.
	FaultTimeout
	// FaultOvertaken tells that a second server answered first.
	FaultOvertaken
	// FaultCanceled tells that the attempt was given up for reasons that say
	// nothing about the server.
	FaultCanceled
)

// String returns the name of a fault in logs and metrics.
func (f Fault) String() string {
	switch f {
	case FaultNone:
		return "none"
	case FaultConnect:
		return "connect"
	case FaultRejected:
		return "rejected"
	case FaultMisdirected:
		return "gone"
	case FaultError:
		return "error"
	case FaultBroken:
		return "broken"
	case FaultTimeout:
		return "timeout"
	case FaultOvertaken:
		return "overtaken"
	default:
		return "canceled"
	}
}

// Result tells how the attempt of a request ended.
type Result struct {
	Fault Fault
	// Latency is the time from the grant to the answer.
	Latency time.Duration
	// Report is valid when HasReport is set.
	Report    Report
	HasReport bool
}
