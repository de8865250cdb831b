package wagdemo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagentry"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/waghost"
	"github.com/wagtailspar/wagtailspar/wagoperator"
	"github.com/wagtailspar/wagtailspar/wagpublish"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsettings"
	"github.com/wagtailspar/wagtailspar/wagstandin"
	"github.com/wagtailspar/wagtailspar/wagstore"
	"github.com/wagtailspar/wagtailspar/wagtimeline"
)

// defaultDataCentres are the data centres of a demonstration that is not a fleet run.
var defaultDataCentres = []string{"ljubljana", "maribor"}

// serversPerDataCentre is the number of servers of each service in a data centre.
const serversPerDataCentre = 3

// slotsPerServer is how many requests a server runs at once.
const slotsPerServer = 2

// The documents of the two services.
const (
	orderingDocument = `[service]
name = ordering
slots = 2
deadline = 1s
rampTime = 1s

[route "stock"]
method = GET
path = /stock/*
repeatable = true
class = short

[route "order"]
method = POST
path = /orders
keyed = true
class = short
deadline = 3s

[caller]
header = Funeral-Home

[measuring]
probesPerSecond = 4
silence = 500ms

[zones]
cost = 2ms

[errors]
notRunHeader = Not-Run
`
	patternDocument = `[service]
name = patterns
slots = 2
deadline = 2s
rampTime = 1s

[route "list"]
method = GET
path = /list
repeatable = true
class = short

[route "download"]
method = GET
path = /files/*
repeatable = true
class = long
deadline = 5s

[caller]
header = Tailor

[limits]
longShare = 0.5

[measuring]
probesPerSecond = 4
silence = 500ms

[zones]
cost = 2ms

[errors]
notRunHeader = Not-Run
`
)

// site holds everything that runs in the demonstration.
type site struct {
	store      *wagstandin.Store
	hostList   *wagstandin.HostList
	servers    []*standInServer
	entryHosts []*entryHost
	// dataCentres are the data centres. Hosts and servers are spread evenly over them.
	dataCentres []string
	// storeAddress and hostListAddress are the addresses of the stand-ins.
	storeAddress, hostListAddress netip.AddrPort
	// storeProxies has one proxy for each data centre, through which its hosts reach
	// the store.
	storeProxies []*storeProxy
	// publisher writes documents as an operator would.
	publisher *wagpublish.Publisher
	// httpServers holds the listeners and handlers of the stand-ins.
	httpServers []httpServer
	// faultEvents records the faults that the demonstration injects.
	faultEvents *wagevent.Ring
	// events holds the events of all hosts and faultEvents, once they are collected.
	events          []wagevent.Event
	documentChanges []documentChange
	// published and faultChanges are recorded for traces, in order of time.
	published    []publication
	faultChanges []faultChange
}

// httpServer is the HTTP server of a stand-in.
type httpServer struct {
	listener net.Listener
	handler  http.Handler
}

// standInServer is a stand-in for a backend server.
type standInServer struct {
	*wagstandin.Server
	name          string
	address       netip.AddrPort
	hostListEntry wagserver.Server
}

// storeProxy forwards the requests of a data centre's hosts to the store.
type storeProxy struct {
	next         http.Handler
	address      netip.AddrPort
	disconnected atomic.Bool
}

// ServeHTTP forwards a request to the store, or rejects it while the data centre is
// disconnected.
func (p *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.disconnected.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.next.ServeHTTP(w, r)
}

// entryHost is an entry host with its addresses.
type entryHost struct {
	host *waghost.Host
	peer netip.AddrPort
	// stop starts the graceful shutdown of the host. done is closed when the host has
	// stopped.
	stop     context.CancelFunc
	done     chan struct{}
	name     string
	caller   netip.AddrPort
	operator netip.AddrPort
}

// newSite opens the ports of the site and creates its parts. startAll starts them.
func newSite(d *Demo) (s *site, err error) {
	s = &site{
		store: wagstandin.NewStore(), hostList: wagstandin.NewHostList(), dataCentres: d.dataCentres,
		faultEvents: wagevent.NewRing("operator", 1024, time.Now),
	}
	if s.storeAddress, err = s.listen(s.store.Handler()); err != nil {
		return nil, err
	}
	if s.hostListAddress, err = s.listen(s.hostList.Handler()); err != nil {
		return nil, err
	}
	if err := s.addStoreProxies(); err != nil {
		return nil, err
	}
	if err := s.addServers(); err != nil {
		return nil, err
	}
	s.publisher = wagpublish.New(wagstore.NewClient(s.storeAddress), "demo", time.Now)
	for i := range d.hosts {
		e, err := s.newEntryHost(d, i)
		if err != nil {
			return nil, err
		}
		s.entryHosts = append(s.entryHosts, e)
	}
	return s, nil
}

// listen opens a loopback port for the HTTP handler of a stand-in and returns its
// address.
func (s *site) listen(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.httpServers = append(s.httpServers, httpServer{listener: l, handler: h})
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

func (s *site) addStoreProxies() (err error) {
	for range s.dataCentres {
		proxy := &storeProxy{next: s.store.Handler()}
		if proxy.address, err = s.listen(proxy); err != nil {
			return err
		}
		s.storeProxies = append(s.storeProxies, proxy)
	}
	return nil
}

func (s *site) addServers() error {
	for _, name := range []string{"ordering", "patterns"} {
		for i := range serversPerDataCentre * len(s.dataCentres) {
			dataCentre := s.dataCentres[i%len(s.dataCentres)]
			server := &standInServer{name: fmt.Sprintf("%s-%d", name, i+1)}
			server.Server = wagstandin.NewServer(server.name, slotsPerServer, wagstandin.WithServiceTime(4*time.Millisecond))
			address, err := s.listen(server.Handler())
			if err != nil {
				return err
			}
			server.address = address
			server.hostListEntry = wagserver.Server{Service: name, DataCentre: dataCentre, Address: address, State: wagserver.Live}
			s.hostList.Set(server.hostListEntry)
			s.servers = append(s.servers, server)
		}
	}
	return nil
}

// newEntryHost opens the ports of the i-th entry host and creates it. startHost starts
// it.
func (s *site) newEntryHost(d *Demo, i int) (*entryHost, error) {
	ports, err := waghost.Listen(anyLoopbackPort, anyLoopbackPort, anyLoopbackPort, anyLoopbackPort)
	if err != nil {
		return nil, err
	}
	settings, err := wagsettings.Parse("demo", []byte(d.settings))
	if err != nil {
		return nil, err
	}
	settings.Host.Name = fmt.Sprintf("entry-%d", i+1)
	settings.Host.DataCentre = s.dataCentres[i%len(s.dataCentres)]
	settings.Store.Address, settings.HostList.Address = s.storeProxies[i%len(s.storeProxies)].address, s.hostListAddress
	settings.Peers.Seeds = s.seeds(i)
	log := logrus.New()
	log.SetOutput(d.log)
	h, err := waghost.New(settings, waghost.WithLog(log), waghost.WithListeners(ports))
	if err != nil {
		return nil, err
	}
	return &entryHost{
		host: h, name: settings.Host.Name, caller: wagentry.ListenerAddress(ports.Caller), operator: wagentry.ListenerAddress(ports.Operator),
		peer: wagentry.ListenerAddress(ports.Peer), done: make(chan struct{}),
	}, nil
}

// seeds returns the peer addresses of the two hosts before the i-th, as far as they
// exist.
func (s *site) seeds(i int) []netip.AddrPort {
	var seeds []netip.AddrPort
	for offset := 1; offset <= 2; offset++ {
		j := (i - offset + len(s.entryHosts)) % max(len(s.entryHosts), 1)
		if len(s.entryHosts) > 0 && j != i {
			seeds = append(seeds, s.entryHosts[j].peer)
		}
	}
	return seeds
}

var anyLoopbackPort = netip.MustParseAddrPort("127.0.0.1:0")

// startAll starts all parts of the site in a group. They stop when ctx ends.
func (s *site) startAll(ctx context.Context, g *errgroup.Group) {
	for _, v := range s.httpServers {
		server := &http.Server{Handler: v.handler, ReadHeaderTimeout: 10 * time.Second}
		g.Go(func() error {
			if err := server.Serve(v.listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		g.Go(func() error {
			<-ctx.Done()
			return server.Close()
		})
	}
	for _, e := range s.entryHosts {
		s.startHost(ctx, g, e)
	}
}

// startHost starts an entry host. It stops when ctx ends or e.stop is called.
func (s *site) startHost(ctx context.Context, g *errgroup.Group, e *entryHost) {
	ctx, e.stop = context.WithCancel(ctx)
	g.Go(func() error {
		defer close(e.done)
		return e.host.Run(ctx)
	})
}

// publishAndWaitReady publishes the documents and waits until they are in force on
// every host and every host is ready.
func (s *site) publishAndWaitReady(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "wait for the entry hosts") }()
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for _, text := range []string{orderingDocument, patternDocument} {
		if err := s.publish(ctx, text); err != nil {
			return err
		}
	}
	if len(s.documentChanges[1].laggingHosts) > 0 {
		return errors.Errorf("documents are not in force on %d hosts", len(s.documentChanges[1].laggingHosts))
	}
	s.documentChanges = nil
	for _, e := range s.entryHosts {
		if err := waitReady(ctx, e.operator); err != nil {
			return err
		}
	}
	return nil
}

// waitReady polls the readiness check of a host until it succeeds or ctx ends.
func waitReady(ctx context.Context, operator netip.AddrPort) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator.String()+"/ready", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !wagclock.Wait(ctx, wagclock.System{}, time.Now().Add(20*time.Millisecond)) {
			return errors.Errorf("host %s is not ready", operator)
		}
	}
}

// documentChange describes a published document and its rollout.
type documentChange struct {
	service      string
	revision     int64
	rolloutTime  time.Duration
	laggingHosts []wagpublish.HostStatus
}

// publish writes a document to the store and waits until it is in force on every
// host, or for 11 s.
func (s *site) publish(ctx context.Context, text string) error {
	prepared, err := s.publisher.Prepare(ctx, "demo", []byte(text))
	if err != nil {
		return err
	}
	started := time.Now()
	result, err := s.publisher.Commit(ctx, prepared)
	if err != nil {
		return err
	}
	d := result.Document
	s.published = append(s.published, publication{at: time.Now(), document: d})
	waitCtx, cancel := context.WithTimeout(ctx, 11*time.Second)
	defer cancel()
	lagging := wagpublish.WaitInForce(waitCtx, wagoperator.New(), s.operatorAddresses(), d.Service.Name, d.Revision.Number)
	s.documentChanges = append(s.documentChanges, documentChange{service: d.Service.Name, revision: d.Revision.Number, rolloutTime: time.Since(started), laggingHosts: lagging})
	return nil
}

func (s *site) operatorAddresses() []netip.AddrPort {
	operators := make([]netip.AddrPort, 0, len(s.entryHosts))
	for _, e := range s.entryHosts {
		operators = append(operators, e.operator)
	}
	return operators
}

// collectEvents collects the events of all hosts and merges them with faultEvents.
func (s *site) collectEvents(ctx context.Context) {
	own, _ := s.faultEvents.Since(0)
	streams := [][]wagevent.Event{own}
	for _, stream := range wagtimeline.Collect(ctx, wagoperator.New(), s.operatorAddresses()) {
		streams = append(streams, stream.Events)
	}
	s.events = wagevent.Merge(streams...)
}
