// Package waghost assembles an entry host from its parts: the proxy for requests, the
// state that hosts share, the store client, certificates and metrics.
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

// eventRingSize bounds the events that a host keeps for the timeline.
const eventRingSize = 16384

// Host is an entry host that is configured by the documents of services.
type Host struct {
	settings  *wagsettings.Settings
	clock     wagclock.Clock
	log       logrus.FieldLogger
	listeners *Listeners
	// mutualIdentity is nil if there is no certificate for peers and operators, and
	// callerIdentity if there is none for callers.
	mutualIdentity, callerIdentity *wagtls.Identity

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

// WithListeners sets the open ports of the host. By default, New opens them.
func WithListeners(l *Listeners) Option {
	return func(h *Host) { h.listeners = l }
}

// Listeners holds the open ports of a host.
type Listeners struct {
	*wagentry.Listeners
	Peer net.Listener
}

// Listen opens the ports of a host. If it returns an error, none stays open.
func Listen(caller, forward, peer, operator netip.AddrPort) (l *Listeners, err error) {
	defer func() { err = errors.WithMessage(err, "open the ports of the host") }()
	entryListeners, err := wagentry.Listen(caller, forward, operator)
	if err != nil {
		return nil, err
	}
	peerListener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(peer))
	if err != nil {
		entryListeners.Close()
		return nil, err
	}
	return &Listeners{Listeners: entryListeners, Peer: peerListener}, nil
}

// New returns a host that is not running yet. Its ports are open.
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
	if err := h.loadIdentities(); err != nil {
		return nil, err
	}
	h.events = wagevent.NewRing(s.Host.Name, eventRingSize, h.clock.Now)
	h.metrics = wagmetrics.New().WithRuntimeCollectors()
	h.store = wagstore.NewClient(s.Store.Address, wagstore.WithRate(s.Store.Rate), wagstore.WithConcurrency(s.Store.Concurrency),
		wagstore.WithWatchWait(s.Store.WatchWait), wagstore.WithTimeout(s.Store.Timeout), wagstore.WithObserver(newStoreCallCounter(h.metrics.Registerer())))
	h.buildControl()
	h.buildClaims()
	h.registerControlMetrics(h.metrics.Registerer())
	h.buildEntry()
	return h, nil
}

// loadIdentities loads the certificates that the settings name. They are reloaded when
// their files change.
func (h *Host) loadIdentities() (err error) {
	reporter := wagtls.WithReloadReporter(func(err error) {
		if err != nil {
			h.log.WithError(err).Warning("changed certificate files are not valid; the previous certificates stay in use")
			return
		}
		h.log.Info("changed certificate files are in use")
	})
	if h.mutualIdentity, err = wagtls.LoadMutual(h.settings.TLS, reporter); err != nil {
		return err
	}
	h.callerIdentity, err = wagtls.LoadCaller(h.settings.TLS, reporter)
	return err
}

func (h *Host) buildControl() {
	clientOptions := []wagpeer.ClientOption{wagpeer.WithCallTimeout(h.settings.Peers.CallTime)}
	if h.mutualIdentity != nil {
		clientOptions = append(clientOptions, wagpeer.WithTLS(h.mutualIdentity.ClientConfig()))
	}
	h.control = wagcontrol.New(h.settings, h.store,
		wagcontrol.WithClock(h.clock), wagcontrol.WithLog(h.log), wagcontrol.WithEvents(h.events),
		wagcontrol.WithPeerClient(wagpeer.NewClient(clientOptions...)), wagcontrol.WithLiveHostsHandler(h.store.SetLiveHosts), wagcontrol.WithViolationHandler(h.recordViolation),
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
		wagentry.WithListeners(h.listeners.Listeners), wagentry.WithListenerWrapper(h.wrapListener), wagentry.WithMembers(h.control),
		wagentry.WithObserver(h.control), wagentry.WithFreshnessCheck(h.control.HasFreshDocuments), wagentry.WithShutdownHook(h.control.Leave),
		wagentry.WithClaims(h.claims), wagentry.WithCallerTerms(newCallerTerms(h.settings.Terms.Keys, h.control)), wagentry.WithDocumentStatus(func() any { return h.control.Status() }),
	}
	if h.mutualIdentity != nil {
		options = append(options, wagentry.WithForwardDial(h.dialForward))
	}
	h.entry = wagentry.New(h.settings, options...)
}

// wrapListener adds TLS to the listener of a port if there is a certificate for the port.
func (h *Host) wrapListener(p wagentry.Port, l net.Listener) net.Listener {
	identity := h.mutualIdentity
	if p == wagentry.CallerPort {
		identity = h.callerIdentity
	}
	if identity == nil {
		return l
	}
	return tls.NewListener(l, identity.ServerConfig())
}

// dialForward opens a TLS connection to the forward port of another host.
func (h *Host) dialForward(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := tls.Dialer{Config: h.mutualIdentity.ClientConfig()}
	return d.DialContext(ctx, "tcp", to.String())
}

// Run serves requests until ctx ends, and then shuts down gracefully.
func (h *Host) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessagef(err, "host %s", h.settings.Host.Name) }()
	// The shared state outlives the requests in flight, which need it.
	detachedCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, sharedCtx := errgroup.WithContext(detachedCtx)
	h.peers, err = wagpeer.NewServer(wagcontrol.NewHandler(sharedCtx, h.control, h.events), h.settings.Peers.Connections)
	if err != nil {
		return err
	}
	var tlsConfig *tls.Config
	if h.mutualIdentity != nil {
		tlsConfig = h.mutualIdentity.ServerConfig()
	}
	entryCtx, stopEntry := context.WithCancel(ctx)
	defer stopEntry()
	g.Go(func() error {
		// If the shared state ends, the proxy shuts down gracefully.
		defer stopEntry()
		return h.control.Run(sharedCtx, dataPlane{h.entry, h.claims})
	})
	g.Go(func() error { return h.claims.Run(sharedCtx) })
	g.Go(func() error {
		err := h.peers.Serve(sharedCtx, h.listeners.Peer, tlsConfig)
		if sharedCtx.Err() != nil {
			return nil
		}
		return err
	})
	g.Go(func() error {
		defer cancel()
		return h.entry.Run(entryCtx)
	})
	h.logStart()
	return g.Wait()
}

// logStart logs the addresses that the host listens on. Where the settings leave the port
// to the operating system, they differ from the settings.
func (h *Host) logStart() {
	l := h.listeners
	h.log.WithFields(logrus.Fields{
		"caller": wagentry.ListenerAddress(l.Caller).String(), "forward": wagentry.ListenerAddress(l.Forward).String(),
		"peer": wagentry.ListenerAddress(l.Peer).String(), "operator": wagentry.ListenerAddress(l.Operator).String(),
	}).Info("entry host started")
}

// dataPlane passes the shared state to the proxy and to the claims of idempotency keys.
type dataPlane struct {
	*wagentry.Proxy
	claims *wagkeyed.Claims
}

var _ wagcontrol.DataPlane = dataPlane{}

// SetDocuments puts documents in force. The claims get the names of the services that have
// keyed routes.
func (p dataPlane) SetDocuments(documents map[string]*wagdocument.Document) {
	p.Proxy.SetDocuments(documents)
	var keyed []string
	for name, d := range documents {
		if !d.Service.Deleted && slices.ContainsFunc(d.Routes, func(r wagdocument.Route) bool { return r.Keyed }) {
			keyed = append(keyed, name)
		}
	}
	slices.Sort(keyed)
	p.claims.SetServices(keyed)
}

// ControlTraffic returns the bytes of control messages that the host has read and written.
func (h *Host) ControlTraffic() (read, written int64) {
	t := h.control.Traffic()
	read, written = t.BytesRead.Load(), t.BytesWritten.Load()
	if h.peers != nil {
		read += h.peers.Traffic.BytesRead.Load()
		written += h.peers.Traffic.BytesWritten.Load()
	}
	return read, written
}

// recordViolation counts a violation of an invariant and records it as an event.
func (h *Host) recordViolation(service, invariant string) {
	h.metrics.CountViolation(invariant)
	h.events.Record(wagevent.Event{Kind: wagevent.KindViolation, Service: service, Detail: invariant})
}

// Violations returns the number of violations of each invariant.
func (h *Host) Violations() (map[string]uint64, error) {
	return h.metrics.Violations()
}

// HasFreshDocuments reports whether the documents of the host were confirmed recently.
func (h *Host) HasFreshDocuments() bool {
	return h.control.HasFreshDocuments(time.Now())
}
