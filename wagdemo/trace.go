package wagdemo

import (
	"slices"
	"strings"
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagstandin"
	"github.com/wagtailspar/wagtailspar/wagtrace"
)

// recordedKind is the kind in the headers of recorded traces.
const recordedKind = "recorded"

// publication is a document and when it was published.
type publication struct {
	at       time.Time
	document *wagdocument.Document
}

// note is a change of the faults of a server.
type note struct {
	at     time.Time
	server string
	faults wagstandin.ServerFaults
}

func (s *site) note(server string, f wagstandin.ServerFaults) {
	s.noted = append(s.noted, note{at: time.Now(), server: server, faults: f})
}

// traces returns what was offered to each service from the start to now.
func (l *load) traces(s *site, started time.Time) map[string]*wagtrace.Trace {
	traces := make(map[string]*wagtrace.Trace)
	for _, v := range s.servers {
		t := traces[v.listing.Service]
		if t == nil {
			t = &wagtrace.Trace{Header: wagtrace.Header{
				Kind: recordedKind, Service: v.listing.Service, Seed: l.demo.seed, Start: started, DataCentres: dataCentres,
			}}
			traces[v.listing.Service] = t
		}
		t.Header.Servers = append(t.Header.Servers, wagtrace.Server{Name: v.name, DataCentre: v.listing.DataCentre, Slots: serverSlots})
		t.Faults = append(t.Faults, s.faultsOf(v.name, time.Now())...)
	}
	l.addCalls(s, traces)
	return traces
}

// addCalls adds the calls in order of arrival. A repeat of a key is left out,
// because it asks for no work.
func (l *load) addCalls(s *site, traces map[string]*wagtrace.Trace) {
	records := slices.Clone(l.records)
	slices.SortStableFunc(records, func(a, b record) int { return a.arrived.Compare(b.arrived) })
	seen := make(map[string]bool)
	for _, r := range records {
		d := s.documentAt(r.arrived, kinds[r.kind].path)
		if d == nil || r.key != "" && seen[r.key] {
			continue
		}
		seen[r.key] = true
		t := traces[d.Service.Name]
		t.Requests = append(t.Requests, callOf(r, d))
	}
}

func callOf(r record, d *wagdocument.Document) wagtrace.Request {
	kind := kinds[r.kind]
	route := d.Match(kind.method, kind.path+suffix(kind.path, r.id))
	// The kinds are constants with valid times.
	work, _ := time.ParseDuration(kind.work)
	c := wagtrace.Request{
		At: r.arrived, Caller: r.caller, Route: route.Name, Class: route.Class, ActualClass: route.Class, ServiceTime: work,
		Bytes: max(r.bytes, int64(kind.bytes)), Deadline: r.arrived.Add(route.Deadline),
		DataCentre: dataCentres[r.host%len(dataCentres)],
	}
	if c.ActualClass == wagdocument.Learned {
		c.ActualClass = wagdocument.Short
	}
	return c
}

// documentAt returns the document that was the latest for a path at a time.
func (s *site) documentAt(at time.Time, path string) (d *wagdocument.Document) {
	for _, p := range s.published {
		if !p.at.After(at) && strings.HasPrefix(path, p.document.Service.Prefix+"/") {
			d = p.document
		}
	}
	return d
}

// faultsOf returns the faults of a server; one that was not taken back lasts
// until the end. Answers that break in the middle have no form in a trace.
func (s *site) faultsOf(server string, end time.Time) (faults []wagtrace.Fault) {
	open := 0
	for _, n := range s.noted {
		if n.server != server {
			continue
		}
		for i := open; i < len(faults); i++ {
			faults[i].Until = n.at
		}
		open = len(faults)
		faults = append(faults, n.spans(end)...)
	}
	return faults
}

func (n note) spans(end time.Time) (faults []wagtrace.Fault) {
	span := wagtrace.Fault{Server: n.server, From: n.at, Until: end}
	if n.faults.SlowFactor > 1 {
		span.Kind, span.Factor = wagtrace.FaultSlow, n.faults.SlowFactor
		faults = append(faults, span)
	}
	span.Factor = 0
	if n.faults.FailFast {
		span.Kind = wagtrace.FaultFailFast
		faults = append(faults, span)
	}
	if n.faults.AlwaysHealthy {
		span.Kind = wagtrace.FaultFalseLoad
		faults = append(faults, span)
	}
	if n.faults.Draining {
		// The script puts a drain on the host list at the same time.
		span.Kind, span.ListedAt = wagtrace.FaultDrain, n.at
		faults = append(faults, span)
	}
	return faults
}
