package wagdemo

import (
	"slices"
	"strings"
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagstandin"
	"github.com/wagtailspar/wagtailspar/wagtrace"
)

// traceKind is the kind in the header of a recorded trace.
const traceKind = "recorded"

// publication is a document with the time when it was published.
type publication struct {
	at       time.Time
	document *wagdocument.Document
}

// faultChange records the new faults of a server and the time when they were set.
type faultChange struct {
	at     time.Time
	server string
	faults wagstandin.ServerFaults
}

func (s *site) recordFaults(server string, f wagstandin.ServerFaults) {
	s.faultChanges = append(s.faultChanges, faultChange{at: time.Now(), server: server, faults: f})
}

// traces returns a trace for each service. It holds the servers, their faults and the
// requests since the start.
func (l *loadGenerator) traces(s *site, started time.Time) map[string]*wagtrace.Trace {
	traces := make(map[string]*wagtrace.Trace)
	for _, v := range s.servers {
		t := traces[v.hostListEntry.Service]
		if t == nil {
			t = &wagtrace.Trace{Header: wagtrace.Header{
				Kind: traceKind, Service: v.hostListEntry.Service, Seed: l.demo.seed, Start: started, DataCentres: defaultDataCentres,
			}}
			traces[v.hostListEntry.Service] = t
		}
		t.Header.Servers = append(t.Header.Servers, wagtrace.Server{Name: v.name, DataCentre: v.hostListEntry.DataCentre, Slots: slotsPerServer})
		t.Faults = append(t.Faults, s.serverFaults(v.name, time.Now())...)
	}
	l.addRequests(s, traces)
	return traces
}

// addRequests adds the requests to the traces in the order they were sent. It leaves
// out repeats of a key, because they cause no work at a server.
func (l *loadGenerator) addRequests(s *site, traces map[string]*wagtrace.Trace) {
	records := slices.Clone(l.records)
	slices.SortStableFunc(records, func(a, b requestRecord) int { return a.sentAt.Compare(b.sentAt) })
	seen := make(map[string]bool)
	for _, r := range records {
		d := s.documentAt(r.sentAt, requestKinds[r.kind].path)
		if d == nil || r.key != "" && seen[r.key] {
			continue
		}
		seen[r.key] = true
		t := traces[d.Service.Name]
		t.Requests = append(t.Requests, traceRequest(r, d))
	}
}

// traceRequest returns the request of a record as it is written to a trace.
func traceRequest(r requestRecord, d *wagdocument.Document) wagtrace.Request {
	kind := requestKinds[r.kind]
	route := d.Match(kind.method, kind.path+idSuffix(kind.path, r.id))
	// The service times of requestKinds are valid, so the error is always nil.
	work, _ := time.ParseDuration(kind.work)
	request := wagtrace.Request{
		At: r.sentAt, Caller: r.caller, Route: route.Name, Class: route.Class, ActualClass: route.Class, ServiceTime: work,
		Bytes: max(r.bytes, int64(kind.bytes)), Deadline: r.sentAt.Add(route.Deadline),
		DataCentre: defaultDataCentres[r.host%len(defaultDataCentres)],
	}
	if request.ActualClass == wagdocument.Learned {
		request.ActualClass = wagdocument.Short
	}
	return request
}

// documentAt returns the latest document that had been published for a path at a
// time, or nil.
func (s *site) documentAt(at time.Time, path string) (d *wagdocument.Document) {
	for _, p := range s.published {
		if !p.at.After(at) && strings.HasPrefix(path, p.document.Service.Prefix+"/") {
			d = p.document
		}
	}
	return d
}

// serverFaults returns the faults of a server for its trace. A fault that was not reset
// lasts until end. Truncated responses cannot be expressed in a trace.
func (s *site) serverFaults(server string, end time.Time) (faults []wagtrace.Fault) {
	current := 0
	for _, c := range s.faultChanges {
		if c.server != server {
			continue
		}
		for i := current; i < len(faults); i++ {
			faults[i].Until = c.at
		}
		current = len(faults)
		faults = append(faults, c.traceFaults(end)...)
	}
	return faults
}

// traceFaults returns the faults that begin with the change.
func (c faultChange) traceFaults(end time.Time) (faults []wagtrace.Fault) {
	fault := wagtrace.Fault{Server: c.server, From: c.at, Until: end}
	if c.faults.SlowFactor > 1 {
		fault.Kind, fault.Factor = wagtrace.FaultSlow, c.faults.SlowFactor
		faults = append(faults, fault)
	}
	fault.Factor = 0
	if c.faults.FailFast {
		fault.Kind = wagtrace.FaultFailFast
		faults = append(faults, fault)
	}
	if c.faults.AlwaysHealthy {
		fault.Kind = wagtrace.FaultFalseLoad
		faults = append(faults, fault)
	}
	if c.faults.Draining {
		// startDrain updates the host list at the same time.
		fault.Kind, fault.ListedAt = wagtrace.FaultDrain, c.at
		faults = append(faults, fault)
	}
	return faults
}
