// Package wagtrace defines the trace of requests and faults that a replay runs
// on, reads and writes it as JSON Lines, and generates traces from a seed.
package wagtrace

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

// Trace is a valid trace. Its requests are ordered by the time at which they
// arrive.
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
	// Start is the time to which all offsets in the file refer.
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
	// Phases are named spans of time that outcomes refer to.
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

// Request is one request of a caller.
type Request struct {
	At     time.Time
	Caller string
	Route  string
	// Class is the class of the route in the document; Learned if the document
	// leaves it open.
	Class wagdocument.Class
	// ActualClass is the class under which results are counted.
	ActualClass wagdocument.Class
	// ServiceTime is how long the request takes at a server without faults.
	ServiceTime time.Duration
	// Bytes is the size of the response.
	Bytes    int64
	Deadline time.Time
	// DataCentre is where the request arrives.
	DataCentre string
	// Priority moves the request forward in the queue; see wagrouting.Request.
	Priority int
}

// FaultKind says what a fault does.
type FaultKind string

// Kinds of faults.
const (
	// FaultSlow multiplies service times by the factor.
	FaultSlow FaultKind = "slow"
	// FaultFailFast makes a server respond to every request at once with a bad
	// status.
	FaultFailFast FaultKind = "failFast"
	// FaultDrain makes a server refuse new requests. The server list shows it
	// only from Fault.ListedAt on.
	FaultDrain FaultKind = "drain"
	// FaultDown makes a server refuse connections and breaks the requests that it
	// runs.
	FaultDown FaultKind = "down"
	// FaultColdStart multiplies service times by a factor that falls to 1 over
	// the span of the fault.
	FaultColdStart FaultKind = "cold"
	// FaultFalseLoad makes the load reports of a server show it idle.
	FaultFalseLoad FaultKind = "lie"
	// FaultSlowLinks multiplies the delay of all links of a data centre. Loss is
	// the share of messages that are sent again.
	FaultSlowLinks FaultKind = "linkSlow"
)

// Fault is a fault of one server, or of the links of a data centre.
type Fault struct {
	Kind FaultKind
	// Server is empty for faults of links.
	Server      string
	DataCentre  string
	From, Until time.Time
	Factor      float64
	Loss        float64
	// ListedAt is when the server list shows the fault; zero if it never does.
	ListedAt time.Time
}

// End returns the time of the last request.
func (t *Trace) End() time.Time {
	if len(t.Requests) == 0 {
		return t.Header.Start
	}
	return t.Requests[len(t.Requests)-1].At
}

// WithoutLong returns the trace without its long requests.
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

// TotalSlots returns the number of slots of all servers together.
func (h *Header) TotalSlots() int {
	n := 0
	for _, s := range h.Servers {
		n += s.Slots
	}
	return n
}
