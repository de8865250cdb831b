// Package waghost joins the parts of one entry host: the path of calls, the
// shared state, the store, certificates and metrics.
package waghost

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagcontrol"
	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagentry"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagkeyed"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagmetrics"
	"github.com/wagtailspar/wagtailspar/wagpeer"
	"github.com/wagtailspar/wagtailspar/wagsettings"
	"github.com/wagtailspar/wagtailspar/wagstore"
	"github.com/wagtailspar/wagtailspar/wagtls"
)

// eventRingSize bounds the events that a host keeps for the time line.
const eventRingSize = 16384

// Host is one entry host.
type Host struct {
	settings  *wagsettings.Settings
	clock     wagclock.Clock
	log       logrus.FieldLogger
	listeners *Listeners
	// mutual is nil without certificates for peers and operators, and caller
	// without one for callers.
	mutual, caller *wagtls.Identity

	events  *wagevent.Ring
	metrics *wagmetrics.Metrics
	store   *wagstore.Client
	control *wagcontrol.Control
	claims  *wagkeyed.Claims
	entry   *wagentry.Proxy
	peers   *wagpeer.Server
}

// Option sets a property of a Host.
type Option func(*Host)

// WithLog replaces the standard logger.
func WithLog(l logrus.FieldLogger) Option {
	return func(h *Host) { h.log = l }
}

// WithListeners sets the open ports of the host.
func WithListeners(l *Listeners) Option {
	return func(h *Host) { h.listeners = l }
}

// Listeners are the open ports of a host.
type Listeners struct {
	*wagentry.Listeners
	Peer net.Listener
}

// Listen opens the ports of a host; on an error none stays open.
func Listen(caller, forward, peer, operator netip.AddrPort) (l *Listeners, err error) {
	defer func() { err = errors.WithMessage(err, "open the ports of the host") }()
	rest, err := wagentry.Listen(caller, forward, operator)
	if err != nil {
		return nil, err
	}
	p, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(peer))
	if err != nil {
		rest.Close()
		return nil, err
	}
	return &Listeners{Listeners: rest, Peer: p}, nil
}

// New builds a host and opens its ports.
func New(s *wagsettings.Settings, opts ...Option) (h *Host, err error) {
	defer func() { err = errors.WithMessage(err, "build entry host") }()
	h = &Host{settings: s, clock: wagclock.System{}, log: logrus.StandardLogger()}
	for _, o := range opts {
		o(h)
	}
	if h.listeners == nil {
		if h.listeners, err = Listen(s.Listen.Caller, s.Listen.Forward, s.Listen.Peer, s.Listen.Operator); err != nil {
			return nil, err
		}
	}
	if err := h.identities(); err != nil {
		return nil, err
	}
	h.events = wagevent.NewRing(s.Host.Name, eventRingSize, h.clock.Now)
	h.metrics = wagmetrics.New().WithRuntimeCollectors()
	h.store = wagstore.NewClient(s.Store.Address, wagstore.WithRate(s.Store.Rate), wagstore.WithConcurrency(s.Store.Concurrency),
		wagstore.WithWatchWait(s.Store.WatchWait), wagstore.WithTimeout(s.Store.Timeout), wagstore.WithObserver(newStoreCalls(h.metrics.Registerer())))
	h.buildControl()
	h.buildClaims()
	h.registerControl(h.metrics.Registerer())
	h.buildEntry()
	return h, nil
}

func (h *Host) identities() (err error) {
	report := wagtls.WithReloadReporter(func(err error) {
		if err != nil {
			h.log.WithError(err).Warning("new certificate files are not valid; the former ones stay in use")
			return
		}
		h.log.Info("new certificate files are in use")
	})
	if h.mutual, err = wagtls.LoadMutual(h.settings.TLS, report); err != nil {
		return err
	}
	h.caller, err = wagtls.LoadCaller(h.settings.TLS, report)
	return err
}

func (h *Host) buildControl() {
	client := []wagpeer.ClientOption{wagpeer.WithCallTimeout(h.settings.Peers.CallTime)}
	if h.mutual != nil {
		client = append(client, wagpeer.WithTLS(h.mutual.ClientConfig()))
	}
	h.control = wagcontrol.New(h.settings, h.store,
		wagcontrol.WithClock(h.clock), wagcontrol.WithLog(h.log), wagcontrol.WithEvents(h.events),
		wagcontrol.WithPeerClient(wagpeer.NewClient(client...)), wagcontrol.WithLiveHostsHandler(h.store.SetLiveHosts), wagcontrol.WithViolationHandler(h.violated),
		wagcontrol.WithAddresses(wagentry.ListenerAddress(h.listeners.Forward), wagentry.ListenerAddress(h.listeners.Peer), wagentry.ListenerAddress(h.listeners.Operator)))
}

func (h *Host) buildClaims() {
	self := wagmember.Member{Name: h.settings.Host.Name, DataCentre: h.settings.Host.DataCentre, Incarnation: h.control.Incarnation()}
	h.claims = wagkeyed.New(self, h.control, h.store,
		wagkeyed.WithEvents(h.events), wagkeyed.WithClock(h.clock), wagkeyed.WithSecrets(h.settings.Terms.Keys))
}

func (h *Host) buildEntry() {
	options := []wagentry.Option{
		wagentry.WithClock(h.clock), wagentry.WithLog(h.log), wagentry.WithMetrics(h.metrics), wagentry.WithEvents(h.events),
		wagentry.WithListeners(h.listeners.Listeners), wagentry.WithListenerWrapper(h.wrap), wagentry.WithMembers(h.control),
		wagentry.WithObserver(h.control), wagentry.WithFreshnessCheck(h.control.HasFreshDocuments), wagentry.WithShutdownHook(h.control.Leave),
		wagentry.WithClaims(h.claims), wagentry.WithCallerTerms(newTerms(h.settings.Terms.Keys, h.control)), wagentry.WithDocumentStatus(func() any { return h.control.Status() }),
	}
	if h.mutual != nil {
		options = append(options, wagentry.WithForwardDial(h.dialForward))
	}
	h.entry = wagentry.New(h.settings, options...)
}

// wrap adds TLS to a port when there is a certificate for it.
func (h *Host) wrap(p wagentry.Port, l net.Listener) net.Listener {
	identity := h.mutual
	if p == wagentry.CallerPort {
		identity = h.caller
	}
	if identity == nil {
		return l
	}
	return tls.NewListener(l, identity.ServerConfig())
}

func (h *Host) dialForward(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := tls.Dialer{Config: h.mutual.ClientConfig()}
	return d.DialContext(ctx, "tcp", to.String())
}

// Run serves until ctx ends and the planned stop is complete.
func (h *Host) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessagef(err, "host %s", h.settings.Host.Name) }()
	// The shared state outlives the calls in flight, which need it.
	outer, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, shared := errgroup.WithContext(outer)
	h.peers, err = wagpeer.NewServer(wagcontrol.NewHandler(shared, h.control, h.events), h.settings.Peers.Connections)
	if err != nil {
		return err
	}
	var secure *tls.Config
	if h.mutual != nil {
		secure = h.mutual.ServerConfig()
	}
	calls, stop := context.WithCancel(ctx)
	defer stop()
	g.Go(func() error {
		// The end of the shared state ends the calls as planned.
		defer stop()
		return h.control.Run(shared, view{h.entry, h.claims})
	})
	g.Go(func() error { return h.claims.Run(shared) })
	g.Go(func() error {
		err := h.peers.Serve(shared, h.listeners.Peer, secure)
		if shared.Err() != nil {
			return nil
		}
		return err
	})
	g.Go(func() error {
		defer end()
		return h.entry.Run(calls)
	})
	h.logStart()
	return g.Wait()
}

// logStart tells the addresses that the host listens on, which differ from the
// settings where those leave the port to the system.
func (h *Host) logStart() {
	l := h.listeners
	h.log.WithFields(logrus.Fields{
		"caller": wagentry.ListenerAddress(l.Caller).String(), "forward": wagentry.ListenerAddress(l.Forward).String(),
		"peer": wagentry.ListenerAddress(l.Peer).String(), "operator": wagentry.ListenerAddress(l.Operator).String(),
	}).Info("entry host started")
}

// view passes what is shared to the path of calls and to the claims.
type view struct {
	*wagentry.Proxy
	claims *wagkeyed.Claims
}

var _ wagcontrol.DataPlane = view{}

// SetDocuments puts documents in force.
func (v view) SetDocuments(documents map[string]*wagdocument.Document) {
	v.Proxy.SetDocuments(documents)
	var keyed []string
	for name, d := range documents {
		if !d.Service.Deleted && slices.ContainsFunc(d.Routes, func(r wagdocument.Route) bool { return r.Keyed }) {
			keyed = append(keyed, name)
		}
	}
	slices.Sort(keyed)
	v.claims.SetServices(keyed)
}

// ControlTraffic returns the control bytes of the host in both directions.
func (h *Host) ControlTraffic() (read, written int64) {
	t := h.control.Traffic()
	read, written = t.BytesRead.Load(), t.BytesWritten.Load()
	if h.peers != nil {
		read += h.peers.Traffic.BytesRead.Load()
		written += h.peers.Traffic.BytesWritten.Load()
	}
	return read, written
}

// violated counts and records an invariant that does not hold.
func (h *Host) violated(service, invariant string) {
	h.metrics.CountViolation(invariant)
	h.events.Record(wagevent.Event{Kind: wagevent.KindViolation, Service: service, Detail: invariant})
}

// Violations returns how often each invariant of the cores was violated.
func (h *Host) Violations() (map[string]uint64, error) {
	return h.metrics.Violations()
}

// HasFreshDocuments tells whether the documents of the host were confirmed lately.
func (h *Host) HasFreshDocuments() bool {
	return h.control.HasFreshDocuments(time.Now())
}
