package wagmesh

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagroster"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsync"
)

// network connects hosts in memory.
type network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	conns     []*conn
	// silent holds the hosts whose packets are dropped in both directions.
	silent map[netip.Addr]bool
	// suspended holds the hosts whose processes stand still: connections to them open, and
	// nobody reads or answers what is sent on them.
	suspended map[netip.Addr]bool
	// isolated holds the hosts whose packets from and to other data centres are dropped.
	isolated map[netip.Addr]bool
	// bytes counts the bytes sent, by sender and receiver.
	bytes map[[2]netip.Addr]int
	// writes counts the writes to connections, by sender.
	writes map[netip.Addr]int
}

func newNetwork() *network {
	return &network{listeners: make(map[netip.AddrPort]*listener), silent: make(map[netip.Addr]bool), suspended: make(map[netip.Addr]bool), isolated: make(map[netip.Addr]bool), bytes: make(map[[2]netip.Addr]int), writes: make(map[netip.Addr]int)}
}

// drops reports whether packets between two hosts are dropped; n.mu is held.
func (n *network) drops(a, b netip.Addr) bool {
	if n.silent[a] || n.silent[b] || n.suspended[a] || n.suspended[b] {
		return true
	}
	return a.As4()[1] != b.As4()[1] && (n.isolated[a] || n.isolated[b])
}

type listener struct {
	address netip.AddrPort
	queue   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

func (n *network) listen(a netip.AddrPort) *listener {
	l := &listener{address: a, queue: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[a] = l
	return l
}

var errRefused = errors.New("connection refused")

// dial opens a connection from one host to another. To or from a silent host it times
// out.
func (n *network) dial(ctx context.Context, from netip.Addr, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	silent, suspended := n.drops(from, to.Addr()), n.suspended[to.Addr()] && !n.suspended[from]
	n.mu.Unlock()
	if suspended {
		a, _ := newPair(n, from, to.Addr())
		return a, nil
	}
	if silent {
		select {
		case <-ctx.Done():
		case <-time.After(dialTimeout):
		}
		return nil, errors.New("timeout")
	}
	if l == nil {
		return nil, errRefused
	}
	select {
	case <-l.closed:
		// A queue with room must not accept a connection to a host that has ended.
		return nil, errRefused
	default:
	}
	a, b := newPair(n, from, to.Addr())
	select {
	case l.queue <- b:
		return a, nil
	case <-l.closed:
		return nil, errRefused
	}
}

// conn is one end of a connection. Writes block only when a suspended host does not read,
// and data is lost only while a host is silent.
type conn struct {
	network    *network
	from, to   netip.Addr
	peer       *conn
	mu         sync.Mutex
	buffer     []byte
	arrived    chan struct{}
	closed     chan struct{}
	closeOnce  sync.Once
	peerClosed chan struct{}
	// held counts the bytes that were written to a suspended host.
	held int
}

// windowBytes is how much can be sent to a suspended host before a write blocks.
const windowBytes = 64 << 10

func newPair(n *network, from, to netip.Addr) (a, b *conn) {
	a = &conn{network: n, from: from, to: to, arrived: make(chan struct{}, 1), closed: make(chan struct{})}
	b = &conn{network: n, from: to, to: from, arrived: make(chan struct{}, 1), closed: make(chan struct{})}
	a.peer, b.peer = b, a
	a.peerClosed, b.peerClosed = b.closed, a.closed
	n.mu.Lock()
	n.conns = append(n.conns, a, b)
	n.mu.Unlock()
	return a, b
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		n := copy(p, c.buffer)
		c.buffer = c.buffer[n:]
		c.mu.Unlock()
		if n > 0 {
			return n, nil
		}
		select {
		case <-c.arrived:
		case <-c.closed:
			return 0, net.ErrClosed
		case <-c.peerClosed:
			c.network.mu.Lock()
			silent := c.network.drops(c.from, c.to)
			c.network.mu.Unlock()
			if !silent {
				return 0, io.EOF
			}
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	c.network.mu.Lock()
	silent := c.network.drops(c.from, c.to)
	c.network.bytes[[2]netip.Addr{c.from, c.to}] += len(p)
	c.network.writes[c.from]++
	suspended := c.network.suspended[c.to]
	c.network.mu.Unlock()
	if suspended {
		if c.held += len(p); c.held > windowBytes {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
	if silent {
		return len(p), nil
	}
	c.peer.mu.Lock()
	c.peer.buffer = append(c.peer.buffer, p...)
	c.peer.mu.Unlock()
	select {
	case c.peer.arrived <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

func (c *conn) LocalAddr() net.Addr              { return net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.from, 1)) }
func (c *conn) RemoteAddr() net.Addr             { return net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.to, 1)) }
func (c *conn) SetDeadline(time.Time) error      { return nil }
func (c *conn) SetReadDeadline(time.Time) error  { return nil }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

const (
	testKind    = "config"
	testService = "lots"
)

// host is one host of a test site.
type host struct {
	member wagroster.Member
	site   *site
	mesh   *Mesh
	sync   *wagsync.Sync
	owner  *wagowner.Owner
	cancel context.CancelFunc
	group  errgroup.Group
	log    *logrus.Logger
}

// site is a set of hosts with a store, in a synctest bubble.
type site struct {
	t       *testing.T
	network *network
	store   *store
	hosts   []*host
	mu      sync.Mutex
	// probes counts the probes of servers, by the host that sent them.
	probes map[string]int
	// isFirstStart says that hosts start with the site, until it is set to false.
	isFirstStart bool
	// seeds holds the addresses that hosts which start now dial first.
	seeds []netip.AddrPort
	// gaps returns what notices the gaps of a host that starts; nil for nothing.
	gaps func(m wagroster.Member) *wagclock.Gaps
	// ownerOptions are the options of the owners of hosts that start now.
	ownerOptions []wagowner.Option
	// furtherKind returns the kind that a host which starts follows beside testKind, or an
	// empty string; nil for none.
	furtherKind func(m wagroster.Member) string
}

// kinds returns the kinds that a host which starts follows.
func (s *site) kinds(m wagroster.Member) []string {
	if s.furtherKind == nil || s.furtherKind(m) == "" {
		return []string{testKind}
	}
	return []string{testKind, s.furtherKind(m)}
}

// runSite runs f with a site that has a number of hosts in each data centre.
func runSite(t *testing.T, hosts int, dataCentres []string, f func(s *site), opts ...func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &site{t: t, network: newNetwork(), store: newStore(), probes: make(map[string]int), isFirstStart: true,
			seeds: []netip.AddrPort{testMember("", 0, 0).Address, testMember("", 1, 0).Address}}
		for _, o := range opts {
			o(s)
		}
		for n := range hosts {
			for i, dataCentre := range dataCentres {
				s.startHost(testMember(dataCentre, i, n))
			}
		}
		s.isFirstStart = false
		defer func() {
			for _, h := range s.hosts {
				h.stop()
			}
		}()
		f(s)
	})
}

// testMember returns host n of a data centre.
func testMember(dataCentre string, index, n int) wagroster.Member {
	return wagroster.Member{
		Name: fmt.Sprintf("%s%d", dataCentre, n), DataCentre: dataCentre, MilliCores: 320,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(index), 0, byte(n + 1)}), 8082),
	}
}

// startHost starts a host. The first hosts of the first two data centres are the seeds.
func (s *site) startHost(m wagroster.Member) *host {
	m.Generation = uint64(time.Now().UnixMilli())
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &host{member: m, site: s, log: log}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	quota := wagowner.QuotaLimits{Window: 5 * time.Second, Overage: 0.1, Slack: 20, DataCentres: 3}
	h.owner = wagowner.New(m.DataCentre, h, append([]wagowner.Option{wagowner.WithLimits(wagowner.Limits{Quota: quota})}, s.ownerOptions...)...)
	h.owner.SetServers(testServers())
	changed, seeds := make(chan struct{}, 1), s.seeds
	var gaps *wagclock.Gaps
	if s.gaps != nil {
		gaps = s.gaps(m)
	}
	h.sync = wagsync.New(hostStore{s.store, m.Name}, func(wagsync.Change) {
		select {
		case changed <- struct{}{}:
		default:
		}
	}, s.kinds(m), wagsync.WithLog(log), wagsync.WithFirstStart(s.isFirstStart), wagsync.WithGaps(gaps))
	h.mesh = New(m, h.sync, h.owner, WithLog(log), WithGaps(gaps),
		WithSeeds(func() []netip.AddrPort { return seeds }),
		WithDial(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return s.network.dial(ctx, m.Address.Addr(), to)
		}))
	h.mesh.SetServices([]string{testService})
	h.owner.SetRemotePlaceFunc(h.mesh.PlaceRemote)
	h.owner.SetQuotaLinks(h.mesh)
	l := s.network.listen(m.Address)
	h.group.Go(func() error { return h.sync.Run(ctx) })
	h.group.Go(func() error { return h.owner.Run(ctx) })
	h.group.Go(func() error { return h.mesh.Run(ctx, l) })
	h.group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				_ = l.Close()
				return nil
			case <-changed:
				h.mesh.PushChanges()
			}
		}
	})
	s.hosts = append(s.hosts, h)
	return h
}

// testServers returns two servers for each of three data centres.
func testServers() (list []wagserver.Instance) {
	for i, dataCentre := range []string{"a", "b", "c"} {
		for n := range 2 {
			list = append(list, wagserver.Instance{
				ID: fmt.Sprintf("%s-server%d", dataCentre, n), Service: testService, DataCentre: dataCentre, Slots: 6, State: wagserver.Live,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i), 64, byte(n)}), 80),
			})
		}
	}
	return list
}

var _ wagowner.Prober = (*host)(nil)

// Probe reports an idle server.
func (h *host) Probe(_ context.Context, server wagserver.Instance) wagplacement.Result {
	h.site.mu.Lock()
	h.site.probes[h.member.Name]++
	h.site.mu.Unlock()
	return wagplacement.Result{HasReport: true, Report: wagplacement.Report{Slots: server.Slots, Slowness: 1}}
}

// stop ends a host without a graceful shutdown, as a kill does.
func (h *host) stop() {
	h.cancel()
	if err := h.group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		h.site.t.Error(err)
	}
}

// sleep lets virtual time pass.
func sleep(d time.Duration) {
	time.Sleep(d) //nolint:forbidigo // The time of a bubble passes at once.
	synctest.Wait()
}

// knownRevision returns the revision of a host's copy.
func (h *host) knownRevision() wagmirror.Revision { return h.sync.Positions()[testKind].Revision }

// followers returns the hosts that follow the store.
func (s *site) followers() (names []string) {
	for _, h := range s.hosts {
		if h.sync.IsFollowing() {
			names = append(names, h.member.Name)
		}
	}
	return names
}

// findHost returns the host with a name, or nil.
func (s *site) findHost(name string) *host {
	for _, h := range s.hosts {
		if h.member.Name == name {
			return h
		}
	}
	return nil
}

// remove removes a stopped host from the list of hosts.
func (s *site) remove(gone *host) {
	for i, h := range s.hosts {
		if h == gone {
			s.hosts = append(s.hosts[:i], s.hosts[i+1:]...)
			return
		}
	}
}

// setSilent starts or stops dropping the packets of a host, so that its connections
// neither work nor close.
func (s *site) setSilent(h *host, silent bool) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	s.network.silent[h.member.Address.Addr()] = silent
}

// setSuspended suspends the process of a host, or lets it go on.
func (s *site) setSuspended(h *host, suspended bool) {
	s.network.mu.Lock()
	s.network.suspended[h.member.Address.Addr()] = suspended
	s.network.mu.Unlock()
	s.store.setSilent(h.member.Name, suspended)
}

// setIsolated cuts a host off from the store and from the hosts of other data centres, or
// connects it again.
func (s *site) setIsolated(h *host, isolated bool) {
	s.network.mu.Lock()
	s.network.isolated[h.member.Address.Addr()] = isolated
	s.network.mu.Unlock()
	s.store.setSilent(h.member.Name, isolated)
}

// ranked returns the hosts of a data centre in the order in which they take over from
// its relay, as all of them see it.
func (s *site) ranked(dataCentre string) []*host {
	list := make([]*host, 0, len(s.hosts))
	for _, h := range s.hosts {
		if h.member.DataCentre == dataCentre {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b *host) int { return a.rank() - b.rank() })
	return list
}

// rank returns the rank of a host in its data centre, as it sees it.
func (h *host) rank() int {
	h.mesh.mu.Lock()
	defer h.mesh.mu.Unlock()
	return h.mesh.roster.Rank()
}

// placeRequest asks for a server at a host.
func (h *host) placeRequest() wagowner.Outcome {
	now := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return h.mesh.Place(ctx, testService, wagplacement.Request{Route: "status", Goal: now.Add(250 * time.Millisecond), Deadline: now.Add(time.Second)})
}
