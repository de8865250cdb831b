// Package wagcontrol maintains the state that entry hosts share: membership,
// documents in force, the list of servers, leases and probes. It connects the
// state machines of other packages to sockets, the store and timers.
package wagcontrol

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagpanic"
	"github.com/wagtailspar/wagtailspar/wagpeer"
	"github.com/wagtailspar/wagtailspar/wagrollout"
	"github.com/wagtailspar/wagtailspar/wagrouting"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsettings"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

const (
	// tickInterval is the time between two checks for work that is due.
	tickInterval = 50 * time.Millisecond
	// ticksPerMaintenance is the number of ticks between two runs of the work that
	// is not urgent.
	ticksPerMaintenance = 10
	// firstReadTimeout bounds how long a host waits after its start for the first
	// read of the store. After that it uses the documents of its peers; by then it
	// has exchanged heartbeats with all of them.
	firstReadTimeout = 5 * time.Second
	// maxTasks bounds the calls to peers and to the store that are in flight.
	maxTasks = 256
)

// ErrReplaced is returned by Run when a newer process with the name of this host
// has joined.
var ErrReplaced = errors.New("a newer incarnation of this host has joined")

// DataPlane is the part of a host that serves requests. It receives the shared
// state, and provides the load and the silent servers of this host's groups.
type DataPlane interface {
	// SetDocuments replaces the documents in force, by service. The map must not
	// be changed afterwards.
	SetDocuments(documents map[string]*wagdocument.Document)
	// SetServers replaces the servers of all services.
	SetServers(servers []wagserver.Server)
	// SilentServers returns the servers of this host's group of a service that
	// have not responded for the time that its document sets.
	SilentServers(service string) []netip.AddrPort
	// RecordProbe takes the result of a probe.
	RecordProbe(service string, server netip.AddrPort, r wagrouting.ProbeResult)
	// Summaries returns the load of this host's groups by service.
	Summaries() map[string]wagrouting.Summary
	// SetRemoteSummary takes the load of a group of another data centre.
	SetRemoteSummary(service, dataCentre string, s wagrouting.Summary)
}

// Control maintains the shared state of one entry host.
type Control struct {
	settings *wagsettings.Settings
	store    wagstore.Store
	peers    *wagpeer.Client
	clock    wagclock.Clock
	log      logrus.FieldLogger
	events   wagevent.Recorder
	http     *http.Client
	operator netip.AddrPort
	self     wagmember.Member
	// onLiveHosts is called with the number of live hosts unless it is nil.
	onLiveHosts func(hosts int)
	// onViolation is called for each violation of an invariant.
	onViolation func(service, invariant string)

	// members is the latest membership, this host included.
	members atomic.Pointer[[]wagmember.Member]
	// confirmedAt is Catalog.ConfirmedAt in Unix nanoseconds.
	confirmedAt atomic.Int64
	// quorumAt is when this host last had a quorum (see hasQuorum), in Unix
	// nanoseconds.
	quorumAt atomic.Int64
	// lastResponses holds the time of the latest response of each server, as an
	// *atomic.Int64 of Unix nanoseconds by address.
	lastResponses sync.Map
	tasks         errgroup.Group
	// closedMu guards closed. Once closed is set, no further task starts.
	closedMu sync.Mutex
	closed   bool
	// runErr receives an error that ends Run.
	runErr chan error

	// mu guards the state machines and all fields below.
	mu        sync.Mutex
	dataPlane DataPlane
	table     *wagmember.Table
	catalog   *wagrollout.Catalog
	servers   *wagserver.List
	// localMembers holds the members of this host's data centre.
	localMembers []wagmember.Member
	leases       map[string]*probeLease
	// ownersChanged is set when this host may own other groups than those whose
	// leases it wants.
	ownersChanged bool
	groupLoads    map[groupKey]groupLoad
	// lastHeard is when the latest heartbeat or reply of a peer arrived.
	lastHeard time.Time
	// documentsEnabled is set once documents are passed to the data plane. A
	// started host knows no documents, and those of the first peer that it reaches
	// may be out of date. It therefore waits until it has read the store, or until
	// firstReadDeadline and takes the documents of its peers.
	documentsEnabled  bool
	firstReadDeadline time.Time
	// inForceSince holds when the document in force of each service came into force
	// at this host.
	inForceSince map[string]time.Time
	// heartbeatsInFlight holds the peers with a heartbeat in flight. A peer that
	// does not reply gets no further ones, so that it cannot use up the tasks.
	heartbeatsInFlight map[string]bool
	// stopFollowing ends the watch of the store. It is nil unless this host is a
	// delegate.
	stopFollowing context.CancelFunc
	ticks         int
	// heartbeatInterval is the interval that the latest heartbeats announced.
	heartbeatInterval time.Duration
	// noticePending is set when a document came into force and the peers are not
	// notified yet; nextNotice is the earliest time to do so.
	noticePending bool
	nextNotice    time.Time
	// ctx is canceled when Run ends.
	ctx context.Context
	// reportedViolations counts the violations of the catalog that were reported.
	reportedViolations uint64
	probesSent         uint64
}

// Option sets a property of a Control.
type Option func(*Control)

// WithClock replaces the system clock.
func WithClock(c wagclock.Clock) Option { return func(x *Control) { x.clock = c } }

// WithLog replaces the standard logger.
func WithLog(l logrus.FieldLogger) Option { return func(x *Control) { x.log = l } }

// WithEvents sets the recorder of the events.
func WithEvents(r wagevent.Recorder) Option { return func(x *Control) { x.events = r } }

// WithPeerClient replaces the client for calls to peers.
func WithPeerClient(p *wagpeer.Client) Option { return func(x *Control) { x.peers = p } }

// WithLiveHostsHandler sets a function that is called with the number of live
// hosts, this host included.
func WithLiveHostsHandler(handler func(hosts int)) Option {
	return func(x *Control) { x.onLiveHosts = handler }
}

// WithAddresses sets the addresses of this host that others use.
func WithAddresses(forward, peer, operator netip.AddrPort) Option {
	return func(x *Control) { x.self.Forward, x.self.Peer, x.operator = forward, peer, operator }
}

// New returns the Control of a host.
func New(s *wagsettings.Settings, store wagstore.Store, opts ...Option) *Control {
	c := &Control{
		settings: s, store: store, clock: wagclock.System{}, log: logrus.StandardLogger(), events: wagevent.Discard{},
		http: &http.Client{}, operator: s.Listen.Operator, runErr: make(chan error, 1), ctx: context.Background(),
		onViolation: func(string, string) {},
		self: wagmember.Member{
			Name: s.Host.Name, DataCentre: s.Host.DataCentre, Region: s.Host.Region,
			Forward: s.Listen.Forward, Peer: s.Listen.Peer,
		},
		catalog: wagrollout.New(), servers: wagserver.NewList(s.Host.Name),
		leases: make(map[string]*probeLease), groupLoads: make(map[groupKey]groupLoad), inForceSince: make(map[string]time.Time), heartbeatsInFlight: make(map[string]bool),
	}
	for _, o := range opts {
		o(c)
	}
	if c.peers == nil {
		c.peers = wagpeer.NewClient(wagpeer.WithCallTimeout(s.Peers.CallTime), wagpeer.WithClock(c.clock))
	}
	now := c.clock.Now()
	c.firstReadDeadline = now.Add(firstReadTimeout)
	c.self.Incarnation = wagmember.NewIncarnation(now, uint16(rand.Uint32()))
	c.tasks.SetLimit(maxTasks)
	c.table = wagmember.NewTable(now, c.self, wagmember.WithSizeEstimator(c.heartbeatSize))
	c.publishMembers()
	return c
}

// Incarnation returns the identity of this process of the host.
func (c *Control) Incarnation() uint64 {
	return c.self.Incarnation
}

// Members returns the membership, this host included.
func (c *Control) Members(time.Time) []wagmember.Member {
	return *c.members.Load()
}

// HasFreshDocuments reports whether the store confirmed the documents or this host
// had a quorum of peers within wagrollout.MaxConfirmationAge. A store that is down
// accepts no change, so hosts that hear each other may go on serving.
func (c *Control) HasFreshDocuments(now time.Time) bool {
	confirmed := time.Unix(0, max(c.confirmedAt.Load(), c.quorumAt.Load()))
	return now.Before(confirmed.Add(wagrollout.MaxConfirmationAge))
}

// ProbesSent returns how many probes were sent.
func (c *Control) ProbesSent() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.probesSent
}

// Traffic returns the control bytes of the connections that this host opened.
func (c *Control) Traffic() *wagpeer.Traffic {
	return &c.peers.Traffic
}

// Run maintains the shared state until ctx is canceled. It returns ErrReplaced
// when a newer process of this host has joined.
func (c *Control) Run(ctx context.Context, v DataPlane) (err error) {
	defer func() { err = errors.WithMessage(err, "run control") }()
	defer c.peers.Close()
	g, gctx := errgroup.WithContext(ctx)
	c.mu.Lock()
	c.dataPlane, c.ctx = v, gctx
	c.mu.Unlock()
	g.Go(func() error { return c.join(gctx) })
	g.Go(func() error { return c.followHostList(gctx) })
	g.Go(func() error { return c.runTicks(gctx) })
	g.Go(func() error {
		select {
		case <-gctx.Done():
			return nil
		case err := <-c.runErr:
			return err
		}
	})
	err = g.Wait()
	c.closedMu.Lock()
	c.closed = true
	c.closedMu.Unlock()
	_ = c.tasks.Wait()
	return err
}

// spawn starts a task and reports whether it did. Above maxTasks it drops the
// task, which is safe because tasks send messages that are repeated anyway.
func (c *Control) spawn(task func()) bool {
	c.closedMu.Lock()
	defer c.closedMu.Unlock()
	if c.closed {
		return false
	}
	return c.tasks.TryGo(func() error {
		_ = wagpanic.Catch(c.log, func() error { // logs the error
			task()
			return nil
		})
		return nil
	})
}

// runTicks calls tick at every tickInterval until ctx is canceled.
func (c *Control) runTicks(ctx context.Context) error {
	for ctx.Err() == nil {
		c.tick(ctx)
		wagclock.Wait(ctx, c.clock, c.clock.Now().Add(tickInterval))
	}
	return nil
}

// tick runs everything that is due.
func (c *Control) tick(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.ticks++
	if !now.Before(c.table.NextWake()) {
		c.runMembershipCommands(ctx, c.table.Handle(now, wagmember.Tick{}))
	}
	if at := c.servers.NextWake(); !at.IsZero() && !now.Before(at) {
		c.runServerCommands(ctx, c.servers.Handle(now, wagserver.Tick{}))
	}
	c.notify(ctx, now)
	c.tickLeases(ctx, now)
	if c.ticks%ticksPerMaintenance == 0 {
		c.publishMembers()
		c.runDocumentCommands(ctx, c.catalog.Handle(now, wagrollout.Tick{}))
		c.updateQuorum(now)
		if !c.documentsEnabled && !now.Before(c.firstReadDeadline) {
			c.enableDocuments(ctx)
		}
		c.refreshLoads(now)
		c.reportRecoveredServers(ctx, now)
		c.reportViolations()
	}
}
