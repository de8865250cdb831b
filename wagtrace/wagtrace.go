// Package wagtrace defines the trace of calls and faults that a replay runs on,
// reads and writes it as JSON Lines, and generates traces from a seed.
package wagtrace

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

// Trace is a checked trace. Calls and faults are ordered by time.
type Trace struct {
	Header   Header
	Requests []Request
	Faults   []Fault
}

// Header describes the service that a trace was made for.
type Header struct {
	Kind    string
	Service string
	Seed    uint64
	// Start is the time that all offsets in the file refer to.
	Start       time.Time
	DataCentres []string
	// Links holds the one-way delays between two data centres.
	Links []Link
	// CallerDelay is the one-way delay between callers and entry hosts.
	CallerDelay time.Duration
	// HostDelay is the one-way delay between two hosts of a data centre.
	HostDelay time.Duration
	// ServerDelay is the one-way delay between a host and a server of its data
	// centre.
	ServerDelay time.Duration
	Servers     []Server
	// Phases name spans of time that outcomes refer to.
	Phases []Phase
}

// Link is the one-way delay between two data centres.
type Link struct {
	A, B  string
	Delay time.Duration
}

// Server is one server of the service.
type Server struct {
	Name       string
	DataCentre string
	Slots      int
}

// Phase is a named span of time. Until is exclusive.
type Phase struct {
	Name        string
	From, Until time.Time
}

// Request is one call of a caller.
type Request struct {
	At     time.Time
	Caller string
	Route  string
	// Class is Learned when the document does not state it.
	Class wagdocument.Class
	// ActualClass is the class that results are counted under.
	ActualClass wagdocument.Class
	// ServiceTime is the time that the call takes at an undisturbed server.
	ServiceTime time.Duration
	// Bytes is the size of the answer.
	Bytes    int64
	Deadline time.Time
	// DataCentre is where the call arrives.
	DataCentre string
	Priority   int
}

// FaultKind names what a fault does.
type FaultKind string

// Kinds of faults.
const (
	// FaultSlow multiplies service times by the factor.
	FaultSlow FaultKind = "slow"
	// FaultFailFast answers every request with a bad status at once.
	FaultFailFast FaultKind = "failFast"
	// FaultDrain refuses new work; the host list tells it only Lag later.
	FaultDrain FaultKind = "drain"
	// FaultDown refuses connections.
	FaultDown FaultKind = "down"
	// FaultColdStart multiplies service times by a factor that falls to 1 over the span.
	FaultColdStart FaultKind = "cold"
	// FaultFalseLoad makes load reports show an idle server.
	FaultFalseLoad FaultKind = "lie"
	// FaultSlowLinks multiplies the delay of all links of a data centre; Loss is the
	// share of messages that are sent again.
	FaultSlowLinks FaultKind = "linkSlow"
)

// Fault is a disturbance of one server, or of the links of a data centre.
type Fault struct {
	Kind FaultKind
	// Server is empty for faults of links.
	Server      string
	DataCentre  string
	From, Until time.Time
	Factor      float64
	Loss        float64
	// ListedAt is when the host list shows the fault; zero when it never does.
	ListedAt time.Time
}

// End returns the time of the last call.
func (t *Trace) End() time.Time {
	if len(t.Requests) == 0 {
		return t.Header.Start
	}
	return t.Requests[len(t.Requests)-1].At
}

// WithoutLong returns the trace with all calls of long work removed.
func (t *Trace) WithoutLong() *Trace {
	r := &Trace{Header: t.Header, Faults: t.Faults}
	for _, c := range t.Requests {
		if c.ActualClass != wagdocument.Long {
			r.Requests = append(r.Requests, c)
		}
	}
	return r
}

// LinkDelay returns the one-way delay between two data centres.
func (h *Header) LinkDelay(a, b string) time.Duration {
	for _, l := range h.Links {
		if (l.A == a && l.B == b) || (l.A == b && l.B == a) {
			return l.Delay
		}
	}
	return 0
}

// TotalSlots returns the slots of all servers.
func (h *Header) TotalSlots() int {
	n := 0
	for _, s := range h.Servers {
		n += s.Slots
	}
	return n
}
