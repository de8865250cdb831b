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
	centreCount = 3
	centreHosts = 3
	peerCount   = centreCount * centreHosts
	// tickTime is how often a host looks for what is due.
	tickTime = 100 * time.Millisecond
	// peerPort is the port of the first host; the others follow.
	peerPort = 7000
	// lossPercent is how many messages from and to a host get lost.
	lossPercent = 30
	// replacedTime is until a process that was replaced is started again.
	replacedTime = 500 * time.Millisecond
)

// fleet runs the cores of shared state at nine hosts: membership, documents,
// server lists and probes. Two data centres are in one region, the third in
// another.
type fleet struct {
	w         *world
	peers     [peerCount]*peer
	members   *membersModule
	documents *documentsModule
	servers   *serversModule
	probes    *probesModule
	// until is when a fault ends at a host; that of Partition is at the first
	// host of the data centre that is cut off. Delay holds for a data centre.
	until [faultCount][peerCount]time.Duration
}

// peer is one host of the fleet: the real cores with a shell on virtual time.
type peer struct {
	f      *fleet
	number int
	// starts counts the incarnations in this place.
	starts int
	alive  bool
	paused time.Duration
	// booted is when this incarnation started.
	booted  time.Duration
	offset  time.Duration
	self    wagmember.Member
	table   *wagmember.Table
	catalog *wagrollout.Catalog
	list    *wagserver.List
	budget  *wagprobe.Budget
	// seen holds the highest incarnation of each name at this incarnation.
	seen map[string]uint64
	// inForce holds the revision in force of each service.
	inForce [serviceCount]int64
	// forced is since when that is so.
	forced     [serviceCount]time.Duration
	registered bool
	// following counts the watches of the store; odd while there is one.
	following int
	cursor    uint64
	wanted    bool
	// kept tells which servers this incarnation has known as live.
	kept [fleetServers]bool
}

func newFleet(w *world) *fleet {
	f := &fleet{w: w}
	f.members = &membersModule{f: f, declared: make(map[uint64]bool)}
	f.documents = newDocumentsModule(f)
	f.servers = newServersModule(f)
	f.probes = &probesModule{f: f}
	for n := range f.peers {
		f.peers[n] = &peer{f: f, number: n}
	}
	return f
}

// start boots all hosts and plans what happens to them.
func (f *fleet) start(w *world) {
	for _, p := range f.peers {
		p.boot()
	}
	for n := range w.config.fleetPlan {
		a := &w.config.fleetPlan[n]
		w.after(a.at, func() { f.act(a) })
	}
}

func (f *fleet) act(a *action) {
	switch {
	case a.change:
		f.documents.operate(a)
	case a.fault == Drain:
		f.servers.drain(a)
	default:
		f.inject(a)
	}
}

func (f *fleet) inject(a *action) {
	p := f.peers[a.target]
	f.w.record(wagevent.KindFault, a.target, uint64(a.fault), uint64(a.length))
	target := a.target
	switch a.fault {
	case Crash:
		p.crash(a.length)
	case Pause:
		p.paused = max(p.paused, f.w.now+a.length)
	case Partition:
		target = p.centre() * centreHosts
	case MessageDelay:
		for n := range centreHosts {
			o := p.centre()*centreHosts + n
			f.until[MessageDelay][o] = max(f.until[MessageDelay][o], f.w.now+a.length)
		}
	}
	f.until[a.fault][target] = max(f.until[a.fault][target], f.w.now+a.length)
}

func (p *peer) boot() {
	p.starts++
	p.alive, p.paused, p.booted = true, 0, p.f.w.now
	p.offset = p.f.w.offset()
	p.registered, p.following, p.cursor, p.wanted = false, 0, 0, false
	p.seen = make(map[string]uint64)
	p.inForce, p.kept = [serviceCount]int64{}, [fleetServers]bool{}
	p.self = p.f.memberAt(p.number)
	p.self.Incarnation = wagmember.NewIncarnation(p.now(), uint16(p.f.w.random.Uint32()))
	p.table = wagmember.NewTable(p.now(), p.self)
	p.catalog = wagrollout.New()
	p.list = wagserver.NewList(p.self.Name)
	p.budget = p.f.probes.newBudget(p)
	p.f.w.note(wagevent.KindMember, p.number, "%s starts as %d", p.self.Name, p.self.Incarnation)
	p.after(p.f.w.between(0, tickTime), p.join)
	p.after(p.f.w.between(0, tickTime), p.tick)
	p.after(p.f.w.between(0, tickTime), p.readHostList)
}

// memberAt describes the host of a place.
func (f *fleet) memberAt(n int) wagmember.Member {
	centre := n / centreHosts
	region := "north"
	if centre == centreCount-1 {
		region = "south"
	}
	address := netip.AddrFrom4([4]byte{10, 0, byte(centre), byte(n)})
	return wagmember.Member{
		Name: fmt.Sprint("n", n), DataCentre: centreName(centre), Region: region,
		Forward: netip.AddrPortFrom(address, 80), Peer: netip.AddrPortFrom(address, uint16(peerPort+n)),
	}
}

func centreName(n int) string {
	return string(rune('a' + n))
}

func placeOf(m wagmember.Member) int {
	return int(m.Peer.Port()) - peerPort
}

func (p *peer) centre() int {
	return p.number / centreHosts
}

func (p *peer) now() time.Time {
	return p.f.w.time().Add(p.offset)
}

// after plans an event at this incarnation. A pause delays it.
func (p *peer) after(delay time.Duration, do func()) {
	starts := p.starts
	var guarded func()
	guarded = func() {
		switch {
		case p.starts != starts || !p.alive:
		case p.f.w.now < p.paused:
			p.f.w.after(p.paused-p.f.w.now, guarded)
		default:
			do()
		}
	}
	p.f.w.after(delay, guarded)
}

func (p *peer) crash(length time.Duration) {
	if !p.alive {
		return
	}
	p.alive = false
	p.f.until[Crash][p.number] = max(p.f.until[Crash][p.number], p.f.w.now+length)
	p.f.w.note(wagevent.KindMember, p.number, "%s ends", p.self.Name)
	p.f.w.after(length, p.boot)
}

// tick does what is due at this host.
func (p *peer) tick() {
	p.after(tickTime, p.tick)
	p.member(wagmember.Tick{})
	if !p.alive {
		return
	}
	p.document(wagrollout.Tick{})
	p.serverList(wagserver.Tick{})
	p.work()
	p.probe()
	p.f.members.check(p)
	p.f.documents.check(p)
}

func (f *fleet) linked(a, b int) bool {
	ca, cb := a/centreHosts, b/centreHosts
	return ca == cb || f.w.now >= f.until[Partition][ca*centreHosts] && f.w.now >= f.until[Partition][cb*centreHosts]
}

// send passes a message to whatever incarnation is at a place when it arrives.
func (p *peer) send(to int, do func(*peer)) {
	w, o := p.f.w, p.f.peers[to]
	if !p.f.linked(p.number, to) || p.either(MessageLoss, to) && w.chance(lossPercent) {
		return
	}
	delay := w.between(200*time.Microsecond, 400*time.Microsecond)
	if o.centre() != p.centre() {
		delay = w.between(3*time.Millisecond, 5*time.Millisecond)
	}
	if p.either(MessageDelay, to) {
		delay = w.between(0, 3*time.Second)
	}
	w.after(delay, func() {
		if o.alive {
			o.after(0, func() { do(o) })
		}
	})
}

func (p *peer) either(fault Fault, to int) bool {
	return p.f.w.now < max(p.f.until[fault][p.number], p.f.until[fault][to])
}

// call runs ask at another host and what it returns at this incarnation.
func (p *peer) call(to int, ask func(o *peer) (then func())) {
	starts := p.starts
	p.send(to, func(o *peer) {
		then := ask(o)
		if then == nil {
			return
		}
		o.send(p.number, func(back *peer) {
			if back.starts == starts {
				then()
			}
		})
	})
}

// calm tells whether a host was up, and its messages unharmed, since a time.
func (p *peer) calm(since time.Duration) bool {
	return p.steady(since) && p.f.until[MessageLoss][p.number] <= since && p.f.until[MessageDelay][p.number] <= since
}

// steady tells whether a host was up and not paused since a time.
func (p *peer) steady(since time.Duration) bool {
	return p.alive && p.booted <= since && p.f.until[Pause][p.number] <= since && p.f.until[Crash][p.number] <= since
}

// whole tells whether no data centre was cut off since a time.
func (f *fleet) whole(since time.Duration) bool {
	for c := range centreCount {
		if f.until[Partition][c*centreHosts] > since {
			return false
		}
	}
	return true
}
