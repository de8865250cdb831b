// Package wagplacement schedules the requests of one service in one data centre
// on its servers. It decides on which server a request runs, whether the request
// waits for one, and when it is refused. A Scheduler does no I/O and has no clock
// of its own: it handles one event at a time, and each event brings the time.
package wagplacement

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagserver"
)

// RequestID identifies a request within one Scheduler.
type RequestID uint64

// Request is a request that needs a server.
type Request struct {
	// ID is unique among the requests that have not finished.
	ID RequestID
	// Name is the request ID of the caller. It is only logged.
	Name  string
	Route string
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int
	// Customer is the name of the customer whose key the request has, or empty.
	Customer string
	// A response has its full value until Goal and none after Deadline. Goal is not
	// after Deadline.
	Goal, Deadline time.Time
	// Avoid lists the IDs of the servers on which the request failed, and of those that
	// take no requests from its host.
	Avoid []string
	// Repeat marks a request that was sent to a server before, so that it counts
	// towards the retry budget.
	Repeat bool
	// Foreign marks a request from another data centre. It is not passed on to a third
	// one and is refused when it cannot be answered by its goal. While a data centre is
	// evacuated, its late requests have no other place to run, so that late ones are
	// treated like those of the own data centre.
	Foreign bool
	// PlacedAgain marks a request whose latest grant was given back unsent. It was counted
	// when that was granted.
	PlacedAgain bool
	// OwnerUnreachable is set when the host that took the request decides by itself,
	// because the owner of the group does not reply. Such a host knows only some of the
	// repeats.
	OwnerUnreachable bool
	// Hedge marks a second attempt of a request that still runs on another server. It
	// is granted only if that takes no slot from other requests.
	Hedge bool
	// Alone is which cold servers the request may use if the host that decides may not be
	// the only one.
	Alone AloneShare
}

// Command is an action that a Scheduler asks for: Grant, Refuse, Probe or Spill.
type Command interface{ isCommand() }

// Grant assigns a slot of a server to a request. FinishAttempt must follow.
type Grant struct {
	Request Request
	Server  wagserver.Instance
	// HedgeAfter is how long to wait for a response before a second server may be
	// asked; 0 means never.
	HedgeAfter time.Duration
	Inputs     DecisionInputs
}

// Refuse ends a request without a grant: none was issued under its ID, and none
// follows.
type Refuse struct {
	Request Request
	Reason  Reason
	// RetryAt is when a free slot is expected.
	RetryAt time.Time
	Inputs  DecisionInputs
}

// DecisionInputs holds the values that a decision was based on.
type DecisionInputs struct {
	// Running counts the requests on the server, including the new one. Slowness is
	// the estimated slowness of the server, and ReportAge the age of its latest report.
	Running   int
	Slowness  float64
	ReportAge time.Duration
	// Waiting counts the requests in the queue of the group, and Slots estimates how
	// many can run at once.
	Waiting int
	Slots   float64
	// ExpectedWait is how long the request was expected to wait.
	ExpectedWait time.Duration
	// ServiceTime is the mean service time of the route on a server that is not slow; 0
	// if nothing is known of the route.
	ServiceTime time.Duration
	// Late is set when the request could no longer be answered by its goal.
	Late bool
	// Cold is set when the bound on cold servers applied to the server.
	Cold bool
}

// Probe asks for a load report of a server. HandleProbeResult must follow.
type Probe struct {
	Server wagserver.Instance
	// Deadline is when the result is no longer of use.
	Deadline time.Time
}

// Spill asks another data centre for a server, because no slot of this one is
// expected to be free in time. The request keeps waiting. HandleSpillGrant or
// HandleSpillRefusal must follow.
type Spill struct {
	Request    Request
	DataCentre string
}

func (Spill) isCommand()  {}
func (Grant) isCommand()  {}
func (Refuse) isCommand() {}
func (Probe) isCommand()  {}

// Reason is why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonNoServer means that the service has no server that could run the request.
	ReasonNoServer Reason = "noServer"
	// ReasonOverload means that no slot is expected to be free in time.
	ReasonOverload Reason = "overload"
	// ReasonDeadline means that the deadline has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonBudget means that the retry budget is exhausted.
	ReasonBudget Reason = "budget"
	// ReasonQuota means that the customer has used up its quota.
	ReasonQuota Reason = "quota"
)

// Report is the load that a server reports.
type Report struct {
	Running, Waiting, Slots int
	// Slowness is the current service time as a multiple of the usual one; 0 if the
	// server does not report it.
	Slowness float64
}

// Fault is how an attempt failed.
type Fault int

// Faults of attempts.
const (
	FaultNone Fault = iota
	// FaultConnect means that no connection could be opened, so that nothing was sent.
	FaultConnect
	// FaultRejected means that the server stated that it did not run the request.
	FaultRejected
	// FaultMisdirected means that a different server has the address.
	FaultMisdirected
	// FaultError means that the response reports a failure of the server.
	FaultError
	// FaultBroken means that the connection broke or that the response was invalid.
	FaultBroken
	// FaultTimeout means that no response came in time.
	FaultTimeout
	// FaultOvertaken means that another attempt of the request was answered first.
	FaultOvertaken
	// FaultCanceled means that the attempt was cancelled for a reason that has nothing
	// to do with the server.
	FaultCanceled
)

// String returns the name of the fault in logs and metrics.
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

// Result is the result of an attempt or a probe.
type Result struct {
	Fault Fault
	// Latency is the time from the grant to the response.
	Latency time.Duration
	// Report is valid if HasReport is set.
	Report    Report
	HasReport bool
	// Leaving is set when the server stated that it is leaving.
	Leaving bool
	// BusyUntil is until when the server wants no requests from the host that made the
	// attempt or the probe; zero when it stated no time.
	BusyUntil time.Time
	// ColdUntil is until when the server stays cold, as it stated on a probe; zero when it
	// stated nothing, and not after the time of the probe when it is warm.
	ColdUntil time.Time
}

// isAnswer reports whether a server has answered.
func (r *Result) isAnswer() bool {
	return r.HasReport || r.Fault == FaultNone || r.Fault == FaultRejected || r.Fault == FaultError
}
