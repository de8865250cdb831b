package wagexplore

import (
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

const (
	fleetServerCount = 2 * dataCentreCount
	// hostListInterval is the time between two reads of the host list.
	hostListInterval = 2 * time.Second
	// hostListLag is how late the host list shows that a server drains.
	hostListLag = 10 * time.Second
	// requestPercent is the share of ticks in which a host sends a request. It is low,
	// so that most hosts get the observation of a drain from another host.
	requestPercent = 5
	// pathSettleTime is how long before the first observation of a drain the hosts must
	// have been able to exchange messages, so that they know the delegates.
	pathSettleTime = 10 * time.Second
)

// serversModule simulates the servers of the fleet and checks the server lists of the
// hosts.
type serversModule struct {
	fleet   *fleet
	servers [fleetServerCount]fleetServer
}

// fleetServer is a fake server that drains and restarts.
type fleetServer struct {
	address   netip.AddrPort
	startedAt time.Time
	// drainStart is when the server began to drain, zero while it doesn't.
	drainStart time.Duration
	// drainSeenAt is when a host first observed the drain, zero before, and drainSeenBy
	// is that host.
	drainSeenAt time.Duration
	drainSeenBy *peer
	// neverDrained is cleared when the server drains for the first time.
	neverDrained bool
}

func newServersModule(f *fleet) *serversModule {
	m := &serversModule{fleet: f}
	for n := range m.servers {
		address := netip.AddrFrom4([4]byte{10, 1, byte(n % dataCentreCount), byte(n)})
		m.servers[n] = fleetServer{address: netip.AddrPortFrom(address, 80), startedAt: simulationStart.Add(-time.Hour), neverDrained: true}
	}
	return m
}

func (m *serversModule) byAddress(address netip.AddrPort) *fleetServer {
	return &m.servers[address.Addr().As4()[3]]
}

func (m *serversModule) isDraining(address netip.AddrPort) bool {
	return m.byAddress(address).drainStart > 0
}

// startDrain lets a server drain and restart.
func (m *serversModule) startDrain(a *action) {
	s := &m.servers[a.target%fleetServerCount]
	if s.drainStart > 0 {
		return
	}
	m.fleet.world.record(wagevent.KindFault, a.target, uint64(a.fault), uint64(a.duration))
	s.drainStart, s.neverDrained, s.drainSeenAt = m.fleet.world.now, false, 0
	m.fleet.world.schedule(a.duration, func() { s.drainStart, s.drainSeenAt, s.startedAt = 0, 0, m.fleet.world.trueTime() })
}

// readHostList reads the platform's list of servers every hostListInterval. During a
// network partition the list holds only the servers on this host's side of it.
func (p *peer) readHostList() {
	p.schedule(hostListInterval, p.readHostList)
	m := p.fleet.servers
	e := wagserver.HostList{ReadAt: p.now()}
	for n, s := range m.servers {
		if !p.fleet.linked(p.index, n%dataCentreCount*hostsPerDataCentre) {
			continue
		}
		server := wagserver.Server{
			Service: serviceName(0), DataCentre: dataCentreName(n % dataCentreCount), Address: s.address, State: wagserver.Live, Started: s.startedAt,
		}
		if s.drainStart > 0 && p.fleet.world.now > s.drainStart+hostListLag {
			server.State = wagserver.Leaving
		}
		e.Servers = append(e.Servers, server)
	}
	p.schedule(p.fleet.world.randomDuration(time.Millisecond, 500*time.Millisecond), func() {
		p.handleServerEvent(e)
		m.checkServers(p)
	})
}

// checkServers checks that a host has all servers that never drained in its list as
// live: those of its data centre, and all of them when there was no network partition
// since the host started.
func (m *serversModule) checkServers(p *peer) {
	listedLive := make(map[netip.AddrPort]bool)
	for _, s := range p.servers.Servers(serviceName(0)) {
		listedLive[s.Address] = s.State == wagserver.Live
	}
	connected := m.fleet.noPartitionSince(p.bootedAt)
	for n, s := range m.servers {
		if s.neverDrained && !listedLive[s.address] && (connected || n%dataCentreCount == p.dataCentre()) {
			m.fleet.world.reportViolation("host %s has removed server %s, which never left", p.self.Name, s.address)
		}
	}
	m.checkKnownServers(p, listedLive)
}

// checkKnownServers checks that a network partition removed no server from the list of
// a host that had it as live.
func (m *serversModule) checkKnownServers(p *peer, listedLive map[netip.AddrPort]bool) {
	for n, s := range m.servers {
		if listedLive[s.address] {
			p.knownLive[n] = true
		}
		if p.knownLive[n] && s.neverDrained && !listedLive[s.address] {
			m.fleet.world.reportViolation("host %s has removed server %s in a cut", p.self.Name, s.address)
		}
	}
}

// handleServerEvent passes an event to the server list and carries out its commands.
func (p *peer) handleServerEvent(e wagserver.Event) {
	for _, command := range p.servers.Handle(p.now(), e) {
		c, ok := command.(wagserver.ShareObservations)
		if !ok || p.fleet.world.config.defect == notShared {
			continue
		}
		for _, to := range p.recipients() {
			p.send(to, func(o *peer) { o.handleServerEvent(wagserver.PeerObservations(c)) })
		}
	}
}

// sendRequest sends, in some ticks, a request to a random server of this host's list,
// unless the list says that the server is leaving. A response reports that its server
// drains; wagserver.MaxDrainDelay later no other host may send requests to that server.
func (p *peer) sendRequest() {
	w := p.fleet.world
	servers := p.servers.Servers(serviceName(0))
	if len(servers) == 0 || !w.chance(requestPercent) {
		return
	}
	chosen := servers[w.random.IntN(len(servers))]
	s := p.fleet.servers.byAddress(chosen.Address)
	if s.drainStart == 0 {
		return
	}
	if chosen.State != wagserver.Live {
		w.counts.Fleet.AvoidedRequests++
		return
	}
	if s.drainSeenAt > 0 && w.now-s.drainSeenAt > wagserver.MaxDrainDelay && p.pathSince(s.drainSeenBy, s.drainSeenAt) {
		w.reportViolation("host %s sends work to server %s %s after host %s saw it drain", p.self.Name, chosen.Address, w.now-s.drainSeenAt, s.drainSeenBy.self.Name)
	}
	if s.drainSeenAt == 0 {
		s.drainSeenAt, s.drainSeenBy = w.now, p
		w.counts.Fleet.Drains++
	}
	w.record(wagevent.KindServer, p.index, uint64(s.drainStart))
	w.traceEvent(wagevent.KindServer, p.index, "sees %s drain", chosen.Address)
	p.handleServerEvent(wagserver.LocalObservation{Service: chosen.Service, Address: chosen.Address, Kind: wagserver.Draining})
}

// pathSince reports whether observations could be sent from another host to this one
// since a time. Between data centres that depends on all hosts, because any of them may
// be a delegate.
func (p *peer) pathSince(from *peer, since time.Duration) bool {
	since -= pathSettleTime
	if p.dataCentre() == from.dataCentre() {
		return p.faultFreeSince(since) && from.faultFreeSince(since)
	}
	for _, o := range p.fleet.peers {
		if !o.faultFreeSince(since) {
			return false
		}
	}
	return p.fleet.noPartitionSince(since)
}
