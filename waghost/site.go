package waghost

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/waggateway"
	"github.com/wagtailspar/wagtailspar/waglimits"
	"github.com/wagtailspar/wagtailspar/waglog"
	"github.com/wagtailspar/wagtailspar/wagmesh"
	"github.com/wagtailspar/wagtailspar/wagmetrics"
	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagpanic"
	"github.com/wagtailspar/wagtailspar/wagroster"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsite"
	"github.com/wagtailspar/wagtailspar/wagsync"
	"github.com/wagtailspar/wagtailspar/wagupstream"
)

// ObjectDecoder decodes the objects of the platform's store.
type ObjectDecoder interface {
	// Kinds returns the kinds of objects that a host needs.
	Kinds() []string
	// Decode decodes an object that was read at the given time. It returns a
	// *wagsite.Config, a wagserver.Instance, a wagsite.Evacuation, or nil for an object that hosts do not use.
	Decode(r wagmirror.Record, readAt time.Time) (any, error)
	// RequestIDHeader returns the name of the header in which servers echo the ID of a
	// request.
	RequestIDHeader() string
}

// SiteSettings are the settings of a SiteHost.
type SiteSettings struct {
	Name       string
	DataCentre string
	// MilliCores is the CPU share of the host, in thousandths of a core.
	MilliCores int
	// CallerAddress, ReadinessAddress and PeerAddress are the addresses that the host
	// listens on.
	CallerAddress, ReadinessAddress, PeerAddress netip.AddrPort
	// Seeds are the peer addresses of some hosts of the site. They may be out of date.
	Seeds []netip.AddrPort
	// FirstStart is set when the whole site starts for the first time, so that no caller
	// waits for it.
	FirstStart bool
	// GracePeriod bounds a graceful shutdown.
	GracePeriod time.Duration
	// ApplyTimeout is the time within which a change of the store has to be in force; 0 for
	// wagroster.DefaultApplyTimeout.
	ApplyTimeout time.Duration
	// RegistrationTimeout is the time without a report after which the store removes the
	// entry of a server; 0 for 4.5 s.
	RegistrationTimeout time.Duration
	// FollowEvacuations is set if the kinds of the ObjectDecoder include evacuations.
	FollowEvacuations bool
	// Limits bound the retries and probes of the server groups that this host owns.
	Limits wagowner.Limits
	// MemoryBytes and MaxFileDescriptors are the limits of the process, from which
	// waglimits derives those of the host; 0 when they are not known.
	MemoryBytes        int64
	MaxFileDescriptors int
}

// SiteHost is a host on the platform, which serves the routes of one site.
type SiteHost struct {
	settings SiteSettings
	decoder  ObjectDecoder
	clock    wagclock.Clock
	log      *waglog.Log
	metrics  *wagmetrics.SiteMetrics
	owner    *wagowner.Owner
	sync     *wagsync.Sync
	mesh     *wagmesh.Mesh
	gateway  *waggateway.Gateway
	upstream *wagupstream.Pool
	observer observer
	// seeds are the seeds of the latest settings.
	seeds atomic.Pointer[[]netip.AddrPort]
	// restartOnce limits the warning about settings that need a restart to one line.
	restartOnce sync.Once

	mu sync.Mutex
	// servers holds the registered servers by the names of their objects.
	servers map[string]wagserver.Instance
	// evacuations holds the evacuations in force.
	evacuations evacuations
	// restoration holds what this host goes by after the store has come back from a copy.
	restoration restoration
	// leaving holds the IDs of the servers that have left or are leaving. It is never nil and
	// not changed.
	leaving atomic.Pointer[map[string]bool]
	// configVersion is the version of the configuration in force.
	configVersion wagsite.Version
	// evacuationsKnown is set when this host waits for the evacuations no longer, which it
	// does until evacuationsWaitUntil at the latest.
	evacuationsKnown     atomic.Bool
	evacuationsWaitUntil time.Time
	// withheldAttempts counts the grants that were given back unsent.
	withheldAttempts atomic.Uint64
	// departedGrants counts the grants of servers that have left or are leaving.
	departedGrants atomic.Uint64
	// loggedFaults holds what was logged of invalid objects and of configurations that
	// are used in part, so that it is logged once. It is emptied at maxLoggedFaults.
	loggedFaults map[string]bool
	// pushPending is signalled when the mesh has changes to push to the peers.
	pushPending chan struct{}
}

// SiteOption sets a property of a SiteHost.
type SiteOption func(*SiteHost)

// WithSiteLog sets the log. By default, nothing is logged.
func WithSiteLog(l *waglog.Log) SiteOption { return func(s *SiteHost) { s.log = l } }

// WithSiteMetrics replaces the metrics.
func WithSiteMetrics(m *wagmetrics.SiteMetrics) SiteOption {
	return func(s *SiteHost) { s.metrics = m }
}

// NewSiteHost returns a host that is not running yet.
func NewSiteHost(settings SiteSettings, store wagmirror.Store, decoder ObjectDecoder, protocol waggateway.Protocol, opts ...SiteOption) *SiteHost {
	s := &SiteHost{
		settings: settings, decoder: decoder, clock: wagclock.System{}, log: waglog.Discard(), metrics: wagmetrics.NewSiteMetrics(),
		servers: make(map[string]wagserver.Instance), loggedFaults: make(map[string]bool), pushPending: make(chan struct{}, 1),
		restoration: newRestoration(),
	}
	for _, o := range opts {
		o(s)
	}
	s.leaving.Store(&map[string]bool{})
	freshness := wagroster.NewFreshness(settings.ApplyTimeout)
	gaps := wagclock.NewGaps(s.clock, freshness.ApplyTimeout/4)
	obs := observer{host: settings.Name, log: s.log, metrics: s.metrics, shortages: newShortages(), now: s.clock.Now, copyState: s.copyState}
	s.observer = obs
	limits := waglimits.Derive(settings.MemoryBytes, settings.MaxFileDescriptors)
	s.upstream = wagupstream.NewPool(decoder.RequestIDHeader(), wagupstream.WithMaxConnections(limits.ServerConnections), wagupstream.WithLog(s.log.Logger()))
	s.owner = wagowner.New(settings.DataCentre, &prober{host: s, protocol: protocol}, wagowner.WithClock(s.clock), wagowner.WithObserver(obs), wagowner.WithLog(s.log.Logger()),
		wagowner.WithLimits(settings.Limits))
	s.sync = wagsync.New(store, s.applyChange, decoder.Kinds(), wagsync.WithClock(s.clock), wagsync.WithLog(s.log.Logger()), wagsync.WithFirstStart(settings.FirstStart),
		wagsync.WithGaps(gaps))
	self := wagroster.Member{
		Name: settings.Name, DataCentre: settings.DataCentre, Generation: uint64(s.clock.Now().UnixMilli()), Address: settings.PeerAddress,
		MilliCores: settings.MilliCores,
	}
	s.mesh = wagmesh.New(self, s.sync, s.owner, wagmesh.WithClock(s.clock), wagmesh.WithLog(s.log.Logger()),
		wagmesh.WithFreshness(freshness), wagmesh.WithGaps(gaps),
		wagmesh.WithSeeds(func() []netip.AddrPort { return *s.seeds.Load() }))
	s.seeds.Store(&settings.Seeds)
	s.owner.SetRemotePlaceFunc(s.mesh.PlaceRemote)
	s.owner.SetQuotaLinks(s.mesh)
	s.gateway = waggateway.New(protocol, s.mesh, s.upstream, waggateway.WithClock(s.clock), waggateway.WithLog(s.log.Logger()), waggateway.WithObserver(obs),
		waggateway.WithSendCheck(s.maySend), waggateway.WithDepartureCheck(s.hasLeft), waggateway.WithLimits(waggateway.Limits{MemoryBytes: limits.CallerMemoryBytes, Connections: limits.CallerConnections}))
	s.evacuationsWaitUntil = s.clock.Now().Add(evacuationsWaitTimeout)
	s.registerMetrics()
	s.registerColdMetrics()
	if settings.FollowEvacuations {
		s.registerEvacuationMetrics()
	}
	s.registerQuotaMetrics()
	s.registerBudgetMetrics(limits.CallerConnections)
	return s
}

// Reload applies the seeds of new settings. All other settings are applied at the next
// start; a warning is logged if names or addresses have changed.
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

// applyChange applies the objects of the store that have changed.
func (s *SiteHost) applyChange(c wagsync.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	serversChanged, evacuationsChanged := false, false
	// The first list has hundreds of servers; one line says so.
	isFirstList := len(s.servers) == 0
	isRestored := s.restoration.recordEra(c)
	for _, r := range c.Records {
		if r.Deleted {
			changed, isEvacuation := s.endEvacuation(r, isRestored, now)
			evacuationsChanged = evacuationsChanged || changed
			if !isEvacuation {
				serversChanged = s.removeServer(c, r, isRestored, now) || serversChanged
			}
			continue
		}
		decoded, err := s.decode(r, now)
		if err != nil {
			serversChanged = s.dropInvalid(r, err) || serversChanged
			continue
		}
		switch object := decoded.(type) {
		case *wagsite.Config:
			s.applyConfig(c, r, object)
		case wagserver.Instance:
			if !s.withholdServer(c, r, object, isRestored, now) {
				serversChanged = s.updateServer(c, r, object, isFirstList) || serversChanged
			}
		case wagsite.Evacuation:
			evacuationsChanged = s.addEvacuation(r, object, isRestored, now) || evacuationsChanged
		}
	}
	if serversChanged || evacuationsChanged {
		s.setOwnerServers(serversChanged || len(s.servers) > 0)
	}
	if serversChanged && isFirstList {
		s.log.Info(waglog.KindServer, waglog.Fields{"event": "list", "servers": len(s.servers)})
	}
	select {
	case s.pushPending <- struct{}{}:
	default:
	}
}

// decode decodes an object of the store. A panic makes the object invalid: it would end
// each host of the site, and again after each restart.
func (s *SiteHost) decode(r wagmirror.Record, now time.Time) (object any, err error) {
	err = wagpanic.Catch(s.log.Logger(), func() (err error) {
		object, err = s.decoder.Decode(r, now)
		return err
	})
	return object, err
}

// dropInvalid counts an object that cannot be decoded. An entry of a server names no
// server any more then, and a configuration leaves the former one in force. It reports
// whether a server was removed. s.mu must be held.
func (s *SiteHost) dropInvalid(r wagmirror.Record, cause error) (removed bool) {
	s.metrics.InvalidObjects.WithLabelValues(r.Kind).Inc()
	object := r.Kind + "/" + r.Name
	s.logFault(waglog.KindStore, object+": "+cause.Error(), waglog.Fields{"event": "invalid", "object": object, "revision": r.Revision, "error": cause.Error()})
	_, removed = s.servers[r.Name]
	delete(s.servers, r.Name)
	return removed
}

// maxLoggedFaults bounds the faults that are remembered as logged.
const maxLoggedFaults = 1024

// logFault logs a warning unless the same fault was logged before. s.mu must be held.
func (s *SiteHost) logFault(kind waglog.Kind, fault string, fields waglog.Fields) {
	if s.loggedFaults[fault] {
		return
	}
	if len(s.loggedFaults) >= maxLoggedFaults {
		clear(s.loggedFaults)
	}
	s.loggedFaults[fault] = true
	s.log.Warn(kind, fields)
}

// withOrigin adds the fields that tell from whom this host has a change of the store, in
// which era of the store, and how old its copy is.
func (s *SiteHost) withOrigin(c wagsync.Change, f waglog.Fields) waglog.Fields {
	f["from"], f["era"], f["copyAgeMs"] = c.From, uint64(c.Era), ms(s.copyAge())
	return f
}

// applyConfig puts a configuration in force unless a later version is, as after the store
// has come back from a copy. s.mu must be held.
func (s *SiteHost) applyConfig(change wagsync.Change, r wagmirror.Record, c *wagsite.Config) {
	if c.Version < s.configVersion {
		s.log.Info(waglog.KindConfig, s.withOrigin(change, waglog.Fields{"event": "older", "version": uint64(c.Version), "revision": r.Revision}))
		return
	}
	s.configVersion = c.Version
	s.metrics.ConfigWarnings.Set(float64(len(c.Warnings)))
	for _, warning := range c.Warnings {
		s.logFault(waglog.KindConfig, warning, waglog.Fields{"event": "usedInPart", "version": uint64(c.Version), "reason": warning})
	}
	s.gateway.SetConfig(c)
	var names []string
	for _, service := range c.Services() {
		names = append(names, service.Name)
	}
	s.mesh.SetServices(names)
	s.owner.SetColdRates(coldRates(c))
	s.owner.SetCustomers(quotaLimits(c), names)
	s.metrics.ConfigVersion.Set(float64(c.Version))
	s.log.Info(waglog.KindConfig, s.withOrigin(change, waglog.Fields{"event": "inForce", "version": uint64(c.Version), "revision": r.Revision}))
}

// updateServer records a server that has registered or changed, and logs it unless it is
// one of the first list. It ignores a report that is older than the known one, which the
// store has done late, and reports whether anything changed. s.mu must be held.
func (s *SiteHost) updateServer(c wagsync.Change, r wagmirror.Record, instance wagserver.Instance, isFirstList bool) bool {
	old, known := s.servers[r.Name]
	if known && old.Started.Equal(instance.Started) && instance.Sequence < old.Sequence {
		s.log.Info(waglog.KindServer, s.withOrigin(c, waglog.Fields{
			"server": instance.ID, "event": "late", "revision": r.Revision, "sequence": instance.Sequence, "knownSequence": old.Sequence,
		}))
		return false
	}
	s.servers[r.Name] = instance
	if isFirstList || known && old.State == instance.State && old.Started.Equal(instance.Started) {
		return true
	}
	if known && !old.Started.Equal(instance.Started) {
		s.upstream.LiftRestriction(wagupstream.Server{Address: instance.Address, ID: instance.ID})
	}
	s.log.Info(waglog.KindServer, s.withOrigin(c, waglog.Fields{
		"server": instance.ID, "service": instance.Service, "dataCentre": instance.DataCentre, "event": string(instance.State), "revision": r.Revision,
		"sequence": instance.Sequence,
	}))
	return true
}

// copyAge returns the time since the store confirmed the copy of its objects, or 0 if it
// never has.
func (s *SiteHost) copyAge() time.Duration {
	at := s.sync.ConfirmedAt()
	if at.IsZero() {
		return 0
	}
	return s.clock.Now().Sub(at)
}

// copyState returns the position of the copy of the store's objects, and the time since the
// store confirmed it.
func (s *SiteHost) copyState() (position wagmirror.Position, age time.Duration) {
	return s.sync.Position(), s.copyAge()
}

// registerMetrics registers the metrics whose values are read at each scrape.
func (s *SiteHost) registerMetrics() {
	s.metrics.RegisterGauge("site_copy_age_seconds", "Time since the store confirmed the copy of its objects.", func() float64 { return s.copyAge().Seconds() })
	s.metrics.RegisterGauge("site_store_era", "Latest known era of the store; 0 if it states none.", func() float64 { return float64(s.sync.Position().Era) })
	s.metrics.RegisterGauge("site_copy_revision", "Revision of the store up to which the copy of its objects is known.", func() float64 { return float64(s.sync.Position().Revision) })
	s.metrics.RegisterCounter("site_departed_grants_total", "Grants of servers that this host knows to have left or to be leaving, given back unsent.", func() float64 { return float64(s.departedGrants.Load()) })
	s.metrics.RegisterCounter("site_dropped_updates_total", "Updates of the objects that were dropped as old or incomplete.", func() float64 { return float64(s.sync.DroppedUpdates()) })
	s.metrics.RegisterGauge("site_members", "Known hosts of the site.", func() float64 { return float64(len(s.mesh.Members())) })
	s.metrics.RegisterGauge("site_follows_store", "1 while this host follows the store for others.", func() float64 {
		if s.sync.IsFollowing() {
			return 1
		}
		return 0
	})
	s.registerCustomerMetrics()
	s.metrics.RegisterCounter("site_caught_panics_total", "Panics in the handling of messages of other processes.", func() float64 { return float64(wagpanic.Count()) })
	s.metrics.RegisterCounter("site_connections_total", "Connections opened to servers.", func() float64 { return float64(s.upstream.Stats().Dialed) })
	s.metrics.RegisterCounter("site_dropped_connections_total", "Kept connections to servers that broke when they were used again.", func() float64 { return float64(s.upstream.Stats().Dropped) })
	s.metrics.RegisterGauge("site_server_connections", "Open connections to servers.", func() float64 { return float64(s.upstream.Stats().Open) })
	s.metrics.RegisterGauge("site_server_connections_limit", "Permitted connections to servers; 0 means any number.", func() float64 { return float64(s.upstream.Stats().Limit) })
	s.metrics.RegisterCounter("site_evicted_connections_total", "Idle connections to servers that were closed because of the limit.", func() float64 { return float64(s.upstream.Stats().Evicted) })
	s.metrics.RegisterCounter("site_foreign_answers_total", "Answers of servers that belonged to other requests.", func() float64 { return float64(s.upstream.Stats().Mismatched) })
	s.metrics.RegisterCounter("site_log_lines_dropped_total", "Log lines that were left out.", func() (sum float64) {
		for _, n := range s.log.DroppedCounts() {
			sum += float64(n)
		}
		return sum
	})
}

// registerBudgetMetrics registers the metrics of what is held for callers, which may have
// the given number of connections.
func (s *SiteHost) registerBudgetMetrics(connectionLimit int) {
	s.metrics.RegisterGauge("site_caller_memory_bytes", "Memory that is held for callers.", func() float64 { return float64(s.gateway.BudgetStats().UsedBytes) })
	s.metrics.RegisterGauge("site_caller_memory_limit_bytes", "Memory that may be held for callers.", func() float64 { return float64(s.gateway.BudgetStats().LimitBytes) })
	s.metrics.RegisterGauge("site_caller_connections", "Open connections of callers.", func() float64 { return float64(s.gateway.BudgetStats().Connections) })
	s.metrics.RegisterGauge("site_caller_connections_limit", "Permitted connections of callers; 0 means any number.", func() float64 { return float64(connectionLimit) })
	s.metrics.RegisterCounter("site_evicted_callers_total", "Connections of callers that were closed to make room for others.", func() float64 { return float64(s.gateway.BudgetStats().Evicted) })
}

// setOwnerServers puts the evacuations in force and passes the registered servers outside
// the evacuated data centres to the owner, unless it has to wait for the first list of
// servers. s.mu must be held.
func (s *SiteHost) setOwnerServers(isListKnown bool) {
	list := s.evacuations.apply(slices.Collect(maps.Values(s.servers)))
	if isListKnown {
		s.owner.SetServers(list)
	}
	s.owner.SetEvacuating(len(s.evacuations.dataCentres) > 0)
	s.updateLeaving()
}

// updateLeaving records which servers have left or are leaving. s.mu must be held.
func (s *SiteHost) updateLeaving() {
	leaving := make(map[string]bool)
	for _, d := range s.restoration.departures {
		leaving[d.instance.ID] = true
	}
	for _, i := range s.servers {
		if i.State == wagserver.Leaving {
			leaving[i.ID] = true
		} else {
			delete(leaving, i.ID)
		}
	}
	s.leaving.Store(&leaving)
}

// hasLeft reports whether a server has left or is leaving, as far as this host knows. One
// that it does not know may have registered a moment ago.
func (s *SiteHost) hasLeft(serverID string) bool {
	if !(*s.leaving.Load())[serverID] {
		return false
	}
	s.departedGrants.Add(1)
	return true
}

// Run serves requests until ctx ends, and then shuts down gracefully.
func (s *SiteHost) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessagef(err, "host %s", s.settings.Name) }()
	var listeners [3]net.Listener
	// Keep-alive probes are off, because they need four system calls for each connection.
	// The idle timeout closes the connections of callers that are gone.
	listenConfig := net.ListenConfig{KeepAlive: -1}
	for i, address := range []netip.AddrPort{s.settings.CallerAddress, s.settings.ReadinessAddress, s.settings.PeerAddress} {
		l, err := listenConfig.Listen(ctx, "tcp", address.String())
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		listeners[i] = l
	}
	// The shared state outlives the requests in flight, which need it.
	detachedCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, sharedCtx := errgroup.WithContext(detachedCtx)
	g.Go(func() error { return s.sync.Run(sharedCtx) })
	g.Go(func() error { return s.owner.Run(sharedCtx) })
	g.Go(func() error { return s.mesh.Run(sharedCtx, listeners[2]) })
	g.Go(func() error { return s.pushChanges(sharedCtx) })
	g.Go(func() error { return s.awaitRestoration(sharedCtx) })
	g.Go(func() error {
		for wagclock.Wait(sharedCtx, s.clock, s.clock.Now().Add(pruneInterval)) {
			s.upstream.Prune(s.registrationCheck())
			s.observer.logEndOfShortage()
		}
		return nil
	})
	g.Go(func() error { return serveOperators(sharedCtx, s.operatorHandler(), listeners[1]) })
	g.Go(func() error {
		defer cancel()
		return s.gateway.Run(ctx, listeners[0], waggateway.ShutdownOptions{GracePeriod: s.settings.GracePeriod, Announce: s.mesh.Leave})
	})
	s.log.Info(waglog.KindHost, waglog.Fields{"event": "start", "dataCentre": s.settings.DataCentre, "callers": s.settings.CallerAddress, "peers": s.settings.PeerAddress})
	err = g.Wait()
	fields := waglog.Fields{"event": "stop"}
	if err != nil {
		fields["error"] = err.Error()
	}
	s.log.Info(waglog.KindHost, fields)
	return err
}

// pruneInterval is the time between two closings of the connections to servers that are
// gone, and of those that have been idle for too long. Servers close idle connections
// after 10 s.
const pruneInterval = 2 * time.Second

// registrationCheck returns a function that reports whether a server is registered now.
func (s *SiteHost) registrationCheck() func(wagupstream.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	registered := make(map[wagupstream.Server]bool, len(s.servers))
	for _, i := range s.servers {
		registered[wagupstream.Server{Address: i.Address, ID: i.ID}] = true
	}
	return func(server wagupstream.Server) bool { return registered[server] }
}

// pushChanges makes the mesh push changes to the peers until ctx ends. applyChange must
// not do so itself, because the mesh may be calling it.
func (s *SiteHost) pushChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.pushPending:
			s.mesh.PushChanges()
		}
	}
}
