// Package wagevent records the events of a process, such as received requests and
// changes of the configuration, and merges the events of all processes into one time
// line.
package wagevent

import (
	"sort"
	"sync"
	"time"
)

// Kind names a kind of event.
type Kind string

// Kinds of events.
const (
	KindStart     Kind = "start"
	KindStop      Kind = "stop"
	KindReady     Kind = "ready"
	KindRequest   Kind = "call"
	KindAttempt   Kind = "attempt"
	KindForward   Kind = "forward"
	KindOutcome   Kind = "outcome"
	KindClaim     Kind = "claim"
	KindDocument  Kind = "document"
	KindMember    Kind = "member"
	KindLease     Kind = "lease"
	KindServer    Kind = "server"
	KindProbe     Kind = "probe"
	KindStore     Kind = "store"
	KindViolation Kind = "violation"
	// KindFault marks that an injected fault begins or ends.
	KindFault Kind = "fault"
)

// Event is one record of what a process did or observed. A field that doesn't apply
// to its kind is empty.
type Event struct {
	// Time is when the event was recorded, by the clock of its process.
	Time time.Time `json:"time"`
	// Sequence numbers the events of one process, starting at 1.
	Sequence uint64 `json:"sequence"`
	Host     string `json:"host"`
	Kind     Kind   `json:"kind"`
	Service  string `json:"service,omitempty"`
	Server   string `json:"server,omitempty"`
	Caller   string `json:"caller,omitempty"`
	Request  string `json:"request,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// Recorder records events.
type Recorder interface {
	Record(e Event)
}

var (
	_ Recorder = (*Ring)(nil)
	_ Recorder = Discard{}
)

// Discard is a Recorder that drops all events.
type Discard struct{}

// Record does nothing.
func (Discard) Record(Event) {}

// Ring keeps the latest events of one process in a ring buffer. It is safe for
// concurrent use.
type Ring struct {
	host string
	now  func() time.Time

	mu sync.Mutex
	// events holds the event with sequence n at index n modulo its length, which is
	// the capacity.
	events []Event
	// last is the sequence of the latest event, 0 when there is none.
	last uint64
}

// NewRing returns a ring that keeps up to size events of a host. now returns the time
// for events that have none.
func NewRing(host string, size int, now func() time.Time) *Ring {
	return &Ring{host: host, now: now, events: make([]Event, max(size, 1))}
}

// Record stores an event with the next sequence and the name of the host. An event
// without a time gets the current one.
func (r *Ring) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	e.Sequence, e.Host = r.last, r.host
	if e.Time.IsZero() {
		e.Time = r.now()
	}
	r.events[r.last%uint64(len(r.events))] = e
}

// Since returns the kept events with a sequence above after, oldest first, and how
// many events above after were overwritten already.
func (r *Ring) Since(after uint64) (events []Event, lost uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := after + 1
	if size := uint64(len(r.events)); r.last > size && first <= r.last-size {
		lost = r.last - size + 1 - first
		first = r.last - size + 1
	}
	for n := first; n <= r.last; n++ {
		events = append(events, r.events[n%uint64(len(r.events))])
	}
	return events, lost
}

// Merge merges the events of several processes, one stream for each process, by time.
// Events of one process stay in order even when its clock was set back: an event gets
// at least the time of the one before it.
func Merge(streams ...[]Event) []Event {
	var all []Event
	for _, s := range streams {
		latest := time.Time{}
		for _, e := range s {
			if e.Time.Before(latest) {
				e.Time = latest
			}
			latest = e.Time
			all = append(all, e)
		}
	}
	sort.SliceStable(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if !a.Time.Equal(b.Time) {
			return a.Time.Before(b.Time)
		}
		if a.Host != b.Host {
			return a.Host < b.Host
		}
		return a.Sequence < b.Sequence
	})
	return all
}

// Filter selects events by their fields. An empty field of the filter matches any
// value.
type Filter struct {
	Service, Server, Caller, Request string
	Kind                             Kind
}

// Matches reports whether the filter selects the event.
func (f Filter) Matches(e Event) bool {
	return (f.Service == "" || f.Service == e.Service) &&
		(f.Server == "" || f.Server == e.Server) &&
		(f.Caller == "" || f.Caller == e.Caller) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Kind == "" || f.Kind == e.Kind)
}
