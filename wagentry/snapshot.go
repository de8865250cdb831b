package wagentry

import (
	"net/http"
	"net/netip"
	"strings"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// Snapshot is the configuration that one call sees from start to end.
type Snapshot struct {
	// Documents holds the documents in force, keyed by service name.
	Documents map[string]*wagdocument.Document
	// Servers holds the host list; nil until it was read once.
	Servers []wagserver.Server

	// previous holds the documents that were in force before, for calls that
	// another host began under them.
	previous map[string]*wagdocument.Document
	// prefixes and hosts select documents of services that are not deleted;
	// host names are in lower case.
	prefixes, hosts map[string]*wagdocument.Document
	// centres holds the servers of each service by data centre.
	centres map[string]map[string][]wagserver.Server
	listed  map[netip.AddrPort]bool
}

// newSnapshot returns the snapshot that follows old.
func newSnapshot(old *Snapshot, documents map[string]*wagdocument.Document, servers []wagserver.Server) *Snapshot {
	s := &Snapshot{
		Documents: documents,
		Servers:   servers,
		previous:  make(map[string]*wagdocument.Document),
		prefixes:  make(map[string]*wagdocument.Document),
		hosts:     make(map[string]*wagdocument.Document),
		centres:   make(map[string]map[string][]wagserver.Server),
		listed:    make(map[netip.AddrPort]bool, len(servers)),
	}
	for name, d := range documents {
		s.previous[name] = old.previous[name]
		if before := old.Documents[name]; before != nil && before != d {
			s.previous[name] = before
		}
		s.index(d)
	}
	for _, x := range servers {
		if s.centres[x.Service] == nil {
			s.centres[x.Service] = make(map[string][]wagserver.Server)
		}
		s.centres[x.Service][x.DataCentre] = append(s.centres[x.Service][x.DataCentre], x)
		s.listed[x.Address] = true
	}
	return s
}

func (s *Snapshot) index(d *wagdocument.Document) {
	if d.Service.Deleted {
		return
	}
	// Of several documents with the same selector the first name wins, so that
	// all hosts agree.
	claim := func(index map[string]*wagdocument.Document, selector string) {
		other := index[selector]
		if other == nil || d.Service.Name < other.Service.Name {
			index[selector] = d
		}
	}
	claim(s.prefixes, d.Service.Prefix)
	for _, h := range d.Service.Hosts {
		claim(s.hosts, strings.ToLower(h))
	}
}

// IsComplete tells whether the snapshot can serve calls.
func (s *Snapshot) IsComplete() bool {
	return s.Documents != nil && s.Servers != nil
}

// FindDocument returns the document of the service that a call is for: by host name,
// otherwise by the longest prefix of the path.
func (s *Snapshot) FindDocument(host, path string) *wagdocument.Document {
	if d := s.hosts[strings.ToLower(host)]; d != nil {
		return d
	}
	for path != "" {
		if d := s.prefixes[path]; d != nil {
			return d
		}
		path = path[:max(strings.LastIndexByte(path, '/'), 0)]
	}
	return nil
}

// at returns the document of a service at a revision, or nil.
func (s *Snapshot) at(service string, revision int64) *wagdocument.Document {
	for _, d := range []*wagdocument.Document{s.Documents[service], s.previous[service]} {
		if d != nil && !d.Service.Deleted && d.Revision.Number == revision {
			return d
		}
	}
	return nil
}

// callerName returns the caller of a call as its document identifies it. The
// caller's address stands for names that are absent or not well formed.
func callerName(d *wagdocument.Document, r *http.Request) string {
	if d.Caller.Header != "" {
		if name := r.Header.Get(d.Caller.Header); printable(name, maxCallerName) {
			return name
		}
	}
	if a, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		return a.Addr().Unmap().String()
	}
	return ""
}
