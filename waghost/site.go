package waghost

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/waggateway"
	"github.com/wagtailspar/wagtailspar/waglog"
	"github.com/wagtailspar/wagtailspar/wagmesh"
	"github.com/wagtailspar/wagtailspar/wagmetrics"
	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagroster"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsite"
	"github.com/wagtailspar/wagtailspar/wagsync"
	"github.com/wagtailspar/wagtailspar/wagupstream"
)

// ObjectDecoder tells how the objects of the store are read.
type ObjectDecoder interface {
	// Kinds returns the kinds that a host needs.
	Kinds() []string
	// Decode returns what an object says: a *wagsite.Config or a
	// wagserver.Instance.
	Decode(r wagmirror.Record, read time.Time) (any, error)
	// RequestIDHeader names the header in which servers echo the identity of a request.
	RequestIDHeader() string
}

// SiteSettings are the settings of a host of a site.
type SiteSettings struct {
	Name       string
	DataCentre string
	// MilliCores is the share of a core that the host has, in thousandths.
	MilliCores int
	// CallerAddress, ReadinessAddress and PeerAddress are the addresses that the host listens on.
	CallerAddress, ReadinessAddress, PeerAddress netip.AddrPort
	// Seeds are Peers addresses of some hosts; they may be out of date.
	Seeds []netip.AddrPort
	// GracePeriod is the time that a planned stop has.
	GracePeriod time.Duration
	// Limits bound repeats and probes of this host as an owner.
	Limits wagowner.Limits
}

// SiteHost is a host that serves the routes of one site.
type SiteHost struct {
	settings SiteSettings
	objects  ObjectDecoder
	clock    wagclock.Clock
	log      *waglog.Log
	metrics  *wagmetrics.SiteMetrics
	owner    *wagowner.Owner
	sync     *wagsync.Sync
	mesh     *wagmesh.Mesh
	gateway  *waggateway.Gateway
	upstream *wagupstream.Pool
	// seeds are those of the latest settings.
	seeds atomic.Pointer[[]netip.AddrPort]
	// restartOnce keeps the warning about settings that need a restart to one line.
	restartOnce sync.Once

	mu sync.Mutex
	// servers holds the registered servers by their names.
	servers map[string]wagserver.Instance
	// changed is signalled when the mesh has something to pass on.
	changed chan struct{}
}

// SiteOption sets a property of a Site.
type SiteOption func(*SiteHost)

// WithSiteLog sets the log; without it nothing is logged.
func WithSiteLog(l *waglog.Log) SiteOption { return func(s *SiteHost) { s.log = l } }

// WithSiteMetrics replaces the metrics.
func WithSiteMetrics(m *wagmetrics.SiteMetrics) SiteOption {
	return func(s *SiteHost) { s.metrics = m }
}

// NewSiteHost returns a host of a site that is not yet running.
func NewSiteHost(settings SiteSettings, store wagmirror.Store, objects ObjectDecoder, protocol waggateway.Protocol, opts ...SiteOption) *SiteHost {
	s := &SiteHost{
		settings: settings, objects: objects, clock: wagclock.System{}, log: waglog.Discard(), metrics: wagmetrics.NewSiteMetrics(),
		servers: make(map[string]wagserver.Instance), changed: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(s)
	}
	watch := observer{log: s.log, metrics: s.metrics}
	s.upstream = wagupstream.NewPool(objects.RequestIDHeader())
	s.owner = wagowner.New(settings.DataCentre, &prober{site: s, protocol: protocol}, wagowner.WithClock(s.clock), wagowner.WithObserver(watch),
		wagowner.WithLimits(settings.Limits))
	s.sync = wagsync.New(store, s.apply, objects.Kinds(), wagsync.WithClock(s.clock), wagsync.WithLog(s.log.Logger()))
	self := wagroster.Member{
		Name: settings.Name, DataCentre: settings.DataCentre, Generation: uint64(s.clock.Now().UnixMilli()), Address: settings.PeerAddress,
		MilliCores: settings.MilliCores,
	}
	s.mesh = wagmesh.New(self, s.sync, s.owner, wagmesh.WithClock(s.clock), wagmesh.WithLog(s.log.Logger()),
		wagmesh.WithSeeds(func() []netip.AddrPort { return *s.seeds.Load() }))
	s.seeds.Store(&settings.Seeds)
	s.owner.SetRemotePlaceFunc(s.mesh.PlaceRemote)
	s.gateway = waggateway.New(protocol, s.mesh, s.upstream, waggateway.WithClock(s.clock), waggateway.WithLog(s.log.Logger()), waggateway.WithObserver(watch))
	s.registerFigures()
	return s
}

// Reload puts new settings in force. Names and addresses hold until the next
// start.
func (s *SiteHost) Reload(settings SiteSettings) {
	if !slices.Equal(*s.seeds.Load(), settings.Seeds) {
		s.seeds.Store(&settings.Seeds)
		s.log.Info(waglog.KindHost, waglog.Fields{"event": "reload", "seeds": settings.Seeds})
	}
	old := s.settings
	if old.Name != settings.Name || old.DataCentre != settings.DataCentre || old.CallerAddress != settings.CallerAddress ||
		old.ReadinessAddress != settings.ReadinessAddress || old.PeerAddress != settings.PeerAddress {
		s.restartOnce.Do(func() {
			s.log.Warn(waglog.KindHost, waglog.Fields{"event": "reload", "reason": "changed names or addresses come into force with the next start"})
		})
	}
}

// apply takes objects of the store that changed.
func (s *SiteHost) apply(records []wagmirror.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	serversChanged := false
	for _, r := range records {
		if r.Deleted {
			_, known := s.servers[r.Name]
			delete(s.servers, r.Name)
			serversChanged = serversChanged || known
			s.log.Info(waglog.KindServer, waglog.Fields{"server": r.Name, "event": "gone", "revision": r.Revision})
			continue
		}
		decoded, err := s.objects.Decode(r, now)
		if err != nil {
			s.log.Warn(waglog.KindStore, waglog.Fields{"object": r.Kind + "/" + r.Name, "revision": r.Revision, "error": err.Error()})
		}
		switch x := decoded.(type) {
		case *wagsite.Config:
			s.putInForce(x)
		case wagserver.Instance:
			s.noteServer(r, x)
			serversChanged = true
		}
	}
	if serversChanged {
		s.updateServers()
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *SiteHost) putInForce(c *wagsite.Config) {
	s.gateway.SetConfig(c)
	var names []string
	for _, service := range c.Services() {
		names = append(names, service.Name)
	}
	s.mesh.SetServices(names)
	s.metrics.ConfigVersion.Set(float64(c.Version))
	s.log.Info(waglog.KindConfig, waglog.Fields{"event": "inForce", "version": uint64(c.Version), "copyAgeMs": ms(s.copyAge())})
}

// noteServer takes a server that registered or changed; s.mu is held.
func (s *SiteHost) noteServer(r wagmirror.Record, i wagserver.Instance) {
	old, known := s.servers[r.Name]
	s.servers[r.Name] = i
	if known && old.State == i.State && old.Started.Equal(i.Started) {
		return
	}
	s.log.Info(waglog.KindServer, waglog.Fields{
		"server": i.ID, "service": i.Service, "dataCentre": i.DataCentre, "event": string(i.State), "revision": r.Revision,
	})
}

// copyAge returns the time since the store confirmed the copy of its objects.
func (s *SiteHost) copyAge() time.Duration {
	at := s.sync.ConfirmedAt()
	if at.IsZero() {
		return 0
	}
	return s.clock.Now().Sub(at)
}

// registerFigures adds the figures that are read when the metrics are.
func (s *SiteHost) registerFigures() {
	s.metrics.RegisterGauge("site_copy_age_seconds", "Time since the store confirmed the copy of its objects.", func() float64 { return s.copyAge().Seconds() })
	s.metrics.RegisterGauge("site_members", "Known hosts of the site.", func() float64 { return float64(len(s.mesh.Members())) })
	s.metrics.RegisterGauge("site_follows_store", "1 while this host follows the store for others.", func() float64 {
		if s.sync.IsFollowing() {
			return 1
		}
		return 0
	})
	s.metrics.RegisterCounter("site_connections_total", "Connections opened to servers.", func() float64 { return float64(s.upstream.Stats().Dialed) })
	s.metrics.RegisterCounter("site_dropped_connections_total", "Kept connections to servers that broke when they were used again.", func() float64 { return float64(s.upstream.Stats().Dropped) })
	s.metrics.RegisterCounter("site_foreign_answers_total", "Answers of servers that belonged to other requests.", func() float64 { return float64(s.upstream.Stats().Mismatched) })
	s.metrics.RegisterCounter("site_log_lines_dropped_total", "Log lines that were left out.", func() (sum float64) {
		for _, n := range s.log.DroppedCounts() {
			sum += float64(n)
		}
		return sum
	})
}

// updateServers passes the servers on; s.mu is held.
func (s *SiteHost) updateServers() {
	list := slices.Collect(maps.Values(s.servers))
	s.owner.SetServers(list)
}

// Run serves until ctx ends and the planned stop is complete.
func (s *SiteHost) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessagef(err, "host %s", s.settings.Name) }()
	var listeners [3]net.Listener
	// The idle time-out ends connections of callers that are gone; keep-alive probes
	// need four system calls for each connection.
	listen := net.ListenConfig{KeepAlive: -1}
	for i, address := range []netip.AddrPort{s.settings.CallerAddress, s.settings.ReadinessAddress, s.settings.PeerAddress} {
		l, err := listen.Listen(ctx, "tcp", address.String())
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		listeners[i] = l
	}
	outer, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, shared := errgroup.WithContext(outer)
	g.Go(func() error { return s.sync.Run(shared) })
	g.Go(func() error { return s.owner.Run(shared) })
	g.Go(func() error { return s.mesh.Run(shared, listeners[2]) })
	g.Go(func() error { return s.passOn(shared) })
	g.Go(func() error {
		for wagclock.Wait(shared, s.clock, s.clock.Now().Add(sweepTime)) {
			s.upstream.Prune(s.registered())
		}
		return nil
	})
	g.Go(func() error { return serve(shared, s.operators(), listeners[1]) })
	g.Go(func() error {
		defer end()
		return s.gateway.Run(ctx, listeners[0], waggateway.ShutdownOptions{GracePeriod: s.settings.GracePeriod, Announce: s.mesh.Leave})
	})
	s.log.Info(waglog.KindHost, waglog.Fields{"event": "start", "dataCentre": s.settings.DataCentre, "callers": s.settings.CallerAddress, "peers": s.settings.PeerAddress})
	err = g.Wait()
	f := waglog.Fields{"event": "stop"}
	if err != nil {
		f["error"] = err.Error()
	}
	s.log.Info(waglog.KindHost, f)
	return err
}

// sweepTime is how often connections to servers that are gone, or that were idle for
// too long, are closed. Servers close idle connections after 10 s.
const sweepTime = 2 * time.Second

// registered returns what tells whether a server is registered.
func (s *SiteHost) registered() func(wagupstream.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[wagupstream.Server]bool, len(s.servers))
	for _, i := range s.servers {
		known[wagupstream.Server{Address: i.Address, ID: i.ID}] = true
	}
	return func(x wagupstream.Server) bool { return known[x] }
}

// passOn tells the mesh of changes. apply must not, because the mesh may be
// calling it.
func (s *SiteHost) passOn(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.changed:
			s.mesh.PushChanges()
		}
	}
}

// operators returns the handler of the readiness port.
func (s *SiteHost) operators() http.Handler {
	e := echo.New()
	e.GET("/readyz", func(c echo.Context) error {
		if !s.gateway.Ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	e.GET("/metrics", echo.WrapHandler(s.metrics.Handler()))
	return e
}

// readHeaderTimeout bounds how long an operator may take to send a header.
const readHeaderTimeout = 5 * time.Second

// serve serves a handler until ctx ends.
func serve(ctx context.Context, h http.Handler, l net.Listener) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
