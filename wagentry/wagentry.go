// Package wagentry is the reverse proxy of a host: it takes requests from callers
// and from other hosts, sends them to servers and serves the operator port.
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

// eventRingSize is the number of events that a host keeps for the timeline.
const eventRingSize = 16384

// Proxy is the reverse proxy of one host.
type Proxy struct {
	settings      *wagsettings.Settings
	clock         wagclock.Clock
	log           logrus.FieldLogger
	events        *wagevent.Ring
	metrics       *wagmetrics.Metrics
	budgets       *wagretry.Budgets
	members       Membership
	claims        Claims
	terms         CallerTerms
	shutdownHooks []func(context.Context)
	observer      Observer
	// isFresh reports whether the documents were confirmed recently.
	isFresh func(now time.Time) bool
	// documentStatus returns the status of the documents for the operator port. It
	// is nil without a source.
	documentStatus func() any
	// listeners is nil if Run has to open the ports.
	listeners    *Listeners
	wrapListener func(Port, net.Listener) net.Listener
	// serverPool and hostPool hold persistent connections to servers and to other
	// hosts.
	serverPool *pool
	hostPool   *pool
	// requestIDPrefix and requestIDCounter form the IDs of requests that have none.
	requestIDPrefix  string
	requestIDCounter atomic.Uint64

	// seed seeds the random selection of servers.
	seed uint64

	// snapshot is the configuration for new requests. It is replaced as a whole.
	snapshot atomic.Pointer[Snapshot]
	// shuttingDown is set when a graceful shutdown begins and is never cleared.
	shuttingDown atomic.Bool

	// groups holds one server group per service name. It is replaced as a whole.
	groups atomic.Pointer[map[string]*group]
	// wakeups and wakeupSignal are the two ends of a channel that holds one signal.
	wakeups      <-chan struct{}
	wakeupSignal chan<- struct{}

	// mu is held while the snapshot is replaced.
	mu sync.Mutex
}

// Option sets a property of a Proxy.
type Option func(*Proxy)

// WithClock replaces the system clock.
func WithClock(c wagclock.Clock) Option {
	return func(px *Proxy) { px.clock = c }
}

// WithSeed replaces the random seed for the selection of servers.
func WithSeed(seed uint64) Option {
	return func(px *Proxy) { px.seed = seed }
}

// WithLog replaces the standard logger.
func WithLog(l logrus.FieldLogger) Option {
	return func(px *Proxy) { px.log = l }
}

// WithMetrics replaces the metrics of the host.
func WithMetrics(m *wagmetrics.Metrics) Option {
	return func(px *Proxy) { px.metrics = m }
}

// New returns a proxy that is not running yet.
func New(s *wagsettings.Settings, opts ...Option) *Proxy {
	wakeups := make(chan struct{}, 1)
	px := &Proxy{
		settings: s, wrapListener: func(_ Port, l net.Listener) net.Listener { return l }, clock: wagclock.System{}, log: logrus.StandardLogger(),
		budgets: wagretry.NewBudgets(), serverPool: newPool(idleConnTimeout), hostPool: newPool(hostIdleConnTimeout),
		requestIDPrefix: strconv.FormatUint(rand.Uint64(), 36) + "-", wakeups: wakeups, wakeupSignal: wakeups, seed: rand.Uint64(),
		observer: discardObservations{}, isFresh: func(time.Time) bool { return true },
	}
	px.members = singleHost{self: wagmember.Member{
		Name: s.Host.Name, DataCentre: s.Host.DataCentre, Region: s.Host.Region, Forward: s.Listen.Forward, Peer: s.Listen.Peer,
	}}
	for _, o := range opts {
		o(px)
	}
	if px.metrics == nil {
		px.metrics = wagmetrics.New().WithRuntimeCollectors()
	}
	if px.events == nil {
		px.events = wagevent.NewRing(s.Host.Name, eventRingSize, px.clock.Now)
	}
	px.groups.Store(&map[string]*group{})
	px.snapshot.Store(&Snapshot{})
	px.metrics.RegisterGroups(px.groupCounts)
	return px
}
