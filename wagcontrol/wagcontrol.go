// Package wagcontrol keeps what entry hosts share: membership, documents in
// force, the list of servers, leases and probes. It drives the cores with
// sockets, the store and timers.
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
	"github.com/wagtailspar/wagtailspar/wagpeer"
	"github.com/wagtailspar/wagtailspar/wagrollout"
	"github.com/wagtailspar/wagtailspar/wagrouting"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsettings"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

const (
	// tickTime is how often the cores are asked whether something is due.
	tickTime = 50 * time.Millisecond
	// slowTicks is every how many ticks work is done that need not be prompt.
	slowTicks = 10
	// admitTime is how long a start waits for the store before it uses what peers
	// have in force. By then it has exchanged heartbeats with all of them.
	admitTime = 5 * time.Second
	// maxTasks bounds the calls to peers and to the store that are under way.
	maxTasks = 256
)

// ErrReplaced tells that a newer start of the same host is a member.
var ErrReplaced = errors.New("a newer incarnation of this host has joined")

// DataPlane takes what calls need to know, and tells what only calls show.
type DataPlane interface {
	SetDocuments(documents map[string]*wagdocument.Document)
	SetServers(servers []wagserver.Server)
	// SilentServers returns the silent servers of this host's group of a service.
	SilentServers(service string) []netip.AddrPort
	RecordProbe(service string, server netip.AddrPort, r wagrouting.ProbeResult)
	Summaries() map[string]wagrouting.Summary
	SetRemoteSummary(service, dataCentre string, s wagrouting.Summary)
}

// Control is the shared state of one entry host.
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
	// share is told the count of live hosts, or is nil.
	share func(hosts int)
	// violated is told of violations of invariants.
	violated func(service, invariant string)

	// members is the latest membership, this host included.
	members atomic.Pointer[[]wagmember.Member]
	// confirmed is Catalog.Confirmed in Unix nanoseconds.
	confirmed atomic.Int64
	// company is when this host last heard enough others, in Unix nanoseconds.
	company atomic.Int64
	// answered holds the time of the latest answer of each server.
	answered sync.Map
	tasks    errgroup.Group
	// closing guards closed, after which no task starts.
	closing sync.Mutex
	closed  bool
	stopped chan error

	// mu guards the cores and what follows.
	mu      sync.Mutex
	view    DataPlane
	table   *wagmember.Table
	catalog *wagrollout.Catalog
	list    *wagserver.List
	// local holds the members of this host's data centre.
	local  []wagmember.Member
	leases map[string]*lease
	// ownersChanged tells that this host may own other groups than its leases
	// are wanted for.
	ownersChanged bool
	remotes       map[remoteKey]remote
	// lastHeard is when the latest heartbeat or answer of a peer arrived.
	lastHeard time.Time
	// admitted tells that documents are passed to calls. A start keeps no memory
	// of the former one, and its first peer may lag, so that it first reads the
	// store, or until admitBy learns from peers.
	admitted bool
	admitBy  time.Time
	// inForce holds when each revision came into force at this host.
	inForce map[string]time.Time
	// beating holds the peers to which a heartbeat is under way. One that does not
	// answer must not use up the tasks.
	beating map[string]bool
	// follow ends the watch of the store while this host is a delegate.
	follow context.CancelFunc
	ticks  int
	// interval is that of the latest heartbeats.
	interval time.Duration
	// news tells that something came into force of which others are not yet
	// notified, and nextNotice is when they may be.
	news       bool
	nextNotice time.Time
	// ctx ends with Run.
	ctx context.Context
	// catalogViolations is how many violations of the catalog were reported.
	catalogViolations uint64
	// probes counts the probes that were sent.
	probes uint64
}

// Option sets a property of a Control.
type Option func(*Control)

// WithClock replaces the clock of the system.
func WithClock(c wagclock.Clock) Option { return func(x *Control) { x.clock = c } }

// WithLog replaces the standard logger.
func WithLog(l logrus.FieldLogger) Option { return func(x *Control) { x.log = l } }

// WithEvents sets who takes the events of the time line.
func WithEvents(r wagevent.Recorder) Option { return func(x *Control) { x.events = r } }

// WithPeerClient replaces the client of the peers.
func WithPeerClient(p *wagpeer.Client) Option { return func(x *Control) { x.peers = p } }

// WithLiveHostsHandler sets a function that is told the count of live hosts.
func WithLiveHostsHandler(share func(hosts int)) Option { return func(x *Control) { x.share = share } }

// WithAddresses sets the addresses that the host tells others of itself.
func WithAddresses(forward, peer, operator netip.AddrPort) Option {
	return func(x *Control) { x.self.Forward, x.self.Peer, x.operator = forward, peer, operator }
}

// New returns the control of one host.
func New(s *wagsettings.Settings, store wagstore.Store, opts ...Option) *Control {
	c := &Control{
		settings: s, store: store, clock: wagclock.System{}, log: logrus.StandardLogger(), events: wagevent.Discard{},
		http: &http.Client{}, operator: s.Listen.Operator, stopped: make(chan error, 1), ctx: context.Background(),
		violated: func(string, string) {},
		self: wagmember.Member{
			Name: s.Host.Name, DataCentre: s.Host.DataCentre, Region: s.Host.Region,
			Forward: s.Listen.Forward, Peer: s.Listen.Peer,
		},
		catalog: wagrollout.New(), list: wagserver.NewList(s.Host.Name),
		leases: make(map[string]*lease), remotes: make(map[remoteKey]remote), inForce: make(map[string]time.Time), beating: make(map[string]bool),
	}
	for _, o := range opts {
		o(c)
	}
	if c.peers == nil {
		c.peers = wagpeer.NewClient(wagpeer.WithCallTimeout(s.Peers.CallTime), wagpeer.WithClock(c.clock))
	}
	now := c.clock.Now()
	c.admitBy = now.Add(admitTime)
	c.self.Incarnation = wagmember.NewIncarnation(now, uint16(rand.Uint32()))
	c.tasks.SetLimit(maxTasks)
	c.table = wagmember.NewTable(now, c.self, wagmember.WithSizeEstimator(c.heartbeatSize))
	c.publishMembers()
	return c
}

// Incarnation returns the identity of this start of the host.
func (c *Control) Incarnation() uint64 {
	return c.self.Incarnation
}

// Members returns the membership, this host included.
func (c *Control) Members(time.Time) []wagmember.Member {
	return *c.members.Load()
}

// HasFreshDocuments tells whether the store confirmed the documents lately, or enough peers
// exchanged them with this host. While the store is down it accepts no change,
// so that hosts that hear each other go on serving.
func (c *Control) HasFreshDocuments(now time.Time) bool {
	confirmed := time.Unix(0, max(c.confirmed.Load(), c.company.Load()))
	return now.Before(confirmed.Add(wagrollout.MaxConfirmationAge))
}

// ProbesSent returns how many probes were sent.
func (c *Control) ProbesSent() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.probes
}

// Traffic returns the control bytes of the connections that this host opened.
func (c *Control) Traffic() *wagpeer.Traffic {
	return &c.peers.Traffic
}

// Run keeps the shared state until ctx ends.
func (c *Control) Run(ctx context.Context, v DataPlane) (err error) {
	defer func() { err = errors.WithMessage(err, "run control") }()
	defer c.peers.Close()
	g, gctx := errgroup.WithContext(ctx)
	c.mu.Lock()
	c.view, c.ctx = v, gctx
	c.mu.Unlock()
	g.Go(func() error { return c.join(gctx) })
	g.Go(func() error { return c.followHostList(gctx) })
	g.Go(func() error { return c.followTicks(gctx) })
	g.Go(func() error {
		select {
		case <-gctx.Done():
			return nil
		case err := <-c.stopped:
			return err
		}
	})
	err = g.Wait()
	c.closing.Lock()
	c.closed = true
	c.closing.Unlock()
	_ = c.tasks.Wait()
	return err
}

// spawn runs a task unless too many are under way; tasks carry messages that
// are repeated anyway.
func (c *Control) spawn(task func()) bool {
	c.closing.Lock()
	defer c.closing.Unlock()
	if c.closed {
		return false
	}
	return c.tasks.TryGo(func() error {
		task()
		return nil
	})
}

// followTicks drives the cores by the clock.
func (c *Control) followTicks(ctx context.Context) error {
	for ctx.Err() == nil {
		c.tick(ctx)
		wagclock.Wait(ctx, c.clock, c.clock.Now().Add(tickTime))
	}
	return nil
}

func (c *Control) tick(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.ticks++
	if !now.Before(c.table.NextWake()) {
		c.membership(ctx, c.table.Handle(now, wagmember.Tick{}))
	}
	if at := c.list.NextWake(); !at.IsZero() && !now.Before(at) {
		c.serverList(ctx, c.list.Handle(now, wagserver.Tick{}))
	}
	c.notify(ctx, now)
	c.tickLeases(ctx, now)
	if c.ticks%slowTicks == 0 {
		c.publishMembers()
		c.documents(ctx, c.catalog.Handle(now, wagrollout.Tick{}))
		c.accompany(now)
		if !c.admitted && !now.Before(c.admitBy) {
			c.admit(ctx)
		}
		c.exchangeLoads(now)
		c.returned(ctx, now)
		c.reportViolations()
	}
}
