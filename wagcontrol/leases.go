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
	// probeLeaseTerm is the term of probe leases. A longer one costs fewer
	// writes and leaves a group longer without probes after its owner is lost.
	probeLeaseTerm = 20 * time.Second
	// probeTime bounds one probe.
	probeTime = 2 * time.Second
	probeKey  = "leases/probe/"
)

// lease is the budget of probes of one server group with its store object.
type lease struct {
	key     string
	service string
	budget  *wagprobe.Budget
	wanted  bool
	// violations is how many violations of the budget were reported.
	violations uint64
}

// updateLeases keeps a budget for every service with a document, and wants the
// leases of the groups that this host owns; c.mu is held.
func (c *Control) updateLeases(ctx context.Context) {
	c.ownersChanged = true
	documents := c.catalog.Snapshot().Documents
	for name, d := range documents {
		if d.Service.Deleted {
			continue
		}
		l := c.leases[name]
		if l == nil {
			l = &lease{
				key: probeKey + name + "/" + c.self.DataCentre, service: name,
				budget: wagprobe.New(c.self.Name, c.self.Incarnation, probeLeaseTerm, waglease.WithJitter(rand.Float64)),
			}
			c.leases[name] = l
		}
		l.budget.SetRate(c.clock.Now(), d.Probing.ProbesPerSecond, c.groups(name))
	}
	for name, l := range c.leases {
		if d := documents[name]; d == nil || d.Service.Deleted {
			c.drive(ctx, l, waglease.Release{})
			delete(c.leases, name)
		}
	}
}

// groups counts the data centres among which a service's budget is divided; c.mu
// is held.
func (c *Control) groups(service string) int {
	centres := make(map[string]bool)
	for _, s := range c.list.Servers(service) {
		centres[s.DataCentre] = true
	}
	return max(len(centres), 1)
}

// releaseLeases gives all leases up; c.mu is held.
func (c *Control) releaseLeases(ctx context.Context) {
	for name, l := range c.leases {
		c.drive(ctx, l, waglease.Release{})
		delete(c.leases, name)
	}
}

// tickLeases drives the leases and sends the probes that are due; c.mu is held.
func (c *Control) tickLeases(ctx context.Context, now time.Time) {
	c.wantLeases(ctx)
	documents := c.catalog.Snapshot().Documents
	for _, l := range c.leases {
		if at := l.budget.NextWake(); !at.IsZero() && !now.Before(at) {
			c.drive(ctx, l, waglease.Tick{})
		}
		if d := documents[l.service]; d != nil && l.wanted {
			c.probeNext(ctx, now, l, d)
		}
	}
}

// wantLeases asks for the leases of the groups that this host owns, and gives up
// the others, when the owners may have changed; c.mu is held.
func (c *Control) wantLeases(ctx context.Context) {
	if !c.ownersChanged {
		return
	}
	c.ownersChanged = false
	for _, l := range c.leases {
		owns := c.owns(l.service) && len(c.list.Servers(l.service)) > 0
		if owns == l.wanted {
			continue
		}
		l.wanted = owns
		var event waglease.Event = waglease.Release{}
		if owns {
			event = waglease.Acquire{}
		}
		c.drive(ctx, l, event)
	}
}

// drive passes an event to a lease and carries out its commands; c.mu is held.
func (c *Control) drive(ctx context.Context, l *lease, event waglease.Event) {
	for _, command := range l.budget.Handle(c.clock.Now(), event) {
		c.spawn(func() {
			answer := wagstore.ExecuteLeaseCommand(ctx, c.store, l.key, command)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.drive(ctx, l, answer)
		})
	}
}

// probeNext sends the probe that is due, if any; c.mu is held.
func (c *Control) probeNext(ctx context.Context, now time.Time, l *lease, d *wagdocument.Document) {
	if now.Before(l.budget.NextProbeTime()) {
		return
	}
	var candidates []wagprobe.Candidate
	for _, a := range c.view.SilentServers(l.service) {
		candidates = append(candidates, wagprobe.Candidate{Address: a})
	}
	p, ok := l.budget.TakeProbe(now, d.Probing.Silence, candidates)
	if !ok {
		return
	}
	sent := c.spawn(func() { c.probe(ctx, l.service, d.Probing.Path, p) })
	if sent {
		c.probes++
	}
}

// probe asks a server for its health. A probe that is late is dropped, because
// its time may belong to the next holder of the lease.
func (c *Control) probe(ctx context.Context, service, path string, p wagprobe.Probe) {
	if c.clock.Now().After(p.Deadline) {
		return
	}
	r := c.health(ctx, p.Server, path)
	kind := wagserver.Answered
	if !r.Healthy {
		kind = wagserver.Unhealthy
	}
	c.events.Record(wagevent.Event{Kind: wagevent.KindProbe, Service: service, Server: p.Server.String(), Detail: string(kind)})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.RecordProbe(service, p.Server, r)
	if !r.Healthy {
		c.serverList(ctx, c.list.Handle(c.clock.Now(), wagserver.LocalObservation{Service: service, Address: p.Server, Kind: kind}))
	}
}

func (c *Control) health(ctx context.Context, server netip.AddrPort, path string) wagrouting.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
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
