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

var dataCentres = []string{"ljubljana", "maribor"}

// serversPerCentre is the number of servers of one service in a data centre.
const serversPerCentre = 3

// serverSlots is the number of slots of a server.
const serverSlots = 2

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

// site is everything that runs in the demonstration.
type site struct {
	store   *wagstandin.Store
	hosts   *wagstandin.HostList
	servers []*standServer
	entries []*entryHost
	// centres are the data centres; hosts and servers are spread over them.
	centres []string
	// storeAddress and hostsAddress are the ports of the stand-ins.
	storeAddress, hostsAddress netip.AddrPort
	// gates lead to the store, one per data centre, so that one can be cut off.
	gates []*storeGate
	// publisher writes documents as an operator would.
	publisher *wagpublish.Publisher
	// services holds the stand-ins' HTTP servers with their listeners.
	services []service
	// operator records the faults that the script brings about.
	operator *wagevent.Ring
	events   []wagevent.Event
	changes  []change
	// published and noted are what a trace needs to know, in order of time.
	published []publication
	noted     []note
}

type service struct {
	listener net.Listener
	handler  http.Handler
}

type standServer struct {
	*wagstandin.Server
	name    string
	address netip.AddrPort
	listing wagserver.Server
}

// storeGate is the way of a data centre to the store.
type storeGate struct {
	next    http.Handler
	address netip.AddrPort
	cut     atomic.Bool
}

// ServeHTTP passes a call on, or refuses it while the way is cut.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.cut.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.next.ServeHTTP(w, r)
}

type entryHost struct {
	host *waghost.Host
	peer netip.AddrPort
	// stop ends this start of the host, and done is closed when it has ended.
	stop     context.CancelFunc
	done     chan struct{}
	name     string
	caller   netip.AddrPort
	operator netip.AddrPort
}

// newSite opens all ports and builds all parts; nothing runs yet.
func newSite(d *Demo) (s *site, err error) {
	s = &site{
		store: wagstandin.NewStore(), hosts: wagstandin.NewHostList(), centres: d.centres,
		operator: wagevent.NewRing("operator", 1024, time.Now),
	}
	if s.storeAddress, err = s.add(s.store.Handler()); err != nil {
		return nil, err
	}
	if s.hostsAddress, err = s.add(s.hosts.Handler()); err != nil {
		return nil, err
	}
	if err := s.addGates(); err != nil {
		return nil, err
	}
	if err := s.addServers(); err != nil {
		return nil, err
	}
	s.publisher = wagpublish.New(wagstore.NewClient(s.storeAddress), "demo", time.Now)
	for i := range d.hosts {
		e, err := s.newEntry(d, i)
		if err != nil {
			return nil, err
		}
		s.entries = append(s.entries, e)
	}
	return s, nil
}

// add opens a port on loopback for a stand-in.
func (s *site) add(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.services = append(s.services, service{listener: l, handler: h})
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

func (s *site) addGates() (err error) {
	for range s.centres {
		g := &storeGate{next: s.store.Handler()}
		if g.address, err = s.add(g); err != nil {
			return err
		}
		s.gates = append(s.gates, g)
	}
	return nil
}

func (s *site) addServers() error {
	for _, name := range []string{"ordering", "patterns"} {
		for i := range serversPerCentre * len(s.centres) {
			centre := s.centres[i%len(s.centres)]
			stand := &standServer{name: fmt.Sprintf("%s-%d", name, i+1)}
			stand.Server = wagstandin.NewServer(stand.name, serverSlots, wagstandin.WithServiceTime(4*time.Millisecond))
			address, err := s.add(stand.Handler())
			if err != nil {
				return err
			}
			stand.address = address
			stand.listing = wagserver.Server{Service: name, DataCentre: centre, Address: address, State: wagserver.Live}
			s.hosts.Set(stand.listing)
			s.servers = append(s.servers, stand)
		}
	}
	return nil
}

// newEntry opens the ports of an entry host and builds it; it does not run yet.
func (s *site) newEntry(d *Demo, i int) (*entryHost, error) {
	ports, err := waghost.Listen(loopbackPort, loopbackPort, loopbackPort, loopbackPort)
	if err != nil {
		return nil, err
	}
	settings, err := wagsettings.Parse("demo", []byte(d.settings))
	if err != nil {
		return nil, err
	}
	settings.Host.Name = fmt.Sprintf("entry-%d", i+1)
	settings.Host.DataCentre = s.centres[i%len(s.centres)]
	settings.Store.Address, settings.HostList.Address = s.gates[i%len(s.gates)].address, s.hostsAddress
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

// seeds returns the peer ports of the two hosts before the i-th.
func (s *site) seeds(i int) []netip.AddrPort {
	var seeds []netip.AddrPort
	for back := 1; back <= 2; back++ {
		j := (i - back + len(s.entries)) % max(len(s.entries), 1)
		if len(s.entries) > 0 && j != i {
			seeds = append(seeds, s.entries[j].peer)
		}
	}
	return seeds
}

var loopbackPort = netip.MustParseAddrPort("127.0.0.1:0")

// run starts all parts in a group; they end with ctx.
func (s *site) run(ctx context.Context, g *errgroup.Group) {
	for _, v := range s.services {
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
	for _, e := range s.entries {
		s.start(ctx, g, e)
	}
}

// start runs an entry host until ctx ends or its stop is called.
func (s *site) start(ctx context.Context, g *errgroup.Group, e *entryHost) {
	ctx, e.stop = context.WithCancel(ctx)
	g.Go(func() error {
		defer close(e.done)
		return e.host.Run(ctx)
	})
}

// ready publishes the documents and waits until every host has them in force.
func (s *site) ready(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "wait for the entry hosts") }()
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for _, text := range []string{orderingDocument, patternDocument} {
		if err := s.publish(ctx, text); err != nil {
			return err
		}
	}
	if len(s.changes[1].lagging) > 0 {
		return errors.Errorf("documents are not in force on %d hosts", len(s.changes[1].lagging))
	}
	s.changes = nil
	for _, e := range s.entries {
		if err := waitReady(ctx, e.operator); err != nil {
			return err
		}
	}
	return nil
}

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

// change is one published document and how long it took to be in force.
type change struct {
	service  string
	revision int64
	inForce  time.Duration
	lagging  []wagpublish.HostStatus
}

// publish puts a document and waits until it is in force everywhere.
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
	wait, cancel := context.WithTimeout(ctx, 11*time.Second)
	defer cancel()
	lagging := wagpublish.WaitInForce(wait, wagoperator.New(), s.operators(), d.Service.Name, d.Revision.Number)
	s.changes = append(s.changes, change{service: d.Service.Name, revision: d.Revision.Number, inForce: time.Since(started), lagging: lagging})
	return nil
}

func (s *site) operators() []netip.AddrPort {
	operators := make([]netip.AddrPort, 0, len(s.entries))
	for _, e := range s.entries {
		operators = append(operators, e.operator)
	}
	return operators
}

// collectEvents merges the events of all hosts and of the script.
func (s *site) collectEvents(ctx context.Context) {
	own, _ := s.operator.Since(0)
	streams := [][]wagevent.Event{own}
	for _, stream := range wagtimeline.Collect(ctx, wagoperator.New(), s.operators()) {
		streams = append(streams, stream.Events)
	}
	s.events = wagevent.Merge(streams...)
}
