package wagexplore

import (
	"fmt"
	"time"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/waglease"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagprobe"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

const (
	probeLeaseDuration = 20 * time.Second
	// probeRate is the maximum number of probes per second over all server groups.
	probeRate = 6
	// minProbeInterval is the minimum time between two probes of one server group.
	minProbeInterval = time.Second * dataCentreCount / probeRate
	// probeSilence is the minimum time since the last response or probe of a server
	// before it is probed.
	probeSilence = 100 * time.Millisecond
)

// probesModule checks the rate and the sender of probes as the servers see them,
// independent of the cores.
type probesModule struct {
	fleet *fleet
	// latestProbe is when the group of each data centre got its latest probe, zero
	// before the first one.
	latestProbe [dataCentreCount]time.Duration
}

func (m *probesModule) newBudget(p *peer) *wagprobe.Budget {
	b := wagprobe.New(p.self.Name, p.self.Incarnation, probeLeaseDuration, waglease.WithJitter(m.fleet.world.random.Float64))
	b.SetRate(p.now(), probeRate, dataCentreCount)
	return b
}

func (p *peer) leaseKey() string {
	return "leases/probe/" + serviceName(0) + "/" + p.self.DataCentre
}

// sendDueProbe acquires the lease for probes when this host has become the owner of the
// server group, releases it when it no longer is, and sends a probe that is due.
func (p *peer) sendDueProbe() {
	members := append(p.members.Members(), p.members.Self())
	owner, ok := wagmember.Owner(members, serviceName(0), p.self.DataCentre)
	if owns := ok && owner.Name == p.self.Name; owns != p.wantsProbeLease {
		p.wantsProbeLease = owns
		var e waglease.Event = waglease.Release{}
		if owns {
			e = waglease.Acquire{}
		}
		p.handleLeaseEvent(e)
	}
	if at := p.budget.NextWake(); !at.IsZero() && !p.now().Before(at) {
		p.handleLeaseEvent(waglease.Tick{})
	}
	var candidates []wagprobe.Candidate
	for _, s := range p.servers.Servers(serviceName(0)) {
		if s.DataCentre == p.self.DataCentre {
			candidates = append(candidates, wagprobe.Candidate{Address: s.Address})
		}
	}
	probe, ok := p.budget.TakeProbe(p.now(), probeSilence, candidates)
	if !ok {
		return
	}
	p.schedule(p.fleet.world.randomDuration(0, 60*time.Millisecond), func() {
		if !p.now().After(probe.Deadline) {
			p.fleet.probes.checkProbe(p, probe)
		}
	})
}

// handleLeaseEvent passes an event to the lease of the probe budget and carries out its
// commands.
func (p *peer) handleLeaseEvent(e waglease.Event) {
	for _, command := range p.budget.Handle(p.now(), e) {
		switch c := command.(type) {
		case waglease.Load:
			p.fleet.world.store.get(p.leaseKey(), func(r storeResult) {
				p.schedule(0, func() { p.handleLeaseEvent(p.fleet.world.leaseLoaded(p.self.Name, c, r)) })
			})
		case waglease.Write:
			p.writeLease(c)
		}
	}
}

// writeLease writes the lease. With the defect spendFirst the budget takes the write for
// successful before the store has replied.
func (p *peer) writeLease(c waglease.Write) {
	early := p.fleet.world.config.defect == spendFirst
	p.fleet.world.store.put(p.leaseKey(), c.Value, wagstore.Version(c.Expected), func(r storeResult) {
		if !early {
			p.schedule(0, func() { p.handleLeaseEvent(leaseWritten(c, r)) })
		}
	})
	if early {
		p.handleLeaseEvent(waglease.Written{ID: c.ID, Version: waglease.Version(fmt.Sprint("assumed ", c.ID))})
	}
}

// checkProbe checks a probe that is sent: the group got none for minProbeInterval, and
// the host holds the lease.
func (m *probesModule) checkProbe(p *peer, probe wagprobe.Probe) {
	w, c := m.fleet.world, p.dataCentre()
	w.counts.Fleet.Probes++
	w.record(wagevent.KindProbe, p.index, w.counts.Fleet.Probes)
	w.traceEvent(wagevent.KindProbe, p.index, "probe of %s", probe.Server)
	if m.latestProbe[c] != 0 && w.now-m.latestProbe[c] < minProbeInterval {
		w.reportViolation("group %s: a probe of host %s comes %s after the one before", p.self.DataCentre, p.self.Name, w.now-m.latestProbe[c])
	}
	m.latestProbe[c] = w.now
	var o wagstore.Object
	if s := w.store.objects[p.leaseKey()]; s != nil {
		o = s.latest
	}
	r, err := waglease.Decode(o.Value)
	if err != nil || r.Holder != p.self.Name || r.Incarnation != p.self.Incarnation || r.Released || !p.now().Before(r.Deadline) {
		w.reportViolation("group %s: host %s sends a probe without the lease", p.self.DataCentre, p.self.Name)
	}
	if m.fleet.servers.isDraining(probe.Server) {
		p.handleServerEvent(wagserver.LocalObservation{Service: serviceName(0), Address: probe.Server, Kind: wagserver.Unhealthy})
	}
}
