// Package wagdocument defines the document that configures a service. The team of
// the service writes it. A host decodes it, applies the defaults and checks it once.
package wagdocument

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// Class says whether the requests of a route take a short or a long service time.
type Class int

// Classes of requests.
const (
	// Learned makes the hosts classify requests by their observed service times
	// (Limits.LongAfter).
	Learned Class = iota
	Short
	Long
)

func (c Class) String() string {
	switch c {
	case Short:
		return "short"
	case Long:
		return "long"
	default:
		return "learned"
	}
}

// Document is a decoded and checked document. It does not change after Parse has
// returned it, so requests share it without locks.
type Document struct {
	Service  Service
	Revision Revision
	// Routes is ordered by name. Match returns the one with the most specific path,
	// and the first of equally specific ones.
	Routes  []Route
	Caller  Caller
	Limits  Limits
	Retries Retries
	Probing Probing
	Zones   Zones
	Terms   Terms
	Errors  Errors
	// Text is the INI text that the document was decoded from.
	Text []byte
}

// Service describes a service and its servers.
type Service struct {
	Name string
	// Prefix selects the service by path. It starts with a slash and ends without one.
	Prefix string
	// Hosts lists the values of the Host header that select the service.
	Hosts []string
	// Deadline applies to requests that state none.
	Deadline time.Duration
	// MaxDeadline bounds the deadline that a caller may ask for.
	MaxDeadline time.Duration
	// DrainTime bounds how long in-flight requests may continue on a leaving server.
	DrainTime time.Duration
	// Slots is how many requests a server runs at once, unless it reports its own
	// number.
	Slots int
	// Connections bounds the connections of all hosts together to one server.
	Connections int
	// RampTime is how long a server gets a reduced share of requests after a cold
	// start.
	RampTime time.Duration
	// Deleted marks the document of a removed service.
	Deleted bool
}

// Route configures the requests with one method and path.
type Route struct {
	Name string
	// Method is an HTTP method in upper case, or * for every method.
	Method string
	// Path is relative to the prefix of the service. A trailing * matches any rest.
	Path string
	// Repeatable marks requests that may run more than once.
	Repeatable bool
	Class      Class
	Deadline   time.Duration
	// Keyed marks requests that are accepted only with an idempotency key.
	Keyed bool
}

// Caller says how callers are identified.
type Caller struct {
	// Header is the request header that names the caller. When it is empty, callers
	// are identified by their address.
	Header string
}

// Limits bounds the requests that a service accepts.
type Limits struct {
	// Queue bounds the requests that wait at the owner of a server group.
	Queue int
	// BodyBytes bounds the body of a request.
	BodyBytes int64
	// LongShare is the largest share of a group's slots that long requests may hold.
	LongShare float64
	// LongAfter is the service time above which requests of the class Learned count
	// as long.
	LongAfter time.Duration
}

// Retries bounds the extra attempts of requests.
type Retries struct {
	// Share is the largest ratio of extra attempts to first attempts.
	Share float64
	// Attempts bounds the attempts of one request, the first included.
	Attempts int
	// Hedge permits hedged attempts for repeatable requests.
	Hedge bool
	// HedgeQuantile is the quantile of service times after which a hedged attempt
	// starts.
	HedgeQuantile float64
}

// Probing says how often and where servers are probed.
type Probing struct {
	// ProbesPerSecond bounds the probes of all hosts to all servers of the service.
	ProbesPerSecond float64
	// Path is the probed path, from the server's root.
	Path string
	// Silence is how long a server may send no response before it is probed.
	Silence time.Duration
}

// Zones holds the delays between data centres and bounds the requests that leave
// one.
type Zones struct {
	// Cost is the one-way delay between data centres that have no entry in Costs.
	Cost time.Duration
	// Costs maps "a b" to the one-way delay between the data centres a and b, with
	// the names in ascending order.
	Costs map[string]time.Duration
	// Spill is the largest share of requests that may leave the data centre.
	Spill float64
}

// Terms says how many requests callers may send and how this limit grows when a
// caller returns and renews its terms.
type Terms struct {
	// Rate, in requests per second, and Burst are the terms of a new caller.
	Rate  float64
	Burst int
	// Growth multiplies rate, burst and lifetime at each renewal.
	Growth   float64
	MaxRate  float64
	MaxBurst int
	// Lifetime is how long the terms of a new caller last.
	Lifetime    time.Duration
	MaxLifetime time.Duration
	// MaxPlace bounds the caller's priority in the queue, which rises by 1 at each
	// renewal.
	MaxPlace int
	// ResetBefore invalidates all terms that began before this time.
	ResetBefore time.Time
	// ResetCallers restricts ResetBefore to these callers. Empty means all callers.
	ResetCallers []string
}

// Errors says how responses of servers are classified.
type Errors struct {
	// Bad lists the statuses that count against a server.
	Bad []int
	// NotRun lists the statuses that, together with NotRunHeader, prove that the
	// server did not run the request.
	NotRun       []int
	NotRunHeader string
}

// Revision orders the versions of a document.
type Revision struct {
	// Number is higher than that of every earlier version, also across a deletion.
	Number int64
	Writer string
	// Sequence is 1 higher than that of the version before.
	Sequence int64
	// Epoch is the Number with which the document was created, or created again
	// after a deletion. It is 0 in documents that are older than the field.
	Epoch int64
}

// Next returns the revision that follows r. Its number is at least the wall clock
// in milliseconds, so that a document that was deleted and created again, or
// restored from an older copy, does not reuse a number.
func (r Revision) Next(now time.Time, writer string, sequence int64) Revision {
	return Revision{Number: max(r.Number+1, now.UnixMilli()), Writer: writer, Sequence: sequence, Epoch: r.Epoch}
}

// NewerThan reports whether r is newer than other.
func (r Revision) NewerThan(other Revision) bool {
	return r.Number > other.Number
}

// DelayBetween returns the one-way delay between two data centres.
func (z Zones) DelayBetween(a, b string) time.Duration {
	if a == b {
		return 0
	}
	if a > b {
		a, b = b, a
	}
	if cost, ok := z.Costs[a+" "+b]; ok {
		return cost
	}
	return z.Cost
}

// ProvesNotRun reports whether a response proves that the server did not run the
// request.
func (e Errors) ProvesNotRun(status int, header http.Header) bool {
	if e.NotRunHeader == "" || header.Get(e.NotRunHeader) == "" {
		return false
	}
	return slices.Contains(e.NotRun, status)
}

// IsBad reports whether a status counts against a server.
func (e Errors) IsBad(status int) bool {
	return slices.Contains(e.Bad, status)
}

// Serves reports whether requests with the given host and path belong to the
// service.
func (d *Document) Serves(host, path string) bool {
	for _, h := range d.Service.Hosts {
		if strings.EqualFold(h, host) {
			return true
		}
	}
	return path == d.Service.Prefix || strings.HasPrefix(path, d.Service.Prefix+"/")
}

// Match returns the route of a request. A request that matches no route gets a
// default route, which is repeatable only for GET, HEAD and OPTIONS: RFC 9110
// defines these methods as safe.
func (d *Document) Match(method, path string) Route {
	rest := strings.TrimPrefix(path, d.Service.Prefix)
	best, bestLength := -1, -1
	for i, r := range d.Routes {
		if r.Method != "*" && r.Method != method {
			continue
		}
		n, ok := matchPath(r.Path, rest)
		if ok && n > bestLength {
			best, bestLength = i, n
		}
	}
	if best >= 0 {
		return d.Routes[best]
	}
	return Route{Name: "default", Method: method, Path: "*", Repeatable: isSafeMethod(method), Deadline: d.Service.Deadline}
}

// matchPath reports whether path matches the pattern, and how specific the match
// is: the number of literal bytes, and 1 more for a pattern without a wildcard.
func matchPath(pattern, path string) (int, bool) {
	prefix, wild := strings.CutSuffix(pattern, "*")
	if !wild {
		return len(pattern) + 1, pattern == path
	}
	return len(prefix), strings.HasPrefix(path, prefix)
}

func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
