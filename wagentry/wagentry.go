// Package wagentry runs one entry host: it takes calls from callers, passes
// them to servers and serves the operators.
package wagentry

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagmetrics"
	"github.com/wagtailspar/wagtailspar/wagretry"
	"github.com/wagtailspar/wagtailspar/wagsettings"
)

// eventRingSize bounds the events that a host keeps for the time line.
const eventRingSize = 16384

// Proxy is one entry host.
type Proxy struct {
	settings *wagsettings.Settings
	clock    wagclock.Clock
	log      logrus.FieldLogger
	events   *wagevent.Ring
	metrics  *wagmetrics.Metrics
	budgets  *wagretry.Budgets
	members  Membership
	claims   Claims
	terms    CallerTerms
	leaving  []func(context.Context)
	observer Observer
	// fresh tells whether the documents were confirmed lately.
	fresh func(now time.Time) bool
	// status is what operators read of documents; nil when there is no source.
	status func() any
	// listeners are nil when Run has to open the ports.
	listeners *Listeners
	wrap      func(Port, net.Listener) net.Listener
	// servers and hosts hold warm connections.
	servers *pool
	hosts   *pool
	// requestPrefix and requests make the identities of calls without one.
	requestPrefix string
	requests      atomic.Uint64

	// seed is that of the random selection of servers.
	seed uint64

	// snapshot is the configuration that new calls see. It is replaced as a whole.
	snapshot atomic.Pointer[Snapshot]
	// stopping is set once a planned stop has begun and is never cleared.
	stopping atomic.Bool

	// groups holds one server group per service name. It is replaced as a whole.
	groups atomic.Pointer[map[string]*group]
	// wakes has room for one signal.
	wakes <-chan struct{}
	woken chan<- struct{}

	// mu is held while the snapshot changes.
	mu sync.Mutex
}

// Option sets a property of an Entry.
type Option func(*Proxy)

// WithClock replaces the clock of the system.
func WithClock(c wagclock.Clock) Option {
	return func(e *Proxy) { e.clock = c }
}

// WithSeed replaces the random seed of the selection of servers.
func WithSeed(seed uint64) Option {
	return func(e *Proxy) { e.seed = seed }
}

// WithLog replaces the standard logger.
func WithLog(l logrus.FieldLogger) Option {
	return func(e *Proxy) { e.log = l }
}

// WithMetrics replaces the metrics of the host.
func WithMetrics(m *wagmetrics.Metrics) Option {
	return func(e *Proxy) { e.metrics = m }
}

// New returns an entry host that is not yet running.
func New(s *wagsettings.Settings, opts ...Option) *Proxy {
	wakes := make(chan struct{}, 1)
	e := &Proxy{
		settings: s, wrap: func(_ Port, l net.Listener) net.Listener { return l }, clock: wagclock.System{}, log: logrus.StandardLogger(),
		budgets: wagretry.NewBudgets(), servers: newPool(), hosts: newPool(),
		requestPrefix: strconv.FormatUint(rand.Uint64(), 36) + "-", wakes: wakes, woken: wakes, seed: rand.Uint64(),
		observer: discardObservations{}, fresh: func(time.Time) bool { return true },
	}
	e.members = singleHost{self: wagmember.Member{
		Name: s.Host.Name, DataCentre: s.Host.DataCentre, Region: s.Host.Region, Forward: s.Listen.Forward, Peer: s.Listen.Peer,
	}}
	for _, o := range opts {
		o(e)
	}
	if e.metrics == nil {
		e.metrics = wagmetrics.New().WithRuntime()
	}
	if e.events == nil {
		e.events = wagevent.NewRing(s.Host.Name, eventRingSize, e.clock.Now)
	}
	e.groups.Store(&map[string]*group{})
	e.snapshot.Store(&Snapshot{})
	e.metrics.Groups(e.groupCounts)
	return e
}
