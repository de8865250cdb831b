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
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/waggateway"
	"github.com/wagtailspar/wagtailspar/wagmesh"
	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagroster"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsite"
	"github.com/wagtailspar/wagtailspar/wagsync"
	"github.com/wagtailspar/wagtailspar/wagupstream"
)

// Objects tells how the objects of the store are read.
type Objects interface {
	// Kinds returns the kinds that a host needs.
	Kinds() []string
	// Decode returns what an object says: a *wagsite.Config or a
	// wagserver.Instance.
	Decode(r wagmirror.Record, read time.Time) (any, error)
	// IDHeader names the header in which servers echo the identity of a request.
	IDHeader() string
}

// SiteSettings are the settings of a host of a site.
type SiteSettings struct {
	Name       string
	DataCentre string
	// Processor is the share of a core that the host has, in thousandths.
	Processor int
	// Callers, Readiness and Peers are the addresses that the host listens on.
	Callers, Readiness, Peers netip.AddrPort
	// Seeds are Peers addresses of some hosts; they may be out of date.
	Seeds []netip.AddrPort
	// Grace is the time that a planned stop has.
	Grace time.Duration
}

// Site is a host that serves the routes of one site.
type Site struct {
	settings SiteSettings
	objects  Objects
	clock    wagclock.Clock
	log      logrus.FieldLogger
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
type SiteOption func(*Site)

// WithSiteLog replaces the standard logger.
func WithSiteLog(l logrus.FieldLogger) SiteOption { return func(s *Site) { s.log = l } }

// NewSite returns a host of a site that is not yet running.
func NewSite(settings SiteSettings, store wagmirror.Store, objects Objects, protocol waggateway.Protocol, opts ...SiteOption) *Site {
	s := &Site{
		settings: settings, objects: objects, clock: wagclock.System{}, log: logrus.StandardLogger(),
		servers: make(map[string]wagserver.Instance), changed: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(s)
	}
	s.upstream = wagupstream.NewPool(objects.IDHeader())
	s.owner = wagowner.New(settings.DataCentre, &prober{site: s, protocol: protocol}, wagowner.WithClock(s.clock))
	s.sync = wagsync.New(store, s.apply, objects.Kinds(), wagsync.WithClock(s.clock), wagsync.WithLog(s.log))
	self := wagroster.Member{
		Name: settings.Name, DataCentre: settings.DataCentre, Generation: uint64(s.clock.Now().UnixMilli()), Address: settings.Peers,
		Processor: settings.Processor,
	}
	s.mesh = wagmesh.New(self, s.sync, s.owner, wagmesh.WithClock(s.clock), wagmesh.WithLog(s.log),
		wagmesh.WithSeeds(func() []netip.AddrPort { return *s.seeds.Load() }))
	s.seeds.Store(&settings.Seeds)
	s.owner.SetRemote(s.mesh.PlaceRemote)
	s.gateway = waggateway.New(protocol, s.mesh, s.upstream, waggateway.WithClock(s.clock), waggateway.WithLog(s.log))
	return s
}

// Reload puts new settings in force. Names and addresses hold until the next
// start.
func (s *Site) Reload(settings SiteSettings) {
	if !slices.Equal(*s.seeds.Load(), settings.Seeds) {
		s.seeds.Store(&settings.Seeds)
		s.log.WithField("seeds", settings.Seeds).Info("seeds reloaded")
	}
	old := s.settings
	if old.Name != settings.Name || old.DataCentre != settings.DataCentre || old.Callers != settings.Callers ||
		old.Readiness != settings.Readiness || old.Peers != settings.Peers {
		s.restartOnce.Do(func() { s.log.Warning("changed names or addresses come into force with the next start") })
	}
}

// apply takes objects of the store that changed.
func (s *Site) apply(records []wagmirror.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	serversChanged := false
	for _, r := range records {
		if r.Deleted {
			_, known := s.servers[r.Name]
			delete(s.servers, r.Name)
			serversChanged = serversChanged || known
			continue
		}
		decoded, err := s.objects.Decode(r, now)
		if err != nil {
			s.log.WithError(err).WithField("object", r.Kind+"/"+r.Name).Warning("an object of the store is not valid")
		}
		switch x := decoded.(type) {
		case *wagsite.Config:
			s.putInForce(x)
		case wagserver.Instance:
			s.servers[r.Name] = x
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

func (s *Site) putInForce(c *wagsite.Config) {
	s.gateway.SetConfig(c)
	var names []string
	for _, service := range c.Services() {
		names = append(names, service.Name)
	}
	s.mesh.SetServices(names)
	s.log.WithField("version", uint64(c.Version)).Info("configuration in force")
}

// updateServers passes the servers on; s.mu is held.
func (s *Site) updateServers() {
	list := slices.Collect(maps.Values(s.servers))
	s.owner.SetServers(list)
}

// Run serves until ctx ends and the planned stop is complete.
func (s *Site) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessagef(err, "host %s", s.settings.Name) }()
	var listeners [3]net.Listener
	for i, address := range []netip.AddrPort{s.settings.Callers, s.settings.Readiness, s.settings.Peers} {
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
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
	g.Go(func() error { return serve(shared, s.operators(), listeners[1]) })
	g.Go(func() error {
		defer end()
		return s.gateway.Run(ctx, listeners[0], waggateway.StopPlan{Grace: s.settings.Grace, Announce: s.mesh.Leave})
	})
	s.log.WithFields(logrus.Fields{"host": s.settings.Name, "dataCentre": s.settings.DataCentre}).Info("host started")
	defer func() { s.log.WithField("host", s.settings.Name).Info("host stopped") }()
	return g.Wait()
}

// passOn tells the mesh of changes. apply must not, because the mesh may be
// calling it.
func (s *Site) passOn(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.changed:
			s.mesh.Changed()
		}
	}
}

// operators returns the handler of the readiness port.
func (s *Site) operators() http.Handler {
	e := echo.New()
	e.GET("/readyz", func(c echo.Context) error {
		if !s.gateway.Ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
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
