package wagexplore

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagprobe"
	"github.com/wagtailspar/wagtailspar/wagrollout"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

const (
	dataCentreCount    = 3
	hostsPerDataCentre = 3
	peerCount          = dataCentreCount * hostsPerDataCentre
	// tickInterval is the time between two ticks of a host.
	tickInterval = 100 * time.Millisecond
	// basePeerPort is the port of the first host. The port of each other host is its
	// index higher.
	basePeerPort = 7000
	// lossPercent is the share of messages from and to a host that MessageLoss drops.
	lossPercent = 30
	// restartDelay is the time until a host restarts that ended because another
	// process has taken its name.
	restartDelay = 500 * time.Millisecond
)

// fleet runs the cores of the shared state at nine hosts: membership, documents,
// server lists and probes. Two data centres are in one region, the third is in
// another.
type fleet struct {
	world     *world
	peers     [peerCount]*peer
	members   *membersModule
	documents *documentsModule
	servers   *serversModule
	probes    *probesModule
	// faultUntil is when a fault ends at a host. For Partition only the entry of the
	// first host of the isolated data centre is set, for MessageDelay the entries of
	// all hosts of a data centre.
	faultUntil [faultCount][peerCount]time.Duration
}

// peer is one host of the fleet. It runs the cores of a real host and carries out their
// commands on virtual time.
type peer struct {
	fleet *fleet
	index int
	// startCount counts the starts of this host.
	startCount  int
	alive       bool
	pausedUntil time.Duration
	// bootedAt is when this incarnation of the host started.
	bootedAt    time.Duration
	clockOffset time.Duration
	self        wagmember.Member
	members     *wagmember.Table
	catalog     *wagrollout.Catalog
	servers     *wagserver.List
	budget      *wagprobe.Budget
	// highestIncarnation holds the highest incarnation by member name that this
	// incarnation of the host has seen.
	highestIncarnation map[string]uint64
	// revisionInForce holds the revision in force by service, 0 for none.
	revisionInForce [serviceCount]int64
	// inForceSince is when that revision came into force.
	inForceSince [serviceCount]time.Duration
	registered   bool
	// watchNumber counts the starts and ends of watches of the store, so that it is odd
	// while the host watches.
	watchNumber     int
	cursor          uint64
	wantsProbeLease bool
	// knownLive marks the servers that this incarnation of the host has seen live.
	knownLive [fleetServerCount]bool
}

func newFleet(w *world) *fleet {
	f := &fleet{world: w}
	f.members = &membersModule{fleet: f, declaredDead: make(map[uint64]bool)}
	f.documents = newDocumentsModule(f)
	f.servers = newServersModule(f)
	f.probes = &probesModule{fleet: f}
	for n := range f.peers {
		f.peers[n] = &peer{fleet: f, index: n}
	}
	return f
}

// start starts all hosts and schedules the planned edits and faults.
func (f *fleet) start(w *world) {
	for _, p := range f.peers {
		p.boot()
	}
	for n := range w.config.fleetPlan {
		a := &w.config.fleetPlan[n]
		w.schedule(a.at, func() { f.perform(a) })
	}
}

func (f *fleet) perform(a *action) {
	switch {
	case a.change:
		f.documents.performEdit(a)
	case a.fault == Drain:
		f.servers.startDrain(a)
	default:
		f.injectFault(a)
	}
}

func (f *fleet) injectFault(a *action) {
	p := f.peers[a.target]
	f.world.record(wagevent.KindFault, a.target, uint64(a.fault), uint64(a.duration))
	target := a.target
	switch a.fault {
	case Crash:
		p.crash(a.duration)
	case Pause:
		p.pausedUntil = max(p.pausedUntil, f.world.now+a.duration)
	case Partition:
		target = p.dataCentre() * hostsPerDataCentre
	case MessageDelay:
		for n := range hostsPerDataCentre {
			o := p.dataCentre()*hostsPerDataCentre + n
			f.faultUntil[MessageDelay][o] = max(f.faultUntil[MessageDelay][o], f.world.now+a.duration)
		}
	}
	f.faultUntil[a.fault][target] = max(f.faultUntil[a.fault][target], f.world.now+a.duration)
}

// boot starts a new incarnation of the host without the state of the former one.
func (p *peer) boot() {
	p.startCount++
	p.alive, p.pausedUntil, p.bootedAt = true, 0, p.fleet.world.now
	p.clockOffset = p.fleet.world.randomClockOffset()
	p.registered, p.watchNumber, p.cursor, p.wantsProbeLease = false, 0, 0, false
	p.highestIncarnation = make(map[string]uint64)
	p.revisionInForce, p.knownLive = [serviceCount]int64{}, [fleetServerCount]bool{}
	p.self = p.fleet.memberAt(p.index)
	p.self.Incarnation = wagmember.NewIncarnation(p.now(), uint16(p.fleet.world.random.Uint32()))
	p.members = wagmember.NewTable(p.now(), p.self)
	p.catalog = wagrollout.New()
	p.servers = wagserver.NewList(p.self.Name)
	p.budget = p.fleet.probes.newBudget(p)
	p.fleet.world.traceEvent(wagevent.KindMember, p.index, "%s starts as %d", p.self.Name, p.self.Incarnation)
	p.schedule(p.fleet.world.randomDuration(0, tickInterval), p.join)
	p.schedule(p.fleet.world.randomDuration(0, tickInterval), p.tick)
	p.schedule(p.fleet.world.randomDuration(0, tickInterval), p.readHostList)
}

// memberAt returns the member for the host with index n, without an incarnation.
func (f *fleet) memberAt(n int) wagmember.Member {
	dataCentre := n / hostsPerDataCentre
	region := "north"
	if dataCentre == dataCentreCount-1 {
		region = "south"
	}
	address := netip.AddrFrom4([4]byte{10, 0, byte(dataCentre), byte(n)})
	return wagmember.Member{
		Name: fmt.Sprint("n", n), DataCentre: dataCentreName(dataCentre), Region: region,
		Forward: netip.AddrPortFrom(address, 80), Peer: netip.AddrPortFrom(address, uint16(basePeerPort+n)),
	}
}

func dataCentreName(n int) string {
	return string(rune('a' + n))
}

func peerIndex(m wagmember.Member) int {
	return int(m.Peer.Port()) - basePeerPort
}

func (p *peer) dataCentre() int {
	return p.index / hostsPerDataCentre
}

func (p *peer) now() time.Time {
	return p.fleet.world.trueTime().Add(p.clockOffset)
}

// schedule schedules an event at this incarnation of the host. A pause delays it to its
// end.
func (p *peer) schedule(delay time.Duration, run func()) {
	starts := p.startCount
	var runUnlessStopped func()
	runUnlessStopped = func() {
		switch {
		case p.startCount != starts || !p.alive:
		case p.fleet.world.now < p.pausedUntil:
			p.fleet.world.schedule(p.pausedUntil-p.fleet.world.now, runUnlessStopped)
		default:
			run()
		}
	}
	p.fleet.world.schedule(delay, runUnlessStopped)
}

func (p *peer) crash(downtime time.Duration) {
	if !p.alive {
		return
	}
	p.alive = false
	p.fleet.faultUntil[Crash][p.index] = max(p.fleet.faultUntil[Crash][p.index], p.fleet.world.now+downtime)
	p.fleet.world.traceEvent(wagevent.KindMember, p.index, "%s ends", p.self.Name)
	p.fleet.world.schedule(downtime, p.boot)
}

// tick lets the cores do what is due, sends requests and probes, and checks the
// invariants of this host.
func (p *peer) tick() {
	p.schedule(tickInterval, p.tick)
	p.handleMemberEvent(wagmember.Tick{})
	if !p.alive {
		return
	}
	p.handleDocumentEvent(wagrollout.Tick{})
	p.handleServerEvent(wagserver.Tick{})
	p.sendRequest()
	p.sendDueProbe()
	p.fleet.members.check(p)
	p.fleet.documents.check(p)
}

// linked reports whether no network partition separates two hosts.
func (f *fleet) linked(a, b int) bool {
	ca, cb := a/hostsPerDataCentre, b/hostsPerDataCentre
	return ca == cb || f.world.now >= f.faultUntil[Partition][ca*hostsPerDataCentre] && f.world.now >= f.faultUntil[Partition][cb*hostsPerDataCentre]
}

// send sends a message to another host. It calls run for the incarnation of the host
// that is alive when the message arrives.
func (p *peer) send(to int, run func(*peer)) {
	w, o := p.fleet.world, p.fleet.peers[to]
	if !p.fleet.linked(p.index, to) || p.faultAtEitherEnd(MessageLoss, to) && w.chance(lossPercent) {
		return
	}
	delay := w.randomDuration(200*time.Microsecond, 400*time.Microsecond)
	if o.dataCentre() != p.dataCentre() {
		delay = w.randomDuration(3*time.Millisecond, 5*time.Millisecond)
	}
	if p.faultAtEitherEnd(MessageDelay, to) {
		delay = w.randomDuration(0, 3*time.Second)
	}
	w.schedule(delay, func() {
		if o.alive {
			o.schedule(0, func() { run(o) })
		}
	})
}

func (p *peer) faultAtEitherEnd(fault Fault, to int) bool {
	return p.fleet.world.now < max(p.fleet.faultUntil[fault][p.index], p.fleet.faultUntil[fault][to])
}

// call sends a request to another host, which calls handle. The function that handle
// returns is the reply and runs at this incarnation of the host; nil sends no reply.
func (p *peer) call(to int, handle func(o *peer) (reply func())) {
	starts := p.startCount
	p.send(to, func(o *peer) {
		reply := handle(o)
		if reply == nil {
			return
		}
		o.send(p.index, func(back *peer) {
			if back.startCount == starts {
				reply()
			}
		})
	})
}

// faultFreeSince reports whether a host was up and not paused, and no fault affected its
// messages, since a time.
func (p *peer) faultFreeSince(since time.Duration) bool {
	return p.upSince(since) && p.fleet.faultUntil[MessageLoss][p.index] <= since && p.fleet.faultUntil[MessageDelay][p.index] <= since
}

// upSince reports whether a host was up and not paused since a time.
func (p *peer) upSince(since time.Duration) bool {
	return p.alive && p.bootedAt <= since && p.fleet.faultUntil[Pause][p.index] <= since && p.fleet.faultUntil[Crash][p.index] <= since
}

// noPartitionSince reports whether no data centre was isolated since a time.
func (f *fleet) noPartitionSince(since time.Duration) bool {
	for c := range dataCentreCount {
		if f.faultUntil[Partition][c*hostsPerDataCentre] > since {
			return false
		}
	}
	return true
}
