// Package wagevent records what a process does as typed events and merges the
// events of all processes into one time line.
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
	KindFault     Kind = "fault"
)

// Event is one thing that happened in one process.
type Event struct {
	// Time is the clock of the process that recorded the event.
	Time time.Time `json:"time"`
	// Sequence orders the events of one process; it starts at 1.
	Sequence uint64 `json:"sequence"`
	Host     string `json:"host"`
	Kind     Kind   `json:"kind"`
	Service  string `json:"service,omitempty"`
	Server   string `json:"server,omitempty"`
	Caller   string `json:"caller,omitempty"`
	Request  string `json:"request,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// Recorder takes events.
type Recorder interface {
	Record(e Event)
}

var (
	_ Recorder = (*Ring)(nil)
	_ Recorder = Discard{}
)

// Discard drops all events.
type Discard struct{}

// Record drops the event.
func (Discard) Record(Event) {}

// Ring keeps the latest events of one process.
type Ring struct {
	host string
	now  func() time.Time

	mu sync.Mutex
	// events is a circular buffer; its length is the capacity of the ring.
	events []Event
	// last is the sequence of the latest event, 0 when there is none.
	last uint64
}

// NewRing returns a ring that keeps up to size events of a host.
func NewRing(host string, size int, now func() time.Time) *Ring {
	return &Ring{host: host, now: now, events: make([]Event, max(size, 1))}
}

// Record stores an event and sets its time, sequence and host.
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

// Since returns the kept events with a sequence above after, oldest first, and
// how many were overwritten in between.
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

// Merge orders the events of several processes by time. Events of one process
// keep their order even when its clock was set back.
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

// Filter selects events. An empty field selects all.
type Filter struct {
	Service, Server, Caller, Request string
	Kind                             Kind
}

// Matches tells whether the filter selects the event.
func (f Filter) Matches(e Event) bool {
	return (f.Service == "" || f.Service == e.Service) &&
		(f.Server == "" || f.Server == e.Server) &&
		(f.Caller == "" || f.Caller == e.Caller) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Kind == "" || f.Kind == e.Kind)
}
