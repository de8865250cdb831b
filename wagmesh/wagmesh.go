// Package wagmesh connects the entry hosts of a site, so that they act as one: a
// host asks the owner of a server group for servers, and one host reads the
// platform's store for all.
package wagmesh

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagroster"
	"github.com/wagtailspar/wagtailspar/wagsync"
)

const (
	// tickTime is how often duties are looked at.
	tickTime = 100 * time.Millisecond
	// nearBeat and farBeat are the times between two beats within a data centre
	// and between two of them, where bytes are dear.
	nearBeat = 400 * time.Millisecond
	farBeat  = 400 * time.Millisecond
	// silentTime is after how long without a frame a link is given up. Another host
	// has to follow the store in time for a change to be in force within 2 s.
	silentTime = 1200 * time.Millisecond
	// dialPause is the time between two attempts to reach a host, for each failure.
	dialPause = 200 * time.Millisecond
	// seedPause is the time between two attempts to reach a seed while no other
	// host is linked. An attempt needs up to 11 ms within a region.
	seedPause = 100 * time.Millisecond
	// leadSeedPause is the time between two seeds that the lead asks.
	leadSeedPause = 10 * time.Second
	// farLoadTime is how long a start tries to read all objects from the store
	// before it lets a host of another data centre send them.
	farLoadTime = 3 * time.Second
	// unusedTime is after how long without use a link to another data centre is
	// closed.
	unusedTime = 5 * time.Second
	// startTime is how long a start waits for other hosts before it follows the
	// store itself. All hosts of a site start within 0.3 s, and again after a
	// failure of all within about that.
	startTime = time.Second
	// relayStale is how old the confirmation of the copy may be before a relay
	// follows the store itself, and hostStale how much older for each further host
	// of a data centre.
	relayStale = 2500 * time.Millisecond
	hostStale  = 1500 * time.Millisecond
	// maxFrame bounds a frame: the objects of 1,000 servers have 300 bytes each,
	// and a configuration has up to 1 MB.
	maxFrame = 4 << 20
	// keptBuffer is the greatest buffer that a connection keeps between frames.
	keptBuffer = 16 << 10
	// maxLinks bounds the links that other hosts open.
	maxLinks = 2048
)

// Mesh holds the links of a host to others. It is safe for concurrent use.
type Mesh struct {
	clock wagclock.Clock
	log   logrus.FieldLogger
	sync  *wagsync.Sync
	owner *wagowner.Owner
	seeds func() []netip.AddrPort
	dial  func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// self is this host as it was at the start.
	self wagroster.Member
	// group runs the links until the mesh ends.
	group *errgroup.Group
	ctx   context.Context

	mu     sync.Mutex
	roster *wagroster.Roster
	// links holds the live links by the name of the host at the other end, the
	// latest last.
	links map[string][]*link
	// dials holds the hosts to which a connection is being opened, and when one
	// may be tried again.
	dials map[netip.AddrPort]*dial
	// upstream is the link on which this host learns of changes, or nil.
	upstream *link
	// disconnected and lost are what the other hosts were told of this host's reach of the
	// store, and of that of all relays.
	disconnected, lost bool
	// lostUntil is until when the relay of the data centre is taken to say that the
	// relays may have lost the store.
	lostUntil time.Time
	// services are the services that this host may need owners of.
	services []string
	started  time.Time
	// inbound counts the links that other hosts opened.
	inbound int
	// seedTurn counts the seeds that were asked, and nextSeed is when another one
	// may be.
	seedTurn int
	nextSeed time.Time
}

// dial is the state of opening connections to one address.
type dial struct {
	under bool
	// next is when another attempt may begin.
	next     time.Time
	failures int
}

// Option sets a property of a Mesh.
type Option func(*Mesh)

// WithClock replaces the clock.
func WithClock(c wagclock.Clock) Option { return func(m *Mesh) { m.clock = c } }

// WithLog replaces the standard logger.
func WithLog(l logrus.FieldLogger) Option { return func(m *Mesh) { m.log = l } }

// WithDial replaces how connections to other hosts are opened.
func WithDial(dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)) Option {
	return func(m *Mesh) { m.dial = dial }
}

// WithSeeds sets the addresses that are asked for other hosts.
func WithSeeds(seeds func() []netip.AddrPort) Option { return func(m *Mesh) { m.seeds = seeds } }

// New returns a mesh without links.
func New(self wagroster.Member, s *wagsync.Sync, o *wagowner.Owner, opts ...Option) *Mesh {
	m := &Mesh{
		clock: wagclock.System{}, log: logrus.StandardLogger(), sync: s, owner: o, seeds: func() []netip.AddrPort { return nil },
		dial: dialTCP, self: self, roster: wagroster.New(self), links: make(map[string][]*link), dials: make(map[netip.AddrPort]*dial),
	}
	for _, option := range opts {
		option(m)
	}
	return m
}

// SetServices sets the services whose owners are kept linked.
func (m *Mesh) SetServices(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.services = names
}

// Run serves other hosts on a listener and keeps the links that duties need,
// until ctx ends.
func (m *Mesh) Run(ctx context.Context, l net.Listener) (err error) {
	defer func() { err = errors.WithMessage(err, "run mesh") }()
	mux := drpcmux.New()
	if err := DRPCRegisterMesh(mux, &service{mesh: m}); err != nil {
		return err
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	m.group, m.ctx = errgroup.WithContext(ctx)
	m.started = m.clock.Now()
	m.group.Go(func() error {
		err := server.Serve(m.ctx, l)
		if ctx.Err() != nil || m.ctx.Err() != nil {
			return nil
		}
		return err
	})
	m.group.Go(func() error {
		for m.ctx.Err() == nil {
			m.tick()
			wagclock.Wait(m.ctx, m.clock, m.clock.Now().Add(tickTime))
		}
		return nil
	})
	return m.group.Wait()
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxFrame},
		Stream: drpcstream.Options{MaximumBufferSize: keptBuffer},
	}
}

// Leave tells all linked hosts that this one has no duties any more.
func (m *Mesh) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.Leave()
	self := memberMessage(m.roster.Self())
	for _, l := range m.allLinks() {
		l.send(func(f *Frame) { f.Members = append(f.Members, self) })
	}
}

// Members returns the known hosts, this one first.
func (m *Mesh) Members() []wagroster.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Members()
}

// allLinks returns the live links; m.mu is held.
func (m *Mesh) allLinks() []*link {
	var all []*link
	for _, list := range m.links {
		all = append(all, list...)
	}
	return all
}

// tick looks at the duties of this host and at its links.
func (m *Mesh) tick() {
	now := m.clock.Now()
	m.mu.Lock()
	upstream, hasUpstream := m.roster.Upstream(now)
	self := m.roster.Self()
	m.subscribe(now, upstream, hasUpstream)
	for _, service := range m.services {
		if owner, ok := m.roster.Owner(service, self.DataCentre); ok && owner.Name != self.Name {
			m.ensure(now, owner)
		}
	}
	m.greetSeeds(now, !hasUpstream)
	for _, member := range m.roster.DueRetries(now) {
		m.open(now, member.Address)
	}
	relay, _ := m.roster.Relay(self.DataCentre)
	rank := 0
	if relay.Name != self.Name {
		rank = 1 + m.roster.StandbyRank()
	}
	m.noteReach(now)
	assists := m.assists(now, rank)
	for _, l := range m.allLinks() {
		l.tick(now)
	}
	m.mu.Unlock()
	m.sync.SetFollowing(m.ctx, m.mustFollow(now, hasUpstream && !assists, rank))
}

// noteReach notes whether this host reaches the store, and tells the others at once
// when that changes; m.mu is held.
func (m *Mesh) noteReach(now time.Time) {
	disconnected := m.sync.IsDisconnected()
	m.roster.SetDisconnected(now, m.self.Name, disconnected)
	lost := m.roster.LeaderMayBeDisconnected(now)
	if disconnected == m.disconnected && lost == m.lost {
		return
	}
	m.disconnected, m.lost = disconnected, lost
	for _, l := range m.allLinks() {
		l.sendBeat(now)
	}
}

// assists tells whether this host follows the store beside the lead: as a relay, or
// as the first host that stands in for the relay of its data centre; m.mu is held.
func (m *Mesh) assists(now time.Time, rank int) bool {
	if rank == 0 {
		return m.roster.IsBackupFollower(now)
	}
	return rank == 1 && now.Before(m.lostUntil) && !m.disconnected
}

// relayLost notes whether the relay of the data centre says that the relays may have
// lost the store.
func (m *Mesh) relayLost(now time.Time, lost bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lostUntil = time.Time{}
	if lost {
		m.lostUntil = now.Add(silentTime)
	}
}

// reach notes whether another host reaches the store.
func (m *Mesh) reach(now time.Time, name string, disconnected bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.SetDisconnected(now, name, disconnected)
}

// mustFollow tells whether this host follows the store. Hosts whose copy is no
// longer confirmed follow it one after the other, the relay of a data centre first:
// when the store is down for all, most of them need not try.
func (m *Mesh) mustFollow(now time.Time, hasUpstream bool, rank int) bool {
	if now.Before(m.started.Add(startTime)) {
		return false
	}
	if !hasUpstream {
		return true
	}
	if m.sync.IsDisconnected() && rank > 0 {
		// It pings the store until that answers.
		return false
	}
	heard := m.sync.PeerConfirmedAt()
	if heard.IsZero() {
		heard = m.started
	}
	return now.Sub(heard) > relayStale+time.Duration(rank)*hostStale
}

// greetSeeds asks the seeds in turn for other hosts while none is linked, and now
// and then at the lead, which might be that of only a part of the site; m.mu is
// held. Seeds may be out of date, and most are in other data centres.
func (m *Mesh) greetSeeds(now time.Time, isLead bool) {
	if now.Before(m.nextSeed) || len(m.links) > 0 && (!isLead || now.Before(m.nextSeed.Add(leadSeedPause))) {
		return
	}
	seeds := m.seeds()
	for range seeds {
		seed := seeds[m.seedTurn%len(seeds)]
		m.seedTurn++
		if seed != m.self.Address {
			m.nextSeed = now.Add(seedPause)
			m.open(now, seed)
			return
		}
	}
}

// subscribe keeps the subscription of changes at the upstream host; m.mu is held.
func (m *Mesh) subscribe(now time.Time, upstream wagroster.Member, want bool) {
	var to *link
	if want && upstream.DataCentre != m.self.DataCentre && m.sync.HasUnreadKinds() && now.Before(m.started.Add(farLoadTime)) {
		// All objects at once are cheaper to read from the store.
		return
	}
	if want {
		if to = m.linkTo(upstream.Name); to == nil {
			m.open(now, upstream.Address)
		}
	}
	if to == m.upstream || to == nil && want {
		return
	}
	m.upstream = to
	if to != nil {
		to.subscribe(true)
	}
	for _, l := range m.allLinks() {
		if l != to {
			l.subscribe(false)
		}
	}
}

// ensure opens a link to a member unless there is one; m.mu is held.
func (m *Mesh) ensure(now time.Time, to wagroster.Member) {
	if m.linkTo(to.Name) == nil {
		m.open(now, to.Address)
	}
}

// open begins to open a link unless that is under way or not due; m.mu is held.
func (m *Mesh) open(now time.Time, to netip.AddrPort) {
	d, ok := m.dials[to]
	if !ok {
		d = &dial{}
		m.dials[to] = d
	}
	if d.under || now.Before(d.next) {
		return
	}
	d.under = true
	d.next = now.Add(dialPause)
	m.group.Go(func() error {
		m.runOutbound(to, d)
		return nil
	})
}

// linkTo returns the latest live link to a host; m.mu is held.
func (m *Mesh) linkTo(name string) *link {
	list := m.links[name]
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1]
}

// joined registers a link whose hello arrived; m.mu is held.
func (m *Mesh) joined(l *link) {
	m.links[l.peer.Name] = append(m.links[l.peer.Name], l)
	if l.near() && m.sync.HasUnreadKinds() {
		// After a start any host may know what this one needs first.
		l.subscribe(true)
	}
	changed := m.roster.UpdateFromMember(l.peer)
	m.tell(l, m.roster.Members())
	if changed {
		m.spread(l, []wagroster.Member{l.peer})
	}
}

// tell sends the members to the other host that concern it; m.mu is held.
func (m *Mesh) tell(l *link, members []wagroster.Member) {
	var list []*Member
	for _, member := range members {
		relay, _ := m.roster.Relay(member.DataCentre)
		if l.concerns(member, relay.Name == member.Name) {
			list = append(list, memberMessage(member))
		}
	}
	if len(list) > 0 {
		l.send(func(f *Frame) { f.Members = append(f.Members, list...) })
	}
}

// spread passes news of members on: to the hosts that opened links to this one, and
// upstream; m.mu is held.
func (m *Mesh) spread(from *link, news []wagroster.Member) {
	for _, l := range m.allLinks() {
		if l != from && (l.inbound || l == m.upstream) {
			m.tell(l, news)
		}
	}
}

// left removes a link.
func (m *Mesh) left(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.links[l.peer.Name]
	for i, other := range list {
		if other == l {
			m.links[l.peer.Name] = append(list[:i:i], list[i+1:]...)
		}
	}
	if m.upstream == l {
		m.upstream = nil
	}
	if len(m.links[l.peer.Name]) == 0 {
		delete(m.links, l.peer.Name)
		if l.peer.Name != "" && m.ctx.Err() == nil && !l.parted() {
			m.roster.MarkUnreachable(m.clock.Now(), l.peer.Name)
		}
	}
}

// learn takes what another host says of members and passes news on.
func (m *Mesh) learn(from *link, list []*Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var news []wagroster.Member
	for _, message := range list {
		member, ok := memberOf(message)
		if !ok {
			continue
		}
		if member.Name == from.peer.Name && m.roster.UpdateFromMember(member) || member.Name != from.peer.Name && m.roster.UpdateFromOthers([]wagroster.Member{member}) {
			news = append(news, member)
		}
	}
	if len(news) > 0 {
		m.spread(from, news)
	}
}

// PushChanges passes new states of objects to the hosts that learn from this one.
func (m *Mesh) PushChanges() {
	m.mu.Lock()
	defer m.mu.Unlock()
	complete := m.sync.CompleteRevisions()
	for _, l := range m.allLinks() {
		l.push(complete)
	}
}
