// Package waggateway handles the requests of callers at an entry host: it receives a
// request, finds its route, has it placed on a server, sends it there and passes the
// response on.
package waggateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagsite"
	"github.com/wagtailspar/wagtailspar/wagupstream"
)

// Protocol reads and sets the headers that requests and responses carry in addition to
// HTTP.
type Protocol interface {
	// RequestID returns the ID of a request, or an empty string.
	RequestID(h http.Header) string
	// CallerTimeout returns how long the caller waits; false when the request does not
	// state it.
	CallerTimeout(h http.Header) (time.Duration, bool)
	// SetServerHeaders sets the headers for the server that a request is sent to: how
	// long it may work, and its ID, so that another server at the same address rejects
	// the request.
	SetServerHeaders(h http.Header, timeLeft time.Duration, serverID string)
	// LoadReport returns the load that a server reports on a response.
	LoadReport(h http.Header) (wagplacement.Report, bool)
	// ProvesNotRun reports whether a response proves that the server did not run the
	// request.
	ProvesNotRun(status int, h http.Header) bool
	// IsMisdirected reports whether a status says that another server now has the
	// address.
	IsMisdirected(status int) bool
	// IsLeaving reports whether a server states on a response that it is leaving.
	IsLeaving(h http.Header) bool
	// BusyFor returns how long a server that rejected a request wants no others from
	// this host, or 0.
	BusyFor(status int, h http.Header) time.Duration
	// ColdUntil returns until when a server is cold, as it states on a health response: not
	// after now when it is warm, and the zero time when it states nothing.
	ColdUntil(h http.Header, now time.Time) time.Time
	// ServerID returns the ID that a server states on a response, or an empty string.
	ServerID(h http.Header) string
	// HasSignature reports whether a response carries the signature that a server puts
	// on its work.
	HasSignature(h http.Header) bool
	// RemoveSignature removes the signature of the server from a response.
	RemoveSignature(h http.Header)
	// SetRequestID sets the ID of the request on a response.
	SetRequestID(h http.Header, id string)
	// APIKey returns the key of a customer that a request carries; false when it carries
	// none, or not exactly one.
	APIKey(h http.Header) (key string, ok bool)
	// SetCustomer sets the name of the customer on a request to a server, and removes the
	// key and any other such name. With an empty name it only removes both.
	SetCustomer(h http.Header, name string)
}

// Placer places requests on servers.
type Placer interface {
	Place(ctx context.Context, service string, r wagplacement.Request) wagowner.Outcome
}

// Gateway handles the requests of callers. It is safe for concurrent use.
type Gateway struct {
	protocol Protocol
	placer   Placer
	upstream *wagupstream.Pool
	clock    wagclock.Clock
	log      logrus.FieldLogger
	observer Observer

	// config is nil until the first configuration is set, which closes configured.
	config     atomic.Pointer[wagsite.Config]
	configured chan struct{}
	// configWaitUntil is until when requests wait for the first configuration.
	configWaitUntil time.Time
	shuttingDown    atomic.Bool
	// ending is set when the connections that remain are closed at once.
	ending atomic.Bool
	// shutdown holds the times of the graceful shutdown; nil before it.
	shutdown atomic.Pointer[shutdownTimes]
	// inFlight holds the requests that a graceful shutdown may have to end.
	inFlight inFlight
	// durations holds how long the servers' work takes, by route.
	durations       routeDurations
	requestCounters sync.Map // route name to *atomic.Uint64, the number of its requests
	// maySend reports whether a request may be sent to the server with an ID; nil for all.
	maySend func(serverID string) bool
	// hasLeft reports whether the server with an ID has left or is leaving; nil for none.
	hasLeft func(serverID string) bool
	// limits bound what callers holds.
	limits  Limits
	callers callers
}

// Option sets a property of a Gateway.
type Option func(*Gateway)

// WithClock replaces the system clock.
func WithClock(c wagclock.Clock) Option { return func(g *Gateway) { g.clock = c } }

// WithLog replaces the standard logger.
func WithLog(l logrus.FieldLogger) Option { return func(g *Gateway) { g.log = l } }

// New returns a gateway without a configuration.
func New(protocol Protocol, placer Placer, upstream *wagupstream.Pool, opts ...Option) *Gateway {
	g := &Gateway{protocol: protocol, placer: placer, upstream: upstream, clock: wagclock.System{}, log: logrus.StandardLogger(), observer: noopObserver{}, configured: make(chan struct{})}
	for _, o := range opts {
		o(g)
	}
	g.callers.open(g, g.limits)
	g.configWaitUntil = g.clock.Now().Add(wagowner.StartupWaitTimeout)
	return g
}

// HealthPath returns the path of the health check of a service, or an empty string.
func (g *Gateway) HealthPath(service string) string {
	c := g.config.Load()
	if c == nil {
		return ""
	}
	s, _ := c.Service(service)
	return s.HealthPath
}

// nextNumber counts a request of a route and returns its number, which begins at 1.
func (g *Gateway) nextNumber(route string) uint64 {
	n, ok := g.requestCounters.Load(route)
	if !ok {
		n, _ = g.requestCounters.LoadOrStore(route, new(atomic.Uint64))
	}
	return n.(*atomic.Uint64).Add(1)
}
