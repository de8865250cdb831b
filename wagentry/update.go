package wagentry

import (
	"net/netip"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagrouting"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// SetDocuments puts documents in force for the requests that follow. The map must
// not be changed afterwards.
func (px *Proxy) SetDocuments(documents map[string]*wagdocument.Document) {
	px.mu.Lock()
	defer px.mu.Unlock()
	old := px.snapshot.Load()
	px.snapshot.Store(newSnapshot(old, documents, old.Servers))
	px.updateGroups()
}

// SetServers replaces the servers of all services.
func (px *Proxy) SetServers(servers []wagserver.Server) {
	px.mu.Lock()
	defer px.mu.Unlock()
	old := px.snapshot.Load()
	current := newSnapshot(old, old.Documents, servers)
	px.recordServerChanges(old, current)
	px.snapshot.Store(current)
	px.updateGroups()
	px.serverPool.retain(func(a netip.AddrPort) bool { return current.listedAddresses[a] })
}

// recordServerChanges records an event for each server that was added or removed, or
// that has begun to leave.
func (px *Proxy) recordServerChanges(old, current *Snapshot) {
	leaving := make(map[netip.AddrPort]bool)
	for _, s := range old.Servers {
		leaving[s.Address] = s.State == wagserver.Leaving
		if !current.listedAddresses[s.Address] {
			px.recordServerEvent(s, "gone")
		}
	}
	for _, s := range current.Servers {
		if !old.listedAddresses[s.Address] {
			px.recordServerEvent(s, "listed")
		}
		if s.State == wagserver.Leaving && !leaving[s.Address] {
			px.recordServerEvent(s, "leaving")
		}
	}
}

func (px *Proxy) recordServerEvent(s wagserver.Server, detail string) {
	px.events.Record(wagevent.Event{Kind: wagevent.KindServer, Service: s.Service, Server: s.Address.String(), Detail: detail})
}

// SilentServers returns the servers of a service that have sent no response for the
// time that its document sets.
func (px *Proxy) SilentServers(service string) []netip.AddrPort {
	g := px.group(service)
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.AppendSilentServers(g.clock.Now(), nil)
}

// RecordProbe records the result of a probe.
func (px *Proxy) RecordProbe(service string, server netip.AddrPort, r wagrouting.ProbeResult) {
	g := px.group(service)
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.scheduler.RecordProbe(now, server, r)
	g.deliverDecisions(g.scheduler.Tick(now, g.decisionBuffer[:0]))
}

// Summaries returns the summaries of this host's groups for other data centres, by
// service.
func (px *Proxy) Summaries() map[string]wagrouting.Summary {
	summaries := make(map[string]wagrouting.Summary)
	for name, g := range *px.groups.Load() {
		g.mu.Lock()
		summaries[name] = g.scheduler.Summary(g.clock.Now())
		g.mu.Unlock()
	}
	return summaries
}

// SetRemoteSummary records the summary of a group in another data centre.
func (px *Proxy) SetRemoteSummary(service, dataCentre string, s wagrouting.Summary) {
	g := px.group(service)
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.SetRemoteSummary(g.clock.Now(), dataCentre, s)
}
