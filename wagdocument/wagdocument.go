// Package wagdocument holds the document that describes how a service is to be
// treated. Its team edits it; hosts decode, default and check it once.
package wagdocument

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// Class tells how long the work of a route runs.
type Class int

// Classes of work.
const (
	// Learned leaves the class to what hosts observe.
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

// Document is a decoded and checked document. It is never changed after Parse
// returned it, so that requests can share it without locks.
type Document struct {
	Service  Service
	Revision Revision
	// Routes is ordered by name; Match prefers the most specific one.
	Routes  []Route
	Caller  Caller
	Limits  Limits
	Retries Retries
	Probing Probing
	Zones   Zones
	Terms   Terms
	Errors  Errors
	// Text is the INI text the document was decoded from.
	Text []byte
}

// Service names a service and its servers.
type Service struct {
	Name string
	// Prefix starts with a slash and ends without one.
	Prefix string
	// Hosts lists the values of the Host header that select the service.
	Hosts []string
	// Deadline is granted to calls that bring none.
	Deadline    time.Duration
	MaxDeadline time.Duration
	// DrainTime is how long requests in flight may run on at a leaving server.
	DrainTime time.Duration
	// Slots is how many requests a server runs at once unless it reports it.
	Slots int
	// Connections bounds the connections to one server of all hosts together.
	Connections int
	// RampTime is how long a server that starts cold gets a reduced share.
	RampTime time.Duration
	// Deleted marks the document of a service that was removed.
	Deleted bool
}

// Route describes the calls of one method and path.
type Route struct {
	Name string
	// Method is a method in capitals, or * for every method.
	Method string
	// Path is relative to the prefix; a last element * matches any rest.
	Path       string
	Repeatable bool
	Class      Class
	Deadline   time.Duration
	// Keyed tells that calls need an idempotency key to be accepted.
	Keyed bool
}

// Caller tells how a caller is identified.
type Caller struct {
	// Header names the header that carries the caller's name. Without it the
	// caller's address stands for the caller.
	Header string
}

// Limits bounds what one service takes from an entry host.
type Limits struct {
	// Queue bounds the calls that wait at a group owner.
	Queue int
	// BodyBytes bounds the body of a call.
	BodyBytes int64
	// LongShare is the greatest share of a group's slots that long work holds.
	LongShare float64
	// LongAfter is the service time from which work is learned to be long.
	LongAfter time.Duration
}

// Retries bounds repeated attempts.
type Retries struct {
	// Share is the greatest ratio of extra attempts to first attempts.
	Share    float64
	Attempts int
	Hedge    bool
	// HedgeQuantile is the quantile of service times after which a hedge starts.
	HedgeQuantile float64
}

// Probing bounds the effort of measuring servers.
type Probing struct {
	// ProbesPerSecond holds for all hosts and servers of the service together.
	ProbesPerSecond float64
	// Path is relative to the server's root.
	Path string
	// Silence is how long a server may give no answers before it is probed.
	Silence time.Duration
}

// Zones tells what it costs to leave a data centre.
type Zones struct {
	// Cost is the one-way delay between data centres without an own entry.
	Cost time.Duration
	// Costs holds one-way delays under "a b", with the names in ascending order.
	Costs map[string]time.Duration
	// Spill is the greatest share of calls that leave the data centre.
	Spill float64
}

// Terms describes what a returning caller is granted.
type Terms struct {
	// Rate and Burst are the terms of a new caller.
	Rate  float64
	Burst int
	// Growth multiplies rate, burst and lifetime at each renewal.
	Growth       float64
	MaxRate      float64
	MaxBurst     int
	Lifetime     time.Duration
	MaxLifetime  time.Duration
	MaxPlace     int
	ResetBefore  time.Time
	ResetCallers []string
}

// Errors tells how answers of servers are judged.
type Errors struct {
	// Bad lists the statuses that count against a server.
	Bad []int
	// NotRun lists the statuses by which a server proves that it did not run a
	// request. They prove it only together with NotRunHeader.
	NotRun       []int
	NotRunHeader string
}

// Revision orders the versions of a document.
type Revision struct {
	// Number is above that of every earlier version, also across deletion.
	Number   int64
	Writer   string
	Sequence int64
	// Epoch is the number at which the document was created, or created again
	// after a deletion; 0 in documents that are older than the field.
	Epoch int64
}

// Next returns the revision that follows r. It is at least the wall clock in
// milliseconds, so that a document that was deleted and created again, or
// restored from an older copy, does not repeat a number.
func (r Revision) Next(now time.Time, writer string, sequence int64) Revision {
	return Revision{Number: max(r.Number+1, now.UnixMilli()), Writer: writer, Sequence: sequence, Epoch: r.Epoch}
}

// NewerThan tells whether r is to replace other.
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

// ProvesNotRun tells whether an answer proves that the server did not run the
// request.
func (e Errors) ProvesNotRun(status int, header http.Header) bool {
	if e.NotRunHeader == "" || header.Get(e.NotRunHeader) == "" {
		return false
	}
	return slices.Contains(e.NotRun, status)
}

// IsBad tells whether a status counts against a server.
func (e Errors) IsBad(status int) bool {
	return slices.Contains(e.Bad, status)
}

// Serves tells whether the document takes a call to the given host and path.
func (d *Document) Serves(host, path string) bool {
	for _, h := range d.Service.Hosts {
		if strings.EqualFold(h, host) {
			return true
		}
	}
	return path == d.Service.Prefix || strings.HasPrefix(path, d.Service.Prefix+"/")
}

// Match returns the route of a call. A call without a route of its own gets the
// safe default: not repeatable unless the method is idempotent by RFC 9110's
// list of safe methods.
func (d *Document) Match(method, path string) Route {
	rest := strings.TrimPrefix(path, d.Service.Prefix)
	best, length := -1, -1
	for i, r := range d.Routes {
		if r.Method != "*" && r.Method != method {
			continue
		}
		n, ok := matchPath(r.Path, rest)
		if ok && n > length {
			best, length = i, n
		}
	}
	if best >= 0 {
		return d.Routes[best]
	}
	return Route{Name: "default", Method: method, Path: "*", Repeatable: safeMethod(method), Deadline: d.Service.Deadline}
}

// matchPath reports whether path matches, and how many bytes did so literally.
func matchPath(pattern, path string) (int, bool) {
	prefix, wild := strings.CutSuffix(pattern, "*")
	if !wild {
		return len(pattern) + 1, pattern == path
	}
	return len(prefix), strings.HasPrefix(path, prefix)
}

func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
