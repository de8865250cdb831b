package wagcontrol

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/waglease"
	"github.com/wagtailspar/wagtailspar/wagprobe"
	"github.com/wagtailspar/wagtailspar/wagrouting"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

const (
	// probeLeaseTerm is the term of probe leases. A longer term needs fewer writes,
	// but leaves a group without probes for longer after its owner is lost.
	probeLeaseTerm = 20 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 2 * time.Second
	// probeKeyPrefix is the prefix of the store keys of probe leases.
	probeKeyPrefix = "leases/probe/"
)

// probeLease is the budget of probes of one server group, which is shared through
// a lease in the store.
type probeLease struct {
	// key is the store key of the lease.
	key     string
	service string
	budget  *wagprobe.Budget
	// wanted is set while this host owns the group and the group has servers.
	wanted bool
	// reportedViolations counts the violations of the budget that were reported.
	reportedViolations uint64
}

// updateLeases creates a budget for every service with a document, sets the rates
// of the budgets and releases those of services that are gone. c.mu must be held.
func (c *Control) updateLeases(ctx context.Context) {
	c.ownersChanged = true
	documents := c.catalog.Snapshot().Documents
	for name, d := range documents {
		if d.Service.Deleted {
			continue
		}
		l := c.leases[name]
		if l == nil {
			l = &probeLease{
				key: probeKeyPrefix + name + "/" + c.self.DataCentre, service: name,
				budget: wagprobe.New(c.self.Name, c.self.Incarnation, probeLeaseTerm, waglease.WithJitter(rand.Float64)),
			}
			c.leases[name] = l
		}
		l.budget.SetRate(c.clock.Now(), d.Probing.ProbesPerSecond, c.countGroups(name))
	}
	for name, l := range c.leases {
		if d := documents[name]; d == nil || d.Service.Deleted {
			c.handleLeaseEvent(ctx, l, waglease.Release{})
			delete(c.leases, name)
		}
	}
}

// countGroups returns the number of data centres with servers of a service, which
// share its budget of probes, or 1 without any. c.mu must be held.
func (c *Control) countGroups(service string) int {
	dataCentres := make(map[string]bool)
	for _, s := range c.servers.Servers(service) {
		dataCentres[s.DataCentre] = true
	}
	return max(len(dataCentres), 1)
}

// releaseLeases releases all leases. c.mu must be held.
func (c *Control) releaseLeases(ctx context.Context) {
	for name, l := range c.leases {
		c.handleLeaseEvent(ctx, l, waglease.Release{})
		delete(c.leases, name)
	}
}

// tickLeases runs what is due for the leases and sends the probes that are due.
// c.mu must be held.
func (c *Control) tickLeases(ctx context.Context, now time.Time) {
	c.updateWantedLeases(ctx)
	documents := c.catalog.Snapshot().Documents
	for _, l := range c.leases {
		if at := l.budget.NextWake(); !at.IsZero() && !now.Before(at) {
			c.handleLeaseEvent(ctx, l, waglease.Tick{})
		}
		if d := documents[l.service]; d != nil && l.wanted {
			c.sendDueProbe(ctx, now, l, d)
		}
	}
}

// updateWantedLeases requests the leases of the groups that this host owns and
// releases the others if the owners may have changed. c.mu must be held.
func (c *Control) updateWantedLeases(ctx context.Context) {
	if !c.ownersChanged {
		return
	}
	c.ownersChanged = false
	for _, l := range c.leases {
		owns := c.ownsGroup(l.service) && len(c.servers.Servers(l.service)) > 0
		if owns == l.wanted {
			continue
		}
		l.wanted = owns
		var event waglease.Event = waglease.Release{}
		if owns {
			event = waglease.Acquire{}
		}
		c.handleLeaseEvent(ctx, l, event)
	}
}

// handleLeaseEvent passes an event to a lease and executes its commands. c.mu must
// be held.
func (c *Control) handleLeaseEvent(ctx context.Context, l *probeLease, event waglease.Event) {
	for _, command := range l.budget.Handle(c.clock.Now(), event) {
		c.spawn(func() {
			result := wagstore.ExecuteLeaseCommand(ctx, c.store, l.key, command)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.handleLeaseEvent(ctx, l, result)
		})
	}
}

// sendDueProbe sends the probe of a lease that is due, if any. c.mu must be held.
func (c *Control) sendDueProbe(ctx context.Context, now time.Time, l *probeLease, d *wagdocument.Document) {
	if now.Before(l.budget.NextProbeTime()) {
		return
	}
	var candidates []wagprobe.Candidate
	for _, a := range c.dataPlane.SilentServers(l.service) {
		candidates = append(candidates, wagprobe.Candidate{Address: a})
	}
	p, ok := l.budget.TakeProbe(now, d.Probing.Silence, candidates)
	if !ok {
		return
	}
	sent := c.spawn(func() { c.probe(ctx, l.service, d.Probing.Path, p) })
	if sent {
		c.probesSent++
	}
}

// probe checks the health of a server and reports the result. A probe is dropped
// after its deadline, because that time may belong to the next holder of the
// lease.
func (c *Control) probe(ctx context.Context, service, path string, p wagprobe.Probe) {
	if c.clock.Now().After(p.Deadline) {
		return
	}
	r := c.checkHealth(ctx, p.Server, path)
	kind := wagserver.Answered
	if !r.Healthy {
		kind = wagserver.Unhealthy
	}
	c.events.Record(wagevent.Event{Kind: wagevent.KindProbe, Service: service, Server: p.Server.String(), Detail: string(kind)})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dataPlane.RecordProbe(service, p.Server, r)
	if !r.Healthy {
		c.runServerCommands(ctx, c.servers.Handle(c.clock.Now(), wagserver.LocalObservation{Service: service, Address: p.Server, Kind: kind}))
	}
}

// checkHealth requests the health path of a server.
func (c *Control) checkHealth(ctx context.Context, server netip.AddrPort, path string) wagrouting.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.String()+path, nil)
	if err != nil {
		return wagrouting.ProbeResult{}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return wagrouting.ProbeResult{}
	}
	_ = resp.Body.Close()
	return wagrouting.ProbeResult{Healthy: resp.StatusCode == http.StatusOK}
}
