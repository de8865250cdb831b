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
	probeTerm = 20 * time.Second
	// probeRate is that of all groups together, in probes a second.
	probeRate = 6
	// probeSpacing is the time between two probes of one group.
	probeSpacing = time.Second * centreCount / probeRate
	probeSilence = 100 * time.Millisecond
)

// probesModule counts probes at the servers, independent of the cores.
type probesModule struct {
	f *fleet
	// latest is when a group got its latest probe, zero before the first.
	latest [centreCount]time.Duration
}

func (m *probesModule) newBudget(p *peer) *wagprobe.Budget {
	b := wagprobe.New(p.self.Name, p.self.Incarnation, probeTerm, waglease.WithJitter(m.f.w.random.Float64))
	b.SetRate(p.now(), probeRate, centreCount)
	return b
}

func (p *peer) leaseKey() string {
	return "leases/probe/" + serviceName(0) + "/" + p.self.DataCentre
}

// probe wants or releases the lease and sends the probe that is due.
func (p *peer) probe() {
	members := append(p.table.Members(), p.table.Self())
	owner, ok := wagmember.Owner(members, serviceName(0), p.self.DataCentre)
	if owns := ok && owner.Name == p.self.Name; owns != p.wanted {
		p.wanted = owns
		var e waglease.Event = waglease.Release{}
		if owns {
			e = waglease.Acquire{}
		}
		p.lease(e)
	}
	if at := p.budget.NextWake(); !at.IsZero() && !p.now().Before(at) {
		p.lease(waglease.Tick{})
	}
	var candidates []wagprobe.Candidate
	for _, s := range p.list.Servers(serviceName(0)) {
		if s.DataCentre == p.self.DataCentre {
			candidates = append(candidates, wagprobe.Candidate{Address: s.Address})
		}
	}
	probe, ok := p.budget.TakeProbe(p.now(), probeSilence, candidates)
	if !ok {
		return
	}
	p.after(p.f.w.between(0, 60*time.Millisecond), func() {
		if !p.now().After(probe.Deadline) {
			p.f.probes.arrived(p, probe)
		}
	})
}

// lease gives one event to the budget's lease and carries out its commands.
func (p *peer) lease(e waglease.Event) {
	for _, command := range p.budget.Handle(p.now(), e) {
		switch c := command.(type) {
		case waglease.Load:
			p.f.w.store.get(p.leaseKey(), func(r storeResult) {
				p.after(0, func() { p.lease(p.f.w.leaseLoaded(p.self.Name, c, r)) })
			})
		case waglease.Write:
			p.writeLease(c)
		}
	}
}

func (p *peer) writeLease(c waglease.Write) {
	early := p.f.w.config.sabotage == spendFirst
	p.f.w.store.put(p.leaseKey(), c.Value, wagstore.Version(c.Expected), func(r storeResult) {
		if !early {
			p.after(0, func() { p.lease(leaseWritten(c, r)) })
		}
	})
	if early {
		p.lease(waglease.Written{ID: c.ID, Version: waglease.Version(fmt.Sprint("assumed ", c.ID))})
	}
}

// arrived checks one probe when it is sent.
func (m *probesModule) arrived(p *peer, probe wagprobe.Probe) {
	w, c := m.f.w, p.centre()
	w.counts.Fleet.Probes++
	w.record(wagevent.KindProbe, p.number, w.counts.Fleet.Probes)
	w.note(wagevent.KindProbe, p.number, "probe of %s", probe.Server)
	if m.latest[c] != 0 && w.now-m.latest[c] < probeSpacing {
		w.violate("group %s: a probe of host %s comes %s after the one before", p.self.DataCentre, p.self.Name, w.now-m.latest[c])
	}
	m.latest[c] = w.now
	var o wagstore.Object
	if s := w.store.objects[p.leaseKey()]; s != nil {
		o = s.latest
	}
	r, err := waglease.Decode(o.Value)
	if err != nil || r.Holder != p.self.Name || r.Incarnation != p.self.Incarnation || r.Released || !p.now().Before(r.Deadline) {
		w.violate("group %s: host %s sends a probe without the lease", p.self.DataCentre, p.self.Name)
	}
	if m.f.servers.draining(probe.Server) {
		p.serverList(wagserver.LocalObservation{Service: serviceName(0), Address: probe.Server, Kind: wagserver.Unhealthy})
	}
}
