// Package wagmesh connects the entry hosts of a site, so that they act as one: a host
// asks the owner of a server group for servers, and the leader follows the platform's
// store on behalf of all.
package wagmesh

import (
	"context"
	"net"
	"net/netip"
	"slices"
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
	"github.com/wagtailspar/wagtailspar/waglease"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagpanic"
	"github.com/wagtailspar/wagtailspar/wagroster"
	"github.com/wagtailspar/wagtailspar/wagsync"
)

const (
	// tickInterval is the interval at which a host checks its roles and links.
	tickInterval = 100 * time.Millisecond
	// localHeartbeatInterval and remoteHeartbeatInterval are the intervals of
	// heartbeats within a data centre and between data centres, where traffic is
	// expensive.
	localHeartbeatInterval  = 400 * time.Millisecond
	remoteHeartbeatInterval = 400 * time.Millisecond
	// silenceTimeout is how long a link may receive no frame before it is closed. Hosts
	// with an old copy ask others before that (wagroster.Freshness).
	silenceTimeout = 1200 * time.Millisecond
	// dialRetryDelay is the delay before a host is dialled again. It is multiplied by
	// the number of failures in a row.
	dialRetryDelay = 200 * time.Millisecond
	// seedDialInterval is the interval at which seeds are dialled while this host has
	// no link. An attempt takes up to 11 ms within a region.
	seedDialInterval = 100 * time.Millisecond
	// leaderSeedDialInterval is the interval at which the leader dials seeds, except for
	// startupDialDuration after its start.
	leaderSeedDialInterval = 10 * time.Second
	startupDialDuration    = 3 * time.Second
	// storeReadTimeout is how long a starting host tries to read all objects from the
	// store before it receives them from another data centre.
	storeReadTimeout = 3 * time.Second
	// idleTimeout is how long a link to another data centre may be unused before it is
	// closed.
	idleTimeout = 5 * time.Second
	// startupFollowDelay is how long a starting host waits for others before it follows
	// the store itself. All hosts of a site start within 0.3 s of each other, and
	// restart within about the same time when all of them have failed.
	startupFollowDelay = time.Second
	// maxFrameBytes bounds a frame. The objects of 1,000 servers have 300 bytes each,
	// and a configuration has up to 1 MB.
	maxFrameBytes = 4 << 20
	// maxKeptBufferBytes bounds the buffer that a connection keeps between frames.
	maxKeptBufferBytes = 16 << 10
	// maxInboundLinks bounds the links that other hosts open.
	maxInboundLinks = 2048
)

// Mesh manages the links of a host to other hosts. It is safe for concurrent use.
type Mesh struct {
	clock wagclock.Clock
	// gaps notices when this host stood still; nil if it does not matter.
	gaps  *wagclock.Gaps
	log   logrus.FieldLogger
	sync  *wagsync.Sync
	owner *wagowner.Owner
	seeds func() []netip.AddrPort
	dial  func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// self is this host as of its start.
	self wagroster.Member
	// group runs the links until ctx, the context of Run, ends.
	group *errgroup.Group
	ctx   context.Context

	mu     sync.Mutex
	roster *wagroster.Roster
	// links holds the open links by the name of the peer, the latest last.
	links map[string][]*link
	// dialStates holds the state of dialling, by address.
	dialStates map[netip.AddrPort]*dialState
	// upstream is the link on which this host receives changes, or nil.
	upstream *link
	// subscribedToOthers is set when this host has subscribed at others than its upstream
	// host, after its start or because its copy was too old.
	subscribedToOthers bool
	// confirmations holds what other hosts confirmed of the copy of this one.
	confirmations confirmations
	// freshness tells when this host acts on the age of its copy.
	freshness wagroster.Freshness
	// followUntil is the earliest time at which this host stops following the store again,
	// after it began to do so because its copy was too old.
	followUntil time.Time
	// selfDisconnected and storeMayBeDown are the state of this host and of the store at
	// the latest tick. Peers are notified at once when it changes.
	selfDisconnected, storeMayBeDown bool
	// storeDownUntil is when the latest report of the upstream host that the store is
	// probably down expires.
	storeDownUntil time.Time
	// changedMembers holds the members whose change is not forwarded yet, by name, with the
	// link on which it came; nil when it came on several. nextForward is when changes may
	// be forwarded again.
	changedMembers map[string]*link
	nextForward    time.Time
	// knownOwners holds the owners of the groups in the data centre of this host, by service.
	knownOwners map[string]knownOwner
	// services are the services to whose owners this host keeps a link.
	services  []string
	startedAt time.Time
	// quotaCoordinators holds the selected quota coordinators, by shard.
	quotaCoordinators map[int]quotaCoordinator
	// inboundLinks counts the open links that other hosts opened, and unknownConns the
	// connections of others that have not sent a hello.
	inboundLinks, unknownConns int
	// nextSeedIndex, modulo the number of seeds, is the index of the seed that is dialled
	// next. nextSeedDial is when it may be dialled.
	nextSeedIndex int
	nextSeedDial  time.Time

	encodeMu sync.Mutex
	// encodedUpdates holds the latest updates that were sent. Most peers need the same
	// ones. Updates do not change after they were encoded.
	encodedUpdates map[updateKey]*Update
}

// Option sets a property of a Mesh.
type Option func(*Mesh)

// WithClock replaces the clock.
func WithClock(c wagclock.Clock) Option { return func(m *Mesh) { m.clock = c } }

// WithLog replaces the standard logger.
func WithLog(l logrus.FieldLogger) Option { return func(m *Mesh) { m.log = l } }

// WithDial replaces the function that connects to other hosts.
func WithDial(dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)) Option {
	return func(m *Mesh) { m.dial = dial }
}

// WithSeeds sets the addresses of the hosts through which this one finds the others.
func WithSeeds(seeds func() []netip.AddrPort) Option { return func(m *Mesh) { m.seeds = seeds } }

// WithFreshness sets when this host acts on the age of its copy.
func WithFreshness(f wagroster.Freshness) Option { return func(m *Mesh) { m.freshness = f } }

// New returns a mesh without links. Run opens them.
func New(self wagroster.Member, s *wagsync.Sync, o *wagowner.Owner, opts ...Option) *Mesh {
	m := &Mesh{
		clock: wagclock.System{}, log: logrus.StandardLogger(), sync: s, owner: o, seeds: func() []netip.AddrPort { return nil },
		dial: dialTCP, self: self, roster: wagroster.New(self), links: make(map[string][]*link), dialStates: make(map[netip.AddrPort]*dialState),
		// Hosts that start together begin with different seeds.
		nextSeedIndex: int(waglease.Score("seed", self.Name) % maxSeedIndex), encodedUpdates: make(map[updateKey]*Update),
		changedMembers: make(map[string]*link), knownOwners: make(map[string]knownOwner),
		quotaCoordinators: make(map[int]quotaCoordinator),
		freshness:         wagroster.NewFreshness(0),
	}
	for _, option := range opts {
		option(m)
	}
	m.startedAt = m.clock.Now()
	if m.gaps != nil {
		m.gaps.OnGap(m.handleGap)
	}
	return m
}

// SetServices sets the services to whose owners this host keeps a link.
func (m *Mesh) SetServices(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.services = names
}

// Run serves other hosts on a listener and keeps the links that this host needs, until
// ctx ends.
func (m *Mesh) Run(ctx context.Context, l net.Listener) (err error) {
	defer func() { err = errors.WithMessage(err, "run mesh") }()
	mux := drpcmux.New()
	if err := DRPCRegisterMesh(mux, &linkServer{mesh: m}); err != nil {
		return err
	}
	server := drpcserver.NewWithOptions(wagpanic.RPCHandler(m.log, mux), drpcserver.Options{Manager: managerOptions()})
	m.group, m.ctx = errgroup.WithContext(ctx)
	m.sync.SetExpectation(m.expectation)
	m.sync.SetConfirmationHandler(func() {
		m.pushConfirmation()
		m.endHold()
	})
	m.group.Go(func() error {
		err := server.Serve(m.ctx, peerListener{l, m})
		if ctx.Err() != nil || m.ctx.Err() != nil {
			return nil
		}
		return err
	})
	m.group.Go(func() error {
		for m.ctx.Err() == nil {
			wagclock.Wait(m.ctx, m.clock, m.tick())
		}
		return nil
	})
	return m.group.Wait()
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxFrameBytes},
		Stream: drpcstream.Options{MaximumBufferSize: maxKeptBufferBytes},
	}
}

// Leave announces to all linked hosts that this one is leaving and has no role any more.
func (m *Mesh) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.Leave()
	self := memberMessage(m.roster.Self())
	for _, l := range m.allLinks() {
		l.enqueue(func(f *Frame) { f.Members = append(f.Members, self) })
	}
}

// Members returns the known hosts, this one first.
func (m *Mesh) Members() []wagroster.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Members()
}

// allLinks returns the open links; m.mu is held.
func (m *Mesh) allLinks() []*link {
	var all []*link
	for _, list := range m.links {
		all = append(all, list...)
	}
	return all
}

// tick checks the roles of this host, its links, and whether it has to follow the
// store. It returns when the next tick is due.
func (m *Mesh) tick() time.Time {
	m.gaps.Observe()
	now := m.clock.Now()
	m.mu.Lock()
	upstream, hasUpstream := m.roster.Upstream(now)
	self := m.roster.Self()
	m.updateUpstream(now, upstream, hasUpstream)
	m.updateFallbacks(now, upstream, hasUpstream)
	for _, service := range m.services {
		if owner, ok := m.recordOwner(now, service); ok && owner.Name != self.Name {
			m.ensureLink(now, owner)
		}
	}
	m.dialNextSeed(now, !hasUpstream)
	for _, member := range m.roster.DueRetries(now) {
		m.startDial(now, member.Address)
	}
	m.updateOwnStoreState(now)
	for _, l := range m.allLinks() {
		l.tick(now)
	}
	follow, followAt := m.mustFollow(now, hasUpstream)
	m.mu.Unlock()
	m.sync.SetFollowing(m.ctx, follow)
	next := now.Add(tickInterval)
	if followAt.After(now) {
		next = wagclock.Earlier(next, followAt)
	}
	return next
}

// expectation returns whether this host, which has just started, will receive the
// objects of the store from another one.
func (m *Mesh) expectation() wagsync.Expectation {
	m.mu.Lock()
	defer m.mu.Unlock()
	upstream, ok := m.roster.Upstream(m.clock.Now())
	switch {
	case m.roster.HasNeighbour() && m.hasCompletePeer():
		return wagsync.ExpectObjects
	case ok && upstream.DataCentre == m.self.DataCentre && m.upstream != nil:
		return wagsync.ExpectTransfer
	case ok && upstream.DataCentre == m.self.DataCentre:
		return wagsync.ExpectConnection
	case len(m.links) == 0 && m.hasOtherSeeds():
		// The seeds may be starting at the same time.
		return wagsync.ExpectLink
	default:
		return wagsync.ExpectNothing
	}
}

// hasCompletePeer reports whether a linked host has all objects; m.mu is held.
func (m *Mesh) hasCompletePeer() bool {
	return slices.ContainsFunc(m.allLinks(), (*link).isPeerComplete)
}

// hasOtherSeeds reports whether a seed is not this host.
func (m *Mesh) hasOtherSeeds() bool {
	return slices.ContainsFunc(m.seeds(), func(seed netip.AddrPort) bool { return seed != m.self.Address })
}

// updateOwnStoreState checks whether this host is disconnected from the store and
// whether that is probably down, and sends heartbeats at once when that changes; m.mu is
// held.
func (m *Mesh) updateOwnStoreState(now time.Time) {
	disconnected := m.sync.IsDisconnected()
	m.roster.SetDisconnected(now, m.self.Name, disconnected)
	mayBeDown := m.roster.StoreMayBeDown(now)
	if disconnected == m.selfDisconnected && mayBeDown == m.storeMayBeDown {
		return
	}
	m.selfDisconnected, m.storeMayBeDown = disconnected, mayBeDown
	for _, l := range m.allLinks() {
		l.sendHeartbeat(now)
	}
}

// recordStoreReport records whether the upstream host reports that the store is probably
// down.
func (m *Mesh) recordStoreReport(now time.Time, mayBeDown bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeDownUntil = time.Time{}
	if mayBeDown {
		m.storeDownUntil = now.Add(silenceTimeout)
	}
}

// setPeerDisconnected records whether a peer is disconnected from the store.
func (m *Mesh) setPeerDisconnected(now time.Time, name string, disconnected bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.SetDisconnected(now, name, disconnected)
}

// updateUpstream subscribes to the changes at the upstream host and unsubscribes at all
// others, as soon as this host has all objects; m.mu is held.
func (m *Mesh) updateUpstream(now time.Time, upstream wagroster.Member, hasUpstream bool) {
	var newUpstream *link
	if hasUpstream && upstream.DataCentre != m.self.DataCentre && m.sync.HasUnreadKinds() && now.Before(m.startedAt.Add(storeReadTimeout)) {
		// Reading all objects from the store is cheaper than sending them between data
		// centres.
		return
	}
	if hasUpstream {
		if newUpstream = m.linkTo(upstream.Name); newUpstream == nil {
			m.startDial(now, upstream.Address)
		}
	}
	unsubscribe := m.subscribedToOthers && (newUpstream != nil || !hasUpstream) && !m.sync.HasUnreadKinds() && !m.isStale(now)
	if newUpstream == m.upstream && !unsubscribe || newUpstream == nil && hasUpstream {
		return
	}
	if newUpstream != m.upstream {
		m.logUpstream(now, newUpstream)
	}
	m.upstream, m.subscribedToOthers = newUpstream, m.subscribedToOthers && !unsubscribe
	if newUpstream != nil {
		newUpstream.setSubscribed(true)
	}
	for _, l := range m.allLinks() {
		if l != newUpstream {
			l.setSubscribed(false)
		}
	}
}

// logUpstream logs from which host this one receives changes from now on. None is named
// when it is the leader, which follows the store itself; m.mu is held.
func (m *Mesh) logUpstream(now time.Time, upstream *link) {
	fields := logrus.Fields{"upstream": "", "copyAgeMs": m.copyAge(now).Milliseconds()}
	if upstream != nil {
		fields["upstream"] = upstream.peer.Name
	}
	m.log.WithFields(fields).Info("the upstream host has changed")
}

// linkTo returns the latest open link to a host, or nil; m.mu is held.
func (m *Mesh) linkTo(name string) *link {
	list := m.links[name]
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1]
}

// addLink adds a link whose hello was received; m.mu is held.
func (m *Mesh) addLink(l *link) {
	if l.inbound {
		// A host opens one link to another. It has given up one that is still open here.
		for _, other := range m.links[l.peer.Name] {
			if other.inbound {
				other.cancel(errReplaced)
			}
		}
	}
	m.links[l.peer.Name] = append(m.links[l.peer.Name], l)
	if l.inSameDataCentre() && (m.sync.HasUnreadKinds() || m.isStale(m.clock.Now())) {
		// After the start, and while its copy is old, this host takes the objects from
		// whichever host has them first.
		l.setSubscribed(true)
		m.subscribedToOthers = true
	}
	changed := m.roster.UpdateFromMember(l.peer)
	m.sendMembers(l, m.roster.Members())
	if changed {
		m.forwardMember(l, l.peer.Name)
	}
}

// removeLink removes a link that has ended. A peer without any other link counts as
// unreachable, unless the link was closed because it was not needed.
func (m *Mesh) removeLink(l *link, cause error) {
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
		m.log.WithError(cause).WithFields(logrus.Fields{"peer": l.peer.Name, "copyAgeMs": m.copyAge(m.clock.Now()).Milliseconds()}).Info("the link to the upstream host has ended")
	}
	if len(m.links[l.peer.Name]) == 0 {
		delete(m.links, l.peer.Name)
		if l.peer.Name != "" && m.ctx.Err() == nil && !l.isClosingIdle() {
			m.roster.MarkUnreachable(m.clock.Now(), l.peer.Name)
		}
	}
}
