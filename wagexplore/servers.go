package wagexplore

import (
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

const (
	fleetServers = 2 * centreCount
	// hostListTime is the time between two reads of the host list.
	hostListTime = 2 * time.Second
	// listLag is how far the host list is behind.
	listLag = 10 * time.Second
	// workPercent is in how many ticks a host sends a call, so that most hosts
	// learn of a drain from others.
	workPercent = 5
	// pathTime is how long before the first observation a path must have been whole, so
	// that the delegates are known.
	pathTime = 10 * time.Second
)

// serversModule holds the servers of the fleet and what they get.
type serversModule struct {
	f       *fleet
	servers [fleetServers]fleetServer
}

// fleetServer is a fake server that drains and starts again.
type fleetServer struct {
	address netip.AddrPort
	started time.Time
	// leaving is from when the server drains, zero while it does not.
	leaving time.Duration
	// first is when a host first saw the drain, and at which host.
	first time.Duration
	at    *peer
	// spared is cleared once the server has drained.
	spared bool
}

func newServersModule(f *fleet) *serversModule {
	m := &serversModule{f: f}
	for n := range m.servers {
		address := netip.AddrFrom4([4]byte{10, 1, byte(n % centreCount), byte(n)})
		m.servers[n] = fleetServer{address: netip.AddrPortFrom(address, 80), started: start.Add(-time.Hour), spared: true}
	}
	return m
}

func (m *serversModule) find(address netip.AddrPort) *fleetServer {
	return &m.servers[address.Addr().As4()[3]]
}

func (m *serversModule) draining(address netip.AddrPort) bool {
	return m.find(address).leaving > 0
}

// drain lets a server leave and start again.
func (m *serversModule) drain(a *action) {
	s := &m.servers[a.target%fleetServers]
	if s.leaving > 0 {
		return
	}
	m.f.w.record(wagevent.KindFault, a.target, uint64(a.fault), uint64(a.length))
	s.leaving, s.spared, s.first = m.f.w.now, false, 0
	m.f.w.after(a.length, func() { s.leaving, s.first, s.started = 0, 0, m.f.w.time() })
}

// readHostList reads the platform's list. Only what the own side of a cut shows
// is in it.
func (p *peer) readHostList() {
	p.after(hostListTime, p.readHostList)
	m := p.f.servers
	e := wagserver.HostList{ReadAt: p.now()}
	for n, s := range m.servers {
		if !p.f.linked(p.number, n%centreCount*centreHosts) {
			continue
		}
		server := wagserver.Server{
			Service: serviceName(0), DataCentre: centreName(n % centreCount), Address: s.address, State: wagserver.Live, Started: s.started,
		}
		if s.leaving > 0 && p.f.w.now > s.leaving+listLag {
			server.State = wagserver.Leaving
		}
		e.Servers = append(e.Servers, server)
	}
	p.after(p.f.w.between(time.Millisecond, 500*time.Millisecond), func() {
		p.serverList(e)
		m.checkListed(p)
	})
}

// checkListed looks for servers that are gone although they never left. Every
// host reads the own data centre's servers with its first list.
func (m *serversModule) checkListed(p *peer) {
	live := make(map[netip.AddrPort]bool)
	for _, s := range p.list.Servers(serviceName(0)) {
		live[s.Address] = s.State == wagserver.Live
	}
	whole := m.f.whole(p.booted)
	for n, s := range m.servers {
		if s.spared && !live[s.address] && (whole || n%centreCount == p.centre()) {
			m.f.w.violate("host %s has removed server %s, which never left", p.self.Name, s.address)
		}
	}
	m.checkKept(p, live)
}

// checkKept looks for servers that a cut removed after the host knew them.
func (m *serversModule) checkKept(p *peer, live map[netip.AddrPort]bool) {
	for n, s := range m.servers {
		if live[s.address] {
			p.kept[n] = true
		}
		if p.kept[n] && s.spared && !live[s.address] {
			m.f.w.violate("host %s has removed server %s in a cut", p.self.Name, s.address)
		}
	}
}

// serverList gives one event to the list and carries out its commands.
func (p *peer) serverList(e wagserver.Event) {
	for _, command := range p.list.Handle(p.now(), e) {
		c, ok := command.(wagserver.ShareObservations)
		if !ok || p.f.w.config.sabotage == notShared {
			continue
		}
		for _, to := range p.recipients() {
			p.send(to, func(o *peer) { o.serverList(wagserver.PeerObservations(c)) })
		}
	}
}

// work sends a call to a server that this host takes for live. The answer of a
// draining server shows it.
func (p *peer) work() {
	w := p.f.w
	servers := p.list.Servers(serviceName(0))
	if len(servers) == 0 || !w.chance(workPercent) {
		return
	}
	chosen := servers[w.random.IntN(len(servers))]
	s := p.f.servers.find(chosen.Address)
	if s.leaving == 0 {
		return
	}
	if chosen.State != wagserver.Live {
		w.counts.Fleet.AvoidedRequests++
		return
	}
	if s.first > 0 && w.now-s.first > wagserver.MaxDrainDelay && p.path(s.at, s.first) {
		w.violate("host %s sends work to server %s %s after host %s saw it drain", p.self.Name, chosen.Address, w.now-s.first, s.at.self.Name)
	}
	if s.first == 0 {
		s.first, s.at = w.now, p
		w.counts.Fleet.Drains++
	}
	w.record(wagevent.KindServer, p.number, uint64(s.leaving))
	w.note(wagevent.KindServer, p.number, "sees %s drain", chosen.Address)
	p.serverList(wagserver.LocalObservation{Service: chosen.Service, Address: chosen.Address, Kind: wagserver.Draining})
}

// path tells whether observations had a path from another host since a time. Between
// data centres that needs all hosts that may be delegates.
func (p *peer) path(from *peer, since time.Duration) bool {
	since -= pathTime
	if p.centre() == from.centre() {
		return p.calm(since) && from.calm(since)
	}
	for _, o := range p.f.peers {
		if !o.calm(since) {
			return false
		}
	}
	return p.f.whole(since)
}
