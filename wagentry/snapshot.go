package wagentry

import (
	"net/http"
	"net/netip"
	"strings"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// Snapshot is the configuration that a request uses from start to end.
type Snapshot struct {
	// Documents holds the documents in force, keyed by service name.
	Documents map[string]*wagdocument.Document
	// Servers holds the servers of the host list. It is nil until the list has been read.
	Servers []wagserver.Server

	// previousDocuments holds the documents that were in force before, for requests
	// that another host forwards under their revision.
	previousDocuments map[string]*wagdocument.Document
	// documentsByPrefix and documentsByHost hold the documents of services that are not
	// deleted, by path prefix and by host name in lower case.
	documentsByPrefix, documentsByHost map[string]*wagdocument.Document
	// serversByDataCentre holds the servers of each service by data centre.
	serversByDataCentre map[string]map[string][]wagserver.Server
	listedAddresses     map[netip.AddrPort]bool
}

// newSnapshot returns the snapshot that follows old.
func newSnapshot(old *Snapshot, documents map[string]*wagdocument.Document, servers []wagserver.Server) *Snapshot {
	s := &Snapshot{
		Documents:           documents,
		Servers:             servers,
		previousDocuments:   make(map[string]*wagdocument.Document),
		documentsByPrefix:   make(map[string]*wagdocument.Document),
		documentsByHost:     make(map[string]*wagdocument.Document),
		serversByDataCentre: make(map[string]map[string][]wagserver.Server),
		listedAddresses:     make(map[netip.AddrPort]bool, len(servers)),
	}
	for name, d := range documents {
		s.previousDocuments[name] = old.previousDocuments[name]
		if before := old.Documents[name]; before != nil && before != d {
			s.previousDocuments[name] = before
		}
		s.indexSelectors(d)
	}
	for _, server := range servers {
		if s.serversByDataCentre[server.Service] == nil {
			s.serversByDataCentre[server.Service] = make(map[string][]wagserver.Server)
		}
		s.serversByDataCentre[server.Service][server.DataCentre] = append(s.serversByDataCentre[server.Service][server.DataCentre], server)
		s.listedAddresses[server.Address] = true
	}
	return s
}

// indexSelectors adds a document to the indexes by path prefix and by host name.
func (s *Snapshot) indexSelectors(d *wagdocument.Document) {
	if d.Service.Deleted {
		return
	}
	// Of several documents with the same selector, the one whose service name sorts
	// first wins, so that all hosts agree.
	addSelector := func(index map[string]*wagdocument.Document, selector string) {
		other := index[selector]
		if other == nil || d.Service.Name < other.Service.Name {
			index[selector] = d
		}
	}
	addSelector(s.documentsByPrefix, d.Service.Prefix)
	for _, h := range d.Service.Hosts {
		addSelector(s.documentsByHost, strings.ToLower(h))
	}
}

// IsComplete reports whether both the documents and the servers are known.
func (s *Snapshot) IsComplete() bool {
	return s.Documents != nil && s.Servers != nil
}

// FindDocument returns the document of the service that a request is for, or nil. It
// is selected by host name, otherwise by the longest matching prefix of the path.
func (s *Snapshot) FindDocument(host, path string) *wagdocument.Document {
	if d := s.documentsByHost[strings.ToLower(host)]; d != nil {
		return d
	}
	for path != "" {
		if d := s.documentsByPrefix[path]; d != nil {
			return d
		}
		path = path[:max(strings.LastIndexByte(path, '/'), 0)]
	}
	return nil
}

// documentAtRevision returns the document of a service if its current or previous
// revision is the given one, and nil otherwise.
func (s *Snapshot) documentAtRevision(service string, revision int64) *wagdocument.Document {
	for _, d := range []*wagdocument.Document{s.Documents[service], s.previousDocuments[service]} {
		if d != nil && !d.Service.Deleted && d.Revision.Number == revision {
			return d
		}
	}
	return nil
}

// callerName returns the name of the caller from the header that the document names.
// If the name is missing or malformed, it returns the IP address of the caller.
func callerName(d *wagdocument.Document, r *http.Request) string {
	if d.Caller.Header != "" {
		if name := r.Header.Get(d.Caller.Header); isPlainName(name, maxCallerNameLength) {
			return name
		}
	}
	if a, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		return a.Addr().Unmap().String()
	}
	return ""
}
