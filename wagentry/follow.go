package wagentry

import (
	"net/netip"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagrouting"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// SetDocuments puts documents in force for the calls that follow. The map must
// not change afterwards.
func (e *Proxy) SetDocuments(documents map[string]*wagdocument.Document) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.snapshot.Load()
	e.snapshot.Store(newSnapshot(old, documents, old.Servers))
	e.updateGroups()
}

// SetServers replaces the servers of all services.
func (e *Proxy) SetServers(servers []wagserver.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.snapshot.Load()
	current := newSnapshot(old, old.Documents, servers)
	e.recordServers(old, current)
	e.snapshot.Store(current)
	e.updateGroups()
	e.servers.keep(func(a netip.AddrPort) bool { return current.listed[a] })
}

// recordServers records the servers that came, went or are leaving.
func (e *Proxy) recordServers(old, current *Snapshot) {
	leaving := make(map[netip.AddrPort]bool)
	for _, s := range old.Servers {
		leaving[s.Address] = s.State == wagserver.Leaving
		if !current.listed[s.Address] {
			e.recordServer(s, "gone")
		}
	}
	for _, s := range current.Servers {
		if !old.listed[s.Address] {
			e.recordServer(s, "listed")
		}
		if s.State == wagserver.Leaving && !leaving[s.Address] {
			e.recordServer(s, "leaving")
		}
	}
}

func (e *Proxy) recordServer(s wagserver.Server, detail string) {
	e.events.Record(wagevent.Event{Kind: wagevent.KindServer, Service: s.Service, Server: s.Address.String(), Detail: detail})
}

// NeedsProbe returns the servers of this host's group that gave no answers for
// the time that the document of the service sets.
func (e *Proxy) NeedsProbe(service string) []netip.AddrPort {
	g := e.group(service)
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.AppendSilentServers(g.clock.Now(), nil)
}

// Probed takes the result of a probe.
func (e *Proxy) Probed(service string, server netip.AddrPort, r wagrouting.ProbeResult) {
	g := e.group(service)
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.core.RecordProbe(now, server, r)
	g.wake(g.core.Tick(now, g.starts[:0]))
}

// Summaries returns what other data centres need to know of this host's groups.
func (e *Proxy) Summaries() map[string]wagrouting.Summary {
	summaries := make(map[string]wagrouting.Summary)
	for name, g := range *e.groups.Load() {
		g.mu.Lock()
		summaries[name] = g.core.Summary(g.clock.Now())
		g.mu.Unlock()
	}
	return summaries
}

// SetRemote takes the summary of a group of another data centre.
func (e *Proxy) SetRemote(service, dataCentre string, s wagrouting.Summary) {
	g := e.group(service)
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.SetRemoteSummary(g.clock.Now(), dataCentre, s)
}
